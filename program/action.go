package program

import (
	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

// Action is something that the runtime has to do.
type Action interface{ isAction() }

// Write appends records to the journal and is answered by Wrote. A repeated
// write has the same records.
type Write struct {
	ID      WriteID
	Records []journal.Record
}

// Enqueue lets a call wait for a target.
type Enqueue struct {
	Call        CallID
	Item        queue.Item
	Fingerprint uint64
}

// Dequeue takes back an Enqueue.
type Dequeue struct {
	Call    CallID
	Service structs.ServiceID
}

// UnassignTarget answers Chosen when the call is not sent.
type UnassignTarget struct {
	Call   CallID
	Target structs.TargetID
}

// Send sends a call to a target and is answered by Parts and one Finished. The
// runtime sends only while it holds the slot under the epoch.
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

// CancelSend ends a dispatch whose answer is no longer wanted.
type CancelSend struct {
	Call    CallID
	Attempt int
}

// DeliverEvent passes one event of an answer to a caller. EventDone and EventRefused
// are the last.
type DeliverEvent struct {
	Token Token
	Event structs.CallEvent
}

// DeliverInfo answers Create and EndRequested.
type DeliverInfo struct {
	Token Token
	Info  structs.ProgramInfo
}

// Refuse refuses Create, Arrived and EndRequested.
type Refuse struct {
	Token   Token
	Refusal *structs.Refusal
}

// Release frees what a target holds for an ended program and is answered by
// Released.
type Release struct {
	Program structs.ProgramID
	Target  structs.TargetID
}

// DropProgram says that nothing more will come from a program.
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
