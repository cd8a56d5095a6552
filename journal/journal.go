// Package journal defines the durable record of what a slot's owner has
// accepted: programs created, intents of calls that may not be repeated, turns
// and ends. A record is durable once it stands in the platform's store or at a
// majority of the slot's witnesses; a successor reads both.
package journal

import (
	"context"
	"fmt"

	"github.com/endivecourse/endivecourse/structs"
)

// Kind tells records apart.
type Kind uint8

// Kinds of Record. Body is the msgpack encoding of the type in the comment.
const (
	KindCreated Kind = iota + 1 // structs.CreateProgram
	KindIntent                  // Intent
	KindTurn                    // structs.Turn
	KindEnded                   // Ended
)

// Record is one durable fact about one program. Seq numbers the records of a
// program from 1 without gaps, over all epochs.
type Record struct {
	Slot    structs.Slot      `msgpack:"s"`
	Epoch   structs.Epoch     `msgpack:"e"`
	Program structs.ProgramID `msgpack:"g"`
	Seq     uint64            `msgpack:"q"`
	Kind    Kind              `msgpack:"k"`
	Body    []byte            `msgpack:"b"`
}

// Intent says that a call is about to be sent to a target. Reserved is the
// budget set aside for it, in tokens.
type Intent struct {
	Number         uint64            `msgpack:"n"`
	Service        structs.ServiceID `msgpack:"s"`
	Target         structs.TargetID  `msgpack:"t"`
	Fingerprint    uint64            `msgpack:"f"`
	IdempotencyKey string            `msgpack:"i,omitempty"`
	Reserved       int64             `msgpack:"r"`
	// IsRepeatable says that the call may be sent again: without its turn it
	// costs its reservation and its number stays free. One with nothing
	// reserved withdraws the intent before it.
	IsRepeatable bool `msgpack:"y,omitempty"`
}

// Ended says that a program has ended and why.
type Ended struct {
	Reason string `msgpack:"w"`
}

// Journal keeps records. Its implementations are safe for concurrent use.
type Journal interface {
	// Append returns nil once all records are durable. *FencedError means
	// that the epoch is revoked and nothing may be concluded as accepted;
	// *FullError that the unstored tail has no room and nothing was kept. Any
	// other error leaves the outcome unknown.
	Append(ctx context.Context, records []Record) error
	// Recover returns every durable record of a slot's live programs written
	// under earlier epochs, ordered by program and Seq. A program counts as
	// live as long as its root does, since a parent's budget counts its ended
	// children; one that ended under the last epoch may be among them, so that
	// a duplicate of its calls is still recognised. It is called by the
	// owner of a new epoch before it serves the slot.
	Recover(ctx context.Context, slot structs.Slot, epoch structs.Epoch) ([]Record, error)
}

// SlotChange says that this process gained or lost a slot.
type SlotChange struct {
	Slot   structs.Slot
	Epoch  structs.Epoch
	IsHeld bool
	// IsContinued says, of a gain, that this process has owned the slot all along
	// under earlier epochs: no other owner was between, what is running goes
	// on, and nothing is to be recovered.
	IsContinued bool
}

// Ownership tells which slots this process owns.
type Ownership interface {
	// HeldEpoch returns the epoch under which this process owns the slot at this
	// instant, and false when it does not.
	HeldEpoch(slot structs.Slot) (structs.Epoch, bool)
	// OwnerAddr returns the wire address of the slot's owner as far as known.
	OwnerAddr(slot structs.Slot) string
	// Changes delivers every gain and loss in order.
	Changes() <-chan SlotChange
}

// FencedError says that an epoch is revoked.
type FencedError struct {
	Slot  structs.Slot
	Epoch structs.Epoch
}

// Error names the slot and the epoch.
func (e *FencedError) Error() string {
	return fmt.Sprintf("epoch %d of slot %d is revoked", e.Epoch, e.Slot)
}

// FullError says that the tail of records not yet stored has no room.
type FullError struct {
	Bytes, Max int64
}

// Error names both sizes.
func (e *FullError) Error() string {
	return fmt.Sprintf("journal tail holds %d of %d bytes", e.Bytes, e.Max)
}
