package httpbacking

import "fmt"

// StatusError is an HTTP status that the request's method does not expect.
type StatusError struct{ Status int }

// Error gives the status.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// ResponseTooLargeError says that an answer exceeds the limit.
type ResponseTooLargeError struct{ Limit int64 }

// Error gives the limit.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("answer exceeds %d bytes", e.Limit)
}
