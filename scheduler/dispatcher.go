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
	// defaultInFlight bounds the calls at a target that sets no limit and
	// reports no load.
	defaultInFlight = 8
	// mostLearned bounds the limit that is learned from a target's reports.
	mostLearned = 256
	// targetDownFor is how long a target that was not reached gets nothing new.
	targetDownFor = time.Second
)

// protocolEngine is the protocol of targets that report their load.
const protocolEngine = "engine"

// backEnd is one target of a service as the loop sees it.
type backEnd struct {
	spec    target.Spec
	driver  target.Driver
	drained bool   // by the operators; takes nothing new
	stop    func() // ends its load reports
}

// dispatcher gives the waiting calls of one service to targets.
type dispatcher struct {
	*dispatch.Dispatcher
	service structs.ServiceID
	leaving func(structs.TargetID) bool
	targets map[structs.TargetID]*backEnd
}

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
		service: id,
		leaving: l.s.opts.IsLeaving,
		targets: make(map[structs.TargetID]*backEnd),
	}
	l.dispatchers[id] = d
	if snapshot := l.s.snapshot(); snapshot != nil {
		l.syncService(snapshot, d)
	}
	return d
}

// next takes the first waiting call for which there is a target.
func (l *loop) next(now structs.Instant, d *dispatcher) (program.CallID, structs.TargetID, bool) {
	item, id, found, err := d.Next(now)
	if err != nil {
		l.fault(err)
	}
	return program.CallID(item.ID), id, found
}

// ended counts the end of a dispatch and reports whether it was one of this
// service.
func (d *dispatcher) ended(now structs.Instant, call program.CallID, id structs.TargetID, usage structs.Usage, ok bool) bool {
	_, found := d.RecordFinish(now, uint64(call), id, usage, ok)
	return found
}

// specIn returns the target as the dispatcher of this failure domain sees it.
func (l *loop) specIn(id structs.TargetID, t config.Target) dispatch.TargetSpec {
	spec := dispatch.TargetSpec{
		ID: id, Domain: t.Domain, SameRegion: t.Domain == l.s.opts.Settings.Domain,
		MaxCalls: t.MaxInFlight, Closed: t.IsDraining,
	}
	switch {
	case spec.MaxCalls > 0:
	case t.Protocol == protocolEngine:
		spec.MaxCalls = mostLearned
		spec.LearnsLimit = true
	default:
		spec.MaxCalls = defaultInFlight
	}
	return spec
}
