package lease

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Kind is the type of a message between processes.
type Kind uint8

// Kinds of Message.
const (
	RenewRequest    Kind = iota + 1 // owner to witness
	RenewAck                        // witness to owner: the renewal is acknowledged
	RenewNack                       // witness to owner: the witness has promised to refuse the epoch
	PromiseRequest                  // successor to witness: no longer acknowledge the epoch
	PromiseGranted                  // witness to successor
	PromiseDeclined                 // witness to successor: the owner renewed recently
	ReleaseNotice                   // owner to the next owner: the row is released
)

// Message is sent from one process to another. The receiver drops it if
// To.Incarnation is not its own.
type Message struct {
	Kind  Kind
	From  Member
	To    Member
	Group Group
	Epoch structs.Epoch
	Round uint64 // number of the renewal
	// Age is set in PromiseGranted: how long ago the witness acknowledged a renewal of
	// the group, by its own clock and at most maxAckAge.
	Age time.Duration
}

// Event is an input of Node.Step.
type Event interface{ event() }

// Events.
type (
	// Tick drives renewals and timeouts. It is due once every renewal interval.
	Tick struct{}
	// Wake continues successions between Ticks. It may come at any time.
	Wake struct{}
	// MessageReceived is a message from another process.
	MessageReceived struct{ Message Message }
	// RowRead is a group's row as it was in the table at some instant after the request
	// was sent at Sent. Version 0 means that the row doesn't exist. A write that
	// conflicts is reported as a RowRead of the row that it found.
	RowRead struct {
		Sent    structs.Instant
		Group   Group
		Row     Row
		Version uint64
	}
	// RowWritten reports that a WriteRow sent at Sent took effect.
	RowWritten struct {
		Sent    structs.Instant
		Group   Group
		Row     Row
		Version uint64
	}
	// WriteFailed reports that a WriteRow failed. Unknown is false only if it certainly
	// had no effect and will have none.
	WriteFailed struct {
		Group   Group
		Version uint64 // of the WriteRow
		Unknown bool
	}
	// Peers lists the live schedulers of the domain that may own groups and be
	// witnesses. It includes this process unless the process is leaving.
	Peers struct{ Members []Member }
	// VMRemoved reports that a VM is no longer in the platform's list.
	VMRemoved struct{ VM structs.VMID }
	// ProcessSeen reports that the member answered a request sent at Sent. A VM runs
	// one scheduler at a time.
	ProcessSeen struct {
		Sent   structs.Instant
		Member Member
	}
	// TailMoved reports that a MoveTail is done.
	TailMoved struct {
		Group Group
		Epoch structs.Epoch
	}
	// TailCollected reports that a CollectTail is done.
	TailCollected struct {
		Group Group
		Epoch structs.Epoch
	}
	// HandoverReady reports that the caller has finished the work for a Handover.
	HandoverReady struct {
		Group Group
		Epoch structs.Epoch
		To    structs.Incarnation
	}
	// ReleaseAll releases every group for good.
	ReleaseAll struct{}
	// StopAcquiring stops this process from taking further groups. It keeps the groups
	// that it owns until ReleaseGroup or ReleaseAll.
	StopAcquiring struct{}
	// ReleaseGroup releases one group. The caller has finished its work on it.
	ReleaseGroup struct {
		Group Group
		Epoch structs.Epoch
	}
)

func (Tick) event()            {}
func (Wake) event()            {}
func (MessageReceived) event() {}
func (RowRead) event()         {}
func (RowWritten) event()      {}
func (WriteFailed) event()     {}
func (Peers) event()           {}
func (VMRemoved) event()       {}
func (ProcessSeen) event()     {}
func (TailMoved) event()       {}
func (TailCollected) event()   {}
func (HandoverReady) event()   {}
func (ReleaseAll) event()      {}
func (StopAcquiring) event()   {}
func (ReleaseGroup) event()    {}

// Action is an output of Node.Step.
type Action interface{ action() }

// Actions.
type (
	// SendMessage sends a message, which may be lost.
	SendMessage struct{ Message Message }
	// ReadRow requests a RowRead of the group.
	ReadRow struct{ Group Group }
	// WriteRow writes the row if its version in the table is still Version. Exactly one
	// of RowWritten, RowRead (on a conflict) and WriteFailed must follow.
	WriteRow struct {
		Group   Group
		Row     Row
		Version uint64
	}
	// MoveTail requests that all records of the group that are not yet stored be stored
	// or be held by a majority of the pending witnesses.
	MoveTail struct {
		Group            Group
		Epoch            structs.Epoch
		PendingWitnesses []Member
	}
	// CollectTail requests that all records of the group up to Epoch that the witnesses
	// hold be stored. The witnesses have already promised.
	CollectTail struct {
		Group Group
		Epoch structs.Epoch
		Row   Row
	}
	// Handover proposes that To own the group, for balance. The caller finishes its
	// current work and answers with HandoverReady.
	Handover struct {
		Group Group
		Epoch structs.Epoch
		To    structs.Incarnation
	}
	// Gained reports that this process owns the group under the epoch. Node.HeldEpoch
	// tells whether the lease is valid at a given instant.
	Gained struct {
		Group Group
		Epoch structs.Epoch
	}
	// Lost reports that this process no longer owns the group under that epoch.
	Lost struct {
		Group Group
		Epoch structs.Epoch
	}
)

func (SendMessage) action() {}
func (ReadRow) action()     {}
func (WriteRow) action()    {}
func (MoveTail) action()    {}
func (CollectTail) action() {}
func (Handover) action()    {}
func (Gained) action()      {}
func (Lost) action()        {}
