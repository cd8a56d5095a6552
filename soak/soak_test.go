package soak

import (
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func (f *fleet) targetIDs() []structs.TargetID { return slices.Sorted(maps.Keys(f.targets)) }

// areAllSlotsOwned reports whether every slot has an owner.
func (f *fleet) areAllSlotsOwned() bool {
	count := 0
	for _, n := range f.liveSchedulers() {
		for slot := range structs.Slot(testSlots) {
			if _, held := n.keeper.HeldEpoch(slot); held {
				count++
			}
		}
	}
	return count == testSlots*len(f.domains)
}

// waitAllOwned waits until every slot has an owner.
func (f *fleet) waitAllOwned(what string) {
	const bound = 2 * time.Minute
	for end := time.Now().Add(bound); !f.areAllSlotsOwned(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			f.fail("%s: not every slot had an owner within %s", what, bound)
			return
		}
	}
}

// injectFaults draws two faults, lets both last for a while, and ends them in
// random order.
func (f *fleet) injectFaults() {
	all := faults()
	var ends []func()
	for range 2 {
		kind := all[f.draw(len(all))]
		if kind.canFailCalls {
			f.addFaults(1)
		}
		end := kind.begin(f)
		if end != nil {
			f.count("fault " + kind.name)
			ends = append(ends, end)
		}
		if kind.canFailCalls {
			ends = append(ends, func() { f.addFaults(-1) })
		}
		time.Sleep(time.Duration(f.draw(3000)) * time.Millisecond)
	}
	time.Sleep(time.Duration(f.draw(20_000)) * time.Millisecond)
	for _, i := range f.permutation(len(ends)) {
		ends[i]()
	}
	f.waitAllOwned("after the faults")
	time.Sleep(time.Duration(f.draw(40_000)) * time.Millisecond)
}

// permutation draws the order in which n faults end.
func (f *fleet) permutation(n int) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Perm(n)
}

// checkContinuously checks every 50 ms what must hold at every instant.
func (f *fleet) checkContinuously(done chan struct{}) {
	for {
		select {
		case <-time.After(50 * time.Millisecond):
			f.checkOwners()
		case <-done:
			return
		}
	}
}

// settleTime is how long the last calls of callers that disconnected take to time
// out, their idle programs to end and the targets' engine memory to be released.
const settleTime = callTimeout + 2*time.Minute

func runFleet(t *testing.T, seed uint64, steps int) *fleet {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var f *fleet
	synctest.Test(t, func(*testing.T) {
		f = newFleet(seed)
		done := make(chan struct{})
		var watchers, callers sync.WaitGroup
		watchers.Go(func() { f.checkContinuously(done) })
		f.waitAllOwned("at the start")
		for i, g := range f.gateways {
			for j := range 4 {
				account := []structs.AccountID{"steady", "other"}[j%2]
				c := &caller{f: f, gateway: g, account: account, name: fmt.Sprintf("c%d%d", i, j)}
				callers.Go(c.run)
			}
		}
		for _, g := range f.gateways {
			callers.Go(func() { f.runGreedyAccount(g) })
		}
		for i := 0; i < steps && !f.hasFailed(); i++ {
			f.injectFaults()
		}
		f.withLock(func() { f.isStopping = true })
		callers.Wait()
		if !f.hasFailed() {
			time.Sleep(settleTime)
			f.checkServed()
			f.checkMemory()
			f.checkConfig()
			f.checkRate("steady", steadyRate, steadyBurst)
			f.checkRate("greedy", greedyRate, greedyBurst)
			f.stats["greedy admissions"] = len(f.admitted["greedy"])
		}
		close(done)
		watchers.Wait()
		f.stopAll()
	})
	return f
}

func (f *fleet) stopAll() {
	for _, n := range f.liveSchedulers() {
		n.kill()
	}
	for _, n := range f.killed {
		<-n.done
	}
	for _, g := range f.gateways {
		g.isDead.Store(true)
		g.client.Close()
		g.cancelRun()
		<-g.done
	}
}

// TestSoakSystem runs callers against a fleet under random faults, one subtest per
// seed. It fails on lost or repeated calls and turns, slots with two owners,
// exceeded rates or budgets, and engine memory that is never released.
func TestSoakSystem(t *testing.T) {
	first, seeds, steps := envInt("ENDIVE_SOAK_FIRST", 2), envInt("ENDIVE_SOAK_SEEDS", 1), envInt("ENDIVE_SOAK_STEPS", 1)
	total := make(map[string]int)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := runFleet(t, uint64(seed), steps)
			for name, n := range f.stats {
				total[name] += n
			}
			t.Logf("seed %d: %d domains, %d calls run", seed, len(f.domains), f.stats["calls run"])
			if f.err != nil {
				total["violations"]++
			}
			assert.NilError(t, f.err, "seed %d", seed)
		})
	}
	t.Logf("%d seeds of %d steps, %d violations", seeds, steps, total["violations"])
	for _, name := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%s: %d", name, total[name])
	}
}
