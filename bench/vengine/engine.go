// Package vengine is a model engine in virtual time: continuous batching in
// order of arrival, prompt prefixes cached in limited memory, late reports.
//
// It has no clock and no goroutine: its driver calls Step at the instant that
// the step before returned.
package vengine

import (
	"time"

	"github.com/endivecourse/endivecourse/queue"
)

// Prefix is one prefix of a prompt.
type Prefix = queue.Prefix

// Params are the parameters of an engine.
type Params struct {
	MemoryTokens    int64         // tokens of running sequences and cached prefixes
	MaxBatch        int           // sequences
	PrefillRate     float64       // prompt tokens per second
	PrefillChunk    int64         // prompt tokens in one step
	StepBase        time.Duration // of a decode step
	StepPerSequence time.Duration // added to a decode step by each sequence
	ReportInterval  time.Duration // between load reports
	ReportLag       time.Duration // from a report's truth to its arrival
	CacheEventLag   time.Duration
	CacheEventLoss  float64 // share of cache events that never arrive
}

// DefaultParams returns the engine of one accelerator node.
func DefaultParams() Params {
	return Params{
		MemoryTokens:    160_000,
		MaxBatch:        48,
		PrefillRate:     8_000,
		PrefillChunk:    1_024,
		StepBase:        14 * time.Millisecond,
		StepPerSequence: 400 * time.Microsecond,
		ReportInterval:  500 * time.Millisecond,
		ReportLag:       time.Second,
		CacheEventLag:   2 * time.Second,
		CacheEventLoss:  0.1,
	}
}

// Request is one model call.
type Request struct {
	ID           uint64
	Prefixes     []Prefix // of the prompt, shortest first; the last is the whole prompt
	Output       int64    // tokens
	ResponseHash uint64   // hash of the prompt with its answer
}

func (r *Request) prompt() int64 {
	if len(r.Prefixes) == 0 {
		return 0
	}
	return r.Prefixes[len(r.Prefixes)-1].Tokens
}

// Completion is the end of a request.
type Completion struct {
	ID     uint64
	Prompt int64 // tokens
	Cached int64 // prompt tokens found cached
	Output int64 // tokens
}

// CacheChange is a prefix that was stored or dropped.
type CacheChange struct {
	Prefix    Prefix
	IsRemoved bool
}

// StepResult is what one step brought about.
type StepResult struct {
	Took        time.Duration
	Completions []Completion
	Changes     []CacheChange
}

// Load is the true load at an instant.
type Load struct{ Running, Waiting int }

// Engine is one model engine.
type Engine struct {
	params   Params
	cache    *cache
	reserved int64 // tokens of running sequences that no cached prefix covers
	waiting  []*sequence
	running  []*sequence
	slow     float64 // factor on the time of a step
	changes  []CacheChange
}

type sequence struct {
	request *Request
	base    *node // the cached prefix that it uses
	cached  int64 // tokens of that prefix at admission
	prefill int64 // prompt tokens yet to compute
	output  int64 // tokens yet to generate
	reserve int64 // tokens
}

// New makes an idle engine.
func New(params Params) *Engine {
	return &Engine{params: params, cache: newCache(), slow: 1}
}

// SetSlowdown multiplies the time of every later step.
func (e *Engine) SetSlowdown(factor float64) { e.slow = factor }

// Crash empties the engine and returns the IDs of the requests it had.
func (e *Engine) Crash() []uint64 {
	var lost []uint64
	for _, s := range append(e.running, e.waiting...) {
		lost = append(lost, s.request.ID)
	}
	e.running, e.waiting, e.changes = nil, nil, nil
	e.reserved = 0
	e.cache = newCache()
	return lost
}

// Submit adds a request at the end of the engine's queue.
func (e *Engine) Submit(request *Request) {
	e.waiting = append(e.waiting, &sequence{request: request})
}

// FreePrefix removes a cached prefix that nothing uses, and its unused parents that
// no other prefix needs.
func (e *Engine) FreePrefix(hash uint64) {
	for n := e.cache.nodes[hash]; n != nil && n.children == 0 && n.users == 0; n = n.parent {
		e.cache.drop(n)
		e.dropped(n)
	}
}

// Load returns the load now.
func (e *Engine) Load() Load { return Load{Running: len(e.running), Waiting: len(e.waiting)} }

