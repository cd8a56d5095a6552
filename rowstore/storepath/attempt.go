package storepath

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/rowstore"
)

const (
	// stallTimeout is how long a reply that has begun may go without a further byte. The time
	// that a whole reply takes depends on its size and on what shares the link, so that a limit
	// on it would discard large replies and read them again, on the link that is full already.
	stallTimeout = attemptTimeout
	// maxReplyTime bounds a reply that trickles in.
	maxReplyTime = 10 * time.Second
)

// attempt is one call over one path. Its context ends when no byte of the reply has arrived
// for some time.
type attempt struct {
	ctx    context.Context
	cancel context.CancelCauseFunc

	release context.CancelFunc // of the deadline

	mu     sync.Mutex
	timer  *time.Timer
	start  time.Time
	waited time.Duration // time without a byte after which the attempt ends
	bytes  int
}

// beginAttempt begins a call over a path whose first byte may take the given time. The caller
// calls end. A reply through another VM arrives at once or not at all, and that VM gives up
// at the deadline.
func beginAttempt(ctx context.Context, p Path, firstByte time.Duration) *attempt {
	a := &attempt{start: time.Now(), waited: firstByte}
	total := firstByte
	if p.IsDirect() {
		total += maxReplyTime
	}
	ctx, a.release = context.WithTimeout(ctx, total)
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.ctx = rowstore.WithProgress(a.ctx, a.recordProgress)
	a.timer = time.AfterFunc(firstByte, a.stall)
	return a
}

func (a *attempt) recordProgress(bytes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes += bytes
	a.waited = stallTimeout
	a.timer.Reset(stallTimeout)
}

func (a *attempt) stall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel(&StalledError{Waited: a.waited, After: time.Since(a.start), Bytes: a.bytes})
}

// hasProgress reports whether a part of the reply has arrived.
func (a *attempt) hasProgress() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes > 0
}

// end releases the attempt's timers and returns the error of its call.
func (a *attempt) end(err error) error {
	a.timer.Stop()
	var stalled *StalledError
	isStalled := errors.As(context.Cause(a.ctx), &stalled)
	a.cancel(nil)
	a.release()
	if err == nil || isAnswer(err) || !isStalled {
		return err
	}
	var unavailable *rowstore.UnavailableError
	if errors.As(err, &unavailable) {
		return &rowstore.UnavailableError{Cause: stalled}
	}
	return &rowstore.OutcomeUnknownError{Cause: stalled}
}

// StalledError reports that a reply did not begin, or not continue, in time.
type StalledError struct {
	Waited time.Duration // for the next byte
	After  time.Duration // since the call began
	Bytes  int           // of the reply that had arrived
}

// Error says how far the reply had come.
func (e *StalledError) Error() string {
	return fmt.Sprintf("no byte for %s, %d bytes arrived in %s", e.Waited, e.Bytes, e.After.Round(time.Millisecond))
}
