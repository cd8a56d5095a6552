package program

import (
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Options configures a Core. Slots and Domain are required; a zero value in any
// other field selects the default.
type Options struct {
	Domain           structs.DomainID
	Slots            int
	MaxPrograms      int
	MaxCalls         int // accepted calls without a durable turn, at most
	ReorderWindow    int
	MaxAttempts      int   // dispatches of one call, at most
	MaxResponseBytes int   // size of one response, at most
	DefaultMaxTokens int64 // output tokens of a call that sets no limit
	RetryDelay       time.Duration
	// EndedRetention is how long an ended program is kept in memory. A duplicate
	// of one of its calls is recognized only during this time.
	EndedRetention time.Duration
	// IdleLimit returns the idle limit of a kind. It is used for recovered
	// programs; nil means no limit.
	IdleLimit func(kind string) time.Duration

	mutations mutations
}

// mutations disables parts of the algorithm, so that tests can show that their
// checks detect the resulting faults.
type mutations struct {
	skipIntent   bool
	skipRecovery bool
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxPrograms, 20000)
	setDefault(&o.MaxCalls, 4096)
	setDefault(&o.ReorderWindow, 16)
	setDefault(&o.MaxAttempts, 3)
	setDefault(&o.MaxResponseBytes, 8<<20)
	setDefault(&o.DefaultMaxTokens, 1024)
	setDefault(&o.RetryDelay, 200*time.Millisecond)
	setDefault(&o.EndedRetention, 2*time.Minute)
	return o
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Core is the state machine for the programs of the owned slots. It must be used
// from one goroutine only.
type Core struct {
	opts     Options
	now      structs.Instant
	actions  []Action
	slots    map[structs.Slot]structs.Epoch
	programs map[structs.ProgramID]*program
	calls    map[CallID]*call
	writes   map[WriteID]*program
	lastID   uint64
}

// New returns a core that owns no slot.
func New(opts Options) *Core {
	return &Core{
		opts:     opts.withDefaults(),
		slots:    make(map[structs.Slot]structs.Epoch),
		programs: make(map[structs.ProgramID]*program),
		calls:    make(map[CallID]*call),
		writes:   make(map[WriteID]*program),
	}
}

// Step applies one event and returns the resulting actions in the order in which
// they must be carried out.
func (c *Core) Step(now structs.Instant, event Event) []Action {
	c.now = now
	c.actions = nil
	switch e := event.(type) {
	case SlotGained:
		c.acquireSlot(e)
	case SlotContinued:
		c.advanceEpoch(e)
	case SlotLost:
		c.dropSlot(e.Slot)
	case CreateRequested:
		c.createProgram(e)
	case CallArrived:
		c.acceptCall(e)
	case CallerDisconnected:
		c.detachCaller(e.Token)
	case EndRequested:
		c.requestEnd(e)
	case WriteFinished:
		c.handleWriteResult(e)
	case TargetAssigned:
		c.assignTarget(e)
	case CallRejected:
		c.rejectCall(e)
	case ResponsePart:
		c.receivePart(e)
	case DispatchFinished:
		c.finishDispatch(e)
	case ReleaseFinished:
		c.handleReleaseResult(e)
	case TargetRemoved:
		c.removeTarget(e.Target)
	case MemoryReported:
		c.releaseStaleMemory(e)
	case Tick:
		c.tick()
	}
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) reportViolation(name, format string, args ...any) {
	c.emit(ReportViolation{Err: &structs.InvariantError{Package: "program", Name: name, Detail: fmt.Sprintf(format, args...)}})
}

func (c *Core) refuse(token Token, kind structs.RefusalKind, run structs.Run, format string, args ...any) {
	c.emit(Refuse{Token: token, Refusal: structs.Refuse(kind, run, format, args...)})
}

func (c *Core) nextID() uint64 {
	c.lastID++
	return c.lastID
}

// OwnsSlot reports whether this core owns the slot.
func (c *Core) OwnsSlot(slot structs.Slot) bool {
	_, owned := c.slots[slot]
	return owned
}

// OwnsProgram reports whether this core owns the program's slot.
func (c *Core) OwnsProgram(id structs.ProgramID) bool {
	if id.HomeDomain() != c.opts.Domain {
		return false
	}
	_, owned := c.slots[SlotOf(id, c.opts.Slots)]
	return owned
}

// lookup returns the program if the account may use it. An account may use only
// its own programs; an empty account stands for an operator, who may use all.
func (c *Core) lookup(id structs.ProgramID, account structs.AccountID) (*program, *structs.Refusal) {
	if !c.OwnsProgram(id) {
		return nil, structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "slot of program %q is not owned here", id)
	}
	p := c.programs[id]
	if p != nil && p.state == stateCorrupt && p.spec.Account == "" {
		return nil, structs.Refuse(structs.RefusedInvariant, structs.RunNo, "history of program %q is not whole", id)
	}
	if p == nil || account != "" && p.spec.Account != account {
		return nil, structs.Refuse(structs.RefusedNotFound, structs.RunNo, "program %q does not exist", id)
	}
	if p.state == stateCorrupt {
		return nil, structs.Refuse(structs.RefusedInvariant, structs.RunNo, "history of program %q is not whole", id)
	}
	return p, nil
}

// Info returns the description of a program. An empty account stands for an
// operator.
func (c *Core) Info(id structs.ProgramID, account structs.AccountID) (structs.ProgramInfo, *structs.Refusal) {
	p, refusal := c.lookup(id, account)
	if refusal != nil {
		return structs.ProgramInfo{}, refusal
	}
	return p.info(), nil
}

// History returns the durable turns of a program.
func (c *Core) History(id structs.ProgramID, account structs.AccountID) (structs.History, *structs.Refusal) {
	p, refusal := c.lookup(id, account)
	if refusal != nil {
		return structs.History{}, refusal
	}
	turns := append([]structs.Turn(nil), p.turns...)
	return structs.History{Program: id, Turns: turns}, nil
}

// List returns the descriptions of the account's programs, or of all programs if
// account is empty.
func (c *Core) List(account structs.AccountID) []structs.ProgramInfo {
	var infos []structs.ProgramInfo
	isOwn := func(p *program) bool { return account == "" || p.spec.Account == account }
	for _, p := range c.sortedPrograms(isOwn) {
		infos = append(infos, p.info())
	}
	return infos
}

// Counts holds the number of entries in a core's tables.
type Counts struct {
	Slots, Programs, Calls, Writes int
}

// Counts returns the number of entries in the core's tables.
func (c *Core) Counts() Counts {
	return Counts{Slots: len(c.slots), Programs: len(c.programs), Calls: len(c.calls), Writes: len(c.writes)}
}

// IsBusy reports whether a call or a write of the slot is unfinished.
func (c *Core) IsBusy(slot structs.Slot) bool {
	for _, call := range c.calls {
		if call.program.slot == slot {
			return true
		}
	}
	for _, p := range c.writes {
		if p.slot == slot {
			return true
		}
	}
	return false
}