// IsIdle reports whether there is nothing to do.
func (e *Engine) IsIdle() bool { return len(e.running) == 0 && len(e.waiting) == 0 }

// Step runs one step of the batch. Took is 0 when the engine is idle.
func (e *Engine) Step() StepResult {
	e.admit()
	if len(e.running) == 0 {
		return StepResult{Changes: e.takeChanges()}
	}
	prefilled := e.stepPrefill()
	decoded, done := e.stepDecode()
	took := time.Duration(float64(prefilled) / e.params.PrefillRate * float64(time.Second))
	took += e.params.StepBase + time.Duration(decoded)*e.params.StepPerSequence
	return StepResult{Took: time.Duration(float64(took) * e.slow), Completions: done, Changes: e.takeChanges()}
}

// admit starts waiting requests in order of arrival while memory allows.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.params.MaxBatch {
		s := e.waiting[0]
		s.base = e.cache.longest(s.request.Prefixes)
		s.cached = 0
		if s.base != nil {
			s.cached = s.base.length
			s.base.users++
			e.cache.touch(s.base)
		}
		s.reserve = s.request.prompt() - s.cached + s.request.Output
		if !e.makeRoom(s.reserve) && len(e.running) > 0 {
			e.unpin(s)
			return
		}
		e.reserved += s.reserve
		s.prefill = s.request.prompt() - s.cached
		s.output = max(s.request.Output, 1)
		e.waiting = e.waiting[1:]
		e.running = append(e.running, s)
	}
}

func (e *Engine) makeRoom(tokens int64) bool {
	for e.cache.used+e.reserved+tokens > e.params.MemoryTokens {
		n, ok := e.cache.evict()
		if !ok {
			return false
		}
		e.dropped(n)
	}
	return true
}

// stepPrefill computes prompt tokens in order of admission.
func (e *Engine) stepPrefill() int64 {
	left := e.params.PrefillChunk
	for _, s := range e.running {
		if s.prefill == 0 {
			continue
		}
		part := min(s.prefill, left)
		s.prefill -= part
		left -= part
		if s.prefill == 0 {
			e.storePrompt(s)
		}
		if left == 0 {
			break
		}
	}
	return e.params.PrefillChunk - left
}

// storePrompt caches the computed prompt at its message boundaries.
func (e *Engine) storePrompt(s *sequence) {
	parent := s.base
	for _, prefix := range s.request.Prefixes {
		if prefix.Tokens <= s.cached {
			continue
		}
		parent = e.store(parent, prefix)
	}
	covered := s.request.prompt() - s.cached
	e.reserved -= covered
	s.reserve -= covered
	e.unpin(s)
	if s.base = parent; parent != nil {
		parent.users++
	}
}

func (e *Engine) store(parent *node, prefix Prefix) *node {
	known := e.cache.nodes[prefix.Hash] != nil
	n := e.cache.insert(parent, prefix)
	if !known {
		e.changes = append(e.changes, CacheChange{Prefix: prefix})
	}
	return n
}

// stepDecode generates one token for every sequence whose prompt is computed.
func (e *Engine) stepDecode() (decoded int, done []Completion) {
	kept := e.running[:0]
	for _, s := range e.running {
		if s.prefill > 0 {
			kept = append(kept, s)
			continue
		}
		decoded++
		s.output--
		if s.output > 0 {
			kept = append(kept, s)
			continue
		}
		done = append(done, e.finish(s))
	}
	clear(e.running[len(kept):])
	e.running = kept
	return decoded, done
}

func (e *Engine) finish(s *sequence) Completion {
	r := s.request
	e.reserved -= s.reserve
	if r.ResponseHash != 0 && s.base != nil {
		n := e.store(s.base, Prefix{Hash: r.ResponseHash, Tokens: r.prompt() + r.Output})
		e.cache.touch(n)
	}
	e.unpin(s)
	return Completion{ID: r.ID, Prompt: r.prompt(), Cached: s.cached, Output: r.Output}
}

func (e *Engine) unpin(s *sequence) {
	if s.base != nil {
		s.base.users--
		s.base = nil
	}
}

func (e *Engine) dropped(n *node) {
	e.changes = append(e.changes, CacheChange{Prefix: Prefix{Hash: n.hash, Tokens: n.length}, IsRemoved: true})
}

func (e *Engine) takeChanges() []CacheChange {
	changes := e.changes
	e.changes = nil
	return changes
}
