package config

import "fmt"

// VersionConflictError says that another version was stored first; nothing of the
// publication was.
type VersionConflictError struct {
	Version uint64
	Author  string
}

// Error names the other version and its author.
func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("not stored: version %d by %q was stored first", e.Version, e.Author)
}

// NotStoredError says that the document was not stored and will not be.
type NotStoredError struct{ Cause error }

// Error says so and names the cause.
func (e *NotStoredError) Error() string { return fmt.Sprintf("not stored: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotStoredError) Unwrap() error { return e.Cause }

// UnknownOutcomeError says that the document was sent, that no answer came, and that
// reading back gave no answer either: it may be stored.
type UnknownOutcomeError struct {
	Version uint64
	Cause   error
}

// Error names the version to look for.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("version %d may or may not be stored; look at the history before publishing again: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// VersionNotFoundError says that a version is not stored.
type VersionNotFoundError struct{ Version uint64 }

// Error names the version.
func (e *VersionNotFoundError) Error() string {
	return fmt.Sprintf("version %d is not stored, or no longer kept", e.Version)
}

// CorruptRowError says that a row of the table does not hold what it should.
type CorruptRowError struct {
	Key   string
	Cause error
}

// Error names the row.
func (e *CorruptRowError) Error() string { return fmt.Sprintf("row %q: %v", e.Key, e.Cause) }

// Unwrap returns the cause.
func (e *CorruptRowError) Unwrap() error { return e.Cause }
