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

// A conversation returns to the target that has its prompt cached, unless that target is
// full.
func TestConversationReturnsToItsTarget(t *testing.T) {
	s := newSet()
	assert.Equal(t, choose(t, s, 0, Query{}), structs.TargetID("a"))
	assert.Equal(t, choose(t, s, 0, Query{CacheTarget: "b"}), structs.TargetID("b"))
	for range 4 {
		s.BeginRequest("b")
	}
	assert.Equal(t, choose(t, s, 0, Query{CacheTarget: "b"}), structs.TargetID("a"))
}

// Load must fill the targets of the region before requests go to another region.
func TestLoadSpreadsWithinRegion(t *testing.T) {
	s := newSet()
	chosen := make(map[structs.TargetID]int)
	for range 8 {
		id := choose(t, s, 0, Query{})
		s.BeginRequest(id)
		chosen[id]++
	}
	assert.DeepEqual(t, chosen, map[structs.TargetID]int{"a": 4, "b": 4})
	assert.Equal(t, choose(t, s, 0, Query{}), structs.TargetID("far"))
}

// The running requests of peers count towards a target's load until their report is too
// old.
func TestPeersLoadCounts(t *testing.T) {
	s := newSet()
	s.Report(0, "vm", map[structs.TargetID]int{"a": 4})
	assert.Equal(t, choose(t, s, 0, Query{}), structs.TargetID("b"))
	assert.Equal(t, choose(t, s, 2*loadTTL, Query{}), structs.TargetID("a"))
}

// A target that can't be connected to must not be chosen during its backoff, but if all
// targets of a service are backing off, one of them is chosen nevertheless.
func TestUnreachableTargetsBackOff(t *testing.T) {
	s := newSet()
	s.RecordUnreachable(0, "a")
	assert.Equal(t, choose(t, s, 0, Query{}), structs.TargetID("b"))
	assert.Equal(t, choose(t, s, 2*minBackoff, Query{}), structs.TargetID("a"))
	for _, id := range []structs.TargetID{"a", "b", "far"} {
		s.RecordUnreachable(0, id)
	}
	_, ok := s.Choose(0, Query{Service: service})
	assert.Assert(t, ok)
}

// A target that is five times as slow as the others must get no requests while the others
// have free slots, and is tried again after latencyTTL.
func TestSlowTargetIsAvoided(t *testing.T) {
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
	assert.Equal(t, choose(t, s, 2*latencyTTL, Query{Exclude: []structs.TargetID{"b", "far"}}), structs.TargetID("a"))
}

