package program

import (
	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

// Action is one operation that the runtime must carry out.
type Action interface{ isAction() }

// Write appends records to the journal. The runtime answers with WriteFinished. A
// retry carries the same ID and the same records.
type Write struct {
	ID      WriteID
	Records []journal.Record
}

// Enqueue adds a call to the queue of calls that wait for a target.
type Enqueue struct {
	Call        CallID
	Item        queue.Item
	Fingerprint uint64
}

// Dequeue removes a call from the queue.
type Dequeue struct {
	Call    CallID
	Service structs.ServiceID
}

// UnassignTarget is the reply to TargetAssigned when the call is not sent. It
// releases the capacity that was reserved for the call at the target.
type UnassignTarget struct {
	Call   CallID
	Target structs.TargetID
}

// Send sends a call to a target. The runtime answers with any number of
// ResponsePart events and one DispatchFinished. It sends only while it holds the
// slot under Epoch.
type Send struct {
	Call        CallID
	Attempt     int
	Slot        structs.Slot
	Epoch       structs.Epoch
	Service     structs.ServiceID
	Target      structs.TargetID
	Fingerprint uint64
	Request     target.Request
}

// CancelSend cancels a dispatch whose response is no longer needed.
type CancelSend struct {
	Call    CallID
	Attempt int
}

// DeliverEvent delivers one event of a response to a caller. EventDone and
// EventRefused are final.
type DeliverEvent struct {
	Token Token
	Event structs.CallEvent
}

// DeliverInfo answers CreateRequested and EndRequested.
type DeliverInfo struct {
	Token Token
	Info  structs.ProgramInfo
}

// Refuse rejects CreateRequested, CallArrived or EndRequested.
type Refuse struct {
	Token   Token
	Refusal *structs.Refusal
}

// Release frees the memory that a target holds for an ended program. The
// runtime answers with ReleaseFinished.
type Release struct {
	Program structs.ProgramID
	Target  structs.TargetID
}

// DropProgram says that the program makes no further calls under this owner, so
// that the runtime can drop its own state of the program.
type DropProgram struct{ Program structs.ProgramID }

// ReportViolation reports a violated invariant.
type ReportViolation struct{ Err *structs.InvariantError }

func (Write) isAction()           {}
func (Enqueue) isAction()         {}
func (Dequeue) isAction()         {}
func (UnassignTarget) isAction()  {}
func (Send) isAction()            {}
func (CancelSend) isAction()      {}
func (DeliverEvent) isAction()    {}
func (DeliverInfo) isAction()     {}
func (Refuse) isAction()          {}
func (Release) isAction()         {}
func (DropProgram) isAction()     {}
func (ReportViolation) isAction() {}
