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

// programRun is the state of a program and its caller.
type programRun struct {
	sim           *sim
	program       *workload.Program
	index         int // in order of arrival; a sub-program has that of its parent
	parent        *programRun
	arrived       structs.Instant
	ended         structs.Instant // 0 while the program runs
	refused       bool
	nextCall      int                // index of the next call
	pendingWaits  int                // pause and sub-programs to end before the next call
	usedTokens    int64              // prompt and output tokens of the finished calls
	lastResponses map[*engine]uint64 // hash of prompt and response of the last call, by target
}

// callRun is the state of one call.
type callRun struct {
	id             uint64
	run            *programRun
	call           *workload.Call
	ready          structs.Instant // when the caller made the call
	target         *engine         // nil while the call is queued
	incarnation    int             // of the target when the call was sent
	retryCount     int
	reusableTokens int64 // prompt tokens that an engine had computed before the call was sent
}

func (c *callRun) domain() *domain { return c.run.sim.domains[c.run.program.DomainIndex] }

func (r *programRun) start() {
	r.lastResponses = make(map[*engine]uint64)
	r.startCall()
}

// startCall makes the program's next call. If the caller cannot reach the failure domain,
// the call is made when the fault ends. If the queue is full, the program is refused.
func (r *programRun) startCall() {
	s := r.sim
	if s.isBlocked(r) {
		s.blocked = append(s.blocked, r.startCall)
		return
	}
	s.nextID++
	c := &callRun{id: s.nextID, run: r, call: &r.program.Calls[r.nextCall], ready: s.loop.now}
	r.nextCall++
	d := c.domain()
	if d.dispatcher.Waiting() >= s.opts.MaxQueued {
		s.metrics.refused++
		r.refused = true
		r.finish()
		return
	}
	s.calls[c.id] = c
	s.enqueue(c)
}

// enqueue adds a call to the queue of its failure domain.
func (s *sim) enqueue(c *callRun) {
	c.target = nil
	d := c.domain()
	var parent structs.ProgramID
	if c.run.parent != nil {
		parent = c.run.parent.program.ID
	}
	d.dispatcher.Push(s.loop.now, queue.Item{
		ID: c.id, Program: c.run.program.ID, Parent: parent, Account: c.run.program.Account, Service: s.opts.Workload.Shape.Service,
		Number: uint64(c.run.nextCall), PromptTokens: c.call.Prompt(), OutputTokens: c.call.Output, AttainedService: c.run.usedTokens,
		Weight: s.accountWeight(c.run.program.Account), ArrivedAt: c.ready, Prefixes: c.call.Prefixes,
	})
	s.dispatchWaiting(d)
}

func (s *sim) accountWeight(id structs.AccountID) float64 {
	for _, account := range s.opts.Workload.Shape.Accounts {
		if account.ID == id {
			return account.Share
		}
	}
	return 1
}

// finishCall records a call that its target completed and sends the response to the
// caller. A response that cannot cross a partition is lost, and the call is retried.
func (s *sim) finishCall(c *callRun, done vengine.Completion) {
	if c == nil || c.target == nil {
		return
	}
	e := c.target
	d := c.domain()
	if s.isPartitioned(d.index, e.domain.index) {
		s.retryCall(c)
		return
	}
	delete(s.calls, c.id)
	usage := structs.Usage{PromptTokens: done.Prompt, CachedTokens: done.Cached, OutputTokens: done.Output}
	s.metrics.promptTokens += done.Prompt
	s.metrics.recomputed += max(c.reusableTokens-done.Cached, 0)
	for _, prefix := range c.call.Prefixes {
		s.computed[prefix.Hash] = struct{}{}
	}
	s.computed[c.call.ResponseHash] = struct{}{}
	c.run.lastResponses[e] = c.call.ResponseHash
	c.run.usedTokens += usage.Total()
	d.dispatcher.RecordFinish(s.loop.now, c.id, e.id, usage, true)
	delay := s.transfer(e.domain, d, done.Output*bytesPerToken)
	s.loop.after(delay, func() { c.run.handleResponse(c) })
	s.dispatchWaiting(d)
}

