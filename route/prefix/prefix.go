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
	// inFlightCost is what one call in flight at a target costs a further call,
	// in prompt tokens computed.
	inFlightCost = 256
	// otherDomainCost is what another failure domain of the same region costs, and
	// farRegionCost what another region does, in prompt tokens computed.
	otherDomainCost = 1024
	otherRegionCost = 8192
	// maxScanned is the number of targets up to which all are looked at; above
	// it, sampled ones and those with a cached prefix.
	maxScanned = 16
	sampleSize = 4
	// recomputeRate is the prompt tokens per second at which waiting for a target
	// with a cached prefix is weighed against computing it elsewhere, and
	// maxHold bounds the wait.
	recomputeRate = 2000
	maxDelay      = 4 * time.Second
)

// Policy chooses by estimated cost.
type Policy struct {
	index   *cacheIndex
	windows *windowSet
	rng     uint64
}

// New makes a policy that knows of no cached prefix.
func New() *Policy { return &Policy{index: newCacheIndex(), windows: newWindowSet(), rng: 1} }

// ChooseFrom returns the free target of the least estimated cost. An item with
// a cached prefix waits for a busy target for as long as computing the prefix
// again would take.
func (p *Policy) ChooseFrom(now structs.Instant, item queue.Item, own, others route.TargetSet) (structs.TargetID, bool) {
	c := selection{item: item, windows: p.windows}
	p.index.visitHolders(item.Prefixes, func(id structs.TargetID, tokens int64) {
		if t, found := own.Find(id); found {
			c.consider(t, tokens, 0)
		}
	})
	p.considerSet(&c, own, false)
	if !c.hasAccepting {
		p.considerSet(&c, others, true)
	}
	if c.found && c.shouldWait(now) {
		return "", false
	}
	return c.best, c.found
}

// considerSet considers the targets of a set: all of a small one, else a sample.
func (p *Policy) considerSet(c *selection, set route.TargetSet, isRemote bool) {
	n := set.Len()
	for i := range min(n, maxScanned) {
		if n > maxScanned {
			if i == sampleSize {
				return
			}
			i = p.random(n)
		}
		t := set.At(i)
		distance := int64(0)
		if isRemote {
			distance = distanceCost(t)
		}
		c.consider(t, p.index.cachedTokens(t.ID, c.item.Prefixes), distance)
	}
}

func distanceCost(t route.Target) int64 {
	if t.SameRegion {
		return otherDomainCost
	}
	return otherRegionCost
}

// random returns a number below n from a fixed sequence.
func (p *Policy) random(n int) int {
	p.rng ^= p.rng << 13
	p.rng ^= p.rng >> 7
	p.rng ^= p.rng << 17
	return int(p.rng % uint64(n))
}

// selection is the best target found so far for one item.
type selection struct {
	item         queue.Item
	windows      *windowSet
	best         structs.TargetID
	bestCost     int64
	bestCached   int64 // tokens at the best target
	found        bool
	hasAccepting bool  // a target takes calls, though it may be at its limit
	busyCached   int64 // most tokens cached at a target without room
}

func (c *selection) consider(t route.Target, cached, distance int64) {
	c.hasAccepting = c.hasAccepting || t.Limit > 0
	if !c.item.Started() && !c.windows.canStart(c.item, t.ID) {
		return
	}
	if !t.HasRoom() {
		if t.Limit > 0 {
			c.busyCached = max(c.busyCached, cached)
		}
		return
	}
	cost := c.item.Prompt - cached + inFlightCost*int64(estimatedCalls(t)) + distance
	if !c.found || cost < c.bestCost {
		c.best, c.bestCost, c.bestCached, c.found = t.ID, cost, cached, true
	}
}

func (c *selection) shouldWait(now structs.Instant) bool {
	saved := c.busyCached - c.bestCached
	if saved <= 0 {
		return false
	}
	delay := min(time.Duration(saved)*time.Second/recomputeRate, maxDelay)
	return now.Sub(c.item.Arrived) < delay
}

// estimatedCalls estimates the calls at a target: the report with what was sent since,
// but at least the own calls in flight.
func estimatedCalls(t route.Target) int {
	if t.ReportAge < 0 {
		return t.InFlight
	}
	return max(t.InFlight, t.Running+t.Waiting+t.SinceReport)
}

// Choose is ChooseFrom with the candidates as the own failure domain.
func (p *Policy) Choose(now structs.Instant, item queue.Item, candidates []route.Target) (structs.TargetID, bool) {
	return p.ChooseFrom(now, item, targetSlice(candidates), targetSlice(nil))
}

// RecordDispatch records that the target will cache the prompt.
func (p *Policy) RecordDispatch(now structs.Instant, item queue.Item, target structs.TargetID) {
	p.windows.recordDispatch(now, item, target)
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
		p.windows.recordAnswer(now, item, target, cached, output)
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
	p.index.removeTarget(target)
	p.windows.removeTarget(target)
}

// ForgetProgram counts the cache of an ended program as free.
func (p *Policy) ForgetProgram(program structs.ProgramID) { p.windows.removeProgram(program) }

// targetSlice is a route.Set over a slice.
type targetSlice []route.Target

func (l targetSlice) Len() int { return len(l) }

func (l targetSlice) At(i int) route.Target { return l[i] }

func (l targetSlice) Find(id structs.TargetID) (route.Target, bool) {
	for _, t := range l {
		if t.ID == id {
			return t, true
		}
	}
	return route.Target{}, false
}
