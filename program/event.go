package program

import (
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

type (
	// Token identifies one request of a caller that waits for an answer.
	// The runtime assigns it.
	Token uint64
	// CallID identifies one accepted call in this process.
	CallID uint64
	// WriteID identifies one append to the journal.
	WriteID uint64
)

// Event is an input to the core.
type Event interface{ isEvent() }

// SlotGained says that this process now owns a slot. Records holds the content of
// the slot's journal.
type SlotGained struct {
	Slot    structs.Slot
	Epoch   structs.Epoch
	Records []journal.Record
}

// SlotContinued says that this process still owns a slot, now under a later
// epoch.
type SlotContinued struct {
	Slot  structs.Slot
	Epoch structs.Epoch
}

// SlotLost says that this process no longer owns a slot.
type SlotLost struct{ Slot structs.Slot }

// CreateRequested asks for a new program. Budget and IdleLimit are the limits of
// the program's kind; the requested budget is in Request.
type CreateRequested struct {
	Token     Token
	Request   structs.CreateProgram
	Budget    int64
	IdleLimit time.Duration
	MaxDepth  int
}

// CallArrived delivers a call. Budget and IdleLimit are the limits of the call's
// kind and are used only when the call creates its program.
type CallArrived struct {
	Token        Token
	Call         structs.Call
	IsRepeatable bool
	Timeout      time.Duration
	Budget       int64
	IdleLimit    time.Duration
}

// CallerDisconnected says that a caller no longer waits. Its call still runs to
// the end and is recorded.
type CallerDisconnected struct{ Token Token }

// EndRequested asks to end a program.
type EndRequested struct {
	Token   Token
	ID      structs.ProgramID
	Account structs.AccountID // empty for an operator
}

// WriteResult is the outcome of an append to the journal.
type WriteResult uint8

// Outcomes of an append.
const (
	WriteDurable  WriteResult = iota + 1 // all records are durable
	WriteFenced                          // the epoch is revoked
	WriteTailFull                        // the journal has no room; nothing was kept
	WriteUnknown                         // the records may be durable
)

// WriteFinished reports the outcome of a Write action.
type WriteFinished struct {
	ID     WriteID
	Result WriteResult
}

// TargetAssigned says that a target was chosen for a queued call. The core
// answers with exactly one of Send and UnassignTarget.
type TargetAssigned struct {
	Call   CallID
	Target structs.TargetID
}

// CallRejected says that a queued call must not be sent to any target.
type CallRejected struct {
	Call    CallID
	Refusal *structs.Refusal
}

// ResponsePart is one part of a target's response.
type ResponsePart struct {
	Call    CallID
	Attempt int
	Status  int
	Header  map[string][]string
	Data    []byte
}

// Result is the outcome of a dispatch.
type Result uint8

// Outcomes of a dispatch.
const (
	ResultDone       Result = iota + 1 // the complete response was received
	ResultNotSent                      // no byte was sent to the target
	ResultIncomplete                   // the response ended early; the call may have run
	ResultRefused                      // the target refused the call without running it
	ResultFailed                       // the target reported a failure; the call may have run
)

// String returns the result as it appears in logs.
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

// TargetRemoved says that a target no longer exists and that its memory is lost.
type TargetRemoved struct{ Target structs.TargetID }

// MemoryReported lists the programs for which a target says that it holds memory.
type MemoryReported struct {
	Target   structs.TargetID
	Programs []structs.ProgramID
}

// Tick advances the time: the core applies the limits and retries that are due.
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
