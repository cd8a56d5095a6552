package quota

import (
	"os"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const soakStep = 100 * time.Millisecond

func soakParam(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// soak runs one seed: faults, changing limits, skewed and shifting load from
// below to several times the rate.
func soak(seed uint64, steps int, rules rules) counts {
	limit := soakLimits[seed%uint64(len(soakLimits))]
	f := newFleet(seed, limit, rules, true)
	calm := []int{8, 30, 100}[f.rng.IntN(3)] // steps between faults
	hot, skew, factor := 0, 0.0, 1.0
	for step := range steps {
		if step%20 == 0 {
			hot = f.rng.IntN(len(f.gateways))
			skew = float64(f.rng.IntN(5)) / 4
			factor = []float64{0, 0.5, 0.9, 1.5, 4}[f.rng.IntN(5)]
		}
		if f.rng.IntN(calm) == 0 {
			f.fault()
		}
		if factor > 0 {
			f.load(soakStep, factor*f.limit.Rate, hot, skew)
		}
		f.runUntil(time.Duration(step+1) * soakStep)
		f.checkUnits()
	}
	return f.counts
}

func TestSoakQuota(t *testing.T) {
	first := soakParam(t, "ENDIVE_SOAK_FIRST", 1)
	seeds := soakParam(t, "ENDIVE_SOAK_SEEDS", 4)
	steps := soakParam(t, "ENDIVE_SOAK_STEPS", 400)
	var total counts
	for seed := first; seed < first+seeds; seed++ {
		c := soak(uint64(seed), steps, rules{})
		if c.violations > 0 {
			t.Errorf("seed %d: %d violations, first %s", seed, c.violations, c.first)
		}
		total.add(c)
	}
	t.Logf("seeds %d..%d, %d steps of %v: %+v", first, first+seeds-1, steps, soakStep, total)
	assert.Assert(t, total.admitted > 0)
}

// TestSoakFindsMissingRules takes one rule of the protocol out at a time.
func TestSoakFindsMissingRules(t *testing.T) {
	const seeds, steps = 120, 400
	for name, r := range map[string]rules{
		"refill while lent":         {refillWhileLent: true},
		"reply applied twice":       {applyTwice: true},
		"term counted from receipt": {termFromReceipt: true},
		"new holder starts full":    {startFull: true},
		"request processed twice":   {returnTwice: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				if c := soak(seed, steps, r); c.violations > 0 {
					t.Logf("seed %d: %d violations, first %s", seed, c.violations, c.first)
					return
				}
			}
			t.Errorf("no violation in %d seeds", seeds)
		})
	}
}
