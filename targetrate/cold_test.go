package targetrate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// coldSim plays the VMs of a fleet of two regions that send requests to one cold target:
// the placer of each region, and VMs whose placer does not answer.
type coldSim struct {
	rng     *rand.Rand
	rate    float64
	vms     []*coldVM
	heard   func(now float64, from, to *coldVM) bool
	sent    []float64
	coldFor float64
}

type coldVM struct {
	l       *Limiter
	name    structs.VMID
	region  int
	demand  float64 // requests per second that would go to the target
	alone   bool    // the VM picks targets itself, its placer does not answer
	learnAt float64 // when it reads the target's entry
	reach   Reach
}

const coldPlacers, coldVMs = 12, 76 // per region, in all

func newColdSim(rate, coldFor float64) *coldSim {
	return &coldSim{rng: rand.New(rand.NewPCG(7, 9)), rate: rate, coldFor: coldFor, heard: func(float64, *coldVM, *coldVM) bool { return true }}
}

func (s *coldSim) add(region int, demand float64, alone bool) *coldVM {
	vm := &coldVM{
		l: New(), name: structs.VMID(fmt.Sprint(len(s.vms))), region: region, demand: demand, alone: alone,
		reach: Reach{Placers: coldPlacers, KnownPlacers: coldPlacers, Regions: 2, KnownRegions: 2, VMs: coldVMs, MayPlace: true},
	}
	vm.l.Phase = s.rng.Float64()
	s.vms = append(s.vms, vm)
	return vm
}

// run plays a time in steps of 2 ms. Placers of one region report to each other each 0.6 s,
// those of two regions each 1.2 s.
func (s *coldSim) run(from, to float64) {
	const step = 0.002
	for n := 0; from+float64(n)*step < to; n++ {
		now := from + float64(n)*step
		for _, vm := range s.vms {
			if now >= vm.learnAt && now < vm.learnAt+step {
				vm.l.SetCold(at(now), target, s.rate, time.Duration((s.coldFor-now)*float64(time.Second)))
			}
			vm.l.SetReach(at(now), vm.reach)
			fraction := 0.0
			if vm.alone {
				fraction = 1.0 / coldVMs
			}
			if now >= vm.learnAt && s.rng.Float64() < vm.demand*step && vm.l.Tokens(at(now), target, fraction) >= 1 {
				vm.l.Take(at(now), target)
				s.sent = append(s.sent, now)
			}
		}
		for _, a := range s.vms {
			report := a.l.Report(at(now))
			for _, b := range s.vms {
				period := 300
				if a.region != b.region {
					period = 600
				}
				if a != b && n%period == period-1 && s.heard(now, a, b) {
					b.l.ApplyReport(at(now), a.name, report)
				}
			}
		}
	}
}

