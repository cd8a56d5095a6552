package targetrate

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

const target = structs.TargetID("t")

func at(seconds float64) structs.Instant { return structs.Instant(seconds * float64(time.Second)) }

func TestTargetWithoutRateIsNotLimited(t *testing.T) {
	l := New()
	assert.Assert(t, !l.Observe(at(1), target, Observation{Rate: None}))
	for range 100 {
		assert.Assert(t, l.Tokens(at(1), target, 0) > 1e9)
		l.Take(at(1), target)
	}
	assert.Equal(t, len(l.targets), 0)
}

func TestNewestObservationHolds(t *testing.T) {
	l := New()
	assert.Assert(t, l.Observe(at(10), target, Observation{Rate: 8}))
	assert.Assert(t, !l.Observe(at(11), target, Observation{Rate: None, Age: 2 * time.Second}), "older than the known one")
	rate, isNamed := l.Rate(target)
	assert.Assert(t, isNamed && rate == 8)
	assert.Assert(t, l.Observe(at(12), target, Observation{Rate: None}))
	_, isNamed = l.Rate(target)
	assert.Assert(t, !isNamed)
	assert.Assert(t, l.Tokens(at(12), target, 0) > 1e9)
	assert.Equal(t, len(l.Report(at(13))), 1, "the peers are told")
	assert.Equal(t, len(l.Report(at(30))), 0)
	assert.Equal(t, len(l.targets), 0)
}

func TestZeroRateStillProbesTheTarget(t *testing.T) {
	l := New()
	l.Observe(at(0), target, Observation{Rate: 0})
	sent := 0
	for ms := 0; ms < 20_000; ms += 50 {
		if now := at(float64(ms) / 1000); l.Tokens(now, target, 0) >= 1 {
			l.Take(now, target)
			sent++
		}
	}
	assert.Assert(t, sent >= 3 && sent <= 5, "%d requests in 20 s", sent)
}

// At 195 VMs, reports that every VM passes on would cost more than the rate saves.
func TestChangeIsReportedOnlyByTheVMThatSawIt(t *testing.T) {
	first, other := New(), New()
	first.Observe(at(1), target, Observation{Rate: 8})
	other.ApplyReport(at(1.1), "first", first.Report(at(1.1)))
	rate, isNamed := other.Rate(target)
	assert.Assert(t, isNamed && rate == 8)
	other.Observe(at(1.2), target, Observation{Rate: 8})
	assert.Equal(t, len(other.Report(at(1.3))), 0)
	other.Take(at(1.3), target)
	assert.Equal(t, len(other.Report(at(1.4))), 1, "a VM that places requests reports its demand")
}

// placerSim plays placers that send as many requests to a target as they may, and
// exchange reports.
type placerSim struct {
	t       *testing.T
	rate    float64
	placers map[structs.VMID]*Limiter
	order   []structs.VMID           // of all VMs that ever were placers
	demand  map[structs.VMID]float64 // requests per second
	lost    func(now float64, from, to structs.VMID) bool
	sent    []float64 // times of all requests
	rng     *rand.Rand
}

func newPlacerSim(t *testing.T, rate float64, demand map[structs.VMID]float64) *placerSim {
	s := &placerSim{t: t, rate: rate, placers: make(map[structs.VMID]*Limiter), demand: demand, rng: rand.New(rand.NewPCG(1, 2))}
	for _, vm := range slices.Sorted(maps.Keys(demand)) {
		s.start(vm, 0)
	}
	return s
}

// start starts a placer that learns of the rate from its first response.
func (s *placerSim) start(vm structs.VMID, now float64) {
	if !slices.Contains(s.order, vm) {
		s.order = append(s.order, vm)
	}
	s.placers[vm] = New()
	s.placers[vm].Observe(at(now), target, Observation{Rate: float32(s.rate)})
}

// run plays the time between two instants in steps of 10 ms, with a report of each placer
// to each other every reportPeriod seconds.
func (s *placerSim) run(from, to, reportPeriod float64) {
	const step = 0.01
	reportAt := from
	for now := from; now < to; now += step {
		for _, vm := range s.order {
			l, isUp := s.placers[vm]
			if !isUp {
				continue
			}
			if s.rng.Float64() < s.demand[vm]*step && l.Tokens(at(now), target, 0) >= 1 {
				l.Take(at(now), target)
				s.sent = append(s.sent, now)
			}
		}
		if now >= reportAt {
			reportAt += reportPeriod
			s.exchangeReports(now)
		}
	}
}

func (s *placerSim) exchangeReports(now float64) {
	for from, l := range s.placers {
		report := l.Report(at(now))
		for to, peer := range s.placers {
			if from != to && (s.lost == nil || !s.lost(now, from, to)) {
				peer.ApplyReport(at(now), from, report)
			}
		}
	}
}

// mostIn4s returns the largest number of requests in 4 s.
func (s *placerSim) mostIn4s() int {
	most := 0
	for i := range s.sent {
		n := 0
		for _, time := range s.sent[i:] {
			if time < s.sent[i]+4 {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// assertWithinRule checks the users' bound: one and a half times the rate, and five.
func (s *placerSim) assertWithinRule(what string) {
	s.t.Helper()
	allowed := int(1.5*4*s.rate) + 5
	assert.Assert(s.t, s.mostIn4s() <= allowed, "%s: %d requests in 4 s, %d are allowed", what, s.mostIn4s(), allowed)
}

func TestPlacersShareTheRateByDemand(t *testing.T) {
	const seconds = 200
	for _, reportPeriod := range []float64{0.3, 1.2} {
		for _, rate := range []float64{0.5, 2, 8, 40} {
			s := newPlacerSim(t, rate, map[structs.VMID]float64{"a": 3 * rate, "b": 0.2 * rate, "c": 0.02 * rate})
			s.run(0, seconds, reportPeriod)
			s.assertWithinRule(fmt.Sprint("rate ", rate))
			used := float64(len(s.sent)) / seconds / rate
			t.Logf("rate %g, reports every %g s: %.2f used, most %d", rate, reportPeriod, used, s.mostIn4s())
			assert.Assert(t, used > 0.75, "rate %g, reports every %g s: %.2f of the rate used", rate, reportPeriod, used)
		}
	}
}

func TestRateHoldsThroughRestartsAndCutsOfPlacers(t *testing.T) {
	for _, rate := range []float64{1, 8, 40} {
		s := newPlacerSim(t, rate, map[structs.VMID]float64{"a": 3 * rate, "b": 3 * rate})
		s.run(0, 10, 0.6)
		s.start("a", 10)
		s.run(10, 15, 0.6)
		s.lost = func(now float64, _, _ structs.VMID) bool { return now < 17 }
		s.run(15, 22, 0.6)
		delete(s.placers, "b")
		s.run(22, 28, 0.6)
		s.demand["c"] = 3 * rate
		s.start("c", 28)
		s.run(28, 35, 0.6)
		s.assertWithinRule(fmt.Sprint("rate ", rate))
	}
}

func TestShareOfLostPlacerPassesToOthers(t *testing.T) {
	s := newPlacerSim(t, 20, map[structs.VMID]float64{"a": 60, "b": 60})
	s.run(0, 10, 0.3)
	delete(s.placers, "b")
	s.run(10, 15, 0.3)
	s.sent = nil
	s.run(15, 20, 0.3)
	assert.Assert(t, len(s.sent) > 95, "%d requests in 5 s at a rate of 20/s", len(s.sent))
}
