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
	capacityMost     = 16.0 // programs per second, above what any shape serves
	capacityHalvings = 8
	// sustainedShare is the least share of the calls made after the warm-up
	// that finish in the same time at a rate that is sustained.
	sustainedShare = 0.98
)

// Capacity returns the highest rate of programs per second at which calls
// finish as fast as they are asked for, with steady arrivals.
func Capacity(shape workload.Shape, policies Policies, engine vengine.Params) (float64, error) {
	low, high := 0.0, capacityMost
	for range capacityHalvings {
		rate := (low + high) / 2
		ok, err := sustains(shape, policies, engine, rate)
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

func sustains(shape workload.Shape, policies Policies, engine vengine.Params, rate float64) (bool, error) {
	w := workload.Options{Shape: shape, Seed: capacitySeed, Rate: rate, Duration: capacityDuration, IsSteady: true}
	figures, err := Run(Options{Workload: w, Policies: policies, Engine: engine, Warmup: capacityWarmup, MaxQueued: noLimit})
	if err != nil {
		return false, err
	}
	calls := 0
	for _, p := range workload.Generate(w) {
		if p.Arrival >= capacityWarmup {
			calls += p.CallCount()
		}
	}
	asked := float64(calls) / (capacityDuration - capacityWarmup).Seconds()
	return figures.CallsPerS >= sustainedShare*asked, nil
}
