package target

import (
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/internal/httpgrammar"
	"github.com/endivecourse/endivecourse/structs"
)

// NotSentError reports that no byte of a request was written to the target.
type NotSentError struct {
	Target structs.TargetID
	Cause  error
}

// Error returns the target and the cause.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("target %q: request not sent: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// IncompleteResponseError reports that all or part of a request was sent and that no
// complete response arrived. The target may have run the request. Received is the number
// of response bytes received. IsAlive is set when the target sent an invalid response or
// reported an error, so the failure is not a crash of the target.
type IncompleteResponseError struct {
	Target   structs.TargetID
	Received int64
	IsAlive  bool
	Cause    error
}

// Error returns the target, the number of bytes received and the cause.
func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("target %q: answer cut after %d bytes: %v", e.Target, e.Received, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// IsInvalidResponse reports whether an error is that of a response which HTTP does not allow. The
// target that sent it is alive.
func IsInvalidResponse(err error) bool {
	var invalid *httpgrammar.Error
	return errors.As(err, &invalid)
}

// HeaderRequestID carries the request ID. A target may return it to identify the request
// that a response belongs to.
const HeaderRequestID = "X-Request-Id"

// RequestMismatchError reports that a response carries the ID of another request.
type RequestMismatchError struct{ Want, Got structs.RequestID }

// Error returns both request IDs.
func (e *RequestMismatchError) Error() string {
	return fmt.Sprintf("answer to request %q came for request %q", e.Got, e.Want)
}

// CheckRequestID returns *IncompleteResponseError if the response header carries an ID
// other than want. A response without an ID is accepted.
func CheckRequestID(id structs.TargetID, want structs.RequestID, header http.Header) error {
	got := structs.RequestID(header.Get(HeaderRequestID))
	if got == "" || got == want {
		return nil
	}
	return &IncompleteResponseError{Target: id, IsAlive: true, Cause: &RequestMismatchError{Want: want, Got: got}}
}

// StatusError reports that a model engine responded with an HTTP status outside 2xx. Ran
// tells whether the engine may have run the request. Body is the engine's error type.
type StatusError struct {
	Target structs.TargetID
	Status int
	Ran    structs.Run
	Body   string
}

// Error returns the target, the status and the engine's error type.
func (e *StatusError) Error() string {
	return fmt.Sprintf("target %q answered %d: %s", e.Target, e.Status, e.Body)
}

// FencedError reports that a target refused an order whose fencing token is older than one
// it has accepted.
type FencedError struct {
	Target structs.TargetID
	Fence  uint64
}

// Error returns the target and the refused fencing token.
func (e *FencedError) Error() string {
	return fmt.Sprintf("target %q refused fencing number %d", e.Target, e.Fence)
}
