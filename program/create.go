package program

import (
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

func (c *Core) create(e CreateRequested) {
	spec := e.Request
	if refusal := c.refuseCreate(e); refusal != nil {
		c.emit(Refuse{Token: e.Token, Refusal: refusal})
		return
	}
	if p := c.programs[spec.ID]; p != nil {
		c.createAgain(p, e)
		return
	}
	if refusal := c.refuseRoom(); refusal != nil {
		c.emit(Refuse{Token: e.Token, Refusal: refusal})
		return
	}
	parent, refusal := c.parentOf(e)
	if refusal != nil {
		c.emit(Refuse{Token: e.Token, Refusal: refusal})
		return
	}
	spec.Budget = budgetOf(spec.Budget, e.Budget, parent)
	if parent != nil && (spec.Budget <= 0 || spec.Budget > parent.left()) {
		c.refuse(e.Token, structs.RefusedOverBudget, structs.RunNo, "%d tokens are left of the parent's budget", parent.left())
		return
	}
	p := c.addProgram(spec, e.IdleLimit)
	p.state = stateCreating
	p.creators = append(p.creators, e.Token)
	if parent != nil {
		c.adopt(parent, p)
		c.reserve(parent, spec.Budget)
	}
	c.append(p, writeCreated, nil, c.record(p, journal.KindCreated, spec))
}

func (c *Core) refuseCreate(e CreateRequested) *structs.Refusal {
	spec := e.Request
	if !c.OwnsProgram(spec.ID) {
		return structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "slot of program %q is not owned here", spec.ID)
	}
	if spec.Budget < 0 {
		return structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "budget %d is negative", spec.Budget)
	}
	if spec.Parent == "" && RootOf(spec.ID) != spec.ID {
		return structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "program %q names no parent", spec.ID)
	}
	if spec.Parent != "" && !strings.HasPrefix(string(spec.ID), string(spec.Parent)+childSeparator) {
		return structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "program %q is not below %q", spec.ID, spec.Parent)
	}
	return nil
}

func (c *Core) refuseRoom() *structs.Refusal {
	live := 0
	if len(c.programs) < c.opts.MaxPrograms {
		return nil
	}
	for _, p := range c.programs {
		if p.state != stateEnded {
			live++
		}
	}
	if live < c.opts.MaxPrograms {
		return nil
	}
	return structs.Refuse(structs.RefusedQueueFull, structs.RunNo, "%d programs are running", live)
}

// createAgain answers a repeated request to create the same program.
func (c *Core) createAgain(p *program, e CreateRequested) {
	same := p.spec.Account == e.Request.Account && p.spec.Kind == e.Request.Kind && p.spec.Parent == e.Request.Parent
	switch {
	case !same:
		c.refuse(e.Token, structs.RefusedConflict, structs.RunNo, "program %q exists", p.spec.ID)
	case p.state == stateCreating:
		p.creators = append(p.creators, e.Token)
	case p.state == stateDamaged:
		c.refuse(e.Token, structs.RefusedInvariant, structs.RunNo, "history of program %q is not whole", p.spec.ID)
	default:
		c.emit(DeliverInfo{Token: e.Token, Info: p.info()})
	}
}

func (c *Core) parentOf(e CreateRequested) (*program, *structs.Refusal) {
	if e.Request.Parent == "" {
		return nil, nil
	}
	parent, refusal := c.lookup(e.Request.Parent, e.Request.Account)
	if refusal != nil {
		return nil, refusal
	}
	if parent.state != stateLive {
		return nil, structs.Refuse(structs.RefusedProgramEnded, structs.RunNo, "parent %q is not running", parent.spec.ID)
	}
	if parent.spec.SingleCall {
		return nil, structs.Refuse(structs.RefusedForbidden, structs.RunNo, "a single call has no sub-programs")
	}
	if e.MaxDepth > 0 && parent.depth()+1 > e.MaxDepth {
		return nil, structs.Refuse(structs.RefusedForbidden, structs.RunNo, "sub-programs go at most %d deep", e.MaxDepth)
	}
	return parent, nil
}

// budgetOf resolves a requested budget: 0 takes that of the kind, at most what
// is left of the parent's, and no program gets more than its kind allows.
func budgetOf(requested, kind int64, parent *program) int64 {
	budget := requested
	if budget == 0 {
		budget = kind
		if parent != nil {
			budget = min(budget, parent.left())
		}
	}
	if kind > 0 {
		budget = min(budget, kind)
	}
	return budget
}

func (c *Core) addProgram(spec structs.CreateProgram, idle time.Duration) *program {
	slot := SlotOf(spec.ID, c.opts.Slots)
	p := &program{
		spec:      spec,
		slot:      slot,
		epoch:     c.slots[slot],
		state:     stateLive,
		idleLimit: idle,
		active:    c.now,
		keys:      make(map[string]uint64),
		window:    make(map[uint64]*call),
		children:  make(map[structs.ProgramID]*program),
		holds:     make(map[structs.TargetID]*hold),
	}
	c.programs[spec.ID] = p
	return p
}

func (c *Core) adopt(parent, child *program) {
	child.parent = parent
	parent.children[child.spec.ID] = child
}

// created goes on once the program is durable.
func (c *Core) created(p *program) {
	if p.state == stateCreating {
		p.state = stateLive
	}
	p.active = c.now
	for _, token := range p.creators {
		c.emit(DeliverInfo{Token: token, Info: p.info()})
	}
	p.creators = nil
	c.proceed(p)
}

// dropProgram forgets a program that was never recorded.
func (c *Core) dropProgram(p *program, kind structs.RefusalKind) {
	for _, call := range p.heldCalls() {
		c.dropCall(call, structs.Refuse(kind, structs.RunNo, "program %q does not run", p.spec.ID))
	}
	for _, token := range p.enders {
		c.refuse(token, kind, structs.RunNo, "program %q does not run", p.spec.ID)
	}
	if p.parent != nil {
		c.settle(p.parent, p.spec.Budget, 0)
		delete(p.parent.children, p.spec.ID)
	}
	delete(c.programs, p.spec.ID)
	c.emit(DropProgram{Program: p.spec.ID})
}
