// Package dispatch assigns the waiting calls of one service to targets. It
// combines a queue policy, a route policy and limits on the calls in flight.
//
// It is a deterministic state machine without clock, goroutine or I/O.
package dispatch

import (
	"time"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/structs"
)

// Options configures a Dispatcher.
type Options struct {
	Domain structs.DomainID // the scheduler's failure domain
	Queue  queue.Policy
	Route  route.Policy
	// IsLeaving reports whether a target is leaving and must get no new calls.
	// With nil, no target is leaving.
	IsLeaving func(structs.TargetID) bool
}

// TargetSpec describes one target.
type TargetSpec struct {
	ID         structs.TargetID
	Domain     structs.DomainID
	SameRegion bool // in the scheduler's region
	MaxCalls   int  // maximum number of calls in flight
	// LearnsLimit makes the limit adapt to the target's reports, up to MaxCalls.
	LearnsLimit bool
	Closed      bool // gets no new calls
}

// Load is a target's report of the calls that it runs and of those that wait
// there.
type Load struct {
	Running, Waiting int
	Age              time.Duration // since the report was taken
}

// Dispatcher assigns the calls of one service. It must be used from one
// goroutine.
type Dispatcher struct {
	opts         Options
	setPolicy    route.TargetSetPolicy // opts.Route if it implements this interface, else nil
	targets      map[structs.TargetID]*targetState
	ownDomain    targetSet
	otherDomains targetSet
	dispatched   map[uint64][]dispatchedCall
	now          structs.Instant
}

type dispatchedCall struct {
	item   queue.Item
	target structs.TargetID
}

// New returns a dispatcher without targets.
func New(opts Options) *Dispatcher {
	if opts.IsLeaving == nil {
		opts.IsLeaving = func(structs.TargetID) bool { return false }
	}
	d := &Dispatcher{
		opts:       opts,
		targets:    make(map[structs.TargetID]*targetState),
		dispatched: make(map[uint64][]dispatchedCall),
	}
	d.setPolicy, _ = opts.Route.(route.TargetSetPolicy)
	d.ownDomain = newTargetSet(d)
	d.otherDomains = newTargetSet(d)
	return d
}

// Push adds a waiting call.
func (d *Dispatcher) Push(now structs.Instant, item queue.Item) { d.opts.Queue.Push(now, item) }

// Remove removes a waiting call. It returns false when the call was not waiting.
func (d *Dispatcher) Remove(id uint64) bool { return d.opts.Queue.Remove(id) }

// Waiting returns the number of waiting calls.
func (d *Dispatcher) Waiting() int { return d.opts.Queue.Len() }

// ForgetProgram removes what the policies remember of an ended program.
func (d *Dispatcher) ForgetProgram(id structs.ProgramID) {
	d.opts.Queue.Forget(id)
	if p, ok := d.opts.Route.(route.ProgramForgetter); ok {
		p.ForgetProgram(id)
	}
}

// RecordCacheEvent passes a cache event to the route policy.
func (d *Dispatcher) RecordCacheEvent(now structs.Instant, event route.CacheEvent) {
	d.opts.Route.RecordCacheEvent(now, event)
}

// Next removes the first waiting call, in the order of the queue policy, for
// which the route policy chooses a target, and records its dispatch. Its error
// is a *structs.InvariantError.
func (d *Dispatcher) Next(now structs.Instant) (item queue.Item, id structs.TargetID, found bool, err error) {
	d.now = now
	if d.opts.Queue.Len() == 0 || d.ownDomain.withRoom+d.otherDomains.withRoom == 0 {
		return queue.Item{}, "", false, nil
	}
	choose := d.chooser(now)
	item, found = d.opts.Queue.TakeNext(now, func(item queue.Item) bool {
		var hasTarget bool
		id, hasTarget = choose(item)
		return hasTarget
	})
	if !found {
		return queue.Item{}, "", false, nil
	}
	t := d.targets[id]
	if t == nil || !d.routeTarget(t).HasRoom() {
		d.opts.Queue.Push(now, item)
		return queue.Item{}, "", false, &structs.InvariantError{
			Package: "dispatch", Name: "limit", Detail: "target " + string(id) + " was chosen at its limit",
		}
	}
	d.changeInFlight(t, 1)
	t.sinceReport++
	d.dispatched[item.ID] = append(d.dispatched[item.ID], dispatchedCall{item: item, target: id})
	d.opts.Route.RecordDispatch(now, item, id)
	return item, id, true, nil
}

func (d *Dispatcher) chooser(now structs.Instant) func(queue.Item) (structs.TargetID, bool) {
	if d.setPolicy != nil {
		return func(item queue.Item) (structs.TargetID, bool) {
			return d.setPolicy.ChooseFrom(now, item, &d.ownDomain, &d.otherDomains)
		}
	}
	candidates := d.candidates()
	return func(item queue.Item) (structs.TargetID, bool) {
		return d.opts.Route.Choose(now, item, candidates)
	}
}

// candidates returns the targets of the scheduler's failure domain that accept
// calls or, if there are none, those of other domains.
func (d *Dispatcher) candidates() []route.Target {
	for _, s := range []*targetSet{&d.ownDomain, &d.otherDomains} {
		var accepting []route.Target
		for _, t := range s.targets {
			if d.acceptsCalls(t) {
				accepting = append(accepting, d.routeTarget(t))
			}
		}
		if len(accepting) > 0 {
			return accepting
		}
	}
	return nil
}

// RecordFinish records the end of a dispatch and returns its item, or false if
// the call is not in flight at the target.
func (d *Dispatcher) RecordFinish(now structs.Instant, id uint64, target structs.TargetID, usage structs.Usage, ok bool) (queue.Item, bool) {
	calls := d.dispatched[id]
	for i, call := range calls {
		if call.target != target {
			continue
		}
		d.dispatched[id] = append(calls[:i:i], calls[i+1:]...)
		if len(d.dispatched[id]) == 0 {
			delete(d.dispatched, id)
		}
		if t := d.targets[target]; t != nil {
			d.changeInFlight(t, -1)
		}
		d.opts.Route.RecordFinish(now, call.item, target, usage.CachedTokens, usage.OutputTokens, ok)
		d.opts.Queue.Charge(now, call.item.Account, call.item.Program, Cost(usage))
		return call.item, true
	}
	return queue.Item{}, false
}

// outputTokenCost is the cost of one output token in prompt tokens.
const outputTokenCost = 4

// Cost returns the cost of one call in prompt tokens that were not cached.
func Cost(usage structs.Usage) int64 {
	return max(usage.PromptTokens-usage.CachedTokens, 0) + outputTokenCost*usage.OutputTokens
}
