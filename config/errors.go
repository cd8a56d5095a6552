package config

import "fmt"

// VersionConflictError means that another version was stored first. Nothing of
// the publication was stored.
type VersionConflictError struct {
	Version uint64
	Author  string
}

// Error names the other version and its author.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("not stored: version %d by %q was stored first", e.Version, e.Author)
}

// NotStoredError means that the document was not stored and will not be.
type NotStoredError struct{ Cause error }

// Error names the cause.
func (e *NotStoredError) Error() string { return fmt.Sprintf("not stored: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotStoredError) Unwrap() error { return e.Cause }

// UnknownOutcomeError means that the document was sent without a response and
// that the attempt to read it back failed too. The document may be stored.
type UnknownOutcomeError struct {
	Version uint64
	Cause   error
}

// Error names the version that may be stored.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("version %d may or may not be stored; look at the history before publishing again: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// VersionNotFoundError means that a version is not stored.
type VersionNotFoundError struct{ Version uint64 }

// Error names the version.
func (e *VersionNotFoundError) Error() string {
	return fmt.Sprintf("version %d is not stored, or no longer kept", e.Version)
}

// CorruptRowError means that a row of the table cannot be decoded.
type CorruptRowError struct {
	Key   string
	Cause error
}

// Error names the row and the cause.
func (e *CorruptRowError) Error() string { return fmt.Sprintf("row %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptRowError) Unwrap() error { return e.Cause }
