package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

const service = structs.ServiceID("engine")

func at(d time.Duration) structs.Instant { return structs.Instant(d) }

func target(id, domain, region string) Target {
	return Target{ID: structs.TargetID(id), Service: service, Domain: structs.DomainID(domain), Region: region, Slots: 4}
}

func newSet() *Set {
	s := New("d1", "r1")
	s.Put(target("a", "d1", "r1"))
	s.Put(target("b", "d2", "r1"))
	s.Put(target("far", "d3", "r2"))
	return s
}

func choose(t *testing.T, s *Set, now time.Duration, q Query) structs.TargetID {
	t.Helper()
	q.Service = service
	choice, ok := s.Choose(at(now), q)
	assert.Assert(t, ok)
	return choice.Target.ID
}

// A conversation returns to the target that has its prompt, unless that is full.
func TestConversationReturnsToItsTarget(t *testing.T) {
	s := newSet()
	assert.Equal(t, choose(t, s, 0, Query{}), structs.TargetID("a"))
	assert.Equal(t, choose(t, s, 0, Query{Cached: "b"}), structs.TargetID("b"))
	for range 4 {
		s.Begin("b")
	}
	assert.Equal(t, choose(t, s, 0, Query{Cached: "b"}), structs.TargetID("a"))
}

// Load spreads within the region before it crosses to another.
func TestLoadSpreadsWithinRegion(t *testing.T) {
	s := newSet()
	count := make(map[structs.TargetID]int)
	for range 8 {
		id := choose(t, s, 0, Query{})
		s.Begin(id)
		count[id]++
	}
	assert.DeepEqual(t, count, map[structs.TargetID]int{"a": 4, "b": 4})
	assert.Equal(t, choose(t, s, 0, Query{}), structs.TargetID("far"))
}

// Peers' requests count, as long as their word is fresh.
func TestPeersLoadCounts(t *testing.T) {
	s := newSet()
	s.Report(0, "vm", map[structs.TargetID]int{"a": 4})
	assert.Equal(t, choose(t, s, 0, Query{}), structs.TargetID("b"))
	assert.Equal(t, choose(t, s, 2*loadTTL, Query{}), structs.TargetID("a"))
}

// Targets that can't be connected to rest for longer each time, but a service
// is never given up whole.
func TestUnreachableTargetsRest(t *testing.T) {
	s := newSet()
	s.Unreachable(0, "a")
	assert.Equal(t, choose(t, s, 0, Query{}), structs.TargetID("b"))
	assert.Equal(t, choose(t, s, 2*minRest, Query{}), structs.TargetID("a"))
	for _, id := range []structs.TargetID{"a", "b", "far"} {
		s.Unreachable(0, id)
	}
	_, ok := s.Choose(0, Query{Service: service})
	assert.Assert(t, ok)
}

// A target that answers five times as slowly as the others gets no more
// requests while they have room, and is tried again after a while.
func TestSlowTargetIsLeftOut(t *testing.T) {
	s := newSet()
	for range 5 {
		s.Answered(0, "a", 500*time.Millisecond)
		s.Answered(0, "b", 100*time.Millisecond)
	}
	for range 4 {
		id := choose(t, s, 0, Query{})
		assert.Equal(t, id, structs.TargetID("b"))
		s.Begin(id)
	}
	assert.Equal(t, choose(t, s, 2*forgiveAfter, Query{Exclude: []structs.TargetID{"b"}}), structs.TargetID("a"))
}

// Draining and excluded targets are not chosen; a restarted one is new.
func TestDrainingAndRestartedTargets(t *testing.T) {
	s := newSet()
	draining := target("a", "d1", "r1")
	draining.Draining = true
	s.Put(draining)
	assert.Equal(t, choose(t, s, 0, Query{Cached: "a"}), structs.TargetID("b"))
	s.Begin("b")
	s.Unreachable(0, "b")
	restarted := target("b", "d2", "r1")
	restarted.Started = 7
	s.Put(restarted)
	assert.Equal(t, choose(t, s, 0, Query{}), structs.TargetID("b"))
	assert.Equal(t, len(s.Loads()), 0)
	_, ok := s.Choose(0, Query{Service: service, Exclude: []structs.TargetID{"b", "far"}})
	assert.Assert(t, !ok)
}

func BenchmarkChoose(b *testing.B) {
	s := New("d0", "r0")
	for i := range 48 {
		s.Put(target(fmt.Sprint(i), fmt.Sprintf("d%d", i%6), fmt.Sprintf("r%d", i%2)))
	}
	for b.Loop() {
		s.Choose(0, Query{Service: service})
	}
}
