package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/structs"
)

const maxBodyBytes = 64 << 20

// Handler serves the engine's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.serveCompletion)
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Load()) })
	mux.HandleFunc("POST /release", s.serveRelease)
	mux.HandleFunc("POST /cancel", s.serveCancel)
	mux.HandleFunc("POST /order", s.serveOrder)
	mux.HandleFunc("GET /cache/events", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
		writeJSON(w, http.StatusOK, s.CacheEvents(after))
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.record(r, body)
		// The request's context follows the connection only once the
		// original body is read, which it is.
		r.Body = io.NopCloser(bytes.NewReader(body))
		mux.ServeHTTP(w, r)
	})
}

type completion struct {
	Model     string            `json:"model"`
	Messages  []structs.Message `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

func (c *completion) contains(marker string) bool {
	for _, m := range c.Messages {
		if strings.Contains(m.Content, marker) {
			return true
		}
	}
	return false
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var c completion
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Messages) == 0 {
		refuse(w, http.StatusBadRequest)
		return
	}
	if s.takeRefusal() {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	request := structs.RequestID(r.Header.Get(target.HeaderRequestID))
	w.Header().Set(target.HeaderRequestID, string(request))
	if s.takeCrossed() {
		w.Header().Set(target.HeaderRequestID, "another request")
		c.Messages = []structs.Message{{Role: "user", Content: "another prompt"}}
	}
	crash, done := s.begin(request, cancel)
	defer done()
	if s.opts.CrashMarker != "" && c.contains(s.opts.CrashMarker) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	release, ok := s.acquire(ctx, crash)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer release()
	s.generate(ctx, w, &c, structs.ProgramID(r.Header.Get("X-Hold")), crash)
}

func (s *Server) takeRefusal() bool { return s.take(&s.refusals) }

func (s *Server) takeCut() bool { return s.take(&s.cuts) }

func (s *Server) takeCrossed() bool { return s.take(&s.crossed) }

// take counts one fault off.
func (s *Server) take(left *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *left == 0 {
		return false
	}
	*left--
	return true
}

// begin registers a run and returns the channel that a crash closes.
func (s *Server) begin(request structs.RequestID, cancel context.CancelFunc) (<-chan struct{}, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRun++
	id := s.lastRun
	s.runs[request]++
	s.cancels[id] = runningCall{request: request, cancel: cancel}
	return s.crash, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, id)
	}
}

// acquire waits in arrival order for a free place among the running.
func (s *Server) acquire(ctx context.Context, crash <-chan struct{}) (release func(), ok bool) {
	if s.slots != nil {
		s.count(0, 1)
		defer s.count(0, -1)
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, false
		case <-crash:
			return nil, false
		}
	}
	s.count(1, 0)
	return func() {
		s.count(-1, 0)
		if s.slots != nil {
			<-s.slots
		}
	}, true
}

func (s *Server) count(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
	s.reportLocked()
}

func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hold structs.ProgramID `json:"hold"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	if s.release(body.Hold) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Request structs.RequestID `json:"request"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, call := range s.cancels {
		if call.request == body.Request {
			call.cancel()
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order target.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.ChecksFence && order.Fence < s.fence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	s.fence = max(s.fence, order.Fence)
	s.orders = append(s.orders, order)
	w.WriteHeader(http.StatusNoContent)
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Run", "true")
	w.WriteHeader(status)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
