// Package answer checks that the events of a call's answer belong to the
// request, are contiguous and add up to the whole answer, also when the answer
// is received again from its beginning after a cut.
//
// A Checker is a state machine without clock, goroutine or I/O.
package answer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

// MismatchError says that an event does not continue the answer.
type MismatchError struct {
	Field     string
	Want, Got string
}

// Error names the field and both values.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("answer event: %s is %s, not %s", e.Field, e.Got, e.Want)
}

// Checker follows the answer to one request over any number of attempts.
type Checker struct {
	request structs.RequestID
	// number and status are those of the first EventStarted.
	number uint64
	status int
	seen   bool
	// delivered counts and hashes the bytes that Take has returned.
	delivered int64
	sent      *xxhash.Digest
	// The attempt at hand.
	started bool
	done    bool
	offset  int64
	hash    *xxhash.Digest
}

// NewChecker makes a checker for the answer to a request.
func NewChecker(request structs.RequestID) *Checker {
	return &Checker{request: request, sent: xxhash.New(), hash: xxhash.New()}
}

// Restart begins an attempt that receives the answer from its first byte.
func (c *Checker) Restart() {
	c.started = false
	c.offset = 0
	c.hash.Reset()
}

// Number returns the call's number, or 0 before the first EventStarted.
func (c *Checker) Number() uint64 { return c.number }

// Delivered returns how many bytes Take has returned.
func (c *Checker) Delivered() int64 { return c.delivered }

// CheckEvent checks the next event of the attempt and returns those of its bytes
// that were not returned before. Its error is a *MismatchError.
func (c *Checker) CheckEvent(ev *structs.CallEvent) ([]byte, error) {
	if ev.Request != c.request {
		return nil, mismatch("request", c.request, ev.Request)
	}
	if c.done {
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
	if c.started {
		return mismatch("kind", "one start", "a second start")
	}
	c.started = true
	if !c.seen {
		c.seen, c.number, c.status = true, ev.Number, ev.Status
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
	if !c.started {
		return nil, mismatch("kind", "start", "data")
	}
	if ev.Offset != c.offset {
		return nil, mismatch("offset", c.offset, ev.Offset)
	}
	known := min(int64(len(ev.Data)), max(0, c.delivered-c.offset))
	c.add(ev.Data[:known])
	if known > 0 && c.offset == c.delivered && c.hash.Sum64() != c.sent.Sum64() {
		return nil, mismatch("digest", c.sent.Sum64(), c.hash.Sum64())
	}
	fresh := ev.Data[known:]
	c.add(fresh)
	_, _ = c.sent.Write(fresh)
	c.delivered += int64(len(fresh))
	return fresh, nil
}

// add counts bytes of the attempt. A Digest's Write never fails.
func (c *Checker) add(data []byte) {
	_, _ = c.hash.Write(data)
	c.offset += int64(len(data))
}

func (c *Checker) finish(ev *structs.CallEvent) error {
	if !c.started {
		return mismatch("kind", "start", "done")
	}
	if ev.Length != c.offset || ev.Length != c.delivered {
		return mismatch("length", c.delivered, ev.Length)
	}
	if ev.Digest != c.hash.Sum64() || ev.Digest != c.sent.Sum64() {
		return mismatch("digest", c.sent.Sum64(), ev.Digest)
	}
	c.done = true
	return nil
}

func mismatch(field string, want, have any) error {
	return &MismatchError{Field: field, Want: fmt.Sprint(want), Got: fmt.Sprint(have)}
}
