package target

import (
	"fmt"
	"net/http"

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

// IncompleteResponseError says that the request was sent, wholly or in part, and that its
// end was not seen. Received counts the answer's bytes that came. Alive is set
// when the target answered, but not as it should: it has not crashed.
type IncompleteResponseError struct {
	Target   structs.TargetID
	Received int64
	IsAlive  bool
	Cause    error
}

// Error names the target and how much of the answer came.
func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("target %q: answer cut after %d bytes: %v", e.Target, e.Received, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// HeaderRequestID carries the ID of a request. A target that returns it names
// the request that its answer belongs to.
const HeaderRequestID = "X-Request-Id"

// RequestMismatchError says that an answer belongs to another request.
type RequestMismatchError struct{ Want, Got structs.RequestID }

// Error names both requests.
func (e *RequestMismatchError) Error() string {
	return fmt.Sprintf("answer to request %q came for request %q", e.Got, e.Want)
}

// CheckRequestID returns *BrokenError for an answer whose header names another
// request than the one that was sent.
func CheckRequestID(id structs.TargetID, want structs.RequestID, header http.Header) error {
	got := structs.RequestID(header.Get(HeaderRequestID))
	if got == "" || got == want {
		return nil
	}
	return &IncompleteResponseError{Target: id, IsAlive: true, Cause: &RequestMismatchError{Want: want, Got: got}}
}

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
