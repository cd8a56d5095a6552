package httpbacking

import "fmt"

// StatusError is returned for an HTTP status that is not expected for the request.
type StatusError struct{ Status int }

// Error gives the status.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// ResponseTooLargeError is returned when a response body exceeds the limit.
type ResponseTooLargeError struct{ Limit int64 }

// Error gives the limit in bytes.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response exceeds %d bytes", e.Limit)
}

// UnframedResponseError is returned for a response with neither a length nor chunks, whose end
// can't be told from a lost connection.
type UnframedResponseError struct{}

// Error implements error.
func (*UnframedResponseError) Error() string { return "response has neither a length nor chunks" }
