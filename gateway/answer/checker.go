// Package answer checks that the events of a call's response belong to the request, are
// contiguous and form the complete response, also when the response is received again
// from its beginning after a lost connection.
//
// A Checker is a deterministic state machine: it has no clock, goroutine or I/O.
package answer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

// MismatchError reports an event that doesn't continue the response.
type MismatchError struct {
	Field     string
	Want, Got string
}

// Error names the field and both values.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer event: %s is %s, not %s", e.Field, e.Got, e.Want)
}

// Checker checks the response to one request over any number of attempts.
type Checker struct {
	request structs.RequestID
	// number and status are those of the first EventStarted.
	number    uint64
	status    int
	hasNumber bool
	// delivered counts, and deliveredHash hashes, the bytes that CheckEvent has returned.
	delivered     int64
	deliveredHash *xxhash.Digest
	// State of the current attempt.
	isStarted   bool
	isDone      bool
	offset      int64
	attemptHash *xxhash.Digest
}

// NewChecker returns a checker for the response to a request.
func NewChecker(request structs.RequestID) *Checker {
	return &Checker{request: request, deliveredHash: xxhash.New(), attemptHash: xxhash.New()}
}

// Restart starts a new attempt, which receives the response from its first byte.
func (c *Checker) Restart() {
	c.isStarted = false
	c.offset = 0
	c.attemptHash.Reset()
}

// Number returns the call's number, or 0 before the first EventStarted.
func (c *Checker) Number() uint64 { return c.number }

// Delivered returns the number of bytes that CheckEvent has returned.
func (c *Checker) Delivered() int64 { return c.delivered }

// CheckEvent checks the next event of the attempt and returns the bytes that were not
// returned before. Its error is a *MismatchError.
func (c *Checker) CheckEvent(ev *structs.CallEvent) ([]byte, error) {
	if ev.Request != c.request {
		return nil, mismatch("request", c.request, ev.Request)
	}
	if c.isDone {
		return nil, mismatch("kind", "none after the end", ev.Kind)
	}
	switch ev.Kind {
	case structs.EventStarted:
		return nil, c.start(ev)
	case structs.EventData:
		return c.data(ev)
	case structs.EventDone:
		return nil, c.finish(ev)
	case structs.EventRefused:
		if ev.Refusal == nil {
			return nil, mismatch("refusal", "set", "missing")
		}
		return nil, nil
	}
	return nil, mismatch("kind", "known", ev.Kind)
}

func (c *Checker) start(ev *structs.CallEvent) error {
	if c.isStarted {
		return mismatch("kind", "one start", "a second start")
	}
	c.isStarted = true
	if !c.hasNumber {
		c.hasNumber, c.number, c.status = true, ev.Number, ev.Status
		return nil
	}
	if ev.Number != c.number {
		return mismatch("number", c.number, ev.Number)
	}
	if ev.Status != c.status {
		return mismatch("status", c.status, ev.Status)
	}
	return nil
}

func (c *Checker) data(ev *structs.CallEvent) ([]byte, error) {
	if !c.isStarted {
		return nil, mismatch("kind", "start", "data")
	}
	if ev.Offset != c.offset {
		return nil, mismatch("offset", c.offset, ev.Offset)
	}
	knownLen := min(int64(len(ev.Data)), max(0, c.delivered-c.offset))
	c.add(ev.Data[:knownLen])
	if knownLen > 0 && c.offset == c.delivered && c.attemptHash.Sum64() != c.deliveredHash.Sum64() {
		return nil, mismatch("digest", c.deliveredHash.Sum64(), c.attemptHash.Sum64())
	}
	fresh := ev.Data[knownLen:]
	c.add(fresh)
	_, _ = c.deliveredHash.Write(fresh)
	c.delivered += int64(len(fresh))
	return fresh, nil
}

// add counts and hashes bytes of the attempt. Digest.Write never returns an error.
func (c *Checker) add(data []byte) {
	_, _ = c.attemptHash.Write(data)
	c.offset += int64(len(data))
}

func (c *Checker) finish(ev *structs.CallEvent) error {
	if !c.isStarted {
		return mismatch("kind", "start", "done")
	}
	if ev.Length != c.offset || ev.Length != c.delivered {
		return mismatch("length", c.delivered, ev.Length)
	}
	if ev.Digest != c.attemptHash.Sum64() || ev.Digest != c.deliveredHash.Sum64() {
		return mismatch("digest", c.deliveredHash.Sum64(), ev.Digest)
	}
	c.isDone = true
	return nil
}

func mismatch(field string, want, got any) error {
	return &MismatchError{Field: field, Want: fmt.Sprint(want), Got: fmt.Sprint(got)}
}
