package backing

import "fmt"

// ConflictError is returned when a condition of a transaction did not hold; nothing
// was written. Found holds the current rows that the conditions name.
type ConflictError struct {
	Found []Row
}

// Error names the first conflicting row.
func (e *ConflictError) Error() string {
	if len(e.Found) == 0 {
		return "transaction conflict"
	}
	return fmt.Sprintf("transaction conflict: row %q has version %d", e.Found[0].Key, e.Found[0].Version)
}

// UnavailableError is returned when a request had no effect: the service refused it,
// could not be reached before any byte was sent, or failed to respond to a read.
type UnavailableError struct {
	Service string
	Cause   error
}

// Error names the service.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform %s is unavailable: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError is returned when a write was sent and no usable response came,
// so it may have taken effect. The caller must read the data to find out.
type UnknownOutcomeError struct {
	Service string
	Cause   error
}

// Error names the service.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platform %s: outcome unknown: %v", e.Service, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotFoundError is returned when an object does not exist.
type NotFoundError struct {
	Key string
}

// Error names the key.
func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q does not exist", e.Key) }
