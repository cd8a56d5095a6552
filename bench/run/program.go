package run

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/bench/vengine"
	"github.com/endivecourse/endivecourse/bench/workload"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/structs"
)

// programRun is a program and its caller.
type programRun struct {
	sim     *sim
	program *workload.Program
	index   int
	parent  *programRun
	arrived structs.Instant
	ended   structs.Instant // 0 while it runs
	refused bool
	next    int // index of the next call
	waits   int // sub-agents and the pause that the next call waits for
	spent   int64
	holds   map[*engine]uint64 // hash of the last answer at each target
}

// callRun is one call on its way.
type callRun struct {
	id       uint64
	run      *programRun
	call     *workload.Call
	ready    structs.Instant
	target   *engine // nil while it waits
	life     int     // of the target as it was sent
	tries    int
	reusable int64 // prompt tokens that an engine has computed before
}

func (c *callRun) domain() *domain { return c.run.sim.domains[c.run.program.DomainIndex] }

func (r *programRun) start() {
	r.holds = make(map[*engine]uint64)
	r.ask()
}

// ask makes the program's next call.
func (r *programRun) ask() {
	s := r.sim
	if s.isBlocked(r) {
		s.blocked = append(s.blocked, r.ask)
		return
	}
	s.nextID++
	c := &callRun{id: s.nextID, run: r, call: &r.program.Calls[r.next], ready: s.line.now}
	r.next++
	d := c.domain()
	if d.dispatcher.Waiting() >= s.opts.MaxQueued {
		s.m.refused++
		r.refused = true
		r.end()
		return
	}
	s.calls[c.id] = c
	s.wait(c)
}

// wait puts a call into its domain's queue.
func (s *sim) wait(c *callRun) {
	c.target = nil
	d := c.domain()
	var parent structs.ProgramID
	if c.run.parent != nil {
		parent = c.run.parent.program.ID
	}
	d.dispatcher.Push(s.line.now, queue.Item{
		ID: c.id, Program: c.run.program.ID, Parent: parent, Account: c.run.program.Account, Service: s.opts.Workload.Shape.Service,
		Number: uint64(c.run.next), PromptTokens: c.call.Prompt(), OutputTokens: c.call.Output, AttainedService: c.run.spent,
		Weight: s.weightOf(c.run.program.Account), ArrivedAt: c.ready, Prefixes: c.call.Prefixes,
	})
	s.pump(d)
}

func (s *sim) weightOf(id structs.AccountID) float64 {
	for _, account := range s.opts.Workload.Shape.Accounts {
		if account.ID == id {
			return account.Share
		}
	}
	return 1
}

// done takes the end of a call at its target.
func (s *sim) done(c *callRun, done vengine.Completion) {
	if c == nil || c.target == nil {
		return
	}
	e := c.target
	d := c.domain()
	if s.isCut(d.index, e.domain.index) {
		s.failed(c)
		return
	}
	delete(s.calls, c.id)
	usage := structs.Usage{PromptTokens: done.Prompt, CachedTokens: done.Cached, OutputTokens: done.Output}
	s.m.prompt += done.Prompt
	s.m.wasted += max(c.reusable-done.Cached, 0)
	for _, prefix := range c.call.Prefixes {
		s.known[prefix.Hash] = struct{}{}
	}
	s.known[c.call.ResponseHash] = struct{}{}
	c.run.holds[e] = c.call.ResponseHash
	c.run.spent += usage.Total()
	d.dispatcher.RecordFinish(s.line.now, c.id, e.id, usage, true)
	delay := s.transfer(e.domain, d, done.Output*bytesPerToken)
	s.line.after(delay, func() { c.run.answered(c) })
	s.pump(d)
}

// failed takes a call that its target did not finish and lets it wait again.
func (s *sim) failed(c *callRun) {
	e := c.target
	d := c.domain()
	c.target = nil
	c.tries++
	s.m.retries++
	d.dispatcher.RecordFinish(s.line.now, c.id, e.id, structs.Usage{}, false)
	d.dispatcher.MarkDown(s.line.now, e.id, targetDownFor)
	s.wait(c)
}

// answered goes on after the answer of a call has come.
func (r *programRun) answered(c *callRun) {
	s := r.sim
	s.m.call(c, s.line.now.Sub(c.ready), s.idealCall(c))
	if r.next == len(r.program.Calls) {
		r.end()
		return
	}
	r.waits = 1 + len(c.call.Children)
	s.line.after(c.call.Pause, r.proceed)
	for _, child := range c.call.Children {
		run := &programRun{sim: s, program: child, index: r.index, parent: r, arrived: s.line.now}
		run.start()
	}
}

// proceed counts one thing less that the next call waits for.
func (r *programRun) proceed() {
	r.waits--
	if r.waits == 0 {
		r.ask()
	}
}

// end ends the program, frees its cache and wakes its parent.
func (r *programRun) end() {
	s := r.sim
	r.ended = s.line.now
	for _, e := range s.engines {
		if hash, held := r.holds[e]; held {
			e.engine.FreePrefix(hash)
		}
	}
	s.domains[r.program.DomainIndex].dispatcher.ForgetProgram(r.program.ID)
	if r.parent != nil {
		r.parent.proceed()
		return
	}
	s.live--
}

// reusable returns how many tokens of the prompt an engine has computed before.
func (s *sim) reusable(call *workload.Call) int64 {
	for i := len(call.Prefixes) - 1; i >= 0; i-- {
		if _, known := s.known[call.Prefixes[i].Hash]; known {
			return call.Prefixes[i].Tokens
		}
	}
	return 0
}

// publish sends cache events to the dispatchers, late and with gaps.
func (s *sim) publish(e *engine, changes []vengine.CacheChange) {
	for _, change := range changes {
		if s.rng.Float64() < s.opts.Engine.CacheEventLoss {
			continue
		}
		event := route.CacheEvent{Target: e.id, Prefix: change.Prefix.Hash, Tokens: change.Prefix.Tokens, Evicted: change.IsRemoved}
		s.line.after(s.opts.Engine.CacheEventLag, func() {
			for _, d := range s.domains {
				if !s.isCut(d.index, e.domain.index) {
					d.dispatcher.RecordCacheEvent(s.line.now, event)
				}
			}
		})
	}
}

func (s *sim) sortedCalls() []*callRun {
	all := make([]*callRun, 0, len(s.calls))
	for _, c := range s.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *callRun) int { return cmp.Compare(a.id, b.id) })
	return all
}

// idealCall returns the time of a call at an idle target with all earlier
// prompt tokens of its program cached.
func (s *sim) idealCall(c *callRun) time.Duration { return ideal(s.opts.Engine, c.call) }

func ideal(engine vengine.Params, call *workload.Call) time.Duration {
	fresh := call.Prompt()
	if n := len(call.Prefixes); n > 1 {
		fresh -= call.Prefixes[n-2].Tokens
	}
	prefill := time.Duration(float64(fresh) / engine.PrefillRate * float64(time.Second))
	return prefill + time.Duration(call.Output)*(engine.StepBase+engine.StepPerSequence)
}

// idealProgram returns the latency of a program whose calls are all ideal.
func idealProgram(engine vengine.Params, p *workload.Program) time.Duration {
	var total time.Duration
	for i := range p.Calls {
		call := &p.Calls[i]
		total += ideal(engine, call)
		gap := call.Pause
		for _, child := range call.Children {
			gap = max(gap, idealProgram(engine, child))
		}
		if i+1 < len(p.Calls) {
			total += gap
		}
	}
	return total
}
