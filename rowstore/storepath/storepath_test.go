package storepath

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// peerStores is a relay that reaches a store through each peer.
type peerStores map[structs.VMID]rowstore.Store

func (p peerStores) StoreVia(vm structs.VMID) rowstore.Store { return p[vm] }

// faultyStore fails this VM's calls with fault, while the store behind it works.
type faultyStore struct {
	rowstore.Store
	fault func(ctx context.Context) error
	calls int
}

func (s *faultyStore) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	s.calls++
	if s.fault != nil {
		return 0, s.fault(ctx)
	}
	return s.Store.Commit(ctx, tx)
}

func (s *faultyStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	if s.fault != nil {
		return rowstore.Page{}, s.fault(ctx)
	}
	return s.Store.Watch(ctx, table, after, wait)
}

func failUnavailable(context.Context) error {
	return &rowstore.UnavailableError{Cause: &rows.FaultError{Fault: "busy"}}
}

func failSilent(ctx context.Context) error {
	<-ctx.Done()
	return &rowstore.OutcomeUnknownError{Cause: ctx.Err()}
}

func putTx(value string, version uint64) rowstore.Tx {
	key := rowstore.Key{Table: "t", Key: "k"}
	return rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: key, Version: version}},
		Put:    []rowstore.Put{{Key: key, Value: []byte(value)}},
	}
}

func newRouter(direct rowstore.Store, relay Relay) *Router {
	return NewRouter(direct, relay, slog.New(slog.DiscardHandler))
}

// The store refuses this VM or does not answer it, while it serves others. A call goes
// through a peer at once after a refusal, and after the hedge delay without an answer.
func TestCallsGoThroughPeerWhenDirectPathFails(t *testing.T) {
	for name, fault := range map[string]func(context.Context) error{"busy": failUnavailable, "silent": failSilent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := rows.New()
				r := newRouter(&faultyStore{Store: store, fault: fault}, peerStores{"peer": store})
				r.Report("peer", true, true)
				start := time.Now()
				_, err := r.Commit(context.Background(), putTx("1", 0))
				assert.NilError(t, err)
				assert.Assert(t, time.Since(start) <= hedgeDelay)
				time.Sleep(attemptTimeout)
			})
		})
	}
}

// After failures on the direct path, calls go through the peer first. When the store
// serves this VM again, the next watch probes the direct path and marks it as up.
func TestWatchRestoresDirectPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		direct := &faultyStore{Store: store, fault: failUnavailable}
		r := newRouter(direct, peerStores{"peer": store})
		r.Report("peer", true, true)
		for i := range failureLimit {
			assert.Assert(t, r.IsDirectUp())
			_, err := r.Commit(context.Background(), putTx(fmt.Sprint(i), uint64(i)))
			assert.NilError(t, err)
		}
		assert.Assert(t, !r.IsDirectUp())
		assert.Equal(t, r.UnreachableFor(), time.Duration(0))
		direct.fault = nil
		_, err := r.Watch(context.Background(), "t", 0, time.Second)
		assert.NilError(t, err)
		assert.Assert(t, r.IsDirectUp())
	})
}

// Without any usable path the store counts as unreachable until a call is answered.
func TestUnreachableUntilACallIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		direct := &faultyStore{Store: store, fault: failUnavailable}
		r := newRouter(direct, peerStores{})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := r.Commit(ctx, putTx("1", 0))
		assert.Assert(t, err != nil)
		assert.Assert(t, r.UnreachableFor() >= time.Second)
		direct.fault = nil
		_, err = r.Watch(context.Background(), "t", 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, r.UnreachableFor(), time.Duration(0))
	})
}

// The store applies a transaction and its answer is lost. The retry meets a conflict with
// the call's own row and must report success.
func TestRetryAfterLostAnswerSucceeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		store.SetFaults(rows.Faults{LoseEveryNth: 1})
		r := newRouter(store, peerStores{})
		go func() {
			time.Sleep(attemptTimeout / 2)
			store.SetFaults(rows.Faults{})
		}()
		version, err := r.Commit(context.Background(), putTx("1", 0))
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(1))
	})
}

