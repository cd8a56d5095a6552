package storepath

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// attemptTimeout bounds the time until a path begins to answer a call. A store slowed 60
	// times answers a transaction within 0.6 s.
	attemptTimeout = 1500 * time.Millisecond
	// hedgeDelay is how long a call waits for an answer before it is sent over the next
	// path as well: ten times the usual latency from the other region.
	hedgeDelay = 300 * time.Millisecond
	// silenceTimeout is how long a path may take to begin an answer before it counts as failed;
	// its call continues. A store slowed 60 times takes 0.55 s.
	silenceTimeout = 800 * time.Millisecond
	// minSilence is the least time that a path must have had for a call that its caller ends
	// to count as a failure of the path. Calls of home VMs end after 0.7 s.
	minSilence = 600 * time.Millisecond
	// probeTimeout bounds a watch over the direct path while it is down, so that its
	// recovery is noticed soon.
	probeTimeout = 600 * time.Millisecond
	// minRetryPause is the first pause after all paths have failed, maxRetryPause the
	// longest. The pause doubles each time, with random jitter of half of it.
	minRetryPause = 60 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	// watchSlack is added to the wait of a Watch to get the time until its answer begins.
	watchSlack = 700 * time.Millisecond
)

// Relay performs calls through other VMs, which use their direct path only.
type Relay interface {
	// StoreVia returns the store as reached through a VM.
	StoreVia(vm structs.VMID) rowstore.Store
}

// Router is a rowstore.Store that picks a path for each call and tries further paths
// until the call's context ends.
type Router struct {
	direct rowstore.Store
	relay  Relay
	log    *slog.Logger

	mu       sync.Mutex
	health   *Health
	breakers *Breakers
}

// NewRouter returns a router without peers.
func NewRouter(direct rowstore.Store, relay Relay, log *slog.Logger) *Router {
	return &Router{direct: direct, relay: relay, log: log, health: NewHealth(structs.Now()), breakers: NewBreakers()}
}

// Report records a peer's report on its own direct path.
func (r *Router) Report(vm structs.VMID, inSameRegion, isUp bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.RecordPeerReport(structs.Now(), vm, inSameRegion, isUp)
}

// ReportRegion records a peer's region.
func (r *Router) ReportRegion(vm structs.VMID, region string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.RecordPeerRegion(vm, region)
}

// UnreachableWithin is like UnreachableFor for calls that may be relayed only through VMs of
// this region and of the given regions; nil allows all.
func (r *Router) UnreachableWithin(regions []string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.UnreachableWithin(structs.Now(), regions)
}

// Forget removes a VM that has left.
func (r *Router) Forget(vm structs.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.RemovePeer(vm)
}

// IsDirectUp reports whether the direct path is up.
func (r *Router) IsDirectUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.IsDirectUp()
}

// LastFailure returns the time of the last failed call over any path, 0 for never.
func (r *Router) LastFailure() structs.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.LastFailure()
}

// LastOutage returns the last instant at which the store was away, whatever the path, 0
// for never.
func (r *Router) LastOutage() structs.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.LastOutage(structs.Now())
}

// UnreachableFor returns the time since the last answer if no path is usable, otherwise
// 0.
func (r *Router) UnreachableFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.UnreachableFor(structs.Now())
}

// Commit implements rowstore.Store. If an earlier attempt without an answer has already
// applied the transaction, the call succeeds.
func (r *Router) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	return callWithRetry(ctx, r, partitionOf(tx), func(ctx context.Context, s rowstore.Store) (uint64, error) {
		version, err := s.Commit(ctx, tx)
		var conflict *rowstore.ConflictError
		if errors.As(err, &conflict) {
			if applied, ok := appliedVersion(tx, conflict); ok {
				return applied, nil
			}
		}
		return version, err
	})
}

// partitionOf returns the partition of a transaction's rows.
func partitionOf(tx rowstore.Tx) string {
	if len(tx.Expect) == 0 {
		return ""
	}
	return tx.Expect[0].Partition
}

