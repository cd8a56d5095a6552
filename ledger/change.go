package ledger

import (
	"time"

	"github.com/endivecourse/endivecourse/outage"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// outcome is the result of a change.
type outcome struct {
	err     error      // of a reservation
	settled settlement // of a settlement
}

// applied is the result of changes of a balance.
type applied struct {
	outcomes []outcome
	charged  []Reservation // closed since their turns can't run any more
	changed  bool          // the balance has to be stored
}

// applyChanges applies the changes to a balance. Settlements go first because they free
// tokens for reservations. now is the time of day, which all VMs share to within seconds.
// hasEnded reports whether a process is known to have ended; nil if none is.
func applyChanges(balance *Balance, changes []*change, now time.Time, hasEnded func(structs.Incarnation) bool) applied {
	result := applied{outcomes: make([]outcome, len(changes))}
	for _, c := range changes {
		result.changed = balance.applyOutage(c, now.UnixMilli()) || result.changed
	}
	for i, c := range changes {
		if c.isSettlement {
			settled := balance.Settle(c.reservation, c.tokens, now)
			result.outcomes[i].settled = settled
			result.changed = result.changed || settled != settledBefore && settled != settledTooLate || len(c.rows.Put) > 0
		}
	}
	result.charged = balance.charge(now, hasEnded)
	result.changed = result.changed || len(result.charged) > 0
	for i, c := range changes {
		if !c.isSettlement && !c.isWriteBack {
			result.outcomes[i].err = balance.reserveOpen(c, now)
			result.changed = result.changed || result.outcomes[i].err == nil
		}
		if c.budget > 0 {
			balance.Budget = c.budget
		}
	}
	return result
}

// change is a reservation or a settlement to be applied to a program's balance.
type change struct {
	// reservation is opened or, if isSettlement is set, closed.
	reservation  Reservation
	budget       int64
	isSettlement bool
	tokens       int64 // delivered to the caller; settlements only
	// isWriteBack adds grants, which were made while the store was unreachable.
	isWriteBack bool
	grants      []outage.Grant
	// closing says whether the program has been closed.
	closing Closing
	// rows are written in the same transaction.
	rows rowstore.Tx
	// relayRegions are the regions through whose VMs the rows may be relayed, nil for all.
	relayRegions []string
	done         chan error // nil when nobody waits for the result
	// blockUntil is the time until which a reservation may wait for settlements.
	blockUntil time.Time
	// deadline is the time after which the change is no longer useful. It is zero for
	// settlements that nobody waits for; these are retried for settleTimeout.
	deadline time.Time
	// createdAt is when the settlement was requested.
	createdAt time.Time
}

// notify sends the result to the waiting caller, if there is one.
func (c *change) notify(err error) {
	if c.done != nil {
		c.done <- err
	}
}

// earliestDeadline returns the earliest deadline of the changes that share a transaction.
// A batch of settlements without a deadline gets reserveTimeout; if it fails, they are
// retried together with newer changes.
func earliestDeadline(batch []*batchItem) time.Time {
	deadline := time.Now().Add(reserveTimeout)
	for _, item := range batch {
		for _, c := range item.changes {
			if !c.deadline.IsZero() && c.deadline.Before(deadline) {
				deadline = c.deadline
			}
		}
	}
	return deadline
}
