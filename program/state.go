package program

import (
	"sort"
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

type state uint8

const (
	stateCreating state = iota + 1
	stateLive
	stateEnding  // no new call is accepted
	stateEnded   // the end record is durable
	stateCorrupt // the recovered history is incomplete or inconsistent
)

// program is the state of one program of an owned slot.
type program struct {
	spec        structs.CreateProgram // Budget is the resolved one
	slot        structs.Slot
	epoch       structs.Epoch
	state       state
	idleLimit   time.Duration
	lastActive  structs.Instant // time of the last activity of a caller or a call
	isEphemeral bool            // made for one repeatable call; nothing is recorded

	spent, reserved int64
	withdrawnTokens int64 // reservation of the intent that is being withdrawn
	historyTokens   int64 // prompt and output tokens of the last model turn

	seq             uint64           // sequence number of the last record
	deferredRecords []journal.Record // appended with the next write
	pendingWrite    *write

	turns       []structs.Turn
	messages    []structs.Message // messages of all turns
	numberByKey map[string]uint64 // idempotency key -> call number

	running       *call
	reorderWindow map[uint64]*call // calls that wait for a call with a lower number
	openIntent    *recoveredIntent // recovered intent without a turn

	parent   *program
	children map[structs.ProgramID]*program

	memoryHolds  map[structs.TargetID]*memoryHold
	endReason    string
	endedAt      structs.Instant
	createTokens []Token
	endTokens    []Token
}

// recoveredIntent is an intent found during recovery whose turn is not known.
type recoveredIntent struct {
	journal.Intent
	epoch structs.Epoch
}

// memoryHold is the engine memory that one target may hold for a program.
type memoryHold struct {
	isReleasing bool // a Release action has not been answered yet
	retryDelay  time.Duration
	retryAt     structs.Instant
}

// nextNumber returns the number of the first call that has no turn.
func (p *program) nextNumber() uint64 { return uint64(len(p.turns)) + 1 }

func (p *program) budgetLeft() int64 { return p.spec.Budget - p.spent - p.reserved }

func (p *program) info() structs.ProgramInfo {
	return structs.ProgramInfo{
		ID: p.spec.ID, Account: p.spec.Account, Kind: p.spec.Kind, Parent: p.spec.Parent,
		Budget: p.spec.Budget, Spent: p.spent, Reserved: p.reserved, NextNumber: p.nextNumber(),
		Ended: p.state == stateEnded, EndedReason: p.endReason, Epoch: p.epoch,
	}
}

func (p *program) depth() int {
	depth := 0
	for q := p.parent; q != nil; q = q.parent {
		depth++
	}
	return depth
}

type stage uint8

const (
	stageWaiting stage = iota + 1 // waits for the calls before it
	stageQueued                   // in the queue of calls that wait for a target
	stageIntent                   // its intent is being written
	stageSent                     // sent to a target
	stageTurn                     // its turn is being written
)

// caller is one request that waits for the response to a call.
type caller struct {
	token      Token
	request    structs.RequestID
	hasStarted bool
}

// call is one accepted call that has no durable turn yet.
type call struct {
	id           CallID
	program      *program
	spec         structs.Call
	number       uint64
	fingerprint  uint64
	isRepeatable bool
	deadline     structs.Instant
	callers      []*caller
	stage        stage

	target           structs.TargetID
	attempt          int
	hasDurableIntent bool // its intent, with the highest possible cost, is durable
	mayHaveRun       bool // an attempt may have reached a target and its outcome is not known
	isRefused        bool // its callers were refused while its intent was being written
	reserved         int64
	maxOutput        int64 // output tokens, at most
	lostTokens       int64 // tokens charged for attempts with an unknown outcome

	status      int
	header      map[string][]string
	response    []byte
	hasResponse bool // a part of the response was received
	usage       structs.Usage
	refusal     *structs.Refusal // sent to the callers if the outcome is unknown
}

// sortedPrograms returns the matching programs ordered by ID, so that equal
// inputs give equal outputs.
func (c *Core) sortedPrograms(match func(*program) bool) []*program {
	var list []*program
	for _, p := range c.programs {
		if match(p) {
			list = append(list, p)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].spec.ID < list[j].spec.ID })
	return list
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
