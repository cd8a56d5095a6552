package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// finalWritePeriod is how long writes to the caller may continue after the request has
// ended, so that the last event of the response can be sent.
const finalWritePeriod = 250 * time.Millisecond

// unblockOnDone makes reads from the caller fail as soon as ctx is done, and writes to it
// soon after, so that a stalled caller doesn't delay the cancellation of its call. The
// returned function must be called before the handler returns.
func (x *exchange) unblockOnDone(ctx context.Context) (stop func()) {
	handlerDone, callbackDone := make(chan struct{}), make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(callbackDone)
		control := http.NewResponseController(x.w)
		x.readDeadline.expire(control)
		select {
		case <-handlerDone:
		case <-time.After(finalWritePeriod):
			_ = control.SetWriteDeadline(time.Now())
		}
	})
	return func() {
		close(handlerDone)
		if !cancel() {
			<-callbackDone
		}
	}
}

// bodyReadDeadline manages the read deadline of a request's connection. A deadline may
// only be set while the body is read: outside of that net/http reads ahead, and an
// expired deadline would end later requests on the connection too.
type bodyReadDeadline struct {
	mu        sync.Mutex
	isReading bool
	isExpired bool
	deadline  time.Time
}

// begin sets the deadline for reading a body.
func (b *bodyReadDeadline) begin(control *http.ResponseController, timeout time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isReading = true
	b.deadline = time.Now().Add(timeout)
	_ = control.SetReadDeadline(b.deadline)
}

// expire makes a running read of the body fail immediately.
func (b *bodyReadDeadline) expire(control *http.ResponseController) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isReading {
		return
	}
	b.isExpired = true
	_ = control.SetReadDeadline(time.Now())
}

// end clears the deadline. It returns false if the deadline has expired, in which case
// the connection can't serve further requests.
func (b *bodyReadDeadline) end(control *http.ResponseController) (inTime bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isReading = false
	if b.isExpired || time.Now().After(b.deadline) {
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	return true
}
