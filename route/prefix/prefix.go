// Package prefix registers "route.prefix", the route policy that weighs the
// cached part of a prompt against the load of the targets.
//
// The policy estimates which target has which prefixes in its cache. Dispatches
// and cache events update the estimate; the cached tokens that the engine reports
// at the end of a call correct it.
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
	// inFlightCost is the cost of each call at a target for a further call, in
	// prompt tokens computed.
	inFlightCost = 256
	// otherDomainCost is the cost of a target in another failure domain of the
	// same region, and otherRegionCost that of one in another region, in prompt
	// tokens computed.
	otherDomainCost = 1024
	otherRegionCost = 8192
	// maxScanned is the largest number of targets of which all are considered.
	// Of a larger number, a sample of sampleSize and the targets with a cached
	// prefix are.
	maxScanned = 16
	sampleSize = 4
	// recomputeRate, in prompt tokens per second, converts the cached tokens that
	// a call would have to compute at another target into the time that it waits
	// for the target that has them. maxDelay is the maximum of that wait.
	recomputeRate = 2000
	maxDelay      = 4 * time.Second
)

// Policy chooses the target of the least estimated cost.
type Policy struct {
	index   *cacheIndex
	windows *windowSet
	rng     uint64
}

// New returns a policy that knows of no cached prefix.
func New() *Policy { return &Policy{index: newCacheIndex(), windows: newWindowSet(), rng: 1} }

// ChooseFrom returns the target of the least estimated cost among those with
// room. If a target without room has more of the prompt cached, the item waits
// for it for as long as computing the difference would take, at most maxDelay.
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

// considerSet considers the targets of a set: all of a small set, a random
// sample of a larger one.
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

// random returns the next number of a fixed pseudorandom sequence (xorshift),
// reduced to below n.
func (p *Policy) random(n int) int {
	p.rng ^= p.rng << 13
	p.rng ^= p.rng >> 7
	p.rng ^= p.rng << 17
	return int(p.rng % uint64(n))
}

// selection holds the best target found so far for one item.
type selection struct {
	item         queue.Item
	windows      *windowSet
	best         structs.TargetID
	bestCost     int64
	bestCached   int64 // tokens at the best target
	found        bool
	hasAccepting bool  // some target accepts calls, even if it is at its limit
	busyCached   int64 // most tokens cached at a target without room
}

func (c *selection) consider(t route.Target, cached, distance int64) {
	c.hasAccepting = c.hasAccepting || t.Limit > 0
	if !c.item.IsContinuation() && !c.windows.canStart(c.item, t.ID) {
		return
	}
	if !t.HasRoom() {
		if t.Limit > 0 {
			c.busyCached = max(c.busyCached, cached)
		}
		return
	}
	cost := c.item.PromptTokens - cached + inFlightCost*int64(estimatedCalls(t)) + distance
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
	return now.Sub(c.item.ArrivedAt) < delay
}

// estimatedCalls estimates the calls at a target: those of the last report plus
// those dispatched since, but at least the scheduler's own calls in flight.
func estimatedCalls(t route.Target) int {
	if t.ReportAge < 0 {
		return t.InFlight
	}
	return max(t.InFlight, t.Running+t.Waiting+t.SinceReport)
}

// Choose is ChooseFrom with all candidates in the scheduler's failure domain.
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

// RecordFinish corrects the estimate: prefixes longer than the cached tokens were
// not in the target's cache before the call. If the call succeeded, the prompt is
// cached now; if it failed, none of its prefixes is assumed to be.
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

// ForgetTarget removes what is remembered of a target.
func (p *Policy) ForgetTarget(target structs.TargetID) {
	p.index.removeTarget(target)
	p.windows.removeTarget(target)
}

// ForgetProgram stops counting the cache of an ended program.
func (p *Policy) ForgetProgram(program structs.ProgramID) { p.windows.removeProgram(program) }

// targetSlice implements route.TargetSet.
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