// appliedVersion reports whether the current rows have exactly the values that the
// transaction puts, and returns their highest version.
func appliedVersion(tx rowstore.Tx, conflict *rowstore.ConflictError) (uint64, bool) {
	var version uint64
	for _, put := range tx.Put {
		row := conflict.Find(put.Key)
		if row.Version == 0 || !bytes.Equal(row.Value, put.Value) {
			return 0, false
		}
		version = max(version, row.Version)
	}
	return version, len(tx.Put) > 0
}

// Scan implements rowstore.Store.
func (r *Router) Scan(ctx context.Context, keyRange rowstore.Range) (rowstore.Page, error) {
	return callWithRetry(ctx, r, keyRange.Partition, func(ctx context.Context, s rowstore.Store) (rowstore.Page, error) {
		return s.Scan(ctx, keyRange)
	})
}

// Watch implements rowstore.Store. It does not retry. It tries the direct path first,
// which probes that path, and the paths through peers if that fails.
func (r *Router) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	page, err := r.watchDirect(ctx, table, after, wait)
	if err == nil || isAnswer(err) {
		return page, err
	}
	peers := r.peerPaths()
	if len(peers) == 0 {
		return page, err
	}
	result, _ := tryPaths(ctx, r, peers, func(ctx context.Context, s rowstore.Store) (rowstore.Page, error) {
		return s.Watch(ctx, table, after, 0)
	})
	return result.value, result.err
}

// watchDirect watches over the direct path, only briefly while that is down.
func (r *Router) watchDirect(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	timeout := wait + watchSlack
	if !r.IsDirectUp() {
		wait, timeout = 0, probeTimeout
	}
	a := beginAttempt(ctx, Path{}, timeout)
	page, err := r.direct.Watch(a.ctx, table, after, wait)
	err = a.end(err)
	r.recordResult(Path{}, err)
	return page, err
}

func (r *Router) storeFor(p Path) rowstore.Store {
	if p.IsDirect() {
		return r.direct
	}
	return r.relay.StoreVia(p.VM)
}

// paths returns the paths that a call may take: see rowstore.WithRelayRegions.
func (r *Router) paths(ctx context.Context) []Path {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.PathsWithin(structs.Now(), rowstore.RelayRegions(ctx))
}

func (r *Router) peerPaths() []Path {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.PeerPaths(structs.Now())
}

// isAnswer reports whether an error is the store's own answer to the call.
func isAnswer(err error) bool {
	var (
		conflict *rowstore.ConflictError
		gone     *rowstore.HistoryGoneError
		rejected *rowstore.RejectedError
	)
	return errors.As(err, &conflict) || errors.As(err, &gone) || errors.As(err, &rejected)
}

func isBusy(err error) bool {
	var busy *rowstore.BusyError
	return errors.As(err, &busy)
}

// recordResult records the result of a call over a path, and logs when the direct path
// is lost or regained.
func (r *Router) recordResult(p Path, err error) {
	if errors.Is(err, context.Canceled) {
		return // canceled by the caller, not a failure of the path
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	wasUp := r.health.IsDirectUp()
	switch {
	case err == nil || isAnswer(err):
		r.health.RecordAnswer(structs.Now(), p)
	case isBusy(err):
		r.health.RecordBusy(structs.Now(), p)
	default:
		r.health.RecordFailure(structs.Now(), p)
	}
	switch isUp := r.health.IsDirectUp(); {
	case wasUp && !isUp:
		r.log.Warn("lost the direct path to the store", "cause", err.Error())
	case !wasUp && isUp:
		r.log.Info("regained the direct path to the store")
	}
}

// NoAnswerError reports that a path has not answered yet.
type NoAnswerError struct{ Waited time.Duration }

// Error includes the time waited.
func (e *NoAnswerError) Error() string { return "no answer for " + e.Waited.String() }

// callResult is the result of one attempt.
type callResult[T any] struct {
	value T
	err   error
}

// callWithRetry tries the paths, round by round with pauses in between, until one serves
// the call, the store itself answers with an error, or ctx ends.
func callWithRetry[T any](ctx context.Context, r *Router, partition string, call func(context.Context, rowstore.Store) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var zero T
	for pause := minRetryPause; ; pause = min(2*pause, maxRetryPause) {
		if err := r.waitForBreaker(ctx, partition); err != nil {
			return zero, err
		}
		result, done := tryPaths(ctx, r, r.paths(ctx), call)
		r.recordPartitionResult(partition, result.err)
		if done || ctx.Err() != nil {
			return result.value, result.err
		}
		timer := time.NewTimer(pause/2 + rand.N(pause))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return zero, &rowstore.OutcomeUnknownError{Cause: result.err}
		}
	}
}