// Another writer's row with another value is a conflict, not a success of this call.
func TestRowOfAnotherWriterIsConflict(t *testing.T) {
	store := rows.New()
	r := newRouter(store, peerStores{})
	_, err := r.Commit(context.Background(), putTx("theirs", 0))
	assert.NilError(t, err)
	_, err = r.Commit(context.Background(), putTx("ours", 0))
	var conflict *rowstore.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, string(conflict.Find(rowstore.Key{Table: "t", Key: "k"}).Value), "theirs")
}

// Peers that report no path to the store are not used, nor are peers that have just
// failed a call or whose reports have expired.
func TestPathsPreferWorkingPeers(t *testing.T) {
	h := NewHealth(1)
	h.RecordPeerReport(1, "far", false, true)
	h.RecordPeerReport(1, "near", true, true)
	h.RecordPeerReport(1, "deaf", true, false)
	assert.DeepEqual(t, h.Paths(1), []Path{{}, {"near"}, {"far"}})
	h.RecordFailure(1, Path{})
	assert.DeepEqual(t, h.Paths(1), []Path{{}, {"near"}, {"far"}})
	h.RecordFailure(1, Path{})
	assert.DeepEqual(t, h.Paths(1), []Path{{"near"}, {"far"}, {}})
	h.RecordFailure(2, Path{"near"})
	assert.DeepEqual(t, h.Paths(2), []Path{{"far"}, {}})
	assert.DeepEqual(t, h.PeerPaths(2), []Path{{"far"}})
	afterTTL := structs.Instant(2 * reportTTL)
	assert.DeepEqual(t, h.Paths(afterTTL), []Path{{}})
	assert.Assert(t, h.UnreachableFor(afterTTL) > 0)
}

// rateLimitedStore is a store at its rate limit: it serves every third call.
type rateLimitedStore struct {
	rowstore.Store
	calls atomic.Int64
}

func (s *rateLimitedStore) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	if s.calls.Add(1)%3 != 0 {
		return 0, &rowstore.BusyError{Cause: &rows.FaultError{Fault: "over its rate limit"}}
	}
	return s.Store.Commit(ctx, tx)
}

// A surge brings the store to its rate limit. Retries through peers would multiply the
// calls, so a call refused as busy is only repeated over the same path, after a pause.
func TestRateLimitedStoreGetsNoExtraCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &rateLimitedStore{Store: rows.New()}
		r := newRouter(store, peerStores{"peer": store})
		r.Report("peer", true, true)
		for i := range 30 {
			_, err := r.Commit(context.Background(), putTx(fmt.Sprint(i), uint64(i)))
			assert.NilError(t, err)
		}
		assert.Equal(t, store.calls.Load(), int64(90))
		assert.Assert(t, r.IsDirectUp())
	})
}

// A store that answers busy to every call of this VM refuses the VM; the call goes
// through the peer.
func TestRepeatedBusyCountsAsFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		direct := &faultyStore{Store: store, fault: func(context.Context) error {
			return &rowstore.BusyError{Cause: &rows.FaultError{Fault: "many"}}
		}}
		r := newRouter(direct, peerStores{"peer": store})
		r.Report("peer", true, true)
		start := time.Now()
		_, err := r.Commit(context.Background(), putTx("1", 0))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) < time.Second)
		assert.Assert(t, direct.calls >= busyLimit)
		time.Sleep(attemptTimeout)
	})
}

// partitionDownStore refuses all calls to the partition "down".
type partitionDownStore struct {
	rowstore.Store
	refused atomic.Int64
}

func (s *partitionDownStore) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	if tx.Expect[0].Partition == "down" {
		s.refused.Add(1)
		return 0, &rowstore.UnavailableError{Cause: &rows.FaultError{Fault: "partition unavailable"}}
	}
	return s.Store.Commit(ctx, tx)
}

