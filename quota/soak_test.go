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

// runSoak simulates one seed with faults, changes of the limit, and load that is skewed
// towards changing gateways and ranges from zero to several times the rate.
func runSoak(seed uint64, steps int, ruleFaults ruleFaults) counts {
	limit := soakLimits[seed%uint64(len(soakLimits))]
	f := newFleet(seed, limit, ruleFaults, true)
	stepsPerFault := []int{8, 30, 100}[f.rng.IntN(3)] // on average
	hot, skew, loadFactor := 0, 0.0, 1.0
	for step := range steps {
		if step%20 == 0 {
			hot = f.rng.IntN(len(f.gateways))
			skew = float64(f.rng.IntN(5)) / 4
			loadFactor = []float64{0, 0.5, 0.9, 1.5, 4}[f.rng.IntN(5)]
		}
		if f.rng.IntN(stepsPerFault) == 0 {
			f.injectFault()
		}
		if loadFactor > 0 {
			f.offerRandomLoad(soakStep, loadFactor*f.limit.Rate, hot, skew)
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
		c := runSoak(uint64(seed), steps, ruleFaults{})
		if c.violations > 0 {
			t.Errorf("seed %d: %d violations, first %s", seed, c.violations, c.firstViolation)
		}
		total.add(c)
	}
	t.Logf("seeds %d..%d, %d steps of %v: %+v", first, first+seeds-1, steps, soakStep, total)
	assert.Assert(t, total.admitted > 0)
}

// TestSoakFindsMissingRules checks that the simulation finds a violation if any one rule of
// the protocol is disabled.
func TestSoakFindsMissingRules(t *testing.T) {
	const seeds, steps = 120, 400
	for name, r := range map[string]ruleFaults{
		"refill while lent":             {refillsLentUnits: true},
		"reply applied twice":           {appliesAllReplies: true},
		"duration counted from receipt": {countsFromReceipt: true},
		"new holder starts full":        {startsFull: true},
		"request processed twice":       {processesRepeats: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				if c := runSoak(seed, steps, r); c.violations > 0 {
					t.Logf("seed %d: %d violations, first %s", seed, c.violations, c.firstViolation)
					return
				}
			}
			t.Errorf("no violation found in %d seeds", seeds)
		})
	}
}
