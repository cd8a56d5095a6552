package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
)

// newRatedSet returns a set of targets "1" to "3" with ten slots each. Target "1" names a
// rate of 4 requests per second.
func newRatedSet() *TargetSet {
	s := New("d", "r")
	for _, id := range []structs.TargetID{"1", "2", "3"} {
		s.Put(Target{ID: id, Service: service, Domain: "d", Region: "r", Slots: 10})
	}
	s.Rates.Observe(at(0), "1", targetrate.Observation{Rate: 4})
	return s
}

func TestExcessOverNamedRateGoesToOtherTargets(t *testing.T) {
	s := newRatedSet()
	chosen := make(map[structs.TargetID]int)
	for ms := 0; ms < 10_000; ms += 50 {
		now := at(0).Add(time.Duration(ms) * time.Millisecond)
		choice, ok := s.Choose(now, Query{Service: service, CacheTarget: "1"})
		assert.Assert(t, ok && choice.HasFreeSlot)
		s.Rates.Take(now, choice.Target.ID)
		chosen[choice.Target.ID]++
	}
	assert.Assert(t, chosen["1"] >= 36 && chosen["1"] <= 42, "%d requests in 10 s at a rate of 4/s", chosen["1"])
	assert.Equal(t, chosen["1"]+chosen["2"]+chosen["3"], 200)
}

func TestTargetInBackoffIsNotSentMoreThanItsRate(t *testing.T) {
	s := newRatedSet()
	s.Remove("2")
	s.Remove("3")
	s.RecordUnreachable(at(0), "1")
	choice, ok := s.Choose(at(0), Query{Service: service})
	assert.Assert(t, ok && !choice.HasFreeSlot)
}

func TestRateWaitIsKnownOnlyIfNamedRatesBind(t *testing.T) {
	s := newRatedSet()
	query := Query{Service: service}
	_, isBound := s.RateWait(at(0), query, 100)
	assert.Assert(t, !isBound, "a target without a rate may have a slot at any time")
	s.Rates.Observe(at(0), "2", targetrate.Observation{Rate: 6})
	s.Remove("3")
	wait, isBound := s.RateWait(at(0), query, 19)
	assert.Assert(t, isBound)
	assert.Equal(t, wait, 2*time.Second, "20 requests at 10/s")
	query.RateFraction = 0.5
	wait, _ = s.RateWait(at(0), query, 19)
	assert.Equal(t, wait, 4*time.Second)
}
