package program

import "github.com/endivecourse/endivecourse/structs"

// due reports whether time may change anything about the program.
func (c *Core) due(p *program) bool {
	switch {
	case p.writing != nil && p.writing.retry, p.running != nil, len(p.window) > 0:
		return true
	case p.state == stateEnded:
		return len(p.holds) > 0 || c.now >= p.endedAt.Add(c.opts.EndedRetention)
	case p.state == stateLive && p.idleLimit > 0:
		return c.now >= p.active.Add(p.idleLimit)
	}
	return false
}

// tick looks at every limit and retry that is due.
func (c *Core) tick() {
	for _, p := range c.sorted(c.due) {
		if c.programs[p.spec.ID] != p {
			continue // dropped by a step before
		}
		c.retryWrite(p)
		c.tickCalls(p)
		c.tickIdle(p)
		c.tickHolds(p)
		c.tickEnded(p)
	}
}

func (c *Core) tickCalls(p *program) {
	for _, held := range p.heldCalls() {
		if c.now >= held.deadline {
			c.dropCall(held, structs.Refuse(structs.RefusedOutOfOrder, structs.RunNo, "call %d did not come", p.next()))
		}
	}
	call := p.running
	if call == nil || c.now < call.deadline || call.expired {
		return
	}
	c.stopRunning(call, structs.RefusedTimeout, "the call of program %q took too long")
}

func (c *Core) tickIdle(p *program) {
	if p.state != stateLive || p.idleLimit <= 0 || p.writing != nil {
		return
	}
	if p.running != nil || len(p.window) > 0 || len(p.children) > 0 {
		return
	}
	if c.now >= p.active.Add(p.idleLimit) {
		c.end(p, reasonIdle)
	}
}

func (c *Core) tickHolds(p *program) {
	if p.state != stateEnded {
		return
	}
	for _, id := range sortedKeys(p.holds) {
		h := p.holds[id]
		if !h.asked && c.now >= h.retryAt {
			c.release(p, id)
		}
	}
}

// tickEnded forgets an ended program after a time, when no target holds
// anything for it and its root has ended too.
func (c *Core) tickEnded(p *program) {
	if p.state != stateEnded || len(p.holds) > 0 || c.now < p.endedAt.Add(c.opts.EndedRetention) {
		return
	}
	root := c.programs[RootOf(p.spec.ID)]
	if root == nil || root.state == stateEnded {
		delete(c.programs, p.spec.ID)
	}
}
