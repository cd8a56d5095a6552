package plain

import "fmt"

// BadRequestError reports that a request can't be sent to a plain service.
type BadRequestError struct{ Reason string }

// Error returns the reason.
func (e *BadRequestError) Error() string { return "not a plain request: " + e.Reason }

// OrderError reports an order to a plain service, which accepts none.
type OrderError struct{ Kind string }

// Error returns the kind of the order.
func (e *OrderError) Error() string { return fmt.Sprintf("a plain service takes no order %q", e.Kind) }

// UnframedResponseError reports a response with neither a Content-Length nor chunked
// encoding. Its end can't be distinguished from a lost connection.
type UnframedResponseError struct{}

// Error returns a fixed text.
func (*UnframedResponseError) Error() string { return "answer has neither a length nor chunks" }

// ClosedError reports that Close was called before the response ended.
type ClosedError struct{}

// Error returns a fixed text.
func (*ClosedError) Error() string { return "stream closed before its end" }
