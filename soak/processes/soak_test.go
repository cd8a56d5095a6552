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

// Environment variables that set the extent of a run.
const (
	envFirst = "ENDIVE_SOAK_FIRST" // first seed
	envSeeds = "ENDIVE_SOAK_SEEDS" // number of seeds
	envSteps = "ENDIVE_SOAK_STEPS" // faults per seed
)

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

const callers = 8

// TestFaultSoak injects overlapping faults into a small fleet of real processes
// while callers run programs, and checks the documented guarantees: responses,
// budgets, and what ran at the targets.
func TestFaultSoak(t *testing.T) {
	first := envInt(envFirst, 1)
	for seed := first; seed < first+envInt(envSeeds, 2); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSoak(t, uint64(seed), envInt(envSteps, 5)) })
	}
}

func runSoak(t *testing.T, seed uint64, steps int) {
	f := newFleet(t)
	calls := &callLog{
		t: t, responses: make(map[string]response), tokens: make(map[string]int),
		prompts: make(map[string]string), statusCounts: make(map[int]int),
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	end := time.Now().Add(time.Duration(steps)*1200*time.Millisecond + 3*time.Second)
	var running sync.WaitGroup
	for n := range callers {
		running.Go(func() { newCaller(f, calls, seed, n).runPrograms(end) })
	}
	f.injectFaults(rng, steps)
	running.Wait()
	calls.checkRuns(f.targets)
	t.Logf("seed %d: responses by status %v", seed, calls.statusCounts)
	served := calls.statusCounts[200]
	if served < 20 {
		t.Errorf("seed %d: only %d requests were served", seed, served)
	}
}

// injectFaults injects faults one after another; about half of them run in the
// background and overlap with those that follow.
func (f *fleet) injectFaults(rng *rand.Rand, steps int) {
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	var background sync.WaitGroup
	// Faults that kill, pause or stop processes don't overlap: a process that two
	// of them restart would run twice.
	var processes sync.Mutex
	for range steps {
		name, seed := names[rng.IntN(len(names))], rng.Uint64()
		f.t.Logf("fault: %s", name)
		inject := func() {
			if name == "kill" || name == "kill all" || name == "pause" || name == "stop" {
				processes.Lock()
				defer processes.Unlock()
			}
			faults[name](f, rand.New(rand.NewPCG(seed, 1)))
		}
		if rng.IntN(2) == 0 {
			background.Go(inject)
			time.Sleep(300 * time.Millisecond)
			continue
		}
		inject()
	}
	background.Wait()
}
