// Package ledger keeps a program's token budget over all VMs. What a turn may
// generate at most is reserved in the store before the caller gets its first
// token, and settled when the turn has ended.
package ledger

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// Reservation is what a turn that has not ended may still generate.
type Reservation struct {
	Turn   structs.RequestID `msgpack:"t"`
	Tokens int64             `msgpack:"n"`
	// At is the Unix millisecond at which the turn was reserved.
	At int64 `msgpack:"a"`
}

// Book is a program's account of tokens.
//
// Invariant: Spent plus the open reservations is no less than the tokens that
// callers got, and stays below the budget plus the most of one turn.
type Book struct {
	Spent int64         `msgpack:"s"`
	Open  []Reservation `msgpack:"o,omitempty"`
}

// reservationLife is when an open reservation is taken for a lost one: its turn
// can no longer run, since callers wait less. It then counts as spent.
const reservationLife = 30 * time.Second

// SpentError says that a program's budget is used up.
type SpentError struct{ Spent, Budget int64 }

// Error gives both.
func (e *SpentError) Error() string {
	return fmt.Sprintf("%d tokens of a budget of %d are spent", e.Spent, e.Budget)
}

// BusyError says that turns in progress may use up what is left.
type BusyError struct{ Spent, Reserved, Budget int64 }

// Error gives all three.
func (e *BusyError) Error() string {
	return fmt.Sprintf("%d tokens are spent and %d reserved of a budget of %d", e.Spent, e.Reserved, e.Budget)
}

// Reserved returns the tokens of the open reservations.
func (b *Book) Reserved() int64 {
	var sum int64
	for _, r := range b.Open {
		sum += r.Tokens
	}
	return sum
}

// Reserve opens a reservation, or returns *SpentError or *BusyError. The last
// turn may pass the budget by less than its own tokens.
func (b *Book) Reserve(r Reservation, budget int64) error {
	if b.holds(r.Turn) {
		return nil // an attempt without an answer was applied
	}
	b.expire(r.At)
	if b.Spent >= budget {
		return &SpentError{Spent: b.Spent, Budget: budget}
	}
	if reserved := b.Reserved(); b.Spent+reserved >= budget {
		return &BusyError{Spent: b.Spent, Reserved: reserved, Budget: budget}
	}
	b.Open = append(b.Open, r)
	return nil
}

// Extend opens a reservation for a turn that is yet to come, and reports whether
// it did. Beside it the budget must have room for a turn at another VM, which
// can't use this one.
func (b *Book) Extend(r Reservation, budget int64) bool {
	if b.holds(r.Turn) {
		return true
	}
	if b.Spent+b.Reserved()+2*r.Tokens > budget {
		return false
	}
	b.Open = append(b.Open, r)
	return true
}

func (b *Book) holds(turn structs.RequestID) bool {
	for _, r := range b.Open {
		if r.Turn == turn {
			return true
		}
	}
	return false
}

// Settle replaces a turn's reservation by the tokens that its caller got.
func (b *Book) Settle(turn structs.RequestID, tokens int64) {
	for i, r := range b.Open {
		if r.Turn == turn {
			b.Open = append(b.Open[:i], b.Open[i+1:]...)
			b.Spent += tokens
			return
		}
	}
}

func (b *Book) expire(now int64) {
	kept := b.Open[:0]
	for _, r := range b.Open {
		if now-r.At > reservationLife.Milliseconds() {
			b.Spent += r.Tokens
			continue
		}
		kept = append(kept, r)
	}
	b.Open = kept
}

// Clone returns a copy that shares nothing.
func (b *Book) Clone() Book {
	return Book{Spent: b.Spent, Open: append([]Reservation(nil), b.Open...)}
}

func (b *Book) encode() ([]byte, error) { return msgpack.Marshal(b) }

func decodeBook(value []byte) (Book, error) {
	var b Book
	err := msgpack.Unmarshal(value, &b)
	return b, err
}
