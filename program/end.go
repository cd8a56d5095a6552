package program

import (
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// Reasons for the end of a program.
const (
	reasonCaller = "ended by its caller"
	reasonBudget = "its budget is spent"
	reasonIdle   = "its idle limit has passed"
	reasonParent = "its parent has ended"
	reasonSingle = "its only call has ended"
)

// maxReleaseDelay bounds the time between two tries to release memory.
const maxReleaseDelay = 10 * time.Second

func (c *Core) requestEnd(e EndRequested) {
	p, refusal := c.lookup(e.ID, e.Account)
	if refusal != nil {
		c.emit(Refuse{Token: e.Token, Refusal: refusal})
		return
	}
	if p.state == stateEnded {
		c.emit(DeliverInfo{Token: e.Token, Info: p.info()})
		return
	}
	p.enders = append(p.enders, e.Token)
	c.end(p, reasonCaller)
}

// end stops a program and its descendants: nothing further is started, and
// what runs is cut short.
func (c *Core) end(p *program, reason string) {
	if p.state == stateEnding || p.state == stateEnded || p.state == stateDamaged {
		return
	}
	p.state = stateEnding
	p.endReason = reason
	for _, held := range p.heldCalls() {
		c.dropCall(held, c.endedRefusal(p))
	}
	for _, id := range sortedKeys(p.children) {
		c.end(p.children[id], reasonParent)
	}
	if p.running != nil {
		c.stopRunning(p.running, structs.RefusedProgramEnded, "program %q has ended: "+reason)
		return
	}
	c.proceed(p)
}

// stopRunning ends the running call before its time. A call whose record is
// being written goes on until that write has ended.
func (c *Core) stopRunning(call *call, kind structs.RefusalKind, format string) {
	id := call.program.spec.ID
	switch call.stage {
	case stageQueued:
		c.emit(Dequeue{Call: call.id, Service: call.spec.Service()})
		if call.lost > 0 {
			c.failUnknown(call, structs.Refuse(kind, structs.RunUnknown, format, id))
			return
		}
		c.failNotRun(call, structs.Refuse(kind, structs.RunNo, format, id))
	case stageIntent:
		call.expired = true
		for _, caller := range call.callers {
			c.refuse(caller.token, kind, structs.RunNo, format, id)
		}
		call.callers = nil
	case stageSent:
		c.emit(CancelSend{Call: call.id, Attempt: call.attempt})
		c.failUnknown(call, structs.Refuse(kind, structs.RunUnknown, format, id))
	}
}

// continueEnd records the end once every child's end is durable.
func (c *Core) continueEnd(p *program) {
	if len(p.children) > 0 {
		return
	}
	c.append(p, writeEnded, nil, c.record(p, journal.KindEnded, journal.Ended{Reason: p.endReason}))
}

// endDurable returns what is left of the budget to the parent and releases
// what targets hold.
func (c *Core) endDurable(p *program) {
	if p.state == stateEnded {
		c.fault("ended_once", "%s", p.spec.ID)
		return
	}
	p.state = stateEnded
	p.endedAt = c.now
	if p.reserved != 0 {
		c.fault("nothing_reserved_at_end", "%s: %d tokens", p.spec.ID, p.reserved)
	}
	for _, token := range p.enders {
		c.emit(DeliverInfo{Token: token, Info: p.info()})
	}
	p.enders = nil
	for _, held := range p.heldCalls() {
		c.dropCall(held, c.endedRefusal(p))
	}
	c.emit(DropProgram{Program: p.spec.ID})
	for _, id := range sortedKeys(p.holds) {
		c.release(p, id)
	}
	if parent := p.parent; parent != nil {
		delete(parent.children, p.spec.ID)
		c.settle(parent, p.spec.Budget, p.spent)
		parent.active = c.now
		c.proceed(parent)
	}
}

func (c *Core) release(p *program, id structs.TargetID) {
	p.holds[id].asked = true
	c.emit(Release{Program: p.spec.ID, Target: id})
}

func (c *Core) released(e ReleaseFinished) {
	p := c.programs[e.Program]
	if p == nil || p.holds[e.Target] == nil {
		return
	}
	if e.OK {
		delete(p.holds, e.Target)
		return
	}
	h := p.holds[e.Target]
	h.asked = false
	h.delay = min(max(2*h.delay, c.opts.RetryDelay), maxReleaseDelay)
	h.retryAt = c.now.Add(h.delay)
}

func (c *Core) targetLeft(id structs.TargetID) {
	for _, p := range c.programs {
		delete(p.holds, id)
	}
}

// sweep releases memory that a target holds for programs that have ended. A
// program is known to have ended only where its slot is owned.
func (c *Core) sweep(e MemoryReported) {
	for _, id := range e.Programs {
		if !c.OwnsProgram(id) {
			continue
		}
		p := c.programs[id]
		switch {
		case p == nil:
			c.emit(Release{Program: id, Target: e.Target})
		case p.state == stateEnded && p.holds[e.Target] == nil:
			p.holds[e.Target] = &hold{}
			c.release(p, e.Target)
		}
	}
}
