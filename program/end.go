package program

import (
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// Reasons for which a program ends.
const (
	reasonCaller = "ended by its caller"
	reasonBudget = "its budget is spent"
	reasonIdle   = "its idle limit has passed"
	reasonParent = "its parent has ended"
	reasonSingle = "its only call has ended"
)

// maxReleaseDelay bounds the delay between two attempts to release memory.
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
	p.endTokens = append(p.endTokens, e.Token)
	c.endProgram(p, reasonCaller)
}

// endProgram ends a program and its descendants. Waiting calls are refused, and
// the running call is canceled.
func (c *Core) endProgram(p *program, reason string) {
	if p.state == stateEnding || p.state == stateEnded || p.state == stateCorrupt {
		return
	}
	p.state = stateEnding
	p.endReason = reason
	for _, waiting := range p.callsInWindow() {
		c.dropCall(waiting, c.endedRefusal(p))
	}
	for _, id := range sortedKeys(p.children) {
		c.endProgram(p.children[id], reasonParent)
	}
	if p.running != nil {
		c.stopRunningCall(p.running, structs.RefusedProgramEnded, "program %q has ended: "+reason)
		return
	}
	c.advance(p)
}

// stopRunningCall cancels the running call. If the call's intent is being
// written, its callers are refused at once and the call ends after the write. If
// its turn is being written, the call has ended already.
func (c *Core) stopRunningCall(call *call, kind structs.RefusalKind, format string) {
	id := call.program.spec.ID
	switch call.stage {
	case stageQueued:
		c.emit(Dequeue{Call: call.id, Service: call.spec.Service()})
		if call.lostTokens > 0 {
			c.failUnknown(call, structs.Refuse(kind, structs.RunUnknown, format, id))
			return
		}
		c.failNotRun(call, structs.Refuse(kind, structs.RunNo, format, id))
	case stageIntent:
		call.isRefused = true
		for _, caller := range call.callers {
			c.refuse(caller.token, kind, structs.RunNo, format, id)
		}
		call.callers = nil
	case stageSent:
		c.emit(CancelSend{Call: call.id, Attempt: call.attempt})
		c.failUnknown(call, structs.Refuse(kind, structs.RunUnknown, format, id))
	}
}

// recordEnd writes the end of the program once the ends of all its children are
// durable.
func (c *Core) recordEnd(p *program) {
	if len(p.children) > 0 {
		return
	}
	c.append(p, writeEnded, nil, c.newRecord(p, journal.KindEnded, journal.Ended{Reason: p.endReason}))
}

// endDurable completes the end of a program: it answers the waiting requests,
// returns what is left of the budget to the parent and releases engine memory.
func (c *Core) endDurable(p *program) {
	if p.state == stateEnded {
		c.reportViolation("ended_once", "%s", p.spec.ID)
		return
	}
	p.state = stateEnded
	p.endedAt = c.now
	if p.reserved != 0 {
		c.reportViolation("nothing_reserved_at_end", "program %s: %d tokens are still reserved at its end", p.spec.ID, p.reserved)
	}
	for _, token := range p.endTokens {
		c.emit(DeliverInfo{Token: token, Info: p.info()})
	}
	p.endTokens = nil
	for _, waiting := range p.callsInWindow() {
		c.dropCall(waiting, c.endedRefusal(p))
	}
	c.emit(DropProgram{Program: p.spec.ID})
	for _, id := range sortedKeys(p.memoryHolds) {
		c.requestRelease(p, id)
	}
	if parent := p.parent; parent != nil {
		delete(parent.children, p.spec.ID)
		c.settleReservation(parent, p.spec.Budget, p.spent)
		parent.lastActive = c.now
		c.advance(parent)
	}
}

func (c *Core) requestRelease(p *program, id structs.TargetID) {
	p.memoryHolds[id].isReleasing = true
	c.emit(Release{Program: p.spec.ID, Target: id})
}

func (c *Core) handleReleaseResult(e ReleaseFinished) {
	p := c.programs[e.Program]
	if p == nil || p.memoryHolds[e.Target] == nil {
		return
	}
	if e.OK {
		delete(p.memoryHolds, e.Target)
		return
	}
	hold := p.memoryHolds[e.Target]
	hold.isReleasing = false
	hold.retryDelay = min(max(2*hold.retryDelay, c.opts.RetryDelay), maxReleaseDelay)
	hold.retryAt = c.now.Add(hold.retryDelay)
}

func (c *Core) removeTarget(id structs.TargetID) {
	for _, p := range c.programs {
		delete(p.memoryHolds, id)
	}
}

// releaseStaleMemory releases the memory that a target holds for ended programs.
// Only the owner of a program's slot knows that the program has ended, so
// programs of other slots are skipped.
func (c *Core) releaseStaleMemory(e MemoryReported) {
	for _, id := range e.Programs {
		if !c.OwnsProgram(id) {
			continue
		}
		p := c.programs[id]
		switch {
		case p == nil:
			c.emit(Release{Program: id, Target: e.Target})
		case p.state == stateEnded && p.memoryHolds[e.Target] == nil:
			p.memoryHolds[e.Target] = &memoryHold{}
			c.requestRelease(p, e.Target)
		}
	}
}
