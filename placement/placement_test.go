package placement

import (
	"fmt"
	"math/rand/v2"
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

func newSet() *TargetSet {
	s := New("d1", "r1")
	s.Put(target("a", "d1", "r1"))
	s.Put(target("b", "d2", "r1"))
	s.Put(target("far", "d3", "r2"))
	return s
}

func choose(t *testing.T, s *TargetSet, now time.Duration, q Query) structs.TargetID {
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
	assert.Equal(t, choose(t, s, 0, Query{CacheTarget: "b"}), structs.TargetID("b"))
	for range 4 {
		s.BeginRequest("b")
	}
	assert.Equal(t, choose(t, s, 0, Query{CacheTarget: "b"}), structs.TargetID("a"))
}

// Load spreads within the region before it crosses to another.
func TestLoadSpreadsWithinRegion(t *testing.T) {
	s := newSet()
	count := make(map[structs.TargetID]int)
	for range 8 {
		id := choose(t, s, 0, Query{})
		s.BeginRequest(id)
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
	s.RecordUnreachable(0, "a")
	assert.Equal(t, choose(t, s, 0, Query{}), structs.TargetID("b"))
	assert.Equal(t, choose(t, s, 2*minRest, Query{}), structs.TargetID("a"))
	for _, id := range []structs.TargetID{"a", "b", "far"} {
		s.RecordUnreachable(0, id)
	}
	_, ok := s.Choose(0, Query{Service: service})
	assert.Assert(t, ok)
}

// A target that answers five times as slowly as the others gets no more
// requests while they have room, and is tried again after a while.
func TestSlowTargetIsLeftOut(t *testing.T) {
	s := newSet()
	for range 5 {
		s.RecordAnswer(0, "a", 500*time.Millisecond)
		s.RecordAnswer(0, "b", 100*time.Millisecond)
	}
	for range 4 {
		id := choose(t, s, 0, Query{})
		assert.Equal(t, id, structs.TargetID("b"))
		s.BeginRequest(id)
	}
	assert.Equal(t, choose(t, s, 2*forgiveAfter, Query{Exclude: []structs.TargetID{"b"}}), structs.TargetID("a"))
}

// Draining and excluded targets are not chosen; a restarted one is new.
func TestDrainingAndRestartedTargets(t *testing.T) {
	s := newSet()
	draining := target("a", "d1", "r1")
	draining.IsDraining = true
	s.Put(draining)
	assert.Equal(t, choose(t, s, 0, Query{CacheTarget: "a"}), structs.TargetID("b"))
	s.BeginRequest("b")
	s.RecordUnreachable(0, "b")
	restarted := target("b", "d2", "r1")
	restarted.Started = 7
	s.Put(restarted)
	assert.Equal(t, choose(t, s, 0, Query{}), structs.TargetID("b"))
	assert.Equal(t, len(s.LoadReport()), 0)
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

// Targets that fail a part of their requests, while they answer health checks,
// are found by the answers at all VMs: ten VMs of which each sends little.
func TestFailingTargetsAreFoundTogether(t *testing.T) {
	lost := map[bool]int{}
	for _, shared := range []bool{false, true} {
		rng := rand.New(rand.NewPCG(1, 2))
		var sets []*TargetSet
		for range 10 {
			s := New("d1", "r1")
			for n := range 20 {
				s.Put(target(fmt.Sprint("t", n), "d1", "r1"))
			}
			sets = append(sets, s)
		}
		grey := func(id structs.TargetID) bool { return id == "t0" || id == "t1" || id == "t2" }
		for tick := range 2000 { // of 5 ms
			now := time.Duration(tick) * 5 * time.Millisecond
			set := sets[tick%len(sets)]
			id := choose(t, set, now, Query{Exclude: someBut(rng, 4)})
			if grey(id) && rng.IntN(2) == 0 {
				set.RecordFailure(at(now), id)
				lost[shared]++
			} else {
				set.RecordAnswer(at(now), id, 20*time.Millisecond)
			}
			if shared && tick%60 == 0 {
				tellAll(sets, at(now))
			}
		}
	}
	t.Logf("lost %d with reports, %d without", lost[true], lost[false])
	assert.Assert(t, lost[true] <= 40, "%d of 2,000 requests lost, %d without reports", lost[true], lost[false])
	assert.Assert(t, lost[true] <= lost[false]/2, "%d of 2,000 requests lost, %d without reports", lost[true], lost[false])
}

// someBut returns all of 20 targets but a few, which stand for those with room.
func someBut(rng *rand.Rand, few int) []structs.TargetID {
	var ids []structs.TargetID
	for _, n := range rng.Perm(20)[few:] {
		ids = append(ids, structs.TargetID(fmt.Sprint("t", n)))
	}
	return ids
}

func tellAll(sets []*TargetSet, now structs.Instant) {
	for i, from := range sets {
		for j, to := range sets {
			if i != j {
				to.ApplyFailureReport(now, structs.VMID(fmt.Sprint(i)), from.FailureReport(now))
			}
		}
	}
}

// A target that fails everything comes back into use some seconds after it has
// recovered, and a service whose targets all fail is never given up.
func TestFailingTargetsComeBack(t *testing.T) {
	s := newSet()
	for range 5 {
		s.RecordFailure(at(0), "a")
	}
	assert.Equal(t, choose(t, s, time.Second, Query{CacheTarget: "a"}), structs.TargetID("b"))
	switches := s.EjectionChanges(at(time.Second))
	assert.Equal(t, len(switches), 1)
	assert.Assert(t, switches[0].IsEjected && switches[0].Target == "a")
	assert.Equal(t, len(s.EjectionChanges(at(2*time.Second))), 0)
	assert.Equal(t, len(s.EjectionChanges(at(8*time.Second))), 1)
	assert.Equal(t, choose(t, s, 8*time.Second, Query{CacheTarget: "a"}), structs.TargetID("a"))
	for range 5 {
		s.RecordFailure(at(8*time.Second), "a")
		s.RecordFailure(at(8*time.Second), "b")
		s.RecordFailure(at(8*time.Second), "far")
	}
	_, ok := s.Choose(at(8*time.Second), Query{Service: service})
	assert.Assert(t, ok)
}
