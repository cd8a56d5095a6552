package program

import "github.com/endivecourse/endivecourse/structs"

// isDue reports whether the passing of time may change the program.
func (c *Core) isDue(p *program) bool {
	switch {
	case p.pendingWrite != nil && p.pendingWrite.isRetryPending, p.running != nil, len(p.reorderWindow) > 0:
		return true
	case p.state == stateEnded:
		return len(p.memoryHolds) > 0 || c.now >= p.endedAt.Add(c.opts.EndedRetention)
	case p.state == stateLive && p.idleLimit > 0:
		return c.now >= p.lastActive.Add(p.idleLimit)
	}
	return false
}

// tick applies the limits and retries that are due.
func (c *Core) tick() {
	for _, p := range c.sortedPrograms(c.isDue) {
		if c.programs[p.spec.ID] != p {
			continue // removed earlier in this loop
		}
		c.retryWrite(p)
		c.expireCalls(p)
		c.endIfIdle(p)
		c.retryReleases(p)
		c.removeEnded(p)
	}
}

// expireCalls refuses waiting calls whose deadline has passed, and stops the
// running call at its deadline.
func (c *Core) expireCalls(p *program) {
	for _, waiting := range p.callsInWindow() {
		if c.now >= waiting.deadline {
			c.dropCall(waiting, structs.Refuse(structs.RefusedOutOfOrder, structs.RunNo, "call %d did not come", p.nextNumber()))
		}
	}
	call := p.running
	if call == nil || c.now < call.deadline || call.isRefused {
		return
	}
	c.stopRunningCall(call, structs.RefusedTimeout, "the call of program %q took too long")
}

// endIfIdle ends a program without calls or children that has reached its idle
// limit.
func (c *Core) endIfIdle(p *program) {
	if p.state != stateLive || p.idleLimit <= 0 || p.pendingWrite != nil {
		return
	}
	if p.running != nil || len(p.reorderWindow) > 0 || len(p.children) > 0 {
		return
	}
	if c.now >= p.lastActive.Add(p.idleLimit) {
		c.endProgram(p, reasonIdle)
	}
}

// retryReleases repeats the failed memory releases whose delay is over.
func (c *Core) retryReleases(p *program) {
	if p.state != stateEnded {
		return
	}
	for _, id := range sortedKeys(p.memoryHolds) {
		hold := p.memoryHolds[id]
		if !hold.isReleasing && c.now >= hold.retryAt {
			c.requestRelease(p, id)
		}
	}
}

// removeEnded removes an ended program after EndedRetention, if no target holds
// memory for it and its root has ended too.
func (c *Core) removeEnded(p *program) {
	if p.state != stateEnded || len(p.memoryHolds) > 0 || c.now < p.endedAt.Add(c.opts.EndedRetention) {
		return
	}
	root := c.programs[RootOf(p.spec.ID)]
	if root == nil || root.state == stateEnded {
		delete(c.programs, p.spec.ID)
	}
}
