// Package connend tells the end of a connection from a failure of the connection.
package connend

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection whose Read returns io.EOF only if the peer has ended its side.
//
// The kernel reports a failure of a connection, such as a reset, once: to Read or to Write,
// whichever comes first. If Write is told, Read returns io.EOF from then on, as it does after an
// end that the peer has sent. So Read looks at what Write was told before it believes an end.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	writing  int
	written  sync.Cond // signalled when a Write returns
	writeErr error     // of the first Write that failed
	readErr  error     // of the first Read that failed for good
}

// New returns nc with ends that can be believed.
func New(nc net.Conn) *Conn {
	c := &Conn{Conn: nc}
	c.written.L = &c.mu
	return c
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// LostError reports that a connection failed and did not end. Cause is the error that Write
// returned.
type LostError struct{ Cause error }

// Error names the cause.
func (e *LostError) Error() string {
	return "connection failed while the request was written: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	c.written.Broadcast()
	return n, err
}

// Read implements net.Conn. Its error is a *LostError if the connection failed and Write was told
// of that. Each Read after a failure returns it again.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if cause := c.awaitWriteError(); isFailure(cause) {
			err = &LostError{Cause: cause}
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.readErr = err
	}
	return n, err
}

func (c *Conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readErr
}

// awaitWriteError returns the error of the first Write that failed. A Write in progress is ended:
// the connection is over for the reader, and the peer may never read the rest.
func (c *Conn) awaitWriteError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 {
		err := c.Conn.SetWriteDeadline(time.Unix(0, 1))
		if err != nil && !errors.Is(err, net.ErrClosed) { // a Write to a closed connection returns too
			return err
		}
	}
	for c.writing > 0 {
		c.written.Wait()
	}
	return c.writeErr
}

// isFailure reports whether Write's error is a failure of the connection of which Read was not
// told. EPIPE comes after an end that the peer has sent, a reset before one gives ECONNRESET.
// The other two are made by this process.
func isFailure(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) &&
		!errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
