// Package dispatch gives the waiting calls of one service to targets: it joins
// a queue policy, a route policy and the limits of calls in flight.
//
// It is a state machine without clock, goroutine or I/O.
package dispatch

import (
	"time"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/structs"
)

// Options say how a Dispatcher decides.
type Options struct {
	Domain structs.DomainID // the own failure domain
	Queue  queue.Policy
	Route  route.Policy
	// IsLeaving reports a target that gets nothing new; nil means none.
	IsLeaving func(structs.TargetID) bool
}

// TargetSpec describes one target.
type TargetSpec struct {
	ID         structs.TargetID
	Domain     structs.DomainID
	SameRegion bool // in the own region
	MaxCalls   int  // calls in flight at most
	// LearnsLimit lets the limit be learned below Most.
	LearnsLimit bool
	Closed      bool // takes nothing new
}

// Load is a target's report.
type Load struct {
	Running, Waiting int
	Age              time.Duration // since it was taken
}

// Dispatcher decides for one service. It is used from one goroutine.
type Dispatcher struct {
	opts    Options
	sets    route.TargetSetPolicy // opts.Route when it is one
	targets map[structs.TargetID]*state
	own     set
	others  set
	flying  map[uint64][]flight
	now     structs.Instant
}

type flight struct {
	item   queue.Item
	target structs.TargetID
}

// New makes a dispatcher without targets.
func New(opts Options) *Dispatcher {
	if opts.IsLeaving == nil {
		opts.IsLeaving = func(structs.TargetID) bool { return false }
	}
	d := &Dispatcher{
		opts:    opts,
		targets: make(map[structs.TargetID]*state),
		flying:  make(map[uint64][]flight),
	}
	d.sets, _ = opts.Route.(route.TargetSetPolicy)
	d.own = newSet(d)
	d.others = newSet(d)
	return d
}

// Push adds a call that waits.
func (d *Dispatcher) Push(now structs.Instant, item queue.Item) { d.opts.Queue.Push(now, item) }

// Remove drops a waiting call and reports whether it waited.
func (d *Dispatcher) Remove(id uint64) bool { return d.opts.Queue.Remove(id) }

// Waiting returns the number of waiting calls.
func (d *Dispatcher) Waiting() int { return d.opts.Queue.Len() }

// ForgetProgram drops what is remembered of an ended program.
func (d *Dispatcher) ForgetProgram(id structs.ProgramID) {
	d.opts.Queue.Forget(id)
	if p, ok := d.opts.Route.(route.ProgramForgetter); ok {
		p.ForgetProgram(id)
	}
}

// RecordCacheEvent passes a cache event on to the route policy.
func (d *Dispatcher) RecordCacheEvent(now structs.Instant, event route.CacheEvent) {
	d.opts.Route.RecordCacheEvent(now, event)
}

// Next takes the first waiting call for which there is a target. Its error is
// a *structs.InvariantError.
func (d *Dispatcher) Next(now structs.Instant) (item queue.Item, id structs.TargetID, found bool, err error) {
	d.now = now
	if d.opts.Queue.Len() == 0 || d.own.free+d.others.free == 0 {
		return queue.Item{}, "", false, nil
	}
	choose := d.chooser(now)
	item, found = d.opts.Queue.TakeNext(now, func(item queue.Item) bool {
		var fits bool
		id, fits = choose(item)
		return fits
	})
	if !found {
		return queue.Item{}, "", false, nil
	}
	t := d.targets[id]
	if t == nil || !d.view(t).HasRoom() {
		d.opts.Queue.Push(now, item)
		return queue.Item{}, "", false, &structs.InvariantError{
			Package: "dispatch", Name: "limit", Detail: "target " + string(id) + " was chosen at its limit",
		}
	}
	d.changeInFlight(t, 1)
	t.sinceReport++
	d.flying[item.ID] = append(d.flying[item.ID], flight{item: item, target: id})
	d.opts.Route.RecordDispatch(now, item, id)
	return item, id, true, nil
}

func (d *Dispatcher) chooser(now structs.Instant) func(queue.Item) (structs.TargetID, bool) {
	if d.sets != nil {
		return func(item queue.Item) (structs.TargetID, bool) {
			return d.sets.ChooseFrom(now, item, &d.own, &d.others)
		}
	}
	candidates := d.candidates()
	return func(item queue.Item) (structs.TargetID, bool) {
		return d.opts.Route.Choose(now, item, candidates)
	}
}

// candidates lists the targets of the own failure domain that take calls; when
// there is none, those of other domains.
func (d *Dispatcher) candidates() []route.Target {
	for _, s := range []*set{&d.own, &d.others} {
		var up []route.Target
		for _, t := range s.targets {
			if d.takesCalls(t) {
				up = append(up, d.view(t))
			}
		}
		if len(up) > 0 {
			return up
		}
	}
	return nil
}

// RecordFinish counts the end of a dispatch and returns its item, or false for one
// that is not known.
func (d *Dispatcher) RecordFinish(now structs.Instant, id uint64, target structs.TargetID, usage structs.Usage, ok bool) (queue.Item, bool) {
	list := d.flying[id]
	for i, f := range list {
		if f.target != target {
			continue
		}
		d.flying[id] = append(list[:i:i], list[i+1:]...)
		if len(d.flying[id]) == 0 {
			delete(d.flying, id)
		}
		if t := d.targets[target]; t != nil {
			d.changeInFlight(t, -1)
		}
		d.opts.Route.RecordFinish(now, f.item, target, usage.CachedTokens, usage.OutputTokens, ok)
		d.opts.Queue.Charge(now, f.item.Account, f.item.Program, Cost(usage))
		return f.item, true
	}
	return queue.Item{}, false
}

// outputCost is what an output token costs in prompt tokens.
const outputCost = 4

// Cost returns the service of one call, in computed prompt tokens.
func Cost(usage structs.Usage) int64 {
	return max(usage.PromptTokens-usage.CachedTokens, 0) + outputCost*usage.OutputTokens
}