// Many calls wait for a partition that is unavailable. Their retries would use up the
// store's rate limit; with the breaker they cost few calls, and calls to other partitions
// are not delayed.
func TestUnreachablePartitionGetsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &partitionDownStore{Store: rows.New()}
		r := newRouter(store, peerStores{"peer": store})
		r.Report("peer", true, true)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		newTx := func(partition string, n int) rowstore.Tx {
			key := rowstore.Key{Table: "t", Partition: partition, Key: fmt.Sprint(n)}
			return rowstore.Tx{Expect: []rowstore.Expectation{{Key: key}}, Put: []rowstore.Put{{Key: key}}}
		}
		for n := range 100 {
			go func() { _, _ = r.Commit(ctx, newTx("down", n)) }()
		}
		for n := range 400 {
			start := time.Now()
			_, err := r.Commit(ctx, newTx("up", n))
			assert.NilError(t, err)
			assert.Assert(t, time.Since(start) < 10*time.Millisecond)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		assert.Assert(t, store.refused.Load() < 250, "%d calls", store.refused.Load())
	})
}

// Failures of one path are no outage while another path is answered; a store that answers
// no path is away until its next answer.
func TestOutageConcernsAllPaths(t *testing.T) {
	at := func(ms int) structs.Instant { return structs.Instant(time.Duration(ms) * time.Millisecond) }
	direct, peer := Path{}, Path{VM: "a"}
	h := NewHealth(at(0))
	for ms := 0; ms < 6000; ms += 500 {
		h.RecordPeerReport(at(ms), "a", true, true)
		h.RecordFailure(at(ms), direct)
		h.RecordAnswer(at(ms+100), peer)
		assert.Equal(t, h.LastOutage(at(ms+200)), structs.Instant(0))
	}
	h.RecordFailure(at(6000), direct)
	h.RecordFailure(at(6100), peer)
	assert.Equal(t, h.LastOutage(at(6100)), at(6100), "no path is usable")
	h.RecordAnswer(at(7000), direct)
	assert.Equal(t, h.LastOutage(at(9000)), at(7000))

	h = NewHealth(at(0))
	h.RecordFailure(at(1000), direct)
	assert.Equal(t, h.LastOutage(at(1900)), structs.Instant(0))
	assert.Equal(t, h.LastOutage(at(2000)), at(2000), "failing for a second")
	h.RecordAnswer(at(2500), direct)
	assert.Equal(t, h.LastOutage(at(9000)), at(2500))
}

// Guards against rows of turns that are relayed through a region which may not hold them, and
// against an outage that is not seen as one because only such a region reaches the store.
func TestRestrictedCallsAreRelayedOnlyThroughAllowedRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Hour) // instants count from the start of the process
		store := rows.New()
		far, near := &faultyStore{Store: store}, &faultyStore{Store: store}
		r := newRouter(&faultyStore{Store: store, fault: failUnavailable}, peerStores{"far": far, "near": near})
		report := func(isNearUp bool) {
			r.ReportRegion("far", "far")
			r.ReportRegion("near", "near")
			r.Report("far", false, true)
			r.Report("near", false, isNearUp)
		}
		ctx, cancel := context.WithTimeout(rowstore.WithRelayRegions(t.Context(), []string{"near"}), time.Second)
		defer cancel()
		report(true)
		for n := range uint64(2) {
			_, err := r.Commit(ctx, putTx(fmt.Sprint(n), n))
			assert.NilError(t, err)
		}
		report(false)
		_, err := r.Commit(ctx, putTx("2", 2))
		assert.Assert(t, err != nil, "the row went through a region that may not hold it")
		report(false)
		assert.Equal(t, r.UnreachableFor(), time.Duration(0))
		assert.Assert(t, r.UnreachableWithin([]string{"near"}) > 0)
		_, err = r.Commit(t.Context(), putTx("2", 2))
		assert.NilError(t, err, "calls without restrictions use any region")
		time.Sleep(attemptTimeout)
	})
}

// Guards against a VM that gives up its direct path, and with it its role for its programs,
// since some of its calls had little time left.
func TestCallsThatTheirCallersEndKeepTheDirectPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		store.SetFaults(rows.Faults{Delay: 20 * time.Millisecond})
		router := newRouter(store, peerStores{})
		for range 2 * failureLimit {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
			_, err := router.Commit(ctx, putTx("a", 0))
			assert.Assert(t, err != nil)
			cancel()
			synctest.Wait()
		}
		assert.Assert(t, router.IsDirectUp(), "the direct path counts as down")
		assert.Equal(t, router.LastFailure(), structs.Instant(0))
	})
}
