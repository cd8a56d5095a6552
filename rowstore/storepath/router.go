package storepath

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// attemptTimeout bounds one call over one path. A store slowed 60 times
	// answers a transaction within 0.6 s.
	attemptTimeout = 1500 * time.Millisecond
	// hedgeDelay is when a second path is tried beside a silent one; ten
	// times the usual answer from the far region.
	hedgeDelay = 300 * time.Millisecond
	// silenceLimit is when a path without an answer counts as failed, while
	// its call goes on. A store slowed 60 times takes 0.55 s.
	silenceLimit = 800 * time.Millisecond
	// probeTimeout bounds a watch over a path that has failed, so that its
	// return is noticed soon.
	probeTimeout = 600 * time.Millisecond
	// roundPause is the first pause after all paths failed, maxPause the
	// longest; each is twice the one before, and varied by half.
	roundPause = 60 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	// watchSlack is added to the wait of a Watch before it counts as silent.
	watchSlack = 700 * time.Millisecond
)

// Relay performs calls on another VM, over that VM's direct path only.
type Relay interface {
	// StoreVia returns the store as the VM reaches it.
	StoreVia(vm structs.VMID) rowstore.Store
}

// Router is a rowstore.Store that picks a path for each call and tries further
// ones until the call's context ends.
type Router struct {
	direct rowstore.Store
	relay  Relay
	log    *slog.Logger

	mu     sync.Mutex
	health *Health
	gates  *Breakers
}

// NewRouter makes a router.
func NewRouter(direct rowstore.Store, relay Relay, log *slog.Logger) *Router {
	return &Router{direct: direct, relay: relay, log: log, health: NewHealth(structs.Now()), gates: NewBreakers()}
}

// Report records a peer's word on its direct path.
func (r *Router) Report(vm structs.VMID, near, works bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.RecordPeerReport(structs.Now(), vm, near, works)
}

// Forget drops a VM that has left.
func (r *Router) Forget(vm structs.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.health.RemovePeer(vm)
}

// IsDirectUp reports whether direct calls are served.
func (r *Router) IsDirectUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.IsDirectUp()
}

// LastFailure returns when a call last went unserved on any path, 0 for never.
func (r *Router) LastFailure() structs.Instant {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.LastFailure()
}

// UnreachableFor returns for how long no path has worked, 0 while one does.
func (r *Router) UnreachableFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.UnreachableFor(structs.Now())
}

