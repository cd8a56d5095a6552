// Package engine is a stand-in for a model engine: an OpenAI-compatible HTTP
// server with a deterministic answer, held cache and faults.
package engine

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/structs"
)

// Options sets up a Server.
type Options struct {
	FirstTokenTime time.Duration // before the first token
	TokenTime      time.Duration // before each further token
	MaxRunning     int           // 0 has no limit
	LoadLag        time.Duration // of the load report
	CrashMarker    string        // a prompt that contains it crashes the engine
	ChecksFence    bool          // refuse orders with an old fencing number
	CacheEventLag  time.Duration // of the cache events
	CacheEventGap  int           // every n-th cache event is never shown; 0 shows all
	MaxRecorded    int           // requests kept for Requests; 0 keeps 10000
}

const (
	defaultMaxRecorded = 10000
	maxLoadReports     = 4096
	maxCacheEvents     = 4096
)

// RecordedRequest is one request as the engine received it.
type RecordedRequest struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// CacheEvent says that the cache of a hold was stored or removed.
type CacheEvent struct {
	Number uint64            `json:"number"`
	Kind   string            `json:"kind"` // "stored" or "removed"
	Hold   structs.ProgramID `json:"hold"`
	Tokens int64             `json:"tokens"`
	at     time.Time
}

type loadReport struct {
	at   time.Time
	load target.Load
}

// Server is one engine. Its methods are safe for concurrent use.
type Server struct {
	opts  Options
	slots chan struct{} // nil without a limit

	mu           sync.Mutex
	running      int
	waiting      int
	reports      []loadReport
	holds        map[structs.ProgramID][]structs.Message
	cancels      map[uint64]runningCall
	lastRun      uint64
	runs         map[structs.RequestID]int
	crashed      int
	crash        chan struct{} // closed when the engine crashes
	releaseFails int
	refusals     int
	cuts         int
	crossed      int
	fence        uint64
	orders       []target.Order
	events       []CacheEvent
	lastEvent    uint64
	recorded     []RecordedRequest
}

type runningCall struct {
	request structs.RequestID
	cancel  context.CancelFunc
}

// New makes an engine.
func New(opts Options) *Server {
	if opts.MaxRecorded <= 0 {
		opts.MaxRecorded = defaultMaxRecorded
	}
	s := &Server{
		opts:    opts,
		holds:   make(map[structs.ProgramID][]structs.Message),
		cancels: make(map[uint64]runningCall),
		runs:    make(map[structs.RequestID]int),
		crash:   make(chan struct{}),
	}
	if opts.MaxRunning > 0 {
		s.slots = make(chan struct{}, opts.MaxRunning)
	}
	return s
}

// Holds returns the programs whose cache is held, sorted.
func (s *Server) Holds() []structs.ProgramID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdsLocked()
}

func (s *Server) holdsLocked() []structs.ProgramID {
	ids := make([]structs.ProgramID, 0, len(s.holds))
	for id := range s.holds {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// CrashCount counts the crashes.
func (s *Server) CrashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
}

// Crash cuts all running requests and frees all holds.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed++
	s.holds = make(map[structs.ProgramID][]structs.Message)
	close(s.crash)
	s.crash = make(chan struct{})
}

// FailReleases makes the next n releases fail.
func (s *Server) FailReleases(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseFails = n
}

// RefuseNext answers the next n completions with 503 and X-Not-Run.
func (s *Server) RefuseNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals = n
}

// AbortNext cuts the next n completions after their first token.
func (s *Server) AbortNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts = n
}

// MismatchNext answers the next n completions as if they were another request.
func (s *Server) MismatchNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crossed = n
}

// RunCount counts how often the completion with a request ID was started.
func (s *Server) RunCount(id structs.RequestID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Orders returns the accepted orders.
func (s *Server) Orders() []target.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]target.Order(nil), s.orders...)
}

// Requests returns the requests seen, the latest Options.MaxRecorded.
func (s *Server) Requests() []RecordedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RecordedRequest(nil), s.recorded...)
}

func (s *Server) record(r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recorded) >= s.opts.MaxRecorded {
		s.recorded = s.recorded[1:]
	}
	s.recorded = append(s.recorded, RecordedRequest{
		Method: r.Method,
		URL:    r.URL.String(),
		Header: r.Header.Clone(),
		Body:   body,
	})
}
