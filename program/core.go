package program

import (
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Options bounds a Core. Slots and Domain are required; other zero values take
// a default.
type Options struct {
	Domain           structs.DomainID
	Slots            int
	MaxPrograms      int
	MaxCalls         int // accepted and not ended
	ReorderWindow    int
	MaxAttempts      int   // dispatches of one call that may be repeated
	MaxResponseBytes int   // bytes of one answer
	DefaultMaxTokens int64 // tokens of output of a call without a limit
	RetryDelay       time.Duration
	// EndedRetention is how long an ended program is remembered, and thereby how
	// long a duplicate of its calls is recognised.
	EndedRetention time.Duration
	// IdleLimit returns the idle limit of a kind for recovered programs; nil
	// means none.
	IdleLimit func(kind string) time.Duration

	rules rules
}

// rules switches parts of the algorithm off, so that tests can show that the
// checks notice.
type rules struct {
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

// Core holds the programs of the owned slots. It is used from one goroutine.
type Core struct {
	opts     Options
	now      structs.Instant
	out      []Action
	slots    map[structs.Slot]structs.Epoch
	programs map[structs.ProgramID]*program
	calls    map[CallID]*call
	writes   map[WriteID]*program
	lastID   uint64
}

// New makes a core that owns no slot.
func New(opts Options) *Core {
	return &Core{
		opts:     opts.withDefaults(),
		slots:    make(map[structs.Slot]structs.Epoch),
		programs: make(map[structs.ProgramID]*program),
		calls:    make(map[CallID]*call),
		writes:   make(map[WriteID]*program),
	}
}

// Step takes one event and returns what has to be done, in order.
func (c *Core) Step(now structs.Instant, event Event) []Action {
	c.now = now
	c.out = nil
	switch e := event.(type) {
	case SlotGained:
		c.gain(e)
	case SlotContinued:
		c.continueSlot(e)
	case SlotLost:
		c.lose(e.Slot)
	case CreateRequested:
		c.create(e)
	case CallArrived:
		c.arrive(e)
	case CallerDisconnected:
		c.detach(e.Token)
	case EndRequested:
		c.requestEnd(e)
	case WriteFinished:
		c.wrote(e)
	case TargetAssigned:
		c.chosen(e)
	case CallRejected:
		c.rejected(e)
	case ResponsePart:
		c.part(e)
	case DispatchFinished:
		c.finished(e)
	case ReleaseFinished:
		c.released(e)
	case TargetRemoved:
		c.targetLeft(e.Target)
	case MemoryReported:
		c.sweep(e)
	case Tick:
		c.tick()
	}
	return c.out
}

func (c *Core) emit(a Action) { c.out = append(c.out, a) }

func (c *Core) fault(name, format string, args ...any) {
	c.emit(ReportViolation{Err: &structs.InvariantError{Package: "program", Name: name, Detail: fmt.Sprintf(format, args...)}})
}

func (c *Core) refuse(token Token, kind structs.RefusalKind, run structs.Run, format string, args ...any) {
	c.emit(Refuse{Token: token, Refusal: structs.Refuse(kind, run, format, args...)})
}

func (c *Core) nextID() uint64 {
	c.lastID++
	return c.lastID
}

// OwnsSlot reports whether the core serves the slot.
func (c *Core) OwnsSlot(slot structs.Slot) bool {
	_, owned := c.slots[slot]
	return owned
}

// OwnsProgram reports whether the core serves the program's slot.
func (c *Core) OwnsProgram(id structs.ProgramID) bool {
	if id.HomeDomain() != c.opts.Domain {
		return false
	}
	_, owned := c.slots[SlotOf(id, c.opts.Slots)]
	return owned
}

// lookup finds a program for an account, which may use only its own.
func (c *Core) lookup(id structs.ProgramID, account structs.AccountID) (*program, *structs.Refusal) {
	if !c.OwnsProgram(id) {
		return nil, structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "slot of program %q is not owned here", id)
	}
	p := c.programs[id]
	if p != nil && p.state == stateDamaged && p.spec.Account == "" {
		return nil, structs.Refuse(structs.RefusedInvariant, structs.RunNo, "history of program %q is not whole", id)
	}
	if p == nil || account != "" && p.spec.Account != account {
		return nil, structs.Refuse(structs.RefusedNotFound, structs.RunNo, "program %q does not exist", id)
	}
	if p.state == stateDamaged {
		return nil, structs.Refuse(structs.RefusedInvariant, structs.RunNo, "history of program %q is not whole", id)
	}
	return p, nil
}

// Info describes a program to an account; an empty account is an operator.
func (c *Core) Info(id structs.ProgramID, account structs.AccountID) (structs.ProgramInfo, *structs.Refusal) {
	p, refusal := c.lookup(id, account)
	if refusal != nil {
		return structs.ProgramInfo{}, refusal
	}
	return p.info(), nil
}

// History returns the turns of a program that are durable.
func (c *Core) History(id structs.ProgramID, account structs.AccountID) (structs.History, *structs.Refusal) {
	p, refusal := c.lookup(id, account)
	if refusal != nil {
		return structs.History{}, refusal
	}
	turns := append([]structs.Turn(nil), p.turns...)
	return structs.History{Program: id, Turns: turns}, nil
}

// List describes the programs of one account, or all when it is empty.
func (c *Core) List(account structs.AccountID) []structs.ProgramInfo {
	var infos []structs.ProgramInfo
	mine := func(p *program) bool { return account == "" || p.spec.Account == account }
	for _, p := range c.sorted(mine) {
		infos = append(infos, p.info())
	}
	return infos
}

// Counts is the size of a core's state.
type Counts struct {
	Slots, Programs, Calls, Writes int
}

// Counts returns the size of the state.
func (c *Core) Counts() Counts {
	return Counts{Slots: len(c.slots), Programs: len(c.programs), Calls: len(c.calls), Writes: len(c.writes)}
}

// IsBusy reports whether any call runs or waits in a slot.
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
