package edge

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/rowstore/storepath"
	"github.com/endivecourse/endivecourse/structs"
)

// markLeaving updates one server's entry of a target to draining.
func markLeaving(s *Server, id structs.TargetID) {
	target, _ := s.targets.Get(id)
	target.IsDraining = true
	s.UpdateTargets([]TargetChange{{ID: id, Target: &target}}, false)
}

func TestGrantOfPlacerThatIsBehindReachesNoLeavingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := 0, false
		servers := newServers(20, 2, &placer, &isSilent)
		markLeaving(servers[1], "t0")
		for range slotsPerTarget {
			ticket := admission.Request{ProgramDeadline: structs.Now().Add(time.Second)}
			g, err := servers[1].acquireGrant(t.Context(), placement.Query{Service: "s"}, ticket, time.Second, 2*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, g.target.ID, structs.TargetID("t1"))
		}
		time.Sleep(time.Second)
		assert.Equal(t, len(servers[0].peerGrants), slotsPerTarget, "grants of the leaving target are given back")
	})
}

// Guards against a placer that has not heard what a target says in its answers.
func TestPlacerIsToldOfDepartureByTheVMThatAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := 0, false
		servers := newServers(20, 2, &placer, &isSilent)
		departed, _ := servers[1].targets.Get("t0")
		servers[1].recordDeparture(departed)
		for range slotsPerTarget {
			ticket := admission.Request{ProgramDeadline: structs.Now().Add(time.Second)}
			g, err := servers[1].acquireGrant(t.Context(), placement.Query{Service: "s"}, ticket, time.Second, 2*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, g.target.ID, structs.TargetID("t1"))
		}
		target, _ := servers[0].targets.Get("t0")
		assert.Assert(t, target.IsDraining)
	})
}

func TestWaitingRequestIsNotGrantedDepartedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := -1, false
		s := newServers(1, 1, &placer, &isSilent)[0]
		query := placement.Query{Service: "s"}
		for range slotsPerTarget {
			_, err := s.acquireTarget(t.Context(), query, &admission.Request{}, time.Second, time.Second)
			assert.NilError(t, err)
		}
		waited := make(chan error, 1)
		go func() {
			_, err := s.acquireTarget(t.Context(), query, &admission.Request{}, time.Second, time.Second)
			waited <- err
		}()
		synctest.Wait()
		departed, _ := s.targets.Get("t0")
		s.recordDeparture(departed)
		s.mu.Lock()
		s.recordEnd("t0", placement.ResultAnswered, time.Millisecond)
		s.mu.Unlock()
		assert.ErrorType(t, <-waited, &NoFreeSlotError{})
	})
}

func TestWaitingRequestIsNotGrantedLeavingTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := -1, false
		s := newServers(1, 1, &placer, &isSilent)[0]
		query := placement.Query{Service: "s"}
		for range slotsPerTarget {
			_, err := s.acquireTarget(t.Context(), query, &admission.Request{}, time.Second, time.Second)
			assert.NilError(t, err)
		}
		waited := make(chan error, 1)
		go func() {
			_, err := s.acquireTarget(t.Context(), query, &admission.Request{}, time.Second, time.Second)
			waited <- err
		}()
		synctest.Wait()
		markLeaving(s, "t0")
		s.mu.Lock()
		s.recordEnd("t0", placement.ResultAnswered, time.Millisecond)
		s.mu.Unlock()
		assert.ErrorType(t, <-waited, &NoFreeSlotError{})
	})
}

// relayToStore is a relay that reaches a store through every peer.
type relayToStore struct{ store rowstore.Store }

func (r relayToStore) StoreVia(structs.VMID) rowstore.Store { return r.store }

// newServerWithPaths returns a server with a direct path to the store and one through a
// peer, whose faults can be set, and a target that is listed.
func newServerWithPaths(t *testing.T) (s *Server, direct, relayed *rows.Store) {
	t.Helper()
	placer, isSilent := -1, false
	s = newServers(1, 1, &placer, &isSilent)[0]
	direct, relayed = rows.New(), rows.New()
	s.opts.Store = storepath.NewRouter(direct, relayToStore{relayed}, slog.New(slog.DiscardHandler))
	return s, direct, relayed
}

// watchFor reads a table for a time as a follower does, while the peer reports that it
// reaches the store.
func watchFor(s *Server, d time.Duration) {
	for until := structs.Now().Add(d); structs.Now() < until; {
		s.opts.Store.Report("peer", true, true)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, _ = s.opts.Store.Watch(ctx, "t", 0, 0)
		cancel()
		time.Sleep(400 * time.Millisecond)
	}
}

func isListed(s *Server, id structs.TargetID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.targets.Get(id)
	return known
}

func TestRemovedTargetIsNotKeptForFailuresOfOnePath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		s, direct, _ := newServerWithPaths(t)
		direct.SetFaults(rows.Faults{IsDown: true})
		watchFor(s, 5*time.Second)
		s.UpdateTargets([]TargetChange{{ID: "t0"}}, false)
		assert.Assert(t, !isListed(s, "t0"), "the store has answered all the time, through a peer")
	})
}

func TestTargetThatLapsedInAnOutageIsKeptForRelistGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		s, direct, relayed := newServerWithPaths(t)
		watchFor(s, time.Second)
		direct.SetFaults(rows.Faults{IsDown: true})
		relayed.SetFaults(rows.Faults{IsDown: true})
		watchFor(s, 4*time.Second)
		direct.SetFaults(rows.Faults{})
		relayed.SetFaults(rows.Faults{})
		watchFor(s, 400*time.Millisecond)
		s.UpdateTargets([]TargetChange{{ID: "t0"}}, false)
		returned := structs.Now()
		for structs.Now().Sub(returned) < 1700*time.Millisecond {
			assert.Assert(t, isListed(s, "t0"))
			s.retryWaiting(t.Context(), time.Now())
			time.Sleep(retryPeriod)
		}
		direct.SetFaults(rows.Faults{IsDown: true}) // of this path only
		watchFor(s, 700*time.Millisecond)
		s.retryWaiting(t.Context(), time.Now())
		assert.Assert(t, !isListed(s, "t0"), "kept for %s", structs.Now().Sub(returned))
	})
}