// Commit implements rowstore.Store. A transaction that an unanswered attempt
// has applied already counts as this call's success.
func (r *Router) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	return run(ctx, r, partitionOf(tx), func(ctx context.Context, s rowstore.Store) (uint64, error) {
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

func partitionOf(tx rowstore.Tx) string {
	if len(tx.Expect) == 0 {
		return ""
	}
	return tx.Expect[0].Partition
}

// appliedVersion tells whether the rows are just what the transaction puts.
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
func (r *Router) Scan(ctx context.Context, rng rowstore.Range) (rowstore.Page, error) {
	return run(ctx, r, rng.Partition, func(ctx context.Context, s rowstore.Store) (rowstore.Page, error) {
		return s.Scan(ctx, rng)
	})
}

// Watch implements rowstore.Store. It makes a single attempt and prefers the
// direct path, and so probes it.
func (r *Router) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	paths := r.paths(true)
	timeout := wait + watchSlack
	if !r.IsDirectUp() {
		wait, timeout = 0, probeTimeout
	}
	probe, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	page, err := r.watchOver(probe, paths[0], table, after, wait)
	if err == nil || answered(err) || len(paths) == 1 {
		return page, err
	}
	detour, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return r.watchOver(detour, paths[1], table, after, 0)
}

func (r *Router) watchOver(ctx context.Context, p Path, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	page, err := r.store(p).Watch(ctx, table, after, wait)
	r.note(p, err)
	return page, err
}

func (r *Router) store(p Path) rowstore.Store {
	if p.IsDirect() {
		return r.direct
	}
	return r.relay.StoreVia(p.VM)
}

func (r *Router) paths(probe bool) []Path {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.health.Paths(structs.Now(), probe)
}

// answered reports whether an error is the store's own answer to the call.
func answered(err error) bool {
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

// note records how a path served a call, and logs lost and regained paths.
func (r *Router) note(p Path, err error) {
	if errors.Is(err, context.Canceled) {
		return // the caller's wish, not the path's failure
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	worked := r.health.IsDirectUp()
	switch {
	case err == nil || answered(err):
		r.health.RecordAnswer(structs.Now(), p)
	case isBusy(err):
		r.health.RecordBusy(structs.Now(), p)
	default:
		r.health.RecordFailure(structs.Now(), p)
	}
	switch works := r.health.IsDirectUp(); {
	case worked && !works:
		r.log.Warn("lost the direct path to the store", "cause", err.Error())
	case !worked && works:
		r.log.Info("regained the direct path to the store")
	}
}

// NoAnswerError says that a path has not answered yet.
type NoAnswerError struct{ Waited time.Duration }

// Error gives the time waited.
func (e *NoAnswerError) Error() string { return "no answer for " + e.Waited.String() }

type outcome[T any] struct {
	value T
	err   error
}

// run tries the paths in turn and, beside a silent one, the next, until one
// serves the call, the store itself answers with an error, or ctx ends.
func run[T any](ctx context.Context, r *Router, partition string, call func(context.Context, rowstore.Store) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var zero T
	for pause := roundPause; ; pause = min(2*pause, maxPause) {
		if err := r.pass(ctx, partition); err != nil {
			return zero, err
		}
		result, done := round(ctx, r, call)
		r.noteGate(partition, result.err)
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

// pass waits until the partition's gate lets the call go.
func (r *Router) pass(ctx context.Context, partition string) error {
	for {
		r.mu.Lock()
		wait := r.gates.Admit(structs.Now(), partition)
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

func (r *Router) noteGate(partition string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var refused *rowstore.UnavailableError
	switch {
	case err == nil || answered(err):
		r.gates.RecordServed(partition)
	case isBusy(err) || errors.As(err, &refused):
		r.gates.RecordRefused(structs.Now(), partition)
	}
}

// mayDetour reports whether a call that failed so may be tried over another
// path. A busy store must not get more calls, and one that serves others by the
// same path has refused this one for itself.
func (r *Router) mayDetour(err error) bool {
	if isBusy(err) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var refused *rowstore.UnavailableError
	return !errors.As(err, &refused) || !r.health.HasRecentDirectAnswer(structs.Now())
}

func round[T any](ctx context.Context, r *Router, call func(context.Context, rowstore.Store) (T, error)) (outcome[T], bool) {
	paths := r.paths(false)
	results := make(chan outcome[T], len(paths))
	started, finished := 0, 0
	start := func() {
		p := paths[started]
		started++
		go func() {
			attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			silence := time.AfterFunc(silenceLimit, func() { r.note(p, &NoAnswerError{Waited: silenceLimit}) })
			value, err := call(attempt, r.store(p))
			silence.Stop()
			r.note(p, err)
			results <- outcome[T]{value, err}
		}()
	}
	start()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	last := outcome[T]{err: &rowstore.UnavailableError{Cause: context.DeadlineExceeded}}
	for {
		select {
		case last = <-results:
			finished++
			if last.err == nil || answered(last.err) {
				return last, true
			}
			if started < len(paths) && r.mayDetour(last.err) {
				start()
			} else if finished == started {
				return last, false
			}
		case <-hedge.C:
			if started < len(paths) {
				start()
			}
		case <-ctx.Done():
			last.err = &rowstore.OutcomeUnknownError{Cause: ctx.Err()}
			return last, true
		}
	}
}
