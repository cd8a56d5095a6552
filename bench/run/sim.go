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

// Network model: one-way delays and the link between regions.
const (
	delayInRegion       = 500 * time.Microsecond
	delayBetweenRegions = 12 * time.Millisecond
	linkBytesPerSecond  = 30e6 / 8 // in each direction
	bytesPerToken       = 4        // of text
	targetDownPeriod    = time.Second
)

// sim is the state of one simulated run.
type sim struct {
	opts          Options
	loop          eventLoop
	rng           *rand.Rand
	domains       []*domain
	engines       []*engine
	byID          map[structs.TargetID]*engine
	calls         map[uint64]*callRun
	nextID        uint64
	isFaultActive bool
	blocked       []func()                   // calls to start once the fault ends
	unfinished    int                        // programs, without sub-programs, that have not ended
	computed      map[uint64]struct{}        // hashes of the prefixes that some engine has computed
	linkBusyUntil map[string]structs.Instant // by direction; the end of the last transfer
	metrics       collector
	err           error
}

type domain struct {
	workload.Domain
	index      int
	dispatcher *dispatch.Dispatcher
}

// engine is a target with its simulated model engine.
type engine struct {
	id          structs.TargetID
	domain      *domain
	engine      *vengine.Engine
	isStepping  bool
	isDown      bool
	isFrozen    bool
	lastReport  vengine.Load // repeated while isFrozen
	incarnation int          // incremented by each crash
}

// Run simulates the workload and returns its metrics. The error names an unknown policy or
// is a *structs.InvariantError of a dispatcher.
func Run(opts Options) (Metrics, error) {
	s, err := newSim(opts)
	if err != nil {
		return Metrics{}, err
	}
	programs := workload.Generate(opts.Workload)
	s.unfinished = len(programs)
	for i, p := range programs {
		r := &programRun{sim: s, program: p, index: i, arrived: structs.Instant(p.Arrival)}
		s.loop.after(p.Arrival, r.start)
		s.metrics.programs = append(s.metrics.programs, r)
	}
	s.scheduleFault()
	for _, e := range s.engines {
		s.takeLoadReport(e)
	}
	end := structs.Instant(opts.Workload.Duration + opts.Drain)
	s.loop.runUntil(end, func() bool { return s.unfinished == 0 || s.err != nil })
	return s.collect(), s.err
}

func newSim(opts Options) (*sim, error) {
	s := &sim{
		opts:          opts,
		rng:           rand.New(rand.NewPCG(opts.Workload.Seed, 0x656e67696e65)),
		byID:          make(map[structs.TargetID]*engine),
		calls:         make(map[uint64]*callRun),
		computed:      make(map[uint64]struct{}),
		linkBusyUntil: make(map[string]structs.Instant),
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
		IsLeaving: func(id structs.TargetID) bool { return s.isPartitioned(d.index, s.byID[id].domain.index) },
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

// takeLoadReport samples the load of a target, delivers it to the dispatchers after the
// report lag, and schedules the next sample.
func (s *sim) takeLoadReport(e *engine) {
	if !e.isFrozen {
		e.lastReport = e.engine.Load()
	}
	load := e.lastReport
	if !e.isDown {
		s.loop.after(s.opts.Engine.ReportLag, func() { s.applyLoadReport(e, load) })
	}
	s.loop.after(s.opts.Engine.ReportInterval, func() { s.takeLoadReport(e) })
}

func (s *sim) applyLoadReport(e *engine, load vengine.Load) {
	for _, d := range s.domains {
		if s.isPartitioned(d.index, e.domain.index) {
			continue
		}
		d.dispatcher.RecordLoad(s.loop.now, e.id, dispatch.Load{Running: load.Running, Waiting: load.Waiting, Age: s.opts.Engine.ReportLag})
		s.dispatchWaiting(d)
	}
}

// dispatchWaiting sends waiting calls of a failure domain until no target accepts another.
func (s *sim) dispatchWaiting(d *domain) {
	for s.err == nil {
		item, id, found, err := d.dispatcher.Next(s.loop.now)
		if err != nil {
			s.err = err
		}
		if !found {
			return
		}
		s.sendCall(s.calls[item.ID], s.byID[id])
	}
}

// sendCall sends a call to a target, which receives it after the network delay.
func (s *sim) sendCall(c *callRun, e *engine) {
	c.target = e
	c.incarnation = e.incarnation
	d := c.domain()
	c.reusableTokens = s.reusableTokens(c.call)
	delay := s.transfer(d, e.domain, c.call.Prompt()*bytesPerToken)
	retries := c.retryCount
	s.loop.after(delay, func() {
		if c.retryCount != retries {
			return // the target crashed meanwhile and the call was queued again
		}
		if e.isDown || e.incarnation != c.incarnation || s.isPartitioned(d.index, e.domain.index) {
			s.retryCall(c)
			return
		}
		e.engine.Submit(&vengine.Request{ID: c.id, Prefixes: c.call.Prefixes, Output: c.call.Output, ResponseHash: c.call.ResponseHash})
		s.stepEngine(e)
	})
}

// transfer returns the time to transfer bytes between two failure domains. A transfer
// between regions waits until the link is free, and its bytes are counted.
func (s *sim) transfer(from, to *domain, bytes int64) time.Duration {
	if from.Region == to.Region {
		return delayInRegion
	}
	s.metrics.linkBytes += bytes
	direction := from.Region + ">" + to.Region
	start := max(s.linkBusyUntil[direction], s.loop.now)
	end := start.Add(time.Duration(float64(bytes) / linkBytesPerSecond * float64(time.Second)))
	s.linkBusyUntil[direction] = end
	return end.Sub(s.loop.now) + delayBetweenRegions
}

// stepEngine runs the next step of an engine unless a step is in progress.
func (s *sim) stepEngine(e *engine) {
	if e.isStepping || e.isDown {
		return
	}
	result := e.engine.Step()
	s.publishCacheChanges(e, result.Changes)
	if result.Took == 0 {
		return
	}
	e.isStepping = true
	incarnation := e.incarnation
	s.loop.after(result.Took, func() {
		if e.incarnation != incarnation {
			return
		}
		e.isStepping = false
		for _, done := range result.Completions {
			s.finishCall(s.calls[done.ID], done)
		}
		s.stepEngine(e)
	})
}

// crash takes a target down and queues all its calls again.
func (s *sim) crash(e *engine) {
	e.isDown = true
	e.isStepping = false
	e.incarnation++
	for _, id := range e.engine.Crash() {
		if c := s.calls[id]; c != nil {
			s.retryCall(c)
		}
	}
	// Calls in transit to the target and the responses of the step in progress are lost
	// as well.
	for _, c := range s.sortedCalls() {
		if c.target == e {
			s.retryCall(c)
		}
	}
}
