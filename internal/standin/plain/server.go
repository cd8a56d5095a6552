// Package plain is a stand-in for a plain service that counts what it ran.
package plain

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options sets up a Server.
type Options struct {
	Delay       time.Duration // before each request takes effect
	Status      int           // of the answers; 0 is 200
	MaxRecorded int           // requests kept for Requests; 0 keeps 10000
}

const (
	defaultMaxRecorded = 10000
	maxBodyBytes       = 64 << 20
	headerRequest      = "X-Request-Id"
)

// Call identifies an execution.
type Call struct {
	Method string
	Path   string // with query
	Body   string
}

// RecordedRequest is one request as the service received it.
type RecordedRequest struct {
	Call
	Header http.Header
}

// Server is one plain service. Its methods are safe for concurrent use.
type Server struct {
	mu         sync.Mutex
	opts       Options
	hangs      int
	cuts       int
	crossed    int
	executions map[Call]int
	recorded   []RecordedRequest
}

// New makes a service.
func New(opts Options) *Server {
	if opts.Status == 0 {
		opts.Status = http.StatusOK
	}
	if opts.MaxRecorded <= 0 {
		opts.MaxRecorded = defaultMaxRecorded
	}
	return &Server{opts: opts, executions: make(map[Call]int)}
}

// ResponseBody returns the body of the answer to a request.
func ResponseBody(method, path string, body []byte) string {
	return fmt.Sprintf("%s %s %d bytes %016x\n", method, path, len(body), xxhash.Sum64(body))
}

// SetDelay sets the time before each request takes effect.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.Delay = d
}

// SetStatus sets the status of the answers.
func (s *Server) SetStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.Status = status
}

// HangNext makes the next n requests take effect and give no answer.
func (s *Server) HangNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangs = n
}

// AbortNext makes the next n requests take effect and cuts their connections in
// the middle of the answer.
func (s *Server) AbortNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts = n
}

// MismatchNext makes the next n requests take effect and answers each as if it
// were another one.
func (s *Server) MismatchNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crossed = n
}

// Executions returns how often each call took effect.
func (s *Server) Executions() map[Call]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[Call]int, len(s.executions))
	for call, n := range s.executions {
		counts[call] = n
	}
	return counts
}

// Requests returns the requests seen, the latest Options.MaxRecorded.
func (s *Server) Requests() []RecordedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RecordedRequest(nil), s.recorded...)
}

// Handler serves every path.
func (s *Server) Handler() http.Handler { return http.HandlerFunc(s.serve) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := Call{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)}
	delay := s.record(call, r.Header.Clone())
	if !sleep(r, delay) {
		panic(http.ErrAbortHandler)
	}
	status, hang, cut := s.execute(call)
	if hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer := ResponseBody(call.Method, call.Path, body)
	w.Header().Set(headerRequest, r.Header.Get(headerRequest))
	if s.takeCrossed() {
		answer = ResponseBody(http.MethodGet, "/another", nil)
		w.Header().Set(headerRequest, "another request")
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	w.WriteHeader(status)
	if cut {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

func (s *Server) record(call Call, header http.Header) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recorded) >= s.opts.MaxRecorded {
		s.recorded = s.recorded[1:]
	}
	s.recorded = append(s.recorded, RecordedRequest{Call: call, Header: header})
	return s.opts.Delay
}

func (s *Server) execute(call Call) (status int, hang, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[call]++
	if s.hangs > 0 {
		s.hangs--
		return s.opts.Status, true, false
	}
	if s.cuts > 0 {
		s.cuts--
		return s.opts.Status, false, true
	}
	return s.opts.Status, false, false
}

func (s *Server) takeCrossed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crossed == 0 {
		return false
	}
	s.crossed--
	return true
}

func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
