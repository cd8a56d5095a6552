package dispatch

import (
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/structs"
)

// state is what is known of one target.
type state struct {
	spec        TargetSpec
	limit       limit
	inFlight    int
	load        Load
	loadAt      structs.Instant // 0 before the first report
	sinceReport int
	downUntil   structs.Instant // 0 for one that was reached so far
}

func (t *state) isDown(now structs.Instant) bool { return t.downUntil != 0 && now < t.downUntil }

func (t *state) hasRoom() bool { return t.inFlight < t.limit.value }

// view is the target as the route policy sees it.
func (d *Dispatcher) view(t *state) route.Target {
	age := int64(-1)
	if t.loadAt != 0 {
		age = int64(d.now.Sub(t.loadAt) + t.load.Age)
	}
	view := route.Target{
		ID: t.spec.ID, Domain: t.spec.Domain, SameRegion: t.spec.SameRegion, InFlight: t.inFlight, Limit: t.limit.value,
		Running: t.load.Running, Waiting: t.load.Waiting, SinceReport: t.sinceReport, ReportAge: age,
	}
	if !d.takesCalls(t) {
		view.Limit = 0
	}
	return view
}

func (d *Dispatcher) takesCalls(t *state) bool {
	return !t.spec.Closed && !t.isDown(d.now) && !d.opts.IsLeaving(t.spec.ID)
}

// TargetStatus is one target in a state dump.
type TargetStatus struct {
	InFlight, Limit  int
	Running, Waiting int // as reported
	Down             bool
}

// TargetStatus returns what is known of a target.
func (d *Dispatcher) TargetStatus(now structs.Instant, id structs.TargetID) TargetStatus {
	t := d.targets[id]
	if t == nil {
		return TargetStatus{}
	}
	return TargetStatus{
		InFlight: t.inFlight, Limit: t.limit.value,
		Running: t.load.Running, Waiting: t.load.Waiting, Down: t.isDown(now),
	}
}

// SetTarget adds a target or changes its description.
func (d *Dispatcher) SetTarget(spec TargetSpec) {
	if t := d.targets[spec.ID]; t != nil {
		d.setOf(t).remove(t)
		if t.spec.LearnsLimit != spec.LearnsLimit || t.spec.MaxCalls != spec.MaxCalls {
			t.limit = newLimit(spec.MaxCalls, spec.LearnsLimit)
		}
		t.spec = spec
		d.setOf(t).add(t)
		return
	}
	t := &state{spec: spec, limit: newLimit(spec.MaxCalls, spec.LearnsLimit)}
	for _, flights := range d.flying {
		for _, f := range flights {
			if f.target == spec.ID {
				t.inFlight++
			}
		}
	}
	d.targets[spec.ID] = t
	d.setOf(t).add(t)
}

// RemoveTarget forgets a target. Its calls in flight run on.
func (d *Dispatcher) RemoveTarget(id structs.TargetID) {
	t := d.targets[id]
	if t == nil {
		return
	}
	d.setOf(t).remove(t)
	delete(d.targets, id)
	d.opts.Route.ForgetTarget(id)
}

// RecordLoad records a target's report.
func (d *Dispatcher) RecordLoad(now structs.Instant, id structs.TargetID, load Load) {
	t := d.targets[id]
	if t == nil {
		return
	}
	t.load = load
	t.loadAt = now
	t.sinceReport = 0
	s := d.setOf(t)
	s.count(t, -1)
	t.limit.report(now, load, t.inFlight)
	s.count(t, 1)
}

// MarkDown gives a target nothing new for a time.
func (d *Dispatcher) MarkDown(now structs.Instant, id structs.TargetID, lasts time.Duration) {
	if t := d.targets[id]; t != nil {
		t.downUntil = now.Add(lasts)
	}
}

func (d *Dispatcher) changeInFlight(t *state, by int) {
	s := d.setOf(t)
	s.count(t, -1)
	t.inFlight += by
	s.count(t, 1)
}

func (d *Dispatcher) setOf(t *state) *set {
	if t.spec.Domain == d.opts.Domain {
		return &d.own
	}
	return &d.others
}

// set is a list of targets in the order of their IDs. free counts those below
// their limit, down ones included.
type set struct {
	dispatcher *Dispatcher
	targets    []*state
	free       int
}

func newSet(d *Dispatcher) set { return set{dispatcher: d} }

func (s *set) Len() int { return len(s.targets) }

func (s *set) At(i int) route.Target { return s.dispatcher.view(s.targets[i]) }

func (s *set) Find(id structs.TargetID) (route.Target, bool) {
	t := s.dispatcher.targets[id]
	if t == nil || s.dispatcher.setOf(t) != s {
		return route.Target{}, false
	}
	return s.dispatcher.view(t), true
}

func (s *set) add(t *state) {
	i, _ := s.search(t.spec.ID)
	s.targets = slices.Insert(s.targets, i, t)
	s.count(t, 1)
}

func (s *set) remove(t *state) {
	if i, found := s.search(t.spec.ID); found {
		s.targets = slices.Delete(s.targets, i, i+1)
		s.count(t, -1)
	}
}

func (s *set) search(id structs.TargetID) (int, bool) {
	return slices.BinarySearchFunc(s.targets, id, func(t *state, id structs.TargetID) int {
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

func (s *set) count(t *state, by int) {
	if t.hasRoom() {
		s.free += by
	}
}