func (s *coldSim) mostInOneSecond() int {
	most, first := 0, 0
	for i, sentAt := range s.sent {
		for s.sent[first] <= sentAt-1 {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// assertWithinBound checks the platform's bound: 1.5 times the rate and 5 in any second.
func (s *coldSim) assertWithinBound(t *testing.T, what string) {
	t.Helper()
	allowed := int(1.5*s.rate + 5)
	t.Logf("%s at %g/s: %d in the worst second of %d allowed, %.1f/s on average", what, s.rate, s.mostInOneSecond(), allowed, float64(len(s.sent))/s.coldFor)
	assert.Assert(t, s.mostInOneSecond() <= allowed, "%s at %g/s: %d requests in a second, %d are allowed", what, s.rate, s.mostInOneSecond(), allowed)
}

func TestPlacersOfTwoRegionsStartTogetherOnAColdTarget(t *testing.T) {
	for _, rate := range []float64{2, 24, 120} {
		s := newColdSim(rate, 6)
		s.add(0, 5*rate, false)
		s.add(1, 5*rate, false).learnAt = 0.8
		s.run(0, 6)
		s.assertWithinBound(t, "two placers")
		assert.Assert(t, float64(len(s.sent)) > 6*rate/2, "%d requests in 6 s at %g/s", len(s.sent), rate)
	}
}

func TestColdRateHoldsWhenAPlacerIsLostAndItsVMsPickThemselves(t *testing.T) {
	for _, rate := range []float64{2, 24, 120} {
		s := newColdSim(rate, 10)
		lost := s.add(0, 5*rate, false)
		s.add(1, 5*rate, false)
		var alone []*coldVM
		for range coldVMs / 2 {
			alone = append(alone, s.add(0, 0, true))
		}
		s.run(0, 4)
		lost.demand = 0
		for _, vm := range alone {
			vm.demand = rate
		}
		s.run(4, 6)
		for _, vm := range alone {
			vm.demand = 0
		}
		s.add(0, 5*rate, false).learnAt = 6 // the next placer
		s.run(6, 10)
		s.assertWithinBound(t, "lost placer")
	}
}

func TestRegionsThatLoseEachOtherShareTheColdRate(t *testing.T) {
	for _, rate := range []float64{2, 24, 120} {
		s := newColdSim(rate, 30)
		s.add(0, 5*rate, false)
		s.add(1, 5*rate, false)
		s.heard = func(now float64, _, _ *coldVM) bool { return now < 5 }
		s.run(0, 7.5)
		for _, vm := range s.vms {
			vm.reach.Regions = 1 // nothing was heard for 2.5 s
		}
		s.run(7.5, 20)
		for _, vm := range s.vms {
			vm.reach = Reach{Placers: coldPlacers, KnownPlacers: coldPlacers, Regions: 1, KnownRegions: 1, VMs: coldVMs / 2, MayPlace: true} // forgotten
		}
		s.run(20, 30)
		s.assertWithinBound(t, "regions apart")
	}
}

// Every VM takes itself for the placer.
func TestVMsThatAllLoseEachOtherShareTheColdRate(t *testing.T) {
	for _, rate := range []float64{2, 24, 120} {
		s := newColdSim(rate, 10)
		s.heard = func(float64, *coldVM, *coldVM) bool { return false }
		for n := range coldVMs {
			vm := s.add(n%2, rate, false)
			vm.l.SetReach(at(0), vm.reach)
			vm.reach = Reach{KnownPlacers: 1, Regions: 1, KnownRegions: 1, VMs: 1}
			if n < 2*coldPlacers {
				vm.reach.Placers, vm.reach.MayPlace = 1, true
			}
		}
		s.run(0, 10)
		s.assertWithinBound(t, "all VMs apart")
	}
}

func TestColdPeriodEndsByItsTimeOrByTheEntry(t *testing.T) {
	l := New()
	l.SetReach(at(0), Reach{Placers: 1, KnownPlacers: 1, Regions: 1, KnownRegions: 1, VMs: 1, MayPlace: true})
	l.SetCold(at(0), target, 24, 3*time.Second)
	assert.Assert(t, l.Tokens(at(2.9), target, 0) < 25)
	assert.Assert(t, math.IsInf(l.Tokens(at(3), target, 0), 1))
	l.SetCold(at(4), target, 24, 3*time.Second)
	l.SetCold(at(5), target, 24, 0)
	assert.Assert(t, math.IsInf(l.Tokens(at(5), target, 0), 1))
	l.Learn(at(5.1), target, Observation{Rate: None, Age: unobservedAge, ColdFor: time.Second, ColdRate: 24, ColdAge: 2 * time.Second})
	assert.Assert(t, math.IsInf(l.Tokens(at(5.1), target, 0), 1), "a peer's older statement begins no new period")
	l.SetCold(at(6), target, 24, 24*time.Hour)
	cold, _ := l.Cold(at(6), target)
	assert.Equal(t, cold.Left, MaxColdFor)
}

// Peers of the previous release report rates without cold periods.
func TestReportsWithoutColdPeriodsEndNone(t *testing.T) {
	l := New()
	l.SetCold(at(0), target, 24, 3*time.Second)
	l.ApplyReport(at(1), "old", map[structs.TargetID]Report{target: {Observation: Observation{Rate: 5}}})
	l.Observe(at(1), target, Observation{Rate: None})
	_, isCold := l.Cold(at(1), target)
	assert.Assert(t, isCold)
}

func TestLowerOfNamedAndColdRateBinds(t *testing.T) {
	l := New()
	l.SetReach(at(0), Reach{Placers: 1, KnownPlacers: 1, Regions: 1, KnownRegions: 1, VMs: 1, MayPlace: true})
	l.SetCold(at(0), target, 24, time.Minute)
	l.Observe(at(0), target, Observation{Rate: 4})
	share, _ := l.Share(at(2), target, 0)
	assert.Equal(t, share, 4.0)
	l.Observe(at(3), target, Observation{Rate: 400})
	share, _ = l.Share(at(3), target, 0)
	assert.Equal(t, share, 24.0)
}
