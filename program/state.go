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
	stateEnding  // no new call is taken
	stateEnded   // the end is durable
	stateDamaged // the recovered history is not whole
)

// program is one program of an owned slot.
type program struct {
	spec      structs.CreateProgram // Budget is resolved
	slot      structs.Slot
	epoch     structs.Epoch
	state     state
	idleLimit time.Duration
	active    structs.Instant // when a caller or a call last did something
	ephemeral bool            // one call that may be repeated: nothing is recorded

	spent, reserved int64
	voided          int64 // reservation of an intent that is being withdrawn
	historyTokens   int64 // prompt and output of the last model turn

	seq       uint64           // of the last record handed to the journal
	unwritten []journal.Record // go with the next write
	writing   *write

	turns  []structs.Turn
	prefix []structs.Message // messages of all turns that ran
	keys   map[string]uint64 // idempotency key -> call number

	running *call
	window  map[uint64]*call // calls that wait for an earlier number
	open    *openIntent      // recovered without its turn

	parent   *program
	children map[structs.ProgramID]*program

	holds     map[structs.TargetID]*hold
	endReason string
	endedAt   structs.Instant
	creators  []Token
	enders    []Token
}

// openIntent is a recovered intent of which no turn is known.
type openIntent struct {
	journal.Intent
	epoch structs.Epoch
}

// hold is engine memory that a target may keep for a program.
type hold struct {
	asked   bool // a Release is under way
	delay   time.Duration
	retryAt structs.Instant
}

// next is the number of the first call that has no turn.
func (p *program) next() uint64 { return uint64(len(p.turns)) + 1 }

func (p *program) left() int64 { return p.spec.Budget - p.spent - p.reserved }

func (p *program) info() structs.ProgramInfo {
	return structs.ProgramInfo{
		ID: p.spec.ID, Account: p.spec.Account, Kind: p.spec.Kind, Parent: p.spec.Parent,
		Budget: p.spec.Budget, Spent: p.spent, Reserved: p.reserved, NextNumber: p.next(),
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
	stageHeld   stage = iota + 1 // waits for an earlier number
	stageQueued                  // waits for a target
	stageIntent                  // waits for its intent to be durable
	stageSent                    // at a target
	stageTurn                    // waits for its turn to be durable
)

// caller is one request that waits for the answer to a call.
type caller struct {
	token   Token
	request structs.RequestID
	started bool
}

// call is one accepted call without a durable turn.
type call struct {
	id          CallID
	program     *program
	spec        structs.Call
	number      uint64
	fingerprint uint64
	repeatable  bool
	deadline    structs.Instant
	callers     []*caller
	stage       stage

	target   structs.TargetID
	attempt  int
	intent   bool // its intent, with all that it may cost, is durable
	sent     bool // bytes may have reached a target without a known end
	expired  bool // refused while its intent was being written
	reserved int64
	output   int64 // limit of output tokens
	lost     int64 // cost of attempts with an unknown outcome

	status  int
	header  map[string][]string
	answer  []byte
	begun   bool // a part of the answer has come
	usage   structs.Usage
	refusal *structs.Refusal // for a turn whose outcome is unknown
}

// sorted returns the programs that match in the order of their IDs, so that
// equal inputs give equal outputs.
func (c *Core) sorted(match func(*program) bool) []*program {
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
