package plain

import "fmt"

// BadRequestError says that a request is not one for a plain service.
type BadRequestError struct{ Reason string }

// Error gives the reason.
func (e *BadRequestError) Error() string { return "not a plain request: " + e.Reason }

// OrderError says that plain services take no orders.
type OrderError struct{ Kind string }

// Error names the kind of order.
func (e *OrderError) Error() string { return fmt.Sprintf("a plain service takes no order %q", e.Kind) }

// UnframedResponseError says that an answer has neither a length nor chunks, so
// that a cut can't be told from its end.
type UnframedResponseError struct{}

// Error says so.
func (*UnframedResponseError) Error() string { return "answer has neither a length nor chunks" }

// ClosedError says that the stream was closed before its end.
type ClosedError struct{}

// Error says so.
func (*ClosedError) Error() string { return "stream closed before its end" }
