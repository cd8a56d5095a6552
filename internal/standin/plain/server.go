// Package plain is a stand-in for a plain service. It counts how often each request ran.
package plain

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options configures a Server.
type Options struct {
	Delay       time.Duration // before each request takes effect
	Status      int           // of the responses; 0 means 200
	MaxRecorded int           // requests kept for Requests; 0 means 10000
}

const (
	defaultMaxRecorded = 10000
	maxBodyBytes       = 64 << 20
	headerRequestID    = "X-Request-Id"
)

// Call identifies a request whose executions are counted.
type Call struct {
	Method string
	Path   string // with query
	Body   string
}

// RecordedRequest is a request as the service received it.
type RecordedRequest struct {
	Call
	Header http.Header
}

// Server simulates one plain service. Its methods are safe for concurrent use.
type Server struct {
	mu             sync.Mutex
	opts           Options
	hangsLeft      int
	abortsLeft     int
	mismatchesLeft int
	executions     map[Call]int
	recorded       []RecordedRequest
}

// New creates a service.
func New(opts Options) *Server {
	if opts.Status == 0 {
		opts.Status = http.StatusOK
	}
	if opts.MaxRecorded <= 0 {
		opts.MaxRecorded = defaultMaxRecorded
	}
	return &Server{opts: opts, executions: make(map[Call]int)}
}

// ResponseBody returns the body of the response to a request.
func ResponseBody(method, path string, body []byte) string {
	return fmt.Sprintf("%s %s %d bytes %016x\n", method, path, len(body), xxhash.Sum64(body))
}

// SetDelay sets the time before each request takes effect.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.Delay = d
}

// SetStatus sets the HTTP status of the responses.
func (s *Server) SetStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.Status = status
}

// HangNext makes the next n requests take effect without a response.
func (s *Server) HangNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hangsLeft = n
}

// AbortNext makes the next n requests take effect and closes their connections in the
// middle of the response.
func (s *Server) AbortNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.abortsLeft = n
}

// MismatchNext makes the next n requests take effect and get the response and the ID of
// another request.
func (s *Server) MismatchNext(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mismatchesLeft = n
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

// Requests returns the last Options.MaxRecorded requests received.
func (s *Server) Requests() []RecordedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RecordedRequest(nil), s.recorded...)
}

// Handler serves all methods and paths.
func (s *Server) Handler() http.Handler { return http.HandlerFunc(s.serve) }

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := Call{Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)}
	delay := s.recordRequest(call, r.Header.Clone())
	if !waitDelay(r, delay) {
		panic(http.ErrAbortHandler)
	}
	status, isHanging, isAborted := s.execute(call)
	if isHanging {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	response := ResponseBody(call.Method, call.Path, body)
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if s.takeMismatchFault() {
		response = ResponseBody(http.MethodGet, "/another", nil)
		w.Header().Set(headerRequestID, "another request")
	}
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", fmt.Sprint(len(response)))
	w.WriteHeader(status)
	if isAborted {
		_, _ = io.WriteString(w, response[:len(response)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, response)
}

func (s *Server) recordRequest(call Call, header http.Header) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.recorded) >= s.opts.MaxRecorded {
		s.recorded = s.recorded[1:]
	}
	s.recorded = append(s.recorded, RecordedRequest{Call: call, Header: header})
	return s.opts.Delay
}

func (s *Server) execute(call Call) (status int, isHanging, isAborted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[call]++
	if s.hangsLeft > 0 {
		s.hangsLeft--
		return s.opts.Status, true, false
	}
	if s.abortsLeft > 0 {
		s.abortsLeft--
		return s.opts.Status, false, true
	}
	return s.opts.Status, false, false
}

func (s *Server) takeMismatchFault() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mismatchesLeft == 0 {
		return false
	}
	s.mismatchesLeft--
	return true
}

// waitDelay waits for d. It returns false if the request is cancelled first.
func waitDelay(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
