package target

import (
	"fmt"

	"github.com/endivecourse/endivecourse/structs"
)

// NotSentError says that no byte of the request left for the target.
type NotSentError struct {
	Target structs.TargetID
	Cause  error
}

// Error names the target.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("target %q: request not sent: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError says that the request was sent, wholly or in part, and that its
// end was not seen. Received counts the answer's bytes that came.
type BrokenError struct {
	Target   structs.TargetID
	Received int64
	Cause    error
}

// Error names the target and how much of the answer came.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("target %q: answer cut after %d bytes: %v", e.Target, e.Received, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// StatusError says that a model engine answered with an HTTP status other
// than success. Ran tells whether the engine may have run the request.
type StatusError struct {
	Target structs.TargetID
	Status int
	Ran    structs.Run
	Body   string
}

// Error names the target and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target %q answered %d: %s", e.Target, e.Status, e.Body)
}

// FencedError says that a target refused an order with an old fencing number.
type FencedError struct {
	Target structs.TargetID
	Fence  uint64
}

// Error names the target and the refused number.
func (e *FencedError) Error() string {
	return fmt.Sprintf("target %q refused fencing number %d", e.Target, e.Fence)
}
