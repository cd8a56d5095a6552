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

// Create asks for a program. Budget and IdleLimit are those of its kind.
type Create struct {
	Token     Token
	Request   structs.CreateProgram
	Budget    int64
	IdleLimit time.Duration
	MaxDepth  int
}

// Arrived brings a call. Budget and IdleLimit are those of the call's kind and
// matter only when the call creates its program.
type Arrived struct {
	Token      Token
	Call       structs.Call
	Repeatable bool
	Timeout    time.Duration
	Budget     int64
	IdleLimit  time.Duration
}

// Detached says that a caller is gone. Its call runs on and is recorded.
type Detached struct{ Token Token }

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
	WriteFull
	WriteUnknown
)

// Wrote reports the outcome of a Write action.
type Wrote struct {
	ID     WriteID
	Result WriteResult
}

// Chosen says that a waiting call has been given a target. It is answered by
// exactly one of Send and Abort.
type Chosen struct {
	Call   CallID
	Target structs.TargetID
}

// Rejected says that a waiting call must not be given a target.
type Rejected struct {
	Call    CallID
	Refusal *structs.Refusal
}

// Part is a part of a target's answer.
type Part struct {
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
	ResultDone    Result = iota + 1 // the whole answer came
	ResultNotSent                   // no byte left for the target
	ResultBroken                    // the end was not seen
	ResultRefused                   // the target refused before running it
	ResultFailed                    // the target failed after running it
)

// String names the result for logs.
func (r Result) String() string {
	switch r {
	case ResultDone:
		return "done"
	case ResultNotSent:
		return "not_sent"
	case ResultBroken:
		return "broken"
	case ResultRefused:
		return "refused"
	case ResultFailed:
		return "failed"
	}
	return "unknown"
}

// Finished reports the end of a Send action.
type Finished struct {
	Call    CallID
	Attempt int
	Result  Result
	Usage   structs.Usage
	Detail  string
}

// Released reports the outcome of a Release action.
type Released struct {
	Program structs.ProgramID
	Target  structs.TargetID
	OK      bool
}

// TargetLeft says that a target and its memory are gone.
type TargetLeft struct{ Target structs.TargetID }

// Held lists the programs for which a target reports memory.
type Held struct {
	Target   structs.TargetID
	Programs []structs.ProgramID
}

// Tick lets time pass: limits and retries are looked at.
type Tick struct{}

func (SlotGained) isEvent()    {}
func (SlotLost) isEvent()      {}
func (SlotContinued) isEvent() {}
func (Create) isEvent()        {}
func (Arrived) isEvent()       {}
func (Detached) isEvent()      {}
func (EndRequested) isEvent()  {}
func (Wrote) isEvent()         {}
func (Chosen) isEvent()        {}
func (Rejected) isEvent()      {}
func (Part) isEvent()          {}
func (Finished) isEvent()      {}
func (Released) isEvent()      {}
func (TargetLeft) isEvent()    {}
func (Held) isEvent()          {}
func (Tick) isEvent()          {}
