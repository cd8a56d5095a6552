package httpbacking

import "fmt"

// StatusError is an HTTP status that the request's method does not expect.
type StatusError struct{ Status int }

// Error gives the status.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// TooLargeError says that an answer exceeds the limit.
type TooLargeError struct{ Limit int64 }

// Error gives the limit.
func (e *TooLargeError) Error() string { return fmt.Sprintf("answer exceeds %d bytes", e.Limit) }
