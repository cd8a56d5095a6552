package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// finalWritePeriod is how long a write to the caller may go on after its request
// has ended; the answer's last event takes part of it.
const finalWritePeriod = 250 * time.Millisecond

// unblockOnDone ends reads from and writes to the caller soon after ctx has ended, so
// that a stalled caller does not hold up the cancellation of its call. The
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

// bodyReadDeadline guards the read deadline of a request's connection. Outside of the
// reading of a body none may be set: net/http reads ahead there, and takes a
// deadline that passes for the end of the connection's later requests too.
type bodyReadDeadline struct {
	mu        sync.Mutex
	isReading bool
	isExpired bool
	deadline  time.Time
}

func (b *bodyReadDeadline) begin(control *http.ResponseController, timeout time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isReading = true
	b.deadline = time.Now().Add(timeout)
	_ = control.SetReadDeadline(b.deadline)
}

// expire makes a body's reading fail now.
func (b *bodyReadDeadline) expire(control *http.ResponseController) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isReading {
		return
	}
	b.isExpired = true
	_ = control.SetReadDeadline(time.Now())
}

// end clears the deadline and reports whether it was in force until now, so
// that the connection can serve further requests.
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
