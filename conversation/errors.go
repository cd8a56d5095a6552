package conversation

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
)

// reason is the type of an error at the home.
type reason uint8

const (
	reasonNone reason = iota
	reasonSpent
	reasonBusy
	reasonNotFound
	reasonTooLarge
	reasonSlow
	reasonPending
	reasonOther
)

// Reply is the outcome of a call at the home.
type Reply struct {
	Code    reason            `msgpack:"e,omitempty"`
	Numbers [3]int64          `msgpack:"n,omitempty"`
	Turn    structs.RequestID `msgpack:"t,omitempty"`
	Detail  string            `msgpack:"d,omitempty"`
	Records []*turnlog.Record `msgpack:"r,omitempty"`
}

// HomeError is a failure at a program's home without a type of its own here.
type HomeError struct{ Detail string }

// Error gives the home's words.
func (e *HomeError) Error() string { return "at the program's home: " + e.Detail }

// PendingError says that a reservation is likely to be granted but not stored
// yet. Asking again without Early waits for its outcome.
type PendingError struct{}

// Error says so.
func (e *PendingError) Error() string { return "the reservation is not stored yet" }

// SlowStoreError says that a home lives but its transaction has not ended yet.
type SlowStoreError struct{ Waited time.Duration }

// Error gives the time waited.
func (e *SlowStoreError) Error() string {
	return "the store has not answered the program's home for " + e.Waited.String()
}

func replyOf(err error) Reply {
	if errors.Is(err, context.DeadlineExceeded) {
		return Reply{Code: reasonSlow}
	}
	var (
		spent    *ledger.BudgetSpentError
		busy     *ledger.BudgetReservedError
		missing  *turnlog.NotFoundError
		tooLarge *turnlog.TooLargeError
		pending  *PendingError
	)
	switch {
	case err == nil:
		return Reply{}
	case errors.As(err, &pending):
		return Reply{Code: reasonPending}
	case errors.As(err, &spent):
		return Reply{Code: reasonSpent, Numbers: [3]int64{spent.Spent, spent.Budget}}
	case errors.As(err, &busy):
		return Reply{Code: reasonBusy, Numbers: [3]int64{busy.Spent, busy.Reserved, busy.Budget}}
	case errors.As(err, &missing):
		return Reply{Code: reasonNotFound, Turn: missing.Turn}
	case errors.As(err, &tooLarge):
		return Reply{Code: reasonTooLarge, Numbers: [3]int64{int64(tooLarge.Bytes), int64(tooLarge.Max)}}
	}
	return Reply{Code: reasonOther, Detail: err.Error()}
}

func (r *Reply) err() error {
	switch r.Code {
	case reasonNone:
		return nil
	case reasonSpent:
		return &ledger.BudgetSpentError{Spent: r.Numbers[0], Budget: r.Numbers[1]}
	case reasonBusy:
		return &ledger.BudgetReservedError{Spent: r.Numbers[0], Reserved: r.Numbers[1], Budget: r.Numbers[2]}
	case reasonNotFound:
		return &turnlog.NotFoundError{Turn: r.Turn}
	case reasonTooLarge:
		return &turnlog.TooLargeError{Bytes: int(r.Numbers[0]), Max: int(r.Numbers[1])}
	case reasonPending:
		return &PendingError{}
	case reasonSlow:
		return &SlowStoreError{Waited: homePatience}
	}
	return &HomeError{Detail: r.Detail}
}

// isDecisive reports whether another VM would say the same.
func (r *Reply) isDecisive() bool { return r.Code != reasonOther }
