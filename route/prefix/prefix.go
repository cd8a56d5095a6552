// Package prefix registers "route.prefix", the route policy that weighs the
// cached part of a prompt against the load of the targets.
//
// What is cached where is an estimate: it grows with each dispatch and with
// cache events, and is corrected by the cached tokens that the engine reports
// at the end of a call.
package prefix

import (
	"time"

	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/structs"
)

func init() {
	kernel.Register("route.prefix", route.Factory(func() route.Policy { return New() }))
}

const (
	// callCost is what one call in flight at a target costs a further call,
	// in prompt tokens computed.
	callCost = 256
	// farCost is what another failure domain of the same region costs, and
	// farRegionCost what another region does, in prompt tokens computed.
	farCost       = 1024
	farRegionCost = 8192
	// scanned is the number of targets up to which all are looked at; above
	// it, sampled ones and those with a cached prefix.
	scanned = 16
	sampled = 4
	// holdRate is the prompt tokens per second at which waiting for a target
	// with a cached prefix is weighed against computing it elsewhere, and
	// maxHold bounds the wait.
	holdRate = 2000
	maxHold  = 4 * time.Second
)

// Policy chooses by estimated cost.
type Policy struct {
	index   *index
	windows *windows
	rng     uint64
}

// New makes a policy that knows of no cached prefix.
func New() *Policy { return &Policy{index: newIndex(), windows: newWindows(), rng: 1} }

// ChooseFrom returns the free target of the least estimated cost. An item with
// a cached prefix waits for a busy target for as long as computing the prefix
// again would take.
func (p *Policy) ChooseFrom(now structs.Instant, item queue.Item, own, others route.TargetSet) (structs.TargetID, bool) {
	c := choice{item: item, windows: p.windows}
	p.index.holders(item.Prefixes, func(id structs.TargetID, tokens int64) {
		if t, found := own.Find(id); found {
			c.consider(t, tokens, 0)
		}
	})
	p.look(&c, own, false)
	if !c.up {
		p.look(&c, others, true)
	}
	if c.found && c.heldBack(now) {
		return "", false
	}
	return c.best, c.found
}

// look considers the targets of a set: all of a small one, else a sample.
func (p *Policy) look(c *choice, set route.TargetSet, far bool) {
	n := set.Len()
	for i := range min(n, scanned) {
		if n > scanned {
			if i == sampled {
				return
			}
			i = p.random(n)
		}
		t := set.At(i)
		extra := int64(0)
		if far {
			extra = distance(t)
		}
		c.consider(t, p.index.cachedAt(t.ID, c.item.Prefixes), extra)
	}
}

func distance(t route.Target) int64 {
	if t.SameRegion {
		return farCost
	}
	return farRegionCost
}

// random returns a number below n from a fixed sequence.
func (p *Policy) random(n int) int {
	p.rng ^= p.rng << 13
	p.rng ^= p.rng >> 7
	p.rng ^= p.rng << 17
	return int(p.rng % uint64(n))
}

// choice is the best target found so far for one item.
type choice struct {
	item     queue.Item
	windows  *windows
	best     structs.TargetID
	bestCost int64
	cached   int64 // tokens at the best target
	found    bool
	up       bool  // a target takes calls, though it may be at its limit
	busy     int64 // most tokens cached at a target without room
}

func (c *choice) consider(t route.Target, cached, extra int64) {
	c.up = c.up || t.Limit > 0
	if !c.item.IsContinuation() && !c.windows.open(c.item, t.ID) {
		return
	}
	if !t.HasRoom() {
		if t.Limit > 0 {
			c.busy = max(c.busy, cached)
		}
		return
	}
	cost := c.item.PromptTokens - cached + callCost*int64(load(t)) + extra
	if !c.found || cost < c.bestCost {
		c.best, c.bestCost, c.cached, c.found = t.ID, cost, cached, true
	}
}

func (c *choice) heldBack(now structs.Instant) bool {
	gain := c.busy - c.cached
	if gain <= 0 {
		return false
	}
	hold := min(time.Duration(gain)*time.Second/holdRate, maxHold)
	return now.Sub(c.item.ArrivedAt) < hold
}

// load estimates the calls at a target: the report with what was sent since,
// but at least the own calls in flight.
func load(t route.Target) int {
	if t.ReportAge < 0 {
		return t.InFlight
	}
	return max(t.InFlight, t.Running+t.Waiting+t.SinceReport)
}

// Choose is ChooseFrom with the candidates as the own failure domain.
func (p *Policy) Choose(now structs.Instant, item queue.Item, candidates []route.Target) (structs.TargetID, bool) {
	return p.ChooseFrom(now, item, slice(candidates), slice(nil))
}

// RecordDispatch records that the target will cache the prompt.
func (p *Policy) RecordDispatch(now structs.Instant, item queue.Item, target structs.TargetID) {
	p.windows.enter(now, item, target)
	if n := len(item.Prefixes); n > 0 {
		p.index.add(target, item.Prefixes[0])
		p.index.add(target, item.Prefixes[n-1])
	}
}

// RecordFinish corrects the estimate: prefixes beyond the cached tokens were not
// there before the call; the prompt is there now if the call succeeded.
func (p *Policy) RecordFinish(now structs.Instant, item queue.Item, target structs.TargetID, cached, output int64, ok bool) {
	n := len(item.Prefixes)
	if ok && n > 0 {
		p.windows.answered(now, item, target, cached, output)
	}
	for i := 0; i < n; i++ {
		if prefix := item.Prefixes[i]; !ok || prefix.Tokens > cached {
			p.index.remove(target, prefix.Hash)
		}
	}
	if ok && n > 0 {
		p.index.add(target, item.Prefixes[0])
		p.index.add(target, item.Prefixes[n-1])
	}
}

// RecordCacheEvent records a cache event.
func (p *Policy) RecordCacheEvent(_ structs.Instant, event route.CacheEvent) {
	if event.Evicted {
		p.index.remove(event.Target, event.Prefix)
		return
	}
	p.index.add(event.Target, queue.Prefix{Hash: event.Prefix, Tokens: event.Tokens})
}

// ForgetTarget drops what is remembered of a target.
func (p *Policy) ForgetTarget(target structs.TargetID) {
	p.index.forget(target)
	p.windows.forget(target)
}

// ForgetProgram counts the cache of an ended program as free.
func (p *Policy) ForgetProgram(program structs.ProgramID) { p.windows.leave(program) }

// slice is a route.Set over a slice.
type slice []route.Target

func (l slice) Len() int { return len(l) }

func (l slice) At(i int) route.Target { return l[i] }

func (l slice) Find(id structs.TargetID) (route.Target, bool) {
	for _, t := range l {
		if t.ID == id {
			return t, true
		}
	}
	return route.Target{}, false
}
