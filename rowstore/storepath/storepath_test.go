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

// peers reaches the same store by other ways.
type peers map[structs.VMID]rowstore.Store

func (p peers) StoreVia(vm structs.VMID) rowstore.Store { return p[vm] }

// refusing turns this VM away while the store behind it works.
type refusing struct {
	rowstore.Store
	how   func(ctx context.Context) error
	calls int
}

func (s *refusing) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	s.calls++
	if s.how != nil {
		return 0, s.how(ctx)
	}
	return s.Store.Commit(ctx, tx)
}

func (s *refusing) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	if s.how != nil {
		return rowstore.Page{}, s.how(ctx)
	}
	return s.Store.Watch(ctx, table, after, wait)
}

func busy(context.Context) error {
	return &rowstore.UnavailableError{Cause: &rows.FaultError{Fault: "busy"}}
}

func silent(ctx context.Context) error {
	<-ctx.Done()
	return &rowstore.OutcomeUnknownError{Cause: ctx.Err()}
}

func put(value string, version uint64) rowstore.Tx {
	key := rowstore.Key{Table: "t", Key: "k"}
	return rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: key, Version: version}},
		Put:    []rowstore.Put{{Key: key, Value: []byte(value)}},
	}
}

func newRouter(direct rowstore.Store, relay Relay) *Router {
	return NewRouter(direct, relay, slog.New(slog.DiscardHandler))
}

// A store that turns this VM away is reached through a peer, at once when it
// says so and within the hedge delay when it is silent.
func TestStoreIsReachedThroughPeer(t *testing.T) {
	for name, how := range map[string]func(context.Context) error{"busy": busy, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := rows.New()
				r := newRouter(&refusing{Store: store, how: how}, peers{"peer": store})
				r.Report("peer", true, true)
				start := time.Now()
				_, err := r.Commit(context.Background(), put("1", 0))
				assert.NilError(t, err)
				assert.Assert(t, time.Since(start) <= hedgeDelay)
				time.Sleep(attemptTimeout)
			})
		})
	}
}

// After a failure calls go to the peer first; the watch finds the direct path
// again when it works.
func TestDirectPathIsRegained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		direct := &refusing{Store: store, how: busy}
		r := newRouter(direct, peers{"peer": store})
		r.Report("peer", true, true)
		for i := range failureLimit {
			assert.Assert(t, r.IsDirectUp())
			_, err := r.Commit(context.Background(), put(fmt.Sprint(i), uint64(i)))
			assert.NilError(t, err)
		}
		assert.Assert(t, !r.IsDirectUp())
		assert.Equal(t, r.UnreachableFor(), time.Duration(0))
		direct.how = nil
		_, err := r.Watch(context.Background(), "t", 0, time.Second)
		assert.NilError(t, err)
		assert.Assert(t, r.IsDirectUp())
	})
}

// With no path left the store counts as away until a call is answered.
func TestAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		direct := &refusing{Store: store, how: busy}
		r := newRouter(direct, peers{})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := r.Commit(ctx, put("1", 0))
		assert.Assert(t, err != nil)
		assert.Assert(t, r.UnreachableFor() >= time.Second)
		direct.how = nil
		_, err = r.Watch(context.Background(), "t", 0, 0)
		assert.NilError(t, err)
		assert.Equal(t, r.UnreachableFor(), time.Duration(0))
	})
}

// A transaction whose answer was lost is found done when it is tried again.
func TestLostAnswerIsSuccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		store.SetFaults(rows.Faults{LoseAnswers: 1})
		r := newRouter(store, peers{})
		go func() {
			time.Sleep(attemptTimeout / 2)
			store.SetFaults(rows.Faults{})
		}()
		version, err := r.Commit(context.Background(), put("1", 0))
		assert.NilError(t, err)
		assert.Equal(t, version, uint64(1))
	})
}

// Another writer's row is a conflict, not this call's success.
func TestOtherWritersRowIsConflict(t *testing.T) {
	store := rows.New()
	r := newRouter(store, peers{})
	_, err := r.Commit(context.Background(), put("theirs", 0))
	assert.NilError(t, err)
	_, err = r.Commit(context.Background(), put("ours", 0))
	var conflict *rowstore.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, string(conflict.Find(rowstore.Key{Table: "t", Key: "k"}).Value), "theirs")
}

