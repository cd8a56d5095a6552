package ledger

import (
	"time"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// outcome is what a change came to.
type outcome struct {
	err     error
	granted bool // the voucher was opened
}

// perform applies the changes to a book, settlements first: they make room.
func perform(book *Book, changes []*change) (outcomes []outcome, changed bool) {
	outcomes = make([]outcome, len(changes))
	for i, c := range changes {
		if !c.settles {
			continue
		}
		book.Settle(c.reserve.Turn, c.tokens)
		changed = true
		outcomes[i].granted = c.voucher.Turn != "" && book.Extend(c.voucher, c.budget)
	}
	for i, c := range changes {
		if !c.settles {
			outcomes[i].err = book.Reserve(c.reserve, c.budget)
			changed = changed || outcomes[i].err == nil
		}
	}
	return outcomes, changed
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
	done    chan error // nil when nobody waits
	// hold is until when a reservation may wait for settlements.
	hold time.Time
	// until is when the change is of no more use; zero for settlements, which
	// are tried for settleTimeout.
	until time.Time
	// started is when a settlement was asked for.
	started time.Time
}

// finish tells who waits for the change, if any.
func (c *change) finish(err error) {
	if c.done != nil {
		c.done <- err
	}
}

// deadlineOf is the earliest end of the changes that share a transaction.
// Settlements alone are tried anew after a while, with those that came meanwhile.
func deadlineOf(batch []*work) time.Time {
	deadline := time.Now().Add(reserveTimeout)
	for _, w := range batch {
		for _, c := range w.changes {
			if !c.until.IsZero() && c.until.Before(deadline) {
				deadline = c.until
			}
		}
	}
	return deadline
}

// turnOf returns the turn that a voucher's turn continues.
func turnOf(voucher Reservation) structs.RequestID { return voucher.Turn[len("after/"):] }
