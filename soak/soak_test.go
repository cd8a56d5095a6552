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

func env(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

func (f *fleet) targetIDs() []structs.TargetID { return slices.Sorted(maps.Keys(f.targets)) }

// owned reports whether every slot has an owner.
func (f *fleet) owned() bool {
	count := 0
	for _, n := range f.live() {
		for slot := range structs.Slot(testSlots) {
			if _, held := n.keeper.HeldEpoch(slot); held {
				count++
			}
		}
	}
	return count == testSlots*len(f.domains)
}

// waitOwned waits until every slot has an owner.
func (f *fleet) waitOwned(what string) {
	const bound = 2 * time.Minute
	for end := time.Now().Add(bound); !f.owned(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			f.fail("%s: a slot has no owner for %s", what, bound)
			return
		}
	}
}

// step draws two faults that last for a while together.
func (f *fleet) step() {
	all := faults()
	var ends []func()
	for range 2 {
		kind := all[f.draw(len(all))]
		if kind.harms {
			f.disturbed(1)
		}
		end := kind.begin(f)
		if end != nil {
			f.count("fault " + kind.name)
			ends = append(ends, end)
		}
		if kind.harms {
			ends = append(ends, func() { f.disturbed(-1) })
		}
		time.Sleep(time.Duration(f.draw(3000)) * time.Millisecond)
	}
	time.Sleep(time.Duration(f.draw(20_000)) * time.Millisecond)
	for _, i := range f.order(len(ends)) {
		ends[i]()
	}
	f.waitOwned("after the faults")
	time.Sleep(time.Duration(f.draw(40_000)) * time.Millisecond)
}

// order returns the indices in which faults end: as drawn.
func (f *fleet) order(n int) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source.Perm(n)
}

// watch checks at short intervals what must hold at every instant.
func (f *fleet) watch(done chan struct{}) {
	for {
		select {
		case <-time.After(50 * time.Millisecond):
			f.checkOwners()
		case <-done:
			return
		}
	}
}

// settleTime lets the last calls of callers that vanished run out, their idle
// programs end, and what targets hold be released.
const settleTime = callTimeout + 2*time.Minute

func runFleet(t *testing.T, seed uint64, steps int) *fleet {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var f *fleet
	synctest.Test(t, func(*testing.T) {
		f = newFleet(seed)
		done := make(chan struct{})
		var watchers, callers sync.WaitGroup
		watchers.Go(func() { f.watch(done) })
		f.waitOwned("at the start")
		for i, g := range f.gateways {
			for j := range 4 {
				account := []structs.AccountID{"steady", "other"}[j%2]
				c := &caller{f: f, gateway: g, account: account, name: fmt.Sprintf("c%d%d", i, j)}
				callers.Go(c.run)
			}
		}
		for _, g := range f.gateways {
			callers.Go(func() { f.greedy(g) })
		}
		for i := 0; i < steps && !f.failed(); i++ {
			f.step()
		}
		f.set(func() { f.stopping = true })
		callers.Wait()
		if !f.failed() {
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
	for _, n := range f.live() {
		n.kill()
	}
	for _, n := range f.killed {
		<-n.done
	}
	for _, g := range f.gateways {
		g.dead.Store(true)
		g.client.Close()
		g.end()
		<-g.done
	}
}

func TestSoakSystem(t *testing.T) {
	first, seeds, steps := env("ENDIVE_SOAK_FIRST", 2), env("ENDIVE_SOAK_SEEDS", 1), env("ENDIVE_SOAK_STEPS", 1)
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