// retryCall marks the target of an unfinished call as down and queues the call again.
func (s *sim) retryCall(c *callRun) {
	e := c.target
	d := c.domain()
	c.target = nil
	c.retryCount++
	s.metrics.retries++
	d.dispatcher.RecordFinish(s.loop.now, c.id, e.id, structs.Usage{}, false)
	d.dispatcher.MarkDown(s.loop.now, e.id, targetDownPeriod)
	s.enqueue(c)
}

// handleResponse records a call whose response has reached the caller, and starts the pause
// and the sub-programs that precede the next call.
func (r *programRun) handleResponse(c *callRun) {
	s := r.sim
	s.metrics.call(c, s.loop.now.Sub(c.ready), s.idealCall(c))
	if r.nextCall == len(r.program.Calls) {
		r.finish()
		return
	}
	r.pendingWaits = 1 + len(c.call.Children)
	s.loop.after(c.call.Pause, r.finishWait)
	for _, child := range c.call.Children {
		run := &programRun{sim: s, program: child, index: r.index, parent: r, arrived: s.loop.now}
		run.start()
	}
}

// finishWait records the end of the pause or of a sub-program, and makes the next call after
// the last of them.
func (r *programRun) finishWait() {
	r.pendingWaits--
	if r.pendingWaits == 0 {
		r.startCall()
	}
}

// finish ends the program, frees its cached prefixes and notifies its parent.
func (r *programRun) finish() {
	s := r.sim
	r.ended = s.loop.now
	for _, e := range s.engines {
		if hash, held := r.lastResponses[e]; held {
			e.engine.FreePrefix(hash)
		}
	}
	s.domains[r.program.DomainIndex].dispatcher.ForgetProgram(r.program.ID)
	if r.parent != nil {
		r.parent.finishWait()
		return
	}
	s.unfinished--
}

// reusableTokens returns the length of the longest prefix of the prompt that some engine
// has computed before.
func (s *sim) reusableTokens(call *workload.Call) int64 {
	for i := len(call.Prefixes) - 1; i >= 0; i-- {
		if _, known := s.computed[call.Prefixes[i].Hash]; known {
			return call.Prefixes[i].Tokens
		}
	}
	return 0
}

// publishCacheChanges sends cache events to the dispatchers, with a delay and some loss.
func (s *sim) publishCacheChanges(e *engine, changes []vengine.CacheChange) {
	for _, change := range changes {
		if s.rng.Float64() < s.opts.Engine.CacheEventLoss {
			continue
		}
		event := route.CacheEvent{Target: e.id, Prefix: change.Prefix.Hash, Tokens: change.Prefix.Tokens, Evicted: change.IsRemoved}
		s.loop.after(s.opts.Engine.CacheEventLag, func() {
			for _, d := range s.domains {
				if !s.isPartitioned(d.index, e.domain.index) {
					d.dispatcher.RecordCacheEvent(s.loop.now, event)
				}
			}
		})
	}
}

// sortedCalls returns the calls in order of ID, because map order would make a run
// nondeterministic.
func (s *sim) sortedCalls() []*callRun {
	all := make([]*callRun, 0, len(s.calls))
	for _, c := range s.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *callRun) int { return cmp.Compare(a.id, b.id) })
	return all
}

// idealCall returns the duration of a call at an idle target that has all of the prompt
// but its last message cached.
func (s *sim) idealCall(c *callRun) time.Duration { return idealCallTime(s.opts.Engine, c.call) }

func idealCallTime(engine vengine.Params, call *workload.Call) time.Duration {
	fresh := call.Prompt()
	if n := len(call.Prefixes); n > 1 {
		fresh -= call.Prefixes[n-2].Tokens
	}
	prefill := time.Duration(float64(fresh) / engine.PrefillRate * float64(time.Second))
	return prefill + time.Duration(call.Output)*(engine.StepBase+engine.StepPerSequence)
}

// idealProgramTime returns the latency of a program whose calls all take their ideal time.
func idealProgramTime(engine vengine.Params, p *workload.Program) time.Duration {
	var total time.Duration
	for i := range p.Calls {
		call := &p.Calls[i]
		total += idealCallTime(engine, call)
		gap := call.Pause
		for _, child := range call.Children {
			gap = max(gap, idealProgramTime(engine, child))
		}
		if i+1 < len(p.Calls) {
			total += gap
		}
	}
	return total
}
