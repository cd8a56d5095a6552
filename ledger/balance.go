// Package ledger enforces a program's token budget across all VMs. The maximum number of
// tokens that a turn may generate is reserved in the store before the caller gets its
// first token; when the turn has ended, the reservation is replaced by the tokens that
// were delivered.
package ledger

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// Reservation holds the tokens that an unfinished turn may still generate.
type Reservation struct {
	Turn   structs.RequestID `msgpack:"t"`
	Tokens int64             `msgpack:"n"`
	// CreatedAt is the time of the reservation in Unix milliseconds.
	CreatedAt int64 `msgpack:"a"`
}

// Balance is a program's token balance: the tokens spent and the open reservations.
//
// Invariant: Spent plus the open reservations is at least the number of tokens that
// callers got, and exceeds the budget by less than the maximum of one turn.
type Balance struct {
	Spent int64         `msgpack:"s"`
	Open  []Reservation `msgpack:"o,omitempty"`
	// OutageTurns are the turns that ran on grants of a store outage and were added to the
	// balance, so that none is added twice.
	OutageTurns []OutageTurn `msgpack:"w,omitempty"`
	// ChargedAt is when the balance was last charged for grants that may have been lost, in
	// Unix milliseconds.
	ChargedAt int64 `msgpack:"c,omitempty"`
	// Budget is the program's budget. It is missing in rows of builds without outage grants.
	Budget int64 `msgpack:"b,omitempty"`
	// Writer is the VM that wrote the row last. It is missing in rows of earlier builds.
	Writer structs.VMID `msgpack:"v,omitempty"`
}

// reservationTTL is the age at which an open reservation counts as spent. Its turn can no
// longer run, since callers wait for less time than this, so its settlement must have
// been lost.
const reservationTTL = 30 * time.Second

// BudgetSpentError reports that a program's budget is used up.
type BudgetSpentError struct{ Spent, Budget int64 }

// Error implements error.
func (e *BudgetSpentError) Error() string {
	return fmt.Sprintf("%d tokens of a budget of %d are spent", e.Spent, e.Budget)
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

// Reserve opens a reservation, or returns *BudgetSpentError or *BudgetReservedError. The
// last turn may exceed the budget by less than its own tokens.
func (b *Balance) Reserve(r Reservation, budget int64) error {
	if b.hasReservation(r.Turn) {
		return nil // an earlier attempt whose response was lost has been applied
	}
	b.expireReservations(r.CreatedAt)
	if b.Spent >= budget {
		return &BudgetSpentError{Spent: b.Spent, Budget: budget}
	}
	if reserved := b.Reserved(); b.Spent+reserved >= budget {
		return &BudgetReservedError{Spent: b.Spent, Reserved: reserved, Budget: budget}
	}
	b.Open = append(b.Open, r)
	return nil
}

// ReserveInAdvance opens a reservation for the next turn and reports whether it did. The
// budget must also have room for a turn of the same size at another VM, which can't use
// this reservation.
func (b *Balance) ReserveInAdvance(r Reservation, budget int64) bool {
	if b.hasReservation(r.Turn) {
		return true
	}
	if b.Spent+b.Reserved()+2*r.Tokens > budget {
		return false
	}
	b.Open = append(b.Open, r)
	return true
}

func (b *Balance) hasReservation(turn structs.RequestID) bool {
	for _, r := range b.Open {
		if r.Turn == turn {
			return true
		}
	}
	return false
}

// Settle replaces a turn's reservation with the tokens that its caller got.
func (b *Balance) Settle(turn structs.RequestID, tokens int64) {
	for i, r := range b.Open {
		if r.Turn == turn {
			b.Open = append(b.Open[:i], b.Open[i+1:]...)
			b.Spent += tokens
			return
		}
	}
}

func (b *Balance) expireReservations(now int64) {
	kept := b.Open[:0]
	for _, r := range b.Open {
		if now-r.CreatedAt > reservationTTL.Milliseconds() {
			b.Spent += r.Tokens
			continue
		}
		kept = append(kept, r)
	}
	b.Open = kept
}

// Clone returns a deep copy.
func (b *Balance) Clone() Balance {
	c := *b
	c.Open = append([]Reservation(nil), b.Open...)
	c.OutageTurns = append([]OutageTurn(nil), b.OutageTurns...)
	return c
}

func (b *Balance) encode() ([]byte, error) { return msgpack.Marshal(b) }

func decodeBalance(value []byte) (Balance, error) {
	var b Balance
	err := msgpack.Unmarshal(value, &b)
	return b, err
}
