package caller

import (
	"fmt"

	"github.com/endivecourse/endivecourse/structs"
)

// RefusedError is the typed error that the interface answered with.
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

// IncompleteResponseError says that an answer ended without its end mark.
type IncompleteResponseError struct {
	Received int
	Cause    error
}

// Error says how many bytes came.
func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("answer cut after %d bytes: %v", e.Received, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }
