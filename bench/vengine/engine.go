// Package vengine simulates a model engine in virtual time. The engine admits requests in
// order of arrival into a continuous batch, and caches prompt prefixes in limited memory.
//
// It has no clock and no goroutine. The caller runs a Step, lets the time that it took pass,
// and then runs the next one.
package vengine

import (
	"time"

	"github.com/endivecourse/endivecourse/queue"
)

// Prefix is one prefix of a prompt.
type Prefix = queue.Prefix

// Params configure an engine. The engine itself does not use ReportInterval, ReportLag,
// CacheEventLag and CacheEventLoss: its user delays and drops reports accordingly.
type Params struct {
	MemoryTokens    int64         // capacity for running sequences and cached prefixes
	MaxBatch        int           // running sequences
	PrefillRate     float64       // prompt tokens per second
	PrefillChunk    int64         // prompt tokens computed in one step
	StepBase        time.Duration // base duration of a step
	StepPerSequence time.Duration // added for each sequence that decodes a token
	ReportInterval  time.Duration // between load reports
	ReportLag       time.Duration // from the sampling of the load to the arrival of the report
	CacheEventLag   time.Duration
	CacheEventLoss  float64 // share of cache events that are lost
}

// DefaultParams returns parameters for an engine on one accelerator node.
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
	ResponseHash uint64   // hash of the prompt with its response; 0: the response is not cached
}

func (r *Request) prompt() int64 {
	if len(r.Prefixes) == 0 {
		return 0
	}
	return r.Prefixes[len(r.Prefixes)-1].Tokens
}

// Completion describes a completed request.
type Completion struct {
	ID     uint64
	Prompt int64 // tokens
	Cached int64 // prompt tokens that were cached at admission
	Output int64 // tokens
}

// CacheChange is a prefix that was added to the cache or removed from it.
type CacheChange struct {
	Prefix    Prefix
	IsRemoved bool
}

// StepResult is the outcome of one step.
type StepResult struct {
	Took        time.Duration
	Completions []Completion
	Changes     []CacheChange
}

// Load is the number of running and waiting requests at an instant.
type Load struct{ Running, Waiting int }

// Engine is a simulated model engine.
type Engine struct {
	params   Params
	cache    *cache
	reserved int64 // tokens of running sequences beyond their cached prefixes
	waiting  []*sequence
	running  []*sequence
	slowdown float64       // factor on the duration of a step
	changes  []CacheChange // since the last step
}

// sequence is a waiting or running request.
type sequence struct {
	request *Request
	prefix  *node // the cached prefix that it uses
	cached  int64 // tokens of that prefix at admission
	prefill int64 // prompt tokens yet to compute
	output  int64 // tokens yet to generate
	reserve int64 // tokens reserved in memory beyond the cached prefix
}

// New returns an idle engine.
func New(params Params) *Engine {
	return &Engine{params: params, cache: newCache(), slowdown: 1}
}

// SetSlowdown sets the factor on the duration of all later steps; 1 is normal speed.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// Crash drops all requests and the cache, and returns the IDs of the requests.
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

// Submit appends a request to the engine's queue.
func (e *Engine) Submit(request *Request) {
	e.waiting = append(e.waiting, &sequence{request: request})
}

// FreePrefix removes a prefix from the cache, and then each parent up to the first one with
// other children or users. It does nothing if the prefix itself has children or users.
func (e *Engine) FreePrefix(hash uint64) {
	for n := e.cache.nodes[hash]; n != nil && n.children == 0 && n.users == 0; n = n.parent {
		e.cache.remove(n)
		e.recordRemoval(n)
	}
}

// Load returns the current load.
func (e *Engine) Load() Load { return Load{Running: len(e.running), Waiting: len(e.waiting)} }

// IsIdle reports whether there are no running and no waiting requests.
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
	return StepResult{Took: time.Duration(float64(took) * e.slowdown), Completions: done, Changes: e.takeChanges()}
}

// admit starts waiting requests in order of arrival while batch and memory have room. With
// an empty batch it starts the first request even if that exceeds the memory, because the
// request could otherwise never run.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.params.MaxBatch {
		s := e.waiting[0]
		s.prefix = e.cache.findLongest(s.request.Prefixes)
		s.cached = 0
		if s.prefix != nil {
			s.cached = s.prefix.length
			s.prefix.users++
			e.cache.touch(s.prefix)
		}
		s.reserve = s.request.prompt() - s.cached + s.request.Output
		if !e.evictFor(s.reserve) && len(e.running) > 0 {
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

// evictFor evicts cached prefixes until tokens fit into memory. It returns false if they do
// not fit.
func (e *Engine) evictFor(tokens int64) bool {
	for e.cache.used+e.reserved+tokens > e.params.MemoryTokens {
		n, ok := e.cache.evict()
		if !ok {
			return false
		}
		e.recordRemoval(n)
	}
	return true
}

// stepPrefill computes up to one chunk of prompt tokens, in order of admission, and returns
// how many it computed.
func (e *Engine) stepPrefill() int64 {
	remaining := e.params.PrefillChunk
	for _, s := range e.running {
		if s.prefill == 0 {
			continue
		}
		chunk := min(s.prefill, remaining)
		s.prefill -= chunk
		remaining -= chunk
		if s.prefill == 0 {
			e.storePrompt(s)
		}
		if remaining == 0 {
			break
		}
	}
	return e.params.PrefillChunk - remaining
}

// storePrompt caches the computed prompt, with one prefix per message boundary. The cache
// then accounts for its tokens instead of the sequence's reservation.
func (e *Engine) storePrompt(s *sequence) {
	parent := s.prefix
	for _, prefix := range s.request.Prefixes {
		if prefix.Tokens <= s.cached {
			continue
		}
		parent = e.cachePrefix(parent, prefix)
	}
	covered := s.request.prompt() - s.cached
	e.reserved -= covered
	s.reserve -= covered
	e.unpin(s)
	if s.prefix = parent; parent != nil {
		parent.users++
	}
}

func (e *Engine) cachePrefix(parent *node, prefix Prefix) *node {
	cached := e.cache.nodes[prefix.Hash] != nil
	n := e.cache.insert(parent, prefix)
	if !cached {
		e.changes = append(e.changes, CacheChange{Prefix: prefix})
	}
	return n
}

// stepDecode generates one token for every sequence whose prompt is computed.
func (e *Engine) stepDecode() (decoded int, done []Completion) {
	unfinished := e.running[:0]
	for _, s := range e.running {
		if s.prefill > 0 {
			unfinished = append(unfinished, s)
			continue
		}
		decoded++
		s.output--
		if s.output > 0 {
			unfinished = append(unfinished, s)
			continue
		}
		done = append(done, e.finish(s))
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
	return decoded, done
}

func (e *Engine) finish(s *sequence) Completion {
	r := s.request
	e.reserved -= s.reserve
	if r.ResponseHash != 0 && s.prefix != nil {
		n := e.cachePrefix(s.prefix, Prefix{Hash: r.ResponseHash, Tokens: r.prompt() + r.Output})
		e.cache.touch(n)
	}
	e.unpin(s)
	return Completion{ID: r.ID, Prompt: r.prompt(), Cached: s.cached, Output: r.Output}
}

func (e *Engine) unpin(s *sequence) {
	if s.prefix != nil {
		s.prefix.users--
		s.prefix = nil
	}
}

func (e *Engine) recordRemoval(n *node) {
	e.changes = append(e.changes, CacheChange{Prefix: Prefix{Hash: n.hash, Tokens: n.length}, IsRemoved: true})
}

func (e *Engine) takeChanges() []CacheChange {
	changes := e.changes
	e.changes = nil
	return changes
}
