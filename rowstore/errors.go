package rowstore

import (
	"fmt"
	"time"
)

// ConflictError reports that a transaction's expectations do not hold. Nothing was
// changed.
type ConflictError struct {
	Current []Row // the current versions of the expected rows that exist
}

// Error includes the number of rows.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction expects other versions than the store holds (%d rows exist)", len(e.Current))
}

// Find returns the current row of the key. Its Version is 0 when the row does not exist.
func (e *ConflictError) Find(key Key) Row {
	for _, row := range e.Current {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// UnavailableError reports that the store did not perform the call.
type UnavailableError struct{ Cause error }

// Error includes the cause.
func (e *UnavailableError) Error() string { return fmt.Sprintf("store is unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// BusyError reports that the store did not perform the call because it is over its rate
// limit.
type BusyError struct{ Cause error }

// Error includes the cause.
func (e *BusyError) Error() string { return fmt.Sprintf("store takes no more calls now: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BusyError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports that no answer arrived: the store may have performed the
// call already or may still perform it.
type OutcomeUnknownError struct{ Cause error }

// Error includes the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("no answer from the store: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// HistoryGoneError reports that the store no longer has the changes after a version, or that
// they can't be read; a full scan is needed.
type HistoryGoneError struct {
	After uint64
	Cause error // why the changes can't be read, nil if the store has none
}

// Error includes the version and the cause.
func (e *HistoryGoneError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("changes after version %d can't be read: %v", e.After, e.Cause)
	}
	return fmt.Sprintf("store no longer has the changes after version %d", e.After)
}

// Unwrap returns the cause.
func (e *HistoryGoneError) Unwrap() error { return e.Cause }

// StaleReadError reports that a read returned a state older than one that is known.
type StaleReadError struct {
	Table          string
	Version, Known uint64 // of the store
}

// Error includes both versions.
func (e *StaleReadError) Error() string {
	return fmt.Sprintf("store returned version %d of table %s, version %d is known", e.Version, e.Table, e.Known)
}

// RejectedError reports that the store will never accept the call as it is.
type RejectedError struct {
	Status int // HTTP status
	Detail string
}

// Error includes the status and the detail.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("store rejected the call with status %d: %s", e.Status, e.Detail)
}

// UnreachableError reports that no path to the store is up.
type UnreachableError struct{ For time.Duration }

// Error includes the time since the last answer.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no path to the store has worked for %s", e.For.Round(time.Millisecond))
}
