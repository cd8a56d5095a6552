package ledger

import (
	"bytes"
	"time"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// perform applies settlements first: they make room.
func perform(book *Book, changes []*change) (results []error, changed bool) {
	results = make([]error, len(changes))
	for _, c := range changes {
		if !c.settles {
			continue
		}
		book.Settle(c.reserve.Turn, c.tokens)
		changed = true
		c.granted = c.voucher.Turn != "" && book.Extend(c.voucher, c.budget)
	}
	for i, c := range changes {
		if !c.settles {
			results[i] = book.Reserve(c.reserve, c.budget)
			changed = changed || results[i] == nil
		}
	}
	return results, changed
}

// change is one change of a book.
type change struct {
	// reserve is the reservation to open or, with settles, to end.
	reserve Reservation
	budget  int64
	settles bool
	tokens  int64 // that the caller got
	// rows are written in the same transaction.
	rows rowstore.Tx
	// voucher, if it has a name, is opened for the turn to come.
	voucher Reservation
	granted bool
	done    chan error // nil when nobody waits
	// until is when the change is of no more use; zero for settlements, which
	// are tried for settleTimeout.
	until time.Time
	// started is when a settlement was asked for.
	started time.Time
}

// isApplied reports whether an attempt without an answer was applied: the rows
// of a turn are written by its own transaction only.
func isApplied(changes []*change, conflict *rowstore.ConflictError) bool {
	for _, c := range changes {
		for _, put := range c.rows.Put {
			row := conflict.Find(put.Key)
			return row.Version != 0 && bytes.Equal(row.Value, put.Value)
		}
	}
	return false
}

// deadlineOf is the earliest end of the changes that share a transaction.
func deadlineOf(changes []*change) time.Time {
	deadline := time.Now().Add(settleTimeout)
	for _, c := range changes {
		if !c.until.IsZero() && c.until.Before(deadline) {
			deadline = c.until
		}
	}
	return deadline
}

// turnOf returns the turn that a voucher's turn continues.
func turnOf(voucher Reservation) structs.RequestID { return voucher.Turn[len("after/"):] }
