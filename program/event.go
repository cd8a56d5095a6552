package program

import (
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

type (
	// Token names one waiting request of a caller. The runtime draws it.
	Token uint64
	// CallID names one accepted call in this process.
	CallID uint64
	// WriteID names one append to the journal.
	WriteID uint64
)

// Event is something that happened outside the core.
type Event interface{ isEvent() }

// SlotGained says that this process owns a slot and what its journal holds.
type SlotGained struct {
	Slot    structs.Slot
	Epoch   structs.Epoch
	Records []journal.Record
}

// SlotContinued says that this process goes on owning a slot under a later
// epoch.
type SlotContinued struct {
	Slot  structs.Slot
	Epoch structs.Epoch
}

// SlotLost says that this process no longer owns a slot.
type SlotLost struct{ Slot structs.Slot }

// CreateRequested asks for a program. Budget and IdleLimit are those of its kind.
type CreateRequested struct {
	Token     Token
	Request   structs.CreateProgram
	Budget    int64
	IdleLimit time.Duration
	MaxDepth  int
}

// CallArrived brings a call. Budget and IdleLimit are those of the call's kind and
// matter only when the call creates its program.
type CallArrived struct {
	Token        Token
	Call         structs.Call
	IsRepeatable bool
	Timeout      time.Duration
	Budget       int64
	IdleLimit    time.Duration
}

// CallerDisconnected says that a caller is gone. Its call runs on and is recorded.
type CallerDisconnected struct{ Token Token }

// EndRequested asks for the end of a program.
type EndRequested struct {
	Token   Token
	ID      structs.ProgramID
	Account structs.AccountID // empty for an operator
}

// WriteResult is the outcome of an append to the journal.
type WriteResult uint8

// Outcomes of an append.
const (
	WriteDurable WriteResult = iota + 1
	WriteFenced
	WriteTailFull
	WriteUnknown
)

// WriteFinished reports the outcome of a Write action.
type WriteFinished struct {
	ID     WriteID
	Result WriteResult
}

// TargetAssigned says that a waiting call has been given a target. It is answered by
// exactly one of Send and Abort.
type TargetAssigned struct {
	Call   CallID
	Target structs.TargetID
}

// CallRejected says that a waiting call must not be given a target.
type CallRejected struct {
	Call    CallID
	Refusal *structs.Refusal
}

// ResponsePart is a part of a target's answer.
type ResponsePart struct {
	Call    CallID
	Attempt int
	Status  int
	Header  map[string][]string
	Data    []byte
}

// Result is how a dispatch ended.
type Result uint8

// Ends of a dispatch.
const (
	ResultDone       Result = iota + 1 // the whole answer came
	ResultNotSent                      // no byte left for the target
	ResultIncomplete                   // the end was not seen
	ResultRefused                      // the target refused before running it
	ResultFailed                       // the target failed after running it
)

// String names the result for logs.
func (r Result) String() string {
	switch r {
	case ResultDone:
		return "done"
	case ResultNotSent:
		return "not_sent"
	case ResultIncomplete:
		return "broken"
	case ResultRefused:
		return "refused"
	case ResultFailed:
		return "failed"
	}
	return "unknown"
}

// DispatchFinished reports the end of a Send action.
type DispatchFinished struct {
	Call    CallID
	Attempt int
	Result  Result
	Usage   structs.Usage
	Detail  string
}

// ReleaseFinished reports the outcome of a Release action.
type ReleaseFinished struct {
	Program structs.ProgramID
	Target  structs.TargetID
	OK      bool
}

// TargetRemoved says that a target and its memory are gone.
type TargetRemoved struct{ Target structs.TargetID }

// MemoryReported lists the programs for which a target reports memory.
type MemoryReported struct {
	Target   structs.TargetID
	Programs []structs.ProgramID
}

// Tick lets time pass: limits and retries are looked at.
type Tick struct{}

func (SlotGained) isEvent()         {}
func (SlotLost) isEvent()           {}
func (SlotContinued) isEvent()      {}
func (CreateRequested) isEvent()    {}
func (CallArrived) isEvent()        {}
func (CallerDisconnected) isEvent() {}
func (EndRequested) isEvent()       {}
func (WriteFinished) isEvent()      {}
func (TargetAssigned) isEvent()     {}
func (CallRejected) isEvent()       {}
func (ResponsePart) isEvent()       {}
func (DispatchFinished) isEvent()   {}
func (ReleaseFinished) isEvent()    {}
func (TargetRemoved) isEvent()      {}
func (MemoryReported) isEvent()     {}
func (Tick) isEvent()               {}