// waitForBreaker waits until the partition's breaker admits the call.
func (r *Router) waitForBreaker(ctx context.Context, partition string) error {
	for {
		r.mu.Lock()
		wait := r.breakers.Admit(structs.Now(), partition)
		r.mu.Unlock()
		if wait == 0 {
			return nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return &rowstore.UnavailableError{Cause: ctx.Err()}
		}
	}
}

// recordPartitionResult records in the partition's breaker whether the partition served
// or refused a call.
func (r *Router) recordPartitionResult(partition string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unavailable *rowstore.UnavailableError
	switch {
	case err == nil || isAnswer(err):
		r.breakers.RecordServed(partition)
	case isBusy(err) || errors.As(err, &unavailable):
		r.breakers.RecordRefused(structs.Now(), partition)
	}
}

// canTryNextPath reports whether a call that failed with err may be tried over another
// path. A busy store must not get more calls. If the store serves other calls over the
// direct path, it refused this call for a reason of its own, not because of the path.
func (r *Router) canTryNextPath(err error) bool {
	if isBusy(err) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var unavailable *rowstore.UnavailableError
	return !errors.As(err, &unavailable) || !r.health.HasRecentDirectAnswer(structs.Now())
}

// tryPaths tries paths once, best first. The next path is tried when one fails, or
// in parallel when no answer has begun within hedgeDelay. It returns true when the result
// is final: a success, an error of the store itself or the end of ctx.
func tryPaths[T any](ctx context.Context, r *Router, paths []Path, call func(context.Context, rowstore.Store) (T, error)) (callResult[T], bool) {
	results := make(chan callResult[T], len(paths))
	started, finished := 0, 0
	var attempts []*attempt
	start := func() {
		p := paths[started]
		started++
		a := beginAttempt(ctx, p, attemptTimeout)
		attempts = append(attempts, a)
		go func() {
			start := time.Now()
			silenceTimer := time.AfterFunc(silenceTimeout, func() {
				if !a.hasProgress() {
					r.recordResult(p, &NoAnswerError{Waited: silenceTimeout})
				}
			})
			value, err := call(a.ctx, r.storeFor(p))
			err = a.end(err)
			silenceTimer.Stop()
			hasReplied := err == nil || isAnswer(err) || isBusy(err)
			if hasReplied || ctx.Err() == nil || time.Since(start) >= minSilence {
				r.recordResult(p, err)
			}
			results <- callResult[T]{value, err}
		}()
	}
	start()
	hedgeTimer := time.NewTimer(hedgeDelay)
	defer hedgeTimer.Stop()
	last := callResult[T]{err: &rowstore.UnavailableError{Cause: context.DeadlineExceeded}}
	for {
		select {
		case last = <-results:
			finished++
			if last.err == nil || isAnswer(last.err) {
				return last, true
			}
			if started < len(paths) && r.canTryNextPath(last.err) {
				start()
			} else if finished == started {
				return last, false
			}
		case <-hedgeTimer.C:
			if started < len(paths) && !slices.ContainsFunc(attempts, (*attempt).hasProgress) {
				start()
			}
		case <-ctx.Done():
			last.err = &rowstore.OutcomeUnknownError{Cause: ctx.Err()}
			return last, true
		}
	}
}
