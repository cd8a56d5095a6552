package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// unblockAfter is how long a write to the caller may go on after its request
// has ended; the answer's last event takes part of it.
const unblockAfter = 250 * time.Millisecond

// unblock ends reads from and writes to the caller soon after ctx has ended, so
// that a stalled caller does not hold up the cancellation of its call. The
// returned function must be called before the handler returns.
func (x *exchange) unblock(ctx context.Context) (stop func()) {
	finished, ended := make(chan struct{}), make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(ended)
		control := http.NewResponseController(x.w)
		x.reading.expire(control)
		select {
		case <-finished:
		case <-time.After(unblockAfter):
			_ = control.SetWriteDeadline(time.Now())
		}
	})
	return func() {
		close(finished)
		if !cancel() {
			<-ended
		}
	}
}

// bodyRead guards the read deadline of a request's connection. Outside of the
// reading of a body none may be set: net/http reads ahead there, and takes a
// deadline that passes for the end of the connection's later requests too.
type bodyRead struct {
	mu       sync.Mutex
	running  bool
	expired  bool
	deadline time.Time
}

func (b *bodyRead) begin(control *http.ResponseController, timeout time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = true
	b.deadline = time.Now().Add(timeout)
	_ = control.SetReadDeadline(b.deadline)
}

// expire makes a body's reading fail now.
func (b *bodyRead) expire(control *http.ResponseController) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.running {
		return
	}
	b.expired = true
	_ = control.SetReadDeadline(time.Now())
}

// end clears the deadline and reports whether it was in force until now, so
// that the connection can serve further requests.
func (b *bodyRead) end(control *http.ResponseController) (inTime bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running = false
	if b.expired || time.Now().After(b.deadline) {
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	return true
}
