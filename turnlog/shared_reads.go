package turnlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

const (
	// sharedReadTimeout bounds a read, the time in the queue included.
	sharedReadTimeout = 10 * time.Second
	// abandonTime is how long a read goes on that nobody waits for: callers that were refused
	// return within it.
	abandonTime = 3 * time.Second
	// maxSharedReads bounds the reads in progress and in the queue.
	maxSharedReads = 16384
	// maxActiveReads bounds the reads that are sent to the store at the same time.
	maxActiveReads = 64
	// minReadBurst is the number of reads that may follow one another without a pause, at least.
	minReadBurst = 32
)

// ReadQueueFullError reports that too many reads of turns wait for the store.
type ReadQueueFullError struct{ Reads int }

// Error includes the number of reads.
func (e *ReadQueueFullError) Error() string {
	return fmt.Sprintf("%d reads of turns wait for the store already", e.Reads)
}

// sharedReads reads from the store for all callers of a VM. Callers that need the same read share
// it, and it goes on when they give up. Reads start in the order of their arrival, at the VM's
// part of the store's rate.
type sharedReads struct {
	// rate returns the reads per second that this VM may make; 0 for no limit.
	rate    func() float64
	limiter *rate.Limiter
	active  chan struct{}

	mu    sync.Mutex
	reads map[string]*sharedRead
}

// sharedRead is one read. records and err are set when done is closed.
type sharedRead struct {
	done    chan struct{}
	records []*Record
	err     error
	cancel  context.CancelFunc
	waiting int // callers
	abandon *time.Timer
}

func newSharedReads(readsPerSecond func() float64) *sharedReads {
	return &sharedReads{
		rate: readsPerSecond, limiter: rate.NewLimiter(rate.Inf, minReadBurst),
		active: make(chan struct{}, maxActiveReads), reads: make(map[string]*sharedRead),
	}
}

// do returns the result of the read with this key, which it starts unless it is in progress.
func (s *sharedReads) do(ctx context.Context, key string, read func(context.Context) ([]*Record, error)) ([]*Record, error) {
	for {
		shared, err := s.join(ctx, key, read)
		if err != nil {
			return nil, err
		}
		err = s.await(ctx, shared)
		if errors.Is(err, context.Canceled) && ctx.Err() == nil {
			continue // abandoned by its other callers as this one joined
		}
		if err != nil {
			return nil, err
		}
		return shared.records, nil
	}
}

// await waits for a read's end or that of ctx.
func (s *sharedReads) await(ctx context.Context, shared *sharedRead) error {
	defer s.leave(shared)
	select {
	case <-shared.done:
		return shared.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *sharedReads) join(ctx context.Context, key string, read func(context.Context) ([]*Record, error)) (*sharedRead, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared := s.reads[key]
	if shared == nil {
		if len(s.reads) >= maxSharedReads {
			return nil, &ReadQueueFullError{Reads: len(s.reads)}
		}
		shared = &sharedRead{done: make(chan struct{})}
		s.reads[key] = shared
		var readCtx context.Context
		readCtx, shared.cancel = context.WithTimeout(context.WithoutCancel(ctx), sharedReadTimeout)
		go s.run(readCtx, key, shared, read)
	}
	shared.waiting++
	if shared.abandon != nil {
		shared.abandon.Stop()
		shared.abandon = nil
	}
	return shared, nil
}

// leave ends a caller's wait. A read that nobody waits for any more is canceled after abandonTime.
func (s *sharedReads) leave(shared *sharedRead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared.waiting--
	if shared.waiting == 0 && shared.abandon == nil {
		shared.abandon = time.AfterFunc(abandonTime, shared.cancel)
	}
}

func (s *sharedReads) run(ctx context.Context, key string, shared *sharedRead, read func(context.Context) ([]*Record, error)) {
	defer shared.cancel()
	records, err := s.readWhenActive(ctx, read)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reads, key)
	if shared.abandon != nil {
		shared.abandon.Stop()
	}
	shared.records, shared.err = records, err
	close(shared.done)
}

// readWhenActive reads once the number of active reads allows it.
func (s *sharedReads) readWhenActive(ctx context.Context, read func(context.Context) ([]*Record, error)) ([]*Record, error) {
	select {
	case s.active <- struct{}{}:
		defer func() { <-s.active }()
		return read(ctx)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// awaitRate waits until this VM may make one more reading call. It fails at once if that is not
// before the deadline of ctx.
func (s *sharedReads) awaitRate(ctx context.Context) error {
	limit := s.rate()
	if limit <= 0 {
		return nil
	}
	s.limiter.SetLimit(rate.Limit(limit))
	s.limiter.SetBurst(max(minReadBurst, int(limit)))
	if err := s.limiter.Wait(ctx); err != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return &ReadQueueFullError{Reads: s.pending()}
	}
	return nil
}

// pending returns the number of reads in progress and in the queue.
func (s *sharedReads) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reads)
}
