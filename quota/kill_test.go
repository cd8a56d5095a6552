package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// killEverySecond simulates one minute of load while every second the gateway and the
// scheduler of one VM are killed. The next epoch of a share starts when the lease of two
// seconds has ended.
func killEverySecond(limit Limit, load float64, pick func(f *fleet, n int) int) counts {
	const run, lease = time.Minute, 2 * time.Second
	f := newFleet(1, limit, ruleFaults{}, false)
	f.runUntil(10 * time.Second)
	f.counts = counts{}
	f.offerEvenLoad(load*limit.Rate, run, func(n int) int { return pick(f, n) })
	vm := 0
	f.scheduleEvery(time.Second, func() {
		f.killVM(vm, lease)
		vm = (vm + 4) % len(f.gateways)
	})
	f.runUntil(f.t + run)
	return f.counts
}

func roundRobin(f *fleet, n int) int { return n % len(f.gateways) }

var killLimits = []Limit{{10, 10}, {50, 20}, {200, 400}, {500, 50}, {2000, 4000}}

// TestWrongfulRefusalsWithOneVMKilledASecond checks that fewer than 1% of the requests are
// refused although an ideal global bucket had a token for them.
func TestWrongfulRefusalsWithOneVMKilledASecond(t *testing.T) {
	const target = 0.01
	for _, limit := range killLimits {
		for _, load := range []float64{0.3, 0.5, 0.9} {
			c := killEverySecond(limit, load, roundRobin)
			share := float64(c.wrongful) / float64(c.offered)
			t.Logf("%v at %.0f%%: offered %d wrongful %d (%.2f%%) abandoned %d takeovers %d", limit, 100*load, c.offered, c.wrongful, 100*share, c.abandoned, c.takeovers)
			assert.Check(t, c.violations == 0, c.firstViolation)
			assert.Check(t, share < target, "limit %v load %v", limit, load)
		}
	}
}
