package caller

import (
	"fmt"

	"github.com/endivecourse/endivecourse/structs"
)

// RefusedError is an error response of the callers' interface.
type RefusedError struct {
	Status     int
	Kind       structs.RefusalKind
	Run        structs.Run
	Message    string
	RetryAfter string // seconds, as sent; empty when absent
}

// Error names the status, the kind and whether the request ran.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused with %d %s (run: %s): %s", e.Status, e.Kind, e.Run, e.Message)
}

// IncompleteResponseError means that a response ended before it was complete: the
// connection failed, or a stream had no end marker.
type IncompleteResponseError struct {
	Received int // bytes
	Cause    error
}

// Error names the number of bytes received and the cause.
func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("response incomplete after %d bytes: %v", e.Received, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// UnprovenEndError means that a response ended with its connection, and that the HTTP
// client does not tell an end from a reset.
type UnprovenEndError struct{}

// Error returns a fixed text.
func (*UnprovenEndError) Error() string {
	return "the response has neither a length nor chunks, and its connection may have been reset"
}