// Draining and excluded targets must not be chosen. A restarted target starts without
// load and backoff.
func TestDrainingTargetIsNotChosenAndRestartedTargetIsNew(t *testing.T) {
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

// A target may fail half of its requests while it answers health checks. Each of ten VMs
// sends it too few requests to notice soon, so the VMs must combine their counts: with
// reports, at most half as many requests may fail as without.
func TestFailingTargetsAreDetectedFromAllVMs(t *testing.T) {
	failures := map[bool]int{}
	for _, withReports := range []bool{false, true} {
		rng := rand.New(rand.NewPCG(1, 2))
		var sets []*TargetSet
		for range 10 {
			s := New("d1", "r1")
			for n := range 20 {
				s.Put(target(fmt.Sprint("t", n), "d1", "r1"))
			}
			sets = append(sets, s)
		}
		isFlaky := func(id structs.TargetID) bool { return id == "t0" || id == "t1" || id == "t2" }
		for tick := range 2000 { // 5 ms each
			now := time.Duration(tick) * 5 * time.Millisecond
			set := sets[tick%len(sets)]
			id := choose(t, set, now, Query{Exclude: excludeAllBut(rng, 4)})
			if isFlaky(id) && rng.IntN(2) == 0 {
				set.RecordFailure(at(now), id)
				failures[withReports]++
			} else {
				set.RecordAnswer(at(now), id, 20*time.Millisecond)
			}
			if withReports && tick%60 == 0 {
				exchangeFailureReports(sets, at(now))
			}
		}
	}
	t.Logf("lost %d with reports, %d without", failures[true], failures[false])
	assert.Assert(t, failures[true] <= 40, "%d of 2,000 requests lost, %d without reports", failures[true], failures[false])
	assert.Assert(t, failures[true] <= failures[false]/2, "%d of 2,000 requests lost, %d without reports", failures[true], failures[false])
}

// excludeAllBut returns all of the 20 targets except count random ones, which stand for
// the targets with free slots.
func excludeAllBut(rng *rand.Rand, count int) []structs.TargetID {
	var ids []structs.TargetID
	for _, n := range rng.Perm(20)[count:] {
		ids = append(ids, structs.TargetID(fmt.Sprint("t", n)))
	}
	return ids
}

func exchangeFailureReports(sets []*TargetSet, now structs.Instant) {
	for i, from := range sets {
		for j, to := range sets {
			if i != j {
				to.ApplyFailureReport(now, structs.VMID(fmt.Sprint(i)), from.FailureReport(now))
			}
		}
	}
}

// A target that failed all requests must be used again some seconds after it has
// recovered, and if all targets of a service fail, one of them is chosen nevertheless.
func TestRecoveredTargetIsUsedAgain(t *testing.T) {
	s := newSet()
	for range 5 {
		s.RecordFailure(at(0), "a")
	}
	assert.Equal(t, choose(t, s, time.Second, Query{CacheTarget: "a"}), structs.TargetID("b"))
	changes := s.EjectionChanges(at(time.Second))
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].IsEjected && changes[0].Target == "a")
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

// Guards against a target that one VM takes out of use for all because of its own path.
func TestOneVMsReportEjectsNoTarget(t *testing.T) {
	s := New("near-a", "near")
	for _, id := range []structs.TargetID{"a", "b", "c"} {
		s.Put(Target{ID: id, Service: "app", Domain: "near-a", Region: "near", Slots: 4})
	}
	report := map[structs.TargetID]OutcomeCounts{"a": {Failures: 20}}
	s.ApplyFailureReport(at(0), "vm-2", report)
	assert.Equal(t, len(s.EjectionChanges(at(0))), 0)
	s.ApplyFailureReport(at(0), "vm-3", report)
	changes := s.EjectionChanges(at(0))
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].IsEjected && changes[0].Reporters == 2)
}

func TestForgottenOwnFailuresBringTargetsBack(t *testing.T) {
	s := New("near-a", "near")
	for _, id := range []structs.TargetID{"a", "b", "c"} {
		s.Put(Target{ID: id, Service: "app", Domain: "near-a", Region: "near", Slots: 4})
	}
	for range 10 {
		s.RecordFailure(at(0), "a")
	}
	s.RecordUnreachable(at(0), "b")
	assert.Equal(t, len(s.EjectionChanges(at(0))), 1)
	assert.Assert(t, s.IsBackingOff(at(0), "b"))
	s.ForgetOwnFailures()
	assert.Assert(t, !s.IsBackingOff(at(0), "b"))
	changes := s.EjectionChanges(at(0))
	assert.Assert(t, len(changes) == 1 && !changes[0].IsEjected)
	assert.Equal(t, len(s.FailureReport(at(0))), 0)
}

// Guards against a request that fails for want of a target while one is left that only fails a
// part of its requests.
func TestEjectedTargetIsUsedWhenTheOthersHaveFailedTheRequest(t *testing.T) {
	s := newSet()
	for range 5 {
		s.RecordFailure(at(0), "a")
	}
	assert.Equal(t, choose(t, s, 0, Query{CacheTarget: "a"}), structs.TargetID("b"))
	assert.Equal(t, choose(t, s, 0, Query{Exclude: []structs.TargetID{"b", "far"}}), structs.TargetID("a"))
}
