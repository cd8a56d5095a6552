package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// killEverySecond runs one minute of evenly spread load while one VM, gateway
// and scheduler, is killed every second in turn; a holder's successor starts
// once the lease of two seconds has ended.
func killEverySecond(limit Limit, load float64, pick func(f *fleet, n int) int) counts {
	const run, lease = time.Minute, 2 * time.Second
	f := newFleet(1, limit, rules{}, false)
	f.runUntil(10 * time.Second)
	f.counts = counts{}
	f.evenLoad(load*limit.Rate, run, func(n int) int { return pick(f, n) })
	vm := 0
	f.every(time.Second, func() {
		f.killVM(vm, lease)
		vm = (vm + 4) % len(f.gateways)
	})
	f.runUntil(f.t + run)
	return f.counts
}

func spread(f *fleet, n int) int { return n % len(f.gateways) }

var killLimits = []Limit{{10, 10}, {50, 20}, {200, 400}, {500, 50}, {2000, 4000}}

// TestWrongfulRefusalsWithOneVMKilledASecond reports the share of requests
// refused although a perfect global bucket had a token.
func TestWrongfulRefusalsWithOneVMKilledASecond(t *testing.T) {
	const target = 0.01
	for _, limit := range killLimits {
		for _, load := range []float64{0.3, 0.5, 0.9} {
			c := killEverySecond(limit, load, spread)
			share := float64(c.wrongful) / float64(c.offered)
			t.Logf("%v at %.0f%%: offered %d wrongful %d (%.2f%%) cut off %d successions %d", limit, 100*load, c.offered, c.wrongful, 100*share, c.cutOff, c.successions)
			assert.Check(t, c.violations == 0, c.first)
			assert.Check(t, share < target, "limit %v load %v", limit, load)
		}
	}
}
