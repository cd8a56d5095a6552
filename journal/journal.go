// Package journal defines the durable records of what a slot's owner has accepted:
// programs created, intents of calls that may not be repeated, turns and ends. A record
// is durable once it is in the platform's store or a majority of the slot's witnesses
// hold it; a successor reads both.
package journal

import (
	"context"
	"fmt"

	"github.com/endivecourse/endivecourse/structs"
)

// Kind is the type of a record.
type Kind uint8

// Kinds of Record. Body is the msgpack encoding of the type in the comment.
const (
	KindCreated Kind = iota + 1 // structs.CreateProgram
	KindIntent                  // Intent
	KindTurn                    // structs.Turn
	KindEnded                   // Ended
)

// Record is one durable fact about one program. Seq numbers the records of a program
// from 1 without gaps, across epochs.
type Record struct {
	Slot    structs.Slot      `msgpack:"s"`
	Epoch   structs.Epoch     `msgpack:"e"`
	Program structs.ProgramID `msgpack:"g"`
	Seq     uint64            `msgpack:"q"`
	Kind    Kind              `msgpack:"k"`
	Body    []byte            `msgpack:"b"`
}

// Intent records that a call is about to be sent to a target. Reserved is the budget
// reserved for the call, in tokens.
type Intent struct {
	Number         uint64            `msgpack:"n"`
	Service        structs.ServiceID `msgpack:"s"`
	Target         structs.TargetID  `msgpack:"t"`
	Fingerprint    uint64            `msgpack:"f"`
	IdempotencyKey string            `msgpack:"i,omitempty"`
	Reserved       int64             `msgpack:"r"`
	// IsRepeatable is set if the call may be sent again: without a recorded turn, the call
	// costs its reservation and its number stays free. A repeatable intent with nothing
	// reserved withdraws the intent before it.
	IsRepeatable bool `msgpack:"y,omitempty"`
}

// Ended records that a program has ended and why.
type Ended struct {
	Reason string `msgpack:"w"`
}

// Journal stores records. Implementations must be safe for concurrent use.
type Journal interface {
	// Append returns nil once all records are durable. *FencedError means that the epoch
	// is revoked and that none of the records may be treated as accepted. *FullError means
	// that the tail of records not yet stored has no room, and nothing was kept. After any
	// other error the outcome is unknown.
	Append(ctx context.Context, records []Record) error
	// Recover returns every durable record of a slot's live programs that was written
	// under earlier epochs, ordered by program and Seq. A program counts as live as long
	// as its root does, because a parent's budget includes its ended children. A program
	// that ended under the last epoch may be included, so that a duplicate of its calls
	// is still recognised. The owner of a new epoch calls Recover before it serves the
	// slot.
	Recover(ctx context.Context, slot structs.Slot, epoch structs.Epoch) ([]Record, error)
}

// SlotChange reports that this process gained or lost a slot.
type SlotChange struct {
	Slot   structs.Slot
	Epoch  structs.Epoch
	IsHeld bool
	// IsContinued is set on a gain if this process has owned the slot without a break
	// under earlier epochs: there was no other owner in between, running work continues,
	// and nothing has to be recovered.
	IsContinued bool
}

// Ownership reports which slots this process owns.
type Ownership interface {
	// HeldEpoch returns the epoch under which this process owns the slot now, and false
	// if it doesn't own it.
	HeldEpoch(slot structs.Slot) (structs.Epoch, bool)
	// OwnerAddr returns the last known wire address of the slot's owner, empty if there
	// is none.
	OwnerAddr(slot structs.Slot) string
	// Changes delivers every gain and loss in order.
	Changes() <-chan SlotChange
}

// FencedError reports that an epoch is revoked.
type FencedError struct {
	Slot  structs.Slot
	Epoch structs.Epoch
}

// Error returns the slot and the epoch.
func (e *FencedError) Error() string {
	return fmt.Sprintf("epoch %d of slot %d is revoked", e.Epoch, e.Slot)
}

// FullError reports that the tail of records not yet stored has no room.
type FullError struct {
	Bytes, Max int64
}

// Error returns the size of the tail and its limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("journal tail holds %d of %d bytes", e.Bytes, e.Max)
}
