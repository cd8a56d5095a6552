package scheduler

import (
	"time"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/dispatch"
	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// defaultMaxInFlight limits the calls in flight at a target that has no configured
	// limit and does not report its load.
	defaultMaxInFlight = 8
	// maxLearnedLimit is the upper bound of a limit learned from a target's load
	// reports.
	maxLearnedLimit = 256
	// targetDownPeriod is how long a target gets no new calls after a dispatch that did
	// not reach it, that it refused or that crashed it.
	targetDownPeriod = time.Second
)

// protocolEngine is the protocol of targets that report their load.
const protocolEngine = "engine"

// backend is the loop's view of one target of a service.
type backend struct {
	spec      target.Spec
	driver    target.Driver
	isDrained bool   // by operators; gets no new calls
	stop      func() // stops its load reports
}

// dispatcher assigns the waiting calls of one service to targets.
type dispatcher struct {
	*dispatch.Dispatcher
	service   structs.ServiceID
	isLeaving func(structs.TargetID) bool
	targets   map[structs.TargetID]*backend
}

// dispatcher returns the dispatcher of a service and creates it at first use.
func (l *loop) dispatcher(id structs.ServiceID) *dispatcher {
	if d := l.dispatchers[id]; d != nil {
		return d
	}
	d := &dispatcher{
		Dispatcher: dispatch.New(dispatch.Options{
			Domain:    l.s.opts.Settings.Domain,
			Queue:     l.s.newQueue(),
			Route:     l.s.newRoute(),
			IsLeaving: l.s.opts.IsLeaving,
		}),
		service:   id,
		isLeaving: l.s.opts.IsLeaving,
		targets:   make(map[structs.TargetID]*backend),
	}
	l.dispatchers[id] = d
	if snapshot := l.s.snapshot(); snapshot != nil {
		l.syncService(snapshot, d)
	}
	return d
}

// nextAssignment removes the first waiting call that can be assigned a target from the
// queue and returns both.
func (l *loop) nextAssignment(now structs.Instant, d *dispatcher) (program.CallID, structs.TargetID, bool) {
	item, id, found, err := d.Next(now)
	if err != nil {
		l.reportViolation(err)
	}
	return program.CallID(item.ID), id, found
}

// recordFinish records the end of a dispatch and reports whether the dispatch belonged
// to this service.
func (d *dispatcher) recordFinish(now structs.Instant, call program.CallID, id structs.TargetID, usage structs.Usage, ok bool) bool {
	_, found := d.RecordFinish(now, uint64(call), id, usage, ok)
	return found
}

// dispatchSpec returns a target's specification for the dispatcher of this failure
// domain.
func (l *loop) dispatchSpec(id structs.TargetID, t config.Target) dispatch.TargetSpec {
	spec := dispatch.TargetSpec{
		ID: id, Domain: t.Domain, SameRegion: t.Domain == l.s.opts.Settings.Domain,
		MaxCalls: t.MaxInFlight, Closed: t.IsDraining,
	}
	switch {
	case spec.MaxCalls > 0:
	case t.Protocol == protocolEngine:
		spec.MaxCalls = maxLearnedLimit
		spec.LearnsLimit = true
	default:
		spec.MaxCalls = defaultMaxInFlight
	}
	return spec
}
