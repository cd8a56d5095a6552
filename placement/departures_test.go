package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// newDepartureSet returns a set of two targets of which "a" has said that it leaves.
func newDepartureSet(t *testing.T) *TargetSet {
	t.Helper()
	s := New("near-a", "near")
	for _, id := range []structs.TargetID{"a", "b"} {
		s.Put(Target{ID: id, Service: service, Address: "addr-" + string(id), Domain: "near-a", Region: "near", Slots: 4, Started: 5})
	}
	assert.Assert(t, s.Depart(at(1), "a", Incarnation{Started: 5, Address: "addr-a"}))
	return s
}

func isLeaving(s *TargetSet, id structs.TargetID) bool {
	target, _ := s.Get(id)
	return target.IsDraining
}

func TestDepartedTargetIsNotChosen(t *testing.T) {
	s := newDepartureSet(t)
	for range 20 {
		assert.Equal(t, choose(t, s, 0, Query{CacheTarget: "a"}), structs.TargetID("b"))
	}
	_, ok := s.Choose(at(1), Query{Service: service, Exclude: []structs.TargetID{"b"}})
	assert.Assert(t, !ok)
}

// Guards against an entry of the store, or a report, that is older than the target's answer.
func TestOlderEntryDoesNotUndoDeparture(t *testing.T) {
	s := newDepartureSet(t)
	entry := Target{ID: "a", Service: service, Address: "addr-a", Domain: "near-a", Region: "near", Slots: 5, Started: 5}
	s.Put(entry)
	assert.Assert(t, isLeaving(s, "a"))
	s.Remove("a")
	s.Put(entry)
	assert.Assert(t, isLeaving(s, "a"), "listed again after an outage")
	assert.Assert(t, !s.Depart(at(2), "a", Incarnation{Started: 4, Address: "addr-a"}))
	assert.Assert(t, isLeaving(s, "a"))
}

func TestNewIncarnationIsNotLeaving(t *testing.T) {
	s := newDepartureSet(t)
	s.Put(Target{ID: "a", Service: service, Address: "addr-a", Domain: "near-a", Region: "near", Slots: 4, Started: 6})
	assert.Assert(t, !isLeaving(s, "a"))
	assert.Assert(t, !s.Depart(at(2), "a", Incarnation{Started: 5, Address: "addr-a"}), "a late answer of the one before")
	assert.Assert(t, !isLeaving(s, "a"))
	s.Put(Target{ID: "c", Service: service, Address: "addr-a", Domain: "near-a", Region: "near", Slots: 4, Started: 6})
	assert.Assert(t, !isLeaving(s, "c"), "another target at the same address")
}

func TestDepartureOfUnlistedTargetHoldsOnceItIsListed(t *testing.T) {
	s := New("near-a", "near")
	assert.Assert(t, s.Depart(at(1), "a", Incarnation{Started: 5, Address: "x"}))
	s.Put(Target{ID: "a", Service: service, Address: "x", Domain: "near-a", Region: "near", Slots: 4, Started: 5})
	assert.Assert(t, isLeaving(s, "a"))
}
