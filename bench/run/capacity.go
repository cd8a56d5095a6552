package run

import (
	"time"

	"github.com/endivecourse/endivecourse/bench/vengine"
	"github.com/endivecourse/endivecourse/bench/workload"
)

const (
	capacitySeed     = 4242
	capacityDuration = 40 * time.Minute
	capacityWarmup   = 15 * time.Minute
	capacityMaxRate  = 16.0 // programs per second, more than any shape can serve
	capacitySteps    = 8    // of the binary search
	// minFinishedShare is the ratio of the rate of finished calls to the rate of offered
	// calls, both after the warm-up, at which an arrival rate counts as sustained.
	minFinishedShare = 0.98
)

// Capacity returns the highest rate of programs per second, with steady arrivals, at which
// calls finish as fast as they are made. It searches by bisection.
func Capacity(shape workload.Shape, policies Policies, engine vengine.Params) (float64, error) {
	low, high := 0.0, capacityMaxRate
	for range capacitySteps {
		rate := (low + high) / 2
		ok, err := isSustained(shape, policies, engine, rate)
		if err != nil {
			return 0, err
		}
		if ok {
			low = rate
		} else {
			high = rate
		}
	}
	return low, nil
}

func isSustained(shape workload.Shape, policies Policies, engine vengine.Params, rate float64) (bool, error) {
	w := workload.Options{Shape: shape, Seed: capacitySeed, Rate: rate, Duration: capacityDuration, IsSteady: true}
	metrics, err := Run(Options{Workload: w, Policies: policies, Engine: engine, Warmup: capacityWarmup, MaxQueued: noLimit})
	if err != nil {
		return false, err
	}
	calls := 0
	for _, p := range workload.Generate(w) {
		if p.Arrival >= capacityWarmup {
			calls += p.CallCount()
		}
	}
	offeredRate := float64(calls) / (capacityDuration - capacityWarmup).Seconds()
	return metrics.CallsPerS >= minFinishedShare*offeredRate, nil
}
