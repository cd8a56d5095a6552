package run

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/endivecourse/endivecourse/bench/vengine"
	"github.com/endivecourse/endivecourse/bench/workload"
	"github.com/endivecourse/endivecourse/dispatch"
	"github.com/endivecourse/endivecourse/structs"
)

// One-way delays and the link between regions.
const (
	delayInRegion  = 500 * time.Microsecond
	delayOfRegions = 12 * time.Millisecond
	linkBytesRate  = 30e6 / 8 // bytes per second, each way
	bytesPerToken  = 4        // of text
	targetDownFor  = time.Second
)

// sim is one run.
type sim struct {
	opts    Options
	line    timeline
	rng     *rand.Rand
	domains []*domain
	engines []*engine
	byID    map[structs.TargetID]*engine
	calls   map[uint64]*callRun
	nextID  uint64
	faulty  bool
	blocked []func()
	live    int // programs that have not ended
	known   map[uint64]struct{}
	link    map[string]structs.Instant // by direction, until when it is in use
	m       measure
	err     error
}

type domain struct {
	workload.Domain
	index      int
	dispatcher *dispatch.Dispatcher
}

// engine is one target.
type engine struct {
	id       structs.TargetID
	domain   *domain
	engine   *vengine.Engine
	stepping bool
	dead     bool
	frozen   bool
	last     vengine.Load // as last reported
	life     int          // counts crashes
}

// Run runs the workload and returns its figures. Its error is a
// *structs.InvariantError or names an unknown policy.
func Run(opts Options) (Metrics, error) {
	s, err := newSim(opts)
	if err != nil {
		return Metrics{}, err
	}
	programs := workload.Generate(opts.Workload)
	s.live = len(programs)
	for i, p := range programs {
		r := &programRun{sim: s, program: p, index: i, arrived: structs.Instant(p.Arrival)}
		s.line.after(p.Arrival, r.start)
		s.m.programs = append(s.m.programs, r)
	}
	s.scheduleFault()
	for _, e := range s.engines {
		s.report(e)
	}
	end := structs.Instant(opts.Workload.Duration + opts.Drain)
	s.line.runUntil(end, func() bool { return s.live == 0 || s.err != nil })
	return s.figures(), s.err
}

func newSim(opts Options) (*sim, error) {
	s := &sim{
		opts:  opts,
		rng:   rand.New(rand.NewPCG(opts.Workload.Seed, 0x656e67696e65)),
		byID:  make(map[structs.TargetID]*engine),
		calls: make(map[uint64]*callRun),
		known: make(map[uint64]struct{}),
		link:  make(map[string]structs.Instant),
	}
	for i, spec := range opts.Workload.Shape.Domains {
		d := &domain{Domain: spec, index: i}
		if err := s.addDispatcher(d); err != nil {
			return nil, err
		}
		s.domains = append(s.domains, d)
		for n := range spec.Targets {
			e := &engine{id: structs.TargetID(fmt.Sprintf("%s-%d", spec.ID, n)), domain: d, engine: vengine.New(opts.Engine)}
			s.engines = append(s.engines, e)
			s.byID[e.id] = e
		}
	}
	s.addTargets()
	return s, nil
}

func (s *sim) addDispatcher(d *domain) error {
	queue, err := s.opts.Policies.newQueue()
	if err != nil {
		return err
	}
	route, err := s.opts.Policies.newRoute()
	if err != nil {
		return err
	}
	d.dispatcher = dispatch.New(dispatch.Options{
		Domain: d.ID, Queue: queue, Route: route,
		IsLeaving: func(id structs.TargetID) bool { return s.isCut(d.index, s.byID[id].domain.index) },
	})
	return nil
}

func (s *sim) addTargets() {
	for _, d := range s.domains {
		for _, e := range s.engines {
			d.dispatcher.SetTarget(dispatch.TargetSpec{
				ID: e.id, Domain: e.domain.ID, SameRegion: e.domain.Region == d.Region, MaxCalls: noLimit,
				LearnsLimit: s.opts.Policies.Limit == LimitLearned,
			})
		}
	}
}

// report takes a load report of a target now and again after each interval.
func (s *sim) report(e *engine) {
	if !e.frozen {
		e.last = e.engine.Load()
	}
	load := e.last
	if !e.dead {
		s.line.after(s.opts.Engine.ReportLag, func() { s.loaded(e, load) })
	}
	s.line.after(s.opts.Engine.ReportInterval, func() { s.report(e) })
}

func (s *sim) loaded(e *engine, load vengine.Load) {
	for _, d := range s.domains {
		if s.isCut(d.index, e.domain.index) {
			continue
		}
		d.dispatcher.RecordLoad(s.line.now, e.id, dispatch.Load{Running: load.Running, Waiting: load.Waiting, Age: s.opts.Engine.ReportLag})
		s.pump(d)
	}
}

// pump sends waiting calls of a domain as far as targets take them.
func (s *sim) pump(d *domain) {
	for s.err == nil {
		item, id, found, err := d.dispatcher.Next(s.line.now)
		if err != nil {
			s.err = err
		}
		if !found {
			return
		}
		s.send(s.calls[item.ID], s.byID[id])
	}
}

// send carries a call to a target.
func (s *sim) send(c *callRun, e *engine) {
	c.target = e
	c.life = e.life
	d := c.domain()
	c.reusable = s.reusable(c.call)
	delay := s.transfer(d, e.domain, c.call.Prompt()*bytesPerToken)
	tries := c.tries
	s.line.after(delay, func() {
		if c.tries != tries {
			return // it was lost with its target meanwhile
		}
		if e.dead || e.life != c.life || s.isCut(d.index, e.domain.index) {
			s.failed(c)
			return
		}
		e.engine.Submit(&vengine.Request{ID: c.id, Prefixes: c.call.Prefixes, Output: c.call.Output, ResponseHash: c.call.ResponseHash})
		s.step(e)
	})
}

// transfer returns the time for bytes from one domain to another and counts
// those on the link between regions.
func (s *sim) transfer(from, to *domain, bytes int64) time.Duration {
	if from.Region == to.Region {
		return delayInRegion
	}
	s.m.linkBytes += bytes
	direction := from.Region + ">" + to.Region
	start := max(s.link[direction], s.line.now)
	end := start.Add(time.Duration(float64(bytes) / linkBytesRate * float64(time.Second)))
	s.link[direction] = end
	return end.Sub(s.line.now) + delayOfRegions
}

// step runs the next step of an engine unless one is under way.
func (s *sim) step(e *engine) {
	if e.stepping || e.dead {
		return
	}
	result := e.engine.Step()
	s.publish(e, result.Changes)
	if result.Took == 0 {
		return
	}
	e.stepping = true
	life := e.life
	s.line.after(result.Took, func() {
		if e.life != life {
			return
		}
		e.stepping = false
		for _, done := range result.Completions {
			s.done(s.calls[done.ID], done)
		}
		s.step(e)
	})
}

// crash ends a target and all calls at it.
func (s *sim) crash(e *engine) {
	e.dead = true
	e.stepping = false
	e.life++
	for _, id := range e.engine.Crash() {
		if c := s.calls[id]; c != nil {
			s.failed(c)
		}
	}
	// Calls on their way to the target and answers of its last step are lost as
	// well.
	for _, c := range s.sortedCalls() {
		if c.target == e {
			s.failed(c)
		}
	}
}
