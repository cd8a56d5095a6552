// Package ledger enforces a program's token budget across all VMs. The maximum number of
// tokens that a turn may generate is reserved in the store before the caller gets its
// first token; when the turn has ended, the reservation is replaced by the tokens that
// were delivered.
package ledger

import (
	"fmt"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// Reservation holds the tokens that an unfinished turn may still generate. It belongs to its
// turn from the moment at which it is stored until it is settled.
type Reservation struct {
	Turn   structs.RequestID `msgpack:"t"`
	Tokens int64             `msgpack:"n"`
	// CreatedAt is the time of the reservation in Unix milliseconds.
	CreatedAt int64 `msgpack:"a"`
	// Owner is the process that serves the turn and settles it. It is missing in rows of
	// earlier builds.
	Owner structs.Incarnation `msgpack:"o,omitempty"`
}

// Balance is a program's token balance: the tokens spent and the open reservations.
//
// Invariant: Spent plus the open reservations is at least the number of tokens that
// callers got, and exceeds the budget by less than the maximum of one turn. Of an open program it
// leaves room for grants, see package outage. Spent without Uncertain is at most the number of
// tokens that callers got.
type Balance struct {
	Spent int64 `msgpack:"s"`
	// Uncertain is the part of Spent that callers may not have got: the maxima of turns that were
	// not settled, and grants that may have been lost. Earlier builds do not tell it apart.
	Uncertain int64         `msgpack:"u,omitempty"`
	Open      []Reservation `msgpack:"o,omitempty"`
	// Ended are the turns whose reservation was closed in the last endedTTL.
	Ended []EndedTurn `msgpack:"e,omitempty"`
	// OutageTurns are the turns that ran on grants of a store outage and were added to the
	// balance, so that none is added twice.
	OutageTurns []OutageTurn `msgpack:"w,omitempty"`
	// IsClosed means that no region grants the program tokens without the store any more.
	IsClosed bool `msgpack:"z,omitempty"`
	// BornAt is when the balance was first stored, in Unix milliseconds. It is missing in rows of
	// earlier builds.
	BornAt int64 `msgpack:"f,omitempty"`
	// LossAt identifies the last loss of grants that the balance counts, see outage.RegionRecord.
	LossAt int64 `msgpack:"l,omitempty"`
	// ChargedAt is not used any more; earlier builds set it.
	ChargedAt int64 `msgpack:"c,omitempty"`
	// Budget is the program's budget. It is missing in rows of builds without outage grants.
	Budget int64 `msgpack:"b,omitempty"`
	// Writer is the VM that wrote the row last. It is missing in rows of earlier builds.
	Writer structs.VMID `msgpack:"v,omitempty"`
}

const (
	// reservationTTL is the age at which an open reservation is charged. Its turn can no
	// longer run, since callers wait for less time than this, but its settlement has not come
	// yet.
	reservationTTL = 30 * time.Second
	// endedTTL is how long a balance remembers that a turn has ended, and the age at which a
	// call to reserve its tokens is too late.
	endedTTL = time.Minute
	// maxClockDifference is how far the clocks of two VMs may be apart.
	maxClockDifference = 10 * time.Second
	// advancePrefix begins the IDs of reservations that earlier builds made for a next turn,
	// which may never have begun.
	advancePrefix = "after/"
)

// BudgetSpentError reports that a program's budget is used up.
type BudgetSpentError struct{ Spent, Budget int64 }

// Error implements error.
func (e *BudgetSpentError) Error() string {
	return fmt.Sprintf("%d tokens of a budget of %d are spent", e.Spent, e.Budget)
}

// UncertainSpendError reports that a program's budget may be used up: a part of what counts as
// spent may not have been handed out.
type UncertainSpendError struct{ Spent, Uncertain, Budget int64 }

// Error implements error.
func (e *UncertainSpendError) Error() string {
	return fmt.Sprintf("%d tokens of a budget of %d may be spent, it is not known whether callers got %d of them", e.Spent, e.Budget, e.Uncertain)
}

// OpenProgramError reports that a reservation needs the program to be closed first, so that no
// region grants it tokens without the store.
type OpenProgramError struct{ Reserved, Budget int64 }

// Error implements error.
func (e *OpenProgramError) Error() string {
	return fmt.Sprintf("%d tokens of a budget of %d would be spent or reserved, the others may be granted without the store", e.Reserved, e.Budget)
}

// BudgetReservedError reports that the turns in progress may use up the remaining
// budget.
type BudgetReservedError struct{ Spent, Reserved, Budget int64 }

// Error implements error.
func (e *BudgetReservedError) Error() string {
	return fmt.Sprintf("%d tokens are spent and %d reserved of a budget of %d", e.Spent, e.Reserved, e.Budget)
}

// Reserved returns the sum of the open reservations in tokens.
func (b *Balance) Reserved() int64 {
	var sum int64
	for _, r := range b.Open {
		sum += r.Tokens
	}
	return sum
}

// Reserve opens a reservation at now, or returns *BudgetSpentError, *UncertainSpendError,
// *BudgetReservedError or *LateReservationError. The last turn may exceed the budget by less than its own tokens.
func (b *Balance) Reserve(r Reservation, budget int64, now time.Time) error {
	if b.hasReservation(r.Turn) {
		return nil // an earlier attempt whose response was lost has been applied
	}
	ended := b.findEnded(r.Turn)
	if ended != nil && ended.Charged >= r.Tokens && ended.Charged > 0 {
		return nil // the turn counts with its maximum, as with a reservation
	}
	if ended != nil || now.UnixMilli()-r.CreatedAt > endedTTL.Milliseconds() {
		return &LateReservationError{Turn: r.Turn, Age: now.Sub(time.UnixMilli(r.CreatedAt))}
	}
	if b.Spent-b.Uncertain >= budget {
		return &BudgetSpentError{Spent: b.Spent - b.Uncertain, Budget: budget}
	}
	if b.Spent >= budget {
		return &UncertainSpendError{Spent: b.Spent, Uncertain: b.Uncertain, Budget: budget}
	}
	if reserved := b.Reserved(); b.Spent+reserved >= budget {
		return &BudgetReservedError{Spent: b.Spent, Reserved: reserved, Budget: budget}
	}
	b.Open = append(b.Open, r)
	return nil
}

func (b *Balance) hasReservation(turn structs.RequestID) bool {
	return slices.ContainsFunc(b.Open, func(r Reservation) bool { return r.Turn == turn })
}

// settlement is what a settlement did to a balance.
type settlement uint8

const (
	// settledReservation replaced the turn's reservation.
	settledReservation settlement = iota
	// settledCharge replaced the charge for a turn that was not settled in time.
	settledCharge
	// settledBefore did nothing, since the turn was settled already.
	settledBefore
	// settledUnreserved counted a turn that had no reservation.
	settledUnreserved
	// settledTooLate did nothing: it is not known any more whether the turn was counted.
	settledTooLate
)

// Settle replaces a turn's reservation with the tokens that its caller got. A settlement that
// is repeated counts once; one without a reservation counts too, unless the turn began so
// long ago that it may have been settled or charged before.
func (b *Balance) Settle(r Reservation, tokens int64, now time.Time) settlement {
	if i := slices.IndexFunc(b.Open, func(open Reservation) bool { return open.Turn == r.Turn }); i >= 0 {
		b.Open = slices.Delete(b.Open, i, i+1)
		b.Spent += tokens
		b.end(r.Turn, 0, now)
		return settledReservation
	}
	if ended := b.findEnded(r.Turn); ended != nil {
		if ended.Charged == 0 {
			return settledBefore
		}
		b.Spent += tokens - ended.Charged
		b.Uncertain = max(0, b.Uncertain-ended.Charged) // 0 in rows that an earlier build has written since
		ended.Charged = 0
		return settledCharge
	}
	if b.hasOutageTurn(r.Turn) {
		return settledBefore
	}
	if r.CreatedAt != 0 && now.UnixMilli()-r.CreatedAt > endedTTL.Milliseconds() {
		return settledTooLate
	}
	b.Spent += tokens
	b.end(r.Turn, 0, now)
	if tokens == 0 {
		return settledReservation // nothing was reserved and nothing used; a late call must not reserve it now
	}
	return settledUnreserved
}

// Clone returns a deep copy.
func (b *Balance) Clone() Balance {
	c := *b
	c.Open = slices.Clone(b.Open)
	c.Ended = slices.Clone(b.Ended)
	c.OutageTurns = slices.Clone(b.OutageTurns)
	return c
}

func (b *Balance) encode() ([]byte, error) { return msgpack.Marshal(b) }

func decodeBalance(value []byte) (Balance, error) {
	var b Balance
	err := msgpack.Unmarshal(value, &b)
	return b, err
}
