package rowstore

import (
	"fmt"
	"time"
)

// ConflictError says that a transaction's expectations do not hold. Nothing was
// changed.
type ConflictError struct {
	Current []Row // the expected rows that exist, as they are
}

// Error gives the number of rows.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("transaction expects other versions than the store holds (%d rows exist)", len(e.Current))
}

// Find returns the current row of the key; its Version is 0 when there is none.
func (e *ConflictError) Find(key Key) Row {
	for _, row := range e.Current {
		if row.Key == key {
			return row
		}
	}
	return Row{Key: key}
}

// UnavailableError says that the store did nothing.
type UnavailableError struct{ Cause error }

// Error gives the cause.
func (e *UnavailableError) Error() string { return fmt.Sprintf("store is unavailable: %v", e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// BusyError says that the store did nothing since it takes no more calls now.
type BusyError struct{ Cause error }

// Error gives the cause.
func (e *BusyError) Error() string { return fmt.Sprintf("store takes no more calls now: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BusyError) Unwrap() error { return e.Cause }

// OutcomeUnknownError says that no answer arrived: the call may have been
// performed, or may be later.
type OutcomeUnknownError struct{ Cause error }

// Error gives the cause.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("no answer from the store: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// HistoryGoneError says that the changes after a version are no longer known; a
// full scan is needed.
type HistoryGoneError struct{ After uint64 }

// Error gives the version.
func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("store no longer has the changes after version %d", e.After)
}

// RejectedError says that the store will never take the call as it is.
type RejectedError struct {
	Status int // HTTP status
	Detail string
}

// Error gives status and detail.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("store rejected the call with status %d: %s", e.Status, e.Detail)
}

// UnreachableError says that no path to the store works.
type UnreachableError struct{ For time.Duration }

// Error gives the time since the last answer.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no path to the store has worked for %s", e.For.Round(time.Millisecond))
}
