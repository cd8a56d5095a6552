package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/target"
)

// defaultInFlight bounds the calls at a target that sets no limit.
const defaultInFlight = 8

// targetDownFor is how long a target that was not reached gets nothing new.
const targetDownFor = time.Second

// backEnd is one target of a service as the loop sees it.
type backEnd struct {
	spec        target.Spec
	driver      target.Driver
	limit       int
	inFlight    int
	load        target.Load
	loadAt      structs.Instant // 0 before the first report
	sinceReport int
	downUntil   structs.Instant // 0 for one that was reached so far
	drained     bool            // by the operators; takes nothing new
	stop        func()          // ends its load reports
}

// dispatcher gives the waiting calls of one service to targets.
type dispatcher struct {
	service structs.ServiceID
	domain  structs.DomainID
	queue   queue.Policy
	route   route.Policy
	leaving func(structs.TargetID) bool
	targets map[structs.TargetID]*backEnd
	order   []structs.TargetID // keys of targets, sorted
	flying  map[program.CallID][]flight
}

// flight is a call that was given to a target.
type flight struct {
	item   queue.Item
	target structs.TargetID
}

func (l *loop) dispatcher(id structs.ServiceID) *dispatcher {
	if d := l.dispatchers[id]; d != nil {
		return d
	}
	d := &dispatcher{
		service: id,
		domain:  l.s.opts.Settings.Domain,
		queue:   l.s.newQueue(),
		route:   l.s.newRoute(),
		leaving: l.s.opts.Leaving,
		targets: make(map[structs.TargetID]*backEnd),
		flying:  make(map[program.CallID][]flight),
	}
	l.dispatchers[id] = d
	if snapshot := l.s.snapshot(); snapshot != nil {
		l.syncService(snapshot, d)
	}
	return d
}

func (d *dispatcher) push(now structs.Instant, item queue.Item) { d.queue.Push(now, item) }

func (d *dispatcher) remove(call program.CallID) { d.queue.Remove(uint64(call)) }

// next takes the first waiting call for which there is a target.
func (d *dispatcher) next(now structs.Instant) (program.CallID, structs.TargetID, bool) {
	if d.queue.Len() == 0 {
		return 0, "", false
	}
	candidates := d.candidates(now)
	if len(candidates) == 0 {
		return 0, "", false
	}
	var chosen structs.TargetID
	item, found := d.queue.Next(now, func(item queue.Item) bool {
		id, fits := d.route.Choose(now, item, candidates)
		chosen = id
		return fits
	})
	if !found {
		return 0, "", false
	}
	call := program.CallID(item.ID)
	b := d.targets[chosen]
	b.inFlight++
	b.sinceReport++
	d.flying[call] = append(d.flying[call], flight{item: item, target: chosen})
	d.route.Dispatched(now, item, chosen)
	return call, chosen, true
}

// candidates lists the targets of the own failure domain that take calls; when
// there is none, those of other domains.
func (d *dispatcher) candidates(now structs.Instant) []route.Target {
	var near, far []route.Target
	for _, id := range d.order {
		b := d.targets[id]
		if b.isDown(now) || b.drained || d.leaving(id) {
			continue
		}
		if b.spec.Domain == d.domain {
			near = append(near, b.candidate(now, true))
		} else {
			far = append(far, b.candidate(now, false))
		}
	}
	if len(near) == 0 {
		return far
	}
	return near
}

// sortTargets renews the order after the targets have changed.
func (d *dispatcher) sortTargets() { d.order = slices.Sorted(maps.Keys(d.targets)) }

func (b *backEnd) isDown(now structs.Instant) bool { return b.downUntil != 0 && now < b.downUntil }

func (b *backEnd) candidate(now structs.Instant, near bool) route.Target {
	age := int64(-1)
	if b.loadAt != 0 {
		age = int64(now.Sub(b.loadAt) + b.load.Age)
	}
	return route.Target{
		ID: b.spec.ID, Domain: b.spec.Domain, Near: near, InFlight: b.inFlight, Limit: b.limit,
		Running: b.load.Running, Waiting: b.load.Waiting, SinceReport: b.sinceReport, ReportAge: age,
	}
}

// ended counts the end of a dispatch and reports whether it was one of this
// service.
func (d *dispatcher) ended(now structs.Instant, call program.CallID, id structs.TargetID, usage structs.Usage, ok bool) bool {
	list := d.flying[call]
	for i, f := range list {
		if f.target != id {
			continue
		}
		d.flying[call] = append(list[:i:i], list[i+1:]...)
		if len(d.flying[call]) == 0 {
			delete(d.flying, call)
		}
		if b := d.targets[id]; b != nil {
			b.inFlight--
		}
		d.route.Finished(now, f.item, id, usage.CachedTokens, usage.OutputTokens, ok)
		if tokens := usage.Total(); tokens > 0 {
			d.queue.Charge(now, f.item.Account, f.item.Program, tokens)
		}
		return true
	}
	return false
}

func (d *dispatcher) down(now structs.Instant, id structs.TargetID) {
	if b := d.targets[id]; b != nil {
		b.downUntil = now.Add(targetDownFor)
	}
}

func limitOf(t config.Target) int {
	if t.MaxInFlight > 0 {
		return t.MaxInFlight
	}
	return defaultInFlight
}
