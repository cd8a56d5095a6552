package edge

import (
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/connlimit"
	"github.com/endivecourse/endivecourse/hop"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// responseDivisor and requestDivisor set the bytes of bodies that a VM keeps at a time:
	// its memory divided by them. A response of unknown length is copied while it grows, and
	// the garbage collector frees the copies later.
	responseDivisor = 10
	requestDivisor  = 5
	// keptBytes is how much of a response is kept even if no more is free: most responses
	// are shorter.
	keptBytes = 64 << 10
	// firstReadBytes is the first capacity for a response of unknown length.
	firstReadBytes = 4 << 10
)

// NoMemoryError reports that the memory for bodies is in use.
type NoMemoryError struct{ Bytes int }

// Error names the bytes that were asked for.
func (e *NoMemoryError) Error() string {
	return fmt.Sprintf("no memory for %d more bytes of a body", e.Bytes)
}

// bodyBuffer keeps the start of a response's body within the VM's memory budget.
type bodyBuffer struct {
	budget *connlimit.Budget
	data   []byte
	taken  int
}

// newBodyBuffer returns a buffer for a body of the given length, negative if unknown.
func newBodyBuffer(budget *connlimit.Budget, length int64) *bodyBuffer {
	b := &bodyBuffer{budget: budget}
	capacity := firstReadBytes
	if length >= 0 && length <= keptBytes {
		capacity = int(length) + 1 // one more byte finds the end without growth
	}
	b.data = make([]byte, 0, capacity)
	return b
}

// grow makes room for more bytes. Its error is a *NoMemoryError.
func (b *bodyBuffer) grow() error {
	capacity := 2 * cap(b.data)
	if capacity > keptBytes {
		if !b.budget.Take(capacity - b.taken) {
			return &NoMemoryError{Bytes: capacity - b.taken}
		}
		b.taken = capacity
	}
	grown := make([]byte, len(b.data), capacity)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// readFrom reads until the end of the body. Its error is a *NoMemoryError if the body does
// not fit, or that of the body.
func (b *bodyBuffer) readFrom(body io.Reader) error {
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// release ends the use of the buffer.
func (b *bodyBuffer) release() {
	b.budget.Give(b.taken)
	b.taken, b.data = 0, nil
}

// checkLength returns an error if a response states a length that is over the limit.
func checkLength(resp *http.Response) error {
	if resp.Request != nil && resp.Request.Method == http.MethodHead {
		return nil
	}
	if resp.ContentLength > hop.MaxResponseBytes {
		return &hop.ResponseTooLargeError{Part: "response", Max: hop.MaxResponseBytes}
	}
	return nil
}

// isNoMemory reports whether a body did not fit the memory.
func isNoMemory(err error) bool {
	var noMemory *NoMemoryError
	return errors.As(err, &noMemory)
}

// smallBodyBytes is the size up to which a request's body may take all of the memory for them.
const smallBodyBytes = 80 << 10

// ReserveRequestBody reserves memory for more bytes of a request's body, of which kept bytes are
// reserved already, before they are read. The refusal says that the request has not run.
func (s *Server) ReserveRequestBody(bytes, kept int) *structs.Refusal {
	take := s.requestBodies.TakeLarge
	if kept+bytes <= smallBodyBytes {
		take = s.requestBodies.Take
	}
	if take(bytes) {
		return nil
	}
	return retryableRefusal(structs.RefusedQueueFull, noFreeSlotRetryAfter, (&NoMemoryError{Bytes: bytes}).Error())
}

// ReleaseRequestBody ends a reservation.
func (s *Server) ReleaseRequestBody(bytes int) { s.requestBodies.Give(bytes) }
