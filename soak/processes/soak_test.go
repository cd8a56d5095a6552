package processes

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// Settings of a soak, from the environment.
const (
	envFirst = "ENDIVE_SOAK_FIRST" // first seed
	envSeeds = "ENDIVE_SOAK_SEEDS" // number of seeds
	envSteps = "ENDIVE_SOAK_STEPS" // faults a seed
)

func setting(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

const callers = 8

// TestFaultSoak harms a small fleet of real processes in series that overlap and
// checks the promises of the pages all the while.
func TestFaultSoak(t *testing.T) {
	first := setting(envFirst, 1)
	for seed := first; seed < first+setting(envSeeds, 2); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soak(t, uint64(seed), setting(envSteps, 5)) })
	}
}

func soak(t *testing.T, seed uint64, steps int) {
	f := newFleet(t)
	seen := &ledgerOfCalls{
		t: t, answers: make(map[string]answer), tokens: make(map[string]int),
		prompts: make(map[string]string), counts: make(map[int]int),
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	end := time.Now().Add(time.Duration(steps)*1200*time.Millisecond + 3*time.Second)
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() { newCaller(f, seen, seed, n).play(end) })
	}
	f.harm(rng, steps)
	running.Wait()
	seen.checkRuns(f.targets)
	t.Logf("seed %d: answers by status %v", seed, seen.counts)
	served := seen.counts[200]
	if served < 20 {
		t.Errorf("seed %d: only %d requests were served", seed, served)
	}
}

// harm plays faults one after the other, some of them two at a time.
func (f *fleet) harm(rng *rand.Rand, steps int) {
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	var side sync.WaitGroup
	// Faults of processes don't overlap: a process is started once.
	var processes sync.Mutex
	for range steps {
		name, seed := names[rng.IntN(len(names))], rng.Uint64()
		f.t.Logf("fault: %s", name)
		play := func() {
			if name == "kill" || name == "kill all" || name == "pause" || name == "stop" {
				processes.Lock()
				defer processes.Unlock()
			}
			faults[name](f, rand.New(rand.NewPCG(seed, 1)))
		}
		if rng.IntN(2) == 0 {
			side.Go(play)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		play()
	}
	side.Wait()
}
