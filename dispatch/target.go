package dispatch

import (
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/structs"
)

// targetState is what the dispatcher knows of one target.
type targetState struct {
	spec        TargetSpec
	limit       limit
	inFlight    int
	load        Load
	loadAt      structs.Instant // 0 before the first report
	sinceReport int
	downUntil   structs.Instant // 0 if the target was never down
}

func (t *targetState) isDown(now structs.Instant) bool { return t.downUntil != 0 && now < t.downUntil }

func (t *targetState) hasRoom() bool { return t.inFlight < t.limit.current }

// routeTarget describes a target for the route policy. The limit is 0 when the
// target accepts no calls.
func (d *Dispatcher) routeTarget(t *targetState) route.Target {
	age := int64(-1)
	if t.loadAt != 0 {
		age = int64(d.now.Sub(t.loadAt) + t.load.Age)
	}
	rt := route.Target{
		ID: t.spec.ID, Domain: t.spec.Domain, SameRegion: t.spec.SameRegion, InFlight: t.inFlight, Limit: t.limit.current,
		Running: t.load.Running, Waiting: t.load.Waiting, SinceReport: t.sinceReport, ReportAge: age,
	}
	if !d.acceptsCalls(t) {
		rt.Limit = 0
	}
	return rt
}

func (d *Dispatcher) acceptsCalls(t *targetState) bool {
	return !t.spec.Closed && !t.isDown(d.now) && !d.opts.IsLeaving(t.spec.ID)
}

// TargetStatus is the state of one target in a state dump.
type TargetStatus struct {
	InFlight, Limit  int
	Running, Waiting int // in the last report
	Down             bool
}

// TargetStatus returns the state of a target; it is zero for an unknown one.
func (d *Dispatcher) TargetStatus(now structs.Instant, id structs.TargetID) TargetStatus {
	t := d.targets[id]
	if t == nil {
		return TargetStatus{}
	}
	return TargetStatus{
		InFlight: t.inFlight, Limit: t.limit.current,
		Running: t.load.Running, Waiting: t.load.Waiting, Down: t.isDown(now),
	}
}

// SetTarget adds a target or replaces its description.
func (d *Dispatcher) SetTarget(spec TargetSpec) {
	if t := d.targets[spec.ID]; t != nil {
		d.setFor(t).remove(t)
		if t.spec.LearnsLimit != spec.LearnsLimit || t.spec.MaxCalls != spec.MaxCalls {
			t.limit = newLimit(spec.MaxCalls, spec.LearnsLimit)
		}
		t.spec = spec
		d.setFor(t).add(t)
		return
	}
	t := &targetState{spec: spec, limit: newLimit(spec.MaxCalls, spec.LearnsLimit)}
	for _, calls := range d.dispatched {
		for _, call := range calls {
			if call.target == spec.ID {
				t.inFlight++
			}
		}
	}
	d.targets[spec.ID] = t
	d.setFor(t).add(t)
}

// RemoveTarget removes a target. Its calls in flight continue.
func (d *Dispatcher) RemoveTarget(id structs.TargetID) {
	t := d.targets[id]
	if t == nil {
		return
	}
	d.setFor(t).remove(t)
	delete(d.targets, id)
	d.opts.Route.ForgetTarget(id)
}

// RecordLoad records a target's load report and adjusts a learned limit.
func (d *Dispatcher) RecordLoad(now structs.Instant, id structs.TargetID, load Load) {
	t := d.targets[id]
	if t == nil {
		return
	}
	t.load = load
	t.loadAt = now
	t.sinceReport = 0
	s := d.setFor(t)
	s.addToRoomCount(t, -1)
	t.limit.adjust(now, load, t.inFlight)
	s.addToRoomCount(t, 1)
}

// MarkDown stops dispatching to a target for the given duration.
func (d *Dispatcher) MarkDown(now structs.Instant, id structs.TargetID, duration time.Duration) {
	if t := d.targets[id]; t != nil {
		t.downUntil = now.Add(duration)
	}
}

func (d *Dispatcher) changeInFlight(t *targetState, delta int) {
	s := d.setFor(t)
	s.addToRoomCount(t, -1)
	t.inFlight += delta
	s.addToRoomCount(t, 1)
}

func (d *Dispatcher) setFor(t *targetState) *targetSet {
	if t.spec.Domain == d.opts.Domain {
		return &d.ownDomain
	}
	return &d.otherDomains
}

// targetSet is a list of targets in the order of their IDs. withRoom counts the
// targets below their limit, including those that are down.
type targetSet struct {
	dispatcher *Dispatcher
	targets    []*targetState
	withRoom   int
}

func newTargetSet(d *Dispatcher) targetSet { return targetSet{dispatcher: d} }

func (s *targetSet) Len() int { return len(s.targets) }

func (s *targetSet) At(i int) route.Target { return s.dispatcher.routeTarget(s.targets[i]) }

func (s *targetSet) Find(id structs.TargetID) (route.Target, bool) {
	t := s.dispatcher.targets[id]
	if t == nil || s.dispatcher.setFor(t) != s {
		return route.Target{}, false
	}
	return s.dispatcher.routeTarget(t), true
}

func (s *targetSet) add(t *targetState) {
	i, _ := s.search(t.spec.ID)
	s.targets = slices.Insert(s.targets, i, t)
	s.addToRoomCount(t, 1)
}

func (s *targetSet) remove(t *targetState) {
	if i, found := s.search(t.spec.ID); found {
		s.targets = slices.Delete(s.targets, i, i+1)
		s.addToRoomCount(t, -1)
	}
}

func (s *targetSet) search(id structs.TargetID) (int, bool) {
	return slices.BinarySearchFunc(s.targets, id, func(t *targetState, id structs.TargetID) int {
		return compareIDs(t.spec.ID, id)
	})
}

func compareIDs(a, b structs.TargetID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (s *targetSet) addToRoomCount(t *targetState, delta int) {
	if t.hasRoom() {
		s.withRoom += delta
	}
}
