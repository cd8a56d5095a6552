package lease

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Kind tells messages between processes apart.
type Kind uint8

// Kinds of Message.
const (
	RenewRequest    Kind = iota + 1 // owner to witness
	RenewAck                        // witness to owner: the renewal is acknowledged
	RenewNack                       // witness to owner: the epoch is promised away
	PromiseRequest                  // successor to witness: acknowledge the epoch no more
	PromiseGranted                  // witness to successor
	PromiseDeclined                 // witness to successor: the owner was heard of lately
	ReleaseNotice                   // owner to the process that is to follow: the row says so
)

// Message goes from one process to another. A message whose To.Incarnation is
// not the receiver's is dropped.
type Message struct {
	Kind  Kind
	From  Member
	To    Member
	Group Group
	Epoch structs.Epoch
	Round uint64 // of the renewal
	// Age is, in Promised, how long ago the witness acknowledged a renewal of
	// the group, by its own clock and at most maxAge.
	Age time.Duration
}

// Event is an input of Node.Step.
type Event interface{ event() }

// Events.
type (
	// Tick drives renewals and timeouts. It comes once each renewal interval.
	Tick struct{}
	// Wake goes on with successions between Ticks. It may come at any time.
	Wake struct{}
	// MessageReceived is a message from another process.
	MessageReceived struct{ Message Message }
	// RowRead is a group's row as the table held it at some instant after
	// Sent, when the request was sent. Version 0 means that it doesn't exist.
	// A transaction that conflicted is reported by what it found.
	RowRead struct {
		Sent    structs.Instant
		Group   Group
		Row     Row
		Version uint64
	}
	// RowWritten says that a WriteRow, sent at Sent, took effect.
	RowWritten struct {
		Sent    structs.Instant
		Group   Group
		Row     Row
		Version uint64
	}
	// WriteFailed says that a WriteRow has no known effect; Unknown is false
	// only when it certainly had and will have none.
	WriteFailed struct {
		Group   Group
		Version uint64 // of the WriteRow
		Unknown bool
	}
	// Peers lists the live schedulers of the domain that may own groups and
	// be witnesses, this process included unless it is leaving.
	Peers struct{ Members []Member }
	// VMRemoved says that a VM was in the platform's list and is not any more.
	VMRemoved struct{ VM structs.VMID }
	// ProcessSeen says that the member answered a request that was sent at Sent. A
	// VM runs one scheduler at a time.
	ProcessSeen struct {
		Sent   structs.Instant
		Member Member
	}
	// TailMoved answers MoveTail.
	TailMoved struct {
		Group Group
		Epoch structs.Epoch
	}
	// TailCollected answers Collect.
	TailCollected struct {
		Group Group
		Epoch structs.Epoch
	}
	// HandoverReady answers Handover.
	HandoverReady struct {
		Group Group
		Epoch structs.Epoch
		To    structs.Incarnation
	}
	// ReleaseAll gives up every group for good.
	ReleaseAll struct{}
	// StopAcquiring takes no further groups. Those that are held stay until
	// ReleaseGroup or ReleaseAll.
	StopAcquiring struct{}
	// ReleaseGroup gives up one group. The caller has ended its work on it.
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
	// SendMessage asks for a message to be sent; it may be lost.
	SendMessage struct{ Message Message }
	// ReadRow asks for a RowRead of the group.
	ReadRow struct{ Group Group }
	// WriteRow asks for the row to be written if it has the version. Exactly
	// one of RowWritten, RowRead (a conflict) and WriteFailed must follow.
	WriteRow struct {
		Group   Group
		Row     Row
		Version uint64
	}
	// MoveTail asks that all records of the group not yet stored be stored,
	// or be held by a majority of the pending witnesses.
	MoveTail struct {
		Group            Group
		Epoch            structs.Epoch
		PendingWitnesses []Member
	}
	// CollectTail asks that all records of the group up to Epoch which the
	// witnesses hold be stored. The witnesses have promised by now.
	CollectTail struct {
		Group Group
		Epoch structs.Epoch
		Row   Row
	}
	// Handover says that the group is better owned by To, for balance. The
	// caller ends the work at hand and answers HandoverReady.
	Handover struct {
		Group Group
		Epoch structs.Epoch
		To    structs.Incarnation
	}
	// Gained says that this process owns the group under the epoch. Whether
	// the lease runs at a given instant is asked of Node.Held.
	Gained struct {
		Group Group
		Epoch structs.Epoch
	}
	// Lost says that this process owns the group under that epoch no more.
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