// Peers that don't reach the store are not asked; a peer that failed rests.
func TestPathsPreferWorkingPeers(t *testing.T) {
	h := NewHealth(1)
	h.RecordPeerReport(1, "far", false, true)
	h.RecordPeerReport(1, "near", true, true)
	h.RecordPeerReport(1, "deaf", true, false)
	assert.DeepEqual(t, h.Paths(1, false), []Path{{}, {"near"}, {"far"}})
	h.RecordFailure(1, Path{})
	assert.DeepEqual(t, h.Paths(1, false), []Path{{}, {"near"}, {"far"}})
	h.RecordFailure(1, Path{})
	assert.DeepEqual(t, h.Paths(1, false), []Path{{"near"}, {"far"}, {}})
	h.RecordFailure(2, Path{"near"})
	assert.DeepEqual(t, h.Paths(2, false), []Path{{"far"}, {}})
	assert.DeepEqual(t, h.Paths(2, true), []Path{{}, {"far"}})
	late := structs.Instant(2 * reportTTL)
	assert.DeepEqual(t, h.Paths(late, false), []Path{{}})
	assert.Assert(t, h.UnreachableFor(late) > 0)
}

// limited is a store at its rate: it takes one of three calls.
type limited struct {
	rowstore.Store
	calls atomic.Int64
}

func (s *limited) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	if s.calls.Add(1)%3 != 0 {
		return 0, &rowstore.BusyError{Cause: &rows.FaultError{Fault: "over its rate"}}
	}
	return s.Store.Commit(ctx, tx)
}

// A store at its rate gets no further calls through peers, and calls come back
// ever more slowly: a surge must not multiply itself.
func TestBusyStoreIsNotPressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &limited{Store: rows.New()}
		r := newRouter(store, peers{"peer": store})
		r.Report("peer", true, true)
		for i := range 30 {
			_, err := r.Commit(context.Background(), put(fmt.Sprint(i), uint64(i)))
			assert.NilError(t, err)
		}
		assert.Equal(t, store.calls.Load(), int64(90))
		assert.Assert(t, r.IsDirectUp())
	})
}

// A store that tells this VM again and again that it is busy turns it away.
func TestBusyForGoodIsAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		direct := &refusing{Store: store, how: func(context.Context) error {
			return &rowstore.BusyError{Cause: &rows.FaultError{Fault: "many"}}
		}}
		r := newRouter(direct, peers{"peer": store})
		r.Report("peer", true, true)
		start := time.Now()
		_, err := r.Commit(context.Background(), put("1", 0))
		assert.NilError(t, err)
		assert.Assert(t, time.Since(start) < time.Second)
		assert.Assert(t, direct.calls >= busyLimit)
		time.Sleep(attemptTimeout)
	})
}

// halfDown refuses the calls to one partition.
type halfDown struct {
	rowstore.Store
	refused atomic.Int64
}

func (s *halfDown) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	if tx.Expect[0].Partition == "down" {
		s.refused.Add(1)
		return 0, &rowstore.UnavailableError{Cause: &rows.FaultError{Fault: "partition away"}}
	}
	return s.Store.Commit(ctx, tx)
}

// Many calls to a partition that is away cost few calls of the store, and none
// of the others wait for them.
func TestPartitionThatIsAwayCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &halfDown{Store: rows.New()}
		r := newRouter(store, peers{"peer": store})
		r.Report("peer", true, true)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		in := func(partition string, n int) rowstore.Tx {
			key := rowstore.Key{Table: "t", Partition: partition, Key: fmt.Sprint(n)}
			return rowstore.Tx{Expect: []rowstore.Expectation{{Key: key}}, Put: []rowstore.Put{{Key: key}}}
		}
		for n := range 100 {
			go func() { _, _ = r.Commit(ctx, in("down", n)) }()
		}
		for n := range 400 {
			start := time.Now()
			_, err := r.Commit(ctx, in("up", n))
			assert.NilError(t, err)
			assert.Assert(t, time.Since(start) < 10*time.Millisecond)
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		assert.Assert(t, store.refused.Load() < 250, "%d calls", store.refused.Load())
	})
}
