package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
)

// stoppingRetryAfter is the retry delay of a request that a stopping VM does not take; another
// VM may take it at once.
const stoppingRetryAfter = 20 * time.Millisecond

// stopping is the state of a planned stop.
type stopping struct {
	// by is when all requests must have been answered, takesUntil until when requests are
	// taken that may not end by then; 0 before the stop.
	by, takesUntil atomic.Int64
	// ctx ends at the first of them.
	ctx context.Context
	end context.CancelFunc
}

// StopBy makes the server answer all requests by a time, and say of those that are cut short
// whether they may have run. Until takesUntil, while the platform still sends callers to this
// VM, it takes requests that may be repeated even if they might not end in time.
func (s *Server) StopBy(takesUntil, by structs.Instant) {
	s.stopping.takesUntil.Store(int64(takesUntil))
	s.stopping.by.Store(int64(by))
	time.AfterFunc(by.Sub(structs.Now()), s.stopping.end)
}

// refuseUnfinishable refuses a request that might not end before this VM stops. It has not
// run, and its caller can send it to another VM.
func (x *exchange) refuseUnfinishable() *structs.Refusal {
	by := structs.Instant(x.server.stopping.by.Load())
	if by == 0 || x.deadline <= by {
		return nil
	}
	mayBeCut := x.route.Kind == routing.Safe && x.Arrived <= structs.Instant(x.server.stopping.takesUntil.Load())
	if mayBeCut {
		x.deadline = by
		return nil
	}
	return retryableRefusal(structs.RefusedNotReady, stoppingRetryAfter, "this VM stops before the request's deadline")
}

// untilStop returns a context that also ends when this VM has to have answered.
func (s *Server) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	release := context.AfterFunc(s.stopping.ctx, cancel)
	return ctx, func() {
		release()
		cancel()
	}
}
