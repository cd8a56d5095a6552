package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// offerEvenLoad sends evenly spaced requests during d. pick returns the index of the gateway
// for each.
func (f *fleet) offerEvenLoad(perSecond float64, d time.Duration, pick func(n int) int) {
	gap := time.Duration(float64(time.Second) / perSecond)
	n := 0
	for at := gap; at < d; at += gap {
		i := pick(n)
		f.runAt(at, func() { f.request(f.gateways[i]) })
		n++
	}
}

// TestNoWrongfulRefusalsWithoutFaults sends 90% of the rate to gateways that start without
// loans. No request may be refused that the ideal bucket would admit.
func TestNoWrongfulRefusalsWithoutFaults(t *testing.T) {
	const run = 30 * time.Second
	rounds := soakParam(t, "ENDIVE_SOAK_SEEDS", 1)
	patterns := map[string]func(f *fleet, n int, at time.Duration) int{
		"one gateway":  func(*fleet, int, time.Duration) int { return 4 },
		"all in turn":  func(_ *fleet, n int, _ time.Duration) int { return n % 9 },
		"all random":   func(f *fleet, _ int, _ time.Duration) int { return f.rng.IntN(9) },
		"one shifting": func(_ *fleet, _ int, at time.Duration) int { return int(at/(5*time.Second)) * 4 % 9 },
	}
	for name, pick := range patterns {
		t.Run(name, func(t *testing.T) {
			for i := range rounds * len(soakLimits) {
				limit := soakLimits[i%len(soakLimits)]
				f := newFleet(uint64(i+1), limit, ruleFaults{}, false)
				f.runUntil(10 * time.Second)
				rate := 0.9 * limit.Rate
				f.offerEvenLoad(rate, run, func(n int) int {
					return pick(f, n, time.Duration(float64(n)/rate*float64(time.Second)))
				})
				f.runUntil(f.t + run + time.Second)
				c := f.counts
				t.Logf("%v: offered %d admitted %d refused %d wrongful %d messages %d", limit, c.offered, c.admitted, c.refused, c.wrongful, c.messages)
				assert.Check(t, c.offered > 0)
				assert.Check(t, c.wrongful == 0, "limit %v", limit)
				assert.Check(t, c.violations == 0, c.firstViolation)
			}
		})
	}
}

// TestFastClocksStayWithinLimit sends twice the rate while every clock runs as fast as the
// loan terms allow. Without a correction for drift, the buckets would refill too fast.
func TestFastClocksStayWithinLimit(t *testing.T) {
	f := newFleet(1, Limit{Rate: 200, Burst: 10}, ruleFaults{}, false)
	for i := range f.gateways {
		f.gateways[i].speed = 1 + simDrift
		f.holders[i].speed = 1 + simDrift
	}
	f.runUntil(10 * time.Second)
	f.offerEvenLoad(400, time.Minute, func(int) int { return 0 })
	f.runUntil(f.t + time.Minute)
	t.Logf("admitted %d of %d", f.counts.admitted, f.counts.offered)
	assert.Equal(t, f.counts.violations, 0, f.counts.firstViolation)
	assert.Assert(t, f.counts.admitted > 200*50)
}
