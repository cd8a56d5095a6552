package conversation

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
)

// errorCode identifies the type of an error in a Reply.
type errorCode uint8

const (
	codeNone errorCode = iota
	codeSpent
	codeBusy
	codeNotFound
	codeTooLarge
	codeSlowStore
	codePending
	codeOther
	codeNoAdvance // of earlier builds: the turn needs the store
	codeNoGrant
	codeNotCached
	codeUncertain
)

// Reply is the home VM's reply to a call. Code identifies the type of the error, and
// Numbers, Turn and Detail hold the error's fields.
type Reply struct {
	Code    errorCode         `msgpack:"e,omitempty"`
	Numbers [3]int64          `msgpack:"n,omitempty"`
	Turn    structs.RequestID `msgpack:"t,omitempty"`
	Detail  string            `msgpack:"d,omitempty"`
	Records []*turnlog.Record `msgpack:"r,omitempty"`
	// CopyAt is a VM that has a copy of the turn's unstored grant.
	CopyAt structs.VMID `msgpack:"c,omitempty"`
	// Program and Writer are set with codeOther for *ledger.ContendedError, which builds
	// without them read as a HomeError.
	Program string       `msgpack:"p,omitempty"`
	Writer  structs.VMID `msgpack:"w,omitempty"`
}

// HomeError is an error of the home VM that has no errorCode of its own.
type HomeError struct{ Detail string }

// Error returns the home VM's error text.
func (e *HomeError) Error() string { return "at the program's home: " + e.Detail }

// PendingError reports that a reservation is likely to be granted but is not stored
// yet. Repeating the request without AllowsPending waits for the outcome.
type PendingError struct{}

// Error implements error.
func (e *PendingError) Error() string { return "the reservation is not stored yet" }

// SlowStoreError reports that the home VM is alive but its transaction has not ended
// yet.
type SlowStoreError struct{ Waited time.Duration }

// Error includes the time waited.
func (e *SlowStoreError) Error() string {
	return "the store has not answered the program's home for " + e.Waited.String()
}

// NotCachedError reports that a VM does not have turns in memory.
type NotCachedError struct{ Turns int }

// Error includes the number of turns.
func (e *NotCachedError) Error() string { return fmt.Sprintf("%d turns are not in memory", e.Turns) }

// errorReply encodes an error as a reply; nil gives a reply of success.
func errorReply(err error) Reply {
	if errors.Is(err, context.DeadlineExceeded) {
		return Reply{Code: codeSlowStore}
	}
	var (
		spent     *ledger.BudgetSpentError
		busy      *ledger.BudgetReservedError
		missing   *turnlog.NotFoundError
		tooLarge  *turnlog.TooLargeError
		pending   *PendingError
		noGrant   *NoGrantError
		notCached *NotCachedError
		uncertain *ledger.UncertainSpendError
		contended *ledger.ContendedError
	)
	switch {
	case err == nil:
		return Reply{}
	case errors.As(err, &pending):
		return Reply{Code: codePending}
	case errors.As(err, &noGrant):
		return Reply{Code: codeNoGrant, Turn: noGrant.Turn, Detail: noGrant.Reason, Numbers: [3]int64{noGrant.RetryIn.Milliseconds()}}
	case errors.As(err, &uncertain):
		return Reply{Code: codeUncertain, Numbers: [3]int64{uncertain.Spent, uncertain.Uncertain, uncertain.Budget}}
	case errors.As(err, &notCached):
		return Reply{Code: codeNotCached, Numbers: [3]int64{int64(notCached.Turns)}}
	case errors.As(err, &spent):
		return Reply{Code: codeSpent, Numbers: [3]int64{spent.Spent, spent.Budget}}
	case errors.As(err, &busy):
		return Reply{Code: codeBusy, Numbers: [3]int64{busy.Spent, busy.Reserved, busy.Budget}}
	case errors.As(err, &missing):
		return Reply{Code: codeNotFound, Turn: missing.Turn}
	case errors.As(err, &contended):
		return Reply{Code: codeOther, Detail: contended.Error(), Program: contended.Program, Writer: contended.Writer}
	case errors.As(err, &tooLarge):
		return Reply{Code: codeTooLarge, Numbers: [3]int64{int64(tooLarge.Bytes), int64(tooLarge.Max)}}
	}
	return Reply{Code: codeOther, Detail: err.Error()}
}

// err decodes the error that errorReply encoded.
func (r *Reply) err() error {
	switch r.Code {
	case codeNone:
		return nil
	case codeSpent:
		return &ledger.BudgetSpentError{Spent: r.Numbers[0], Budget: r.Numbers[1]}
	case codeBusy:
		return &ledger.BudgetReservedError{Spent: r.Numbers[0], Reserved: r.Numbers[1], Budget: r.Numbers[2]}
	case codeNotFound:
		return &turnlog.NotFoundError{Turn: r.Turn}
	case codeTooLarge:
		return &turnlog.TooLargeError{Bytes: int(r.Numbers[0]), Max: int(r.Numbers[1])}
	case codePending:
		return &PendingError{}
	case codeNoAdvance:
		return &NoGrantError{Turn: r.Turn, Reason: "the turn needs the store"}
	case codeNoGrant:
		return &NoGrantError{Turn: r.Turn, Reason: r.Detail, RetryIn: time.Duration(r.Numbers[0]) * time.Millisecond}
	case codeUncertain:
		return &ledger.UncertainSpendError{Spent: r.Numbers[0], Uncertain: r.Numbers[1], Budget: r.Numbers[2]}
	case codeNotCached:
		return &NotCachedError{Turns: int(r.Numbers[0])}
	case codeSlowStore:
		return &SlowStoreError{Waited: storeTimeout}
	}
	if r.Writer != "" {
		return &ledger.ContendedError{Program: r.Program, Writer: r.Writer}
	}
	return &HomeError{Detail: r.Detail}
}

// isFinal reports whether another VM would return the same result, so that a retry on
// this VM is of no use.
func (r *Reply) isFinal() bool { return r.Code != codeOther }
