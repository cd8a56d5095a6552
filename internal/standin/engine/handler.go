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

// Handler serves the HTTP API of the engine.
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
		s.recordRequest(r, body)
		// net/http cancels the request's context on a lost connection only after the
		// original body has been read, so it is read here and replaced.
		r.Body = io.NopCloser(bytes.NewReader(body))
		mux.ServeHTTP(w, r)
	})
}

type completionRequest struct {
	Model     string            `json:"model"`
	Messages  []structs.Message `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
	Stream    bool              `json:"stream"`
}

func (c *completionRequest) contains(marker string) bool {
	for _, m := range c.Messages {
		if strings.Contains(m.Content, marker) {
			return true
		}
	}
	return false
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil || len(c.Messages) == 0 {
		refuse(w, http.StatusBadRequest)
		return
	}
	if s.takeRefuseFault() {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	request := structs.RequestID(r.Header.Get(target.HeaderRequestID))
	w.Header().Set(target.HeaderRequestID, string(request))
	if s.takeMismatchFault() {
		w.Header().Set(target.HeaderRequestID, "another request")
		c.Messages = []structs.Message{{Role: "user", Content: "another prompt"}}
	}
	crash, endRun := s.startRun(request, cancel)
	defer endRun()
	if s.opts.CrashMarker != "" && c.contains(s.opts.CrashMarker) {
		s.Crash()
		panic(http.ErrAbortHandler)
	}
	release, ok := s.acquireSlot(ctx, crash)
	if !ok {
		panic(http.ErrAbortHandler)
	}
	defer release()
	s.generate(ctx, w, &c, structs.ProgramID(r.Header.Get("X-Hold")), crash)
}

func (s *Server) takeRefuseFault() bool { return s.takeFault(&s.refusesLeft) }

func (s *Server) takeAbortFault() bool { return s.takeFault(&s.abortsLeft) }

func (s *Server) takeMismatchFault() bool { return s.takeFault(&s.mismatchesLeft) }

// takeFault reports whether a fault remains, and decrements the number of those left.
func (s *Server) takeFault(remaining *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *remaining == 0 {
		return false
	}
	*remaining--
	return true
}

// startRun registers a run. It returns the channel that a crash closes and a function that
// ends the run.
func (s *Server) startRun(request structs.RequestID, cancel context.CancelFunc) (<-chan struct{}, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRunID++
	id := s.lastRunID
	s.runs[request]++
	s.cancels[id] = runningCall{request: request, cancel: cancel}
	return s.crash, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, id)
	}
}

// acquireSlot waits for a free slot if the number of running requests is limited. It
// returns false if the request is cancelled or the engine crashes first.
func (s *Server) acquireSlot(ctx context.Context, crash <-chan struct{}) (release func(), ok bool) {
	if s.slots != nil {
		s.addToCounts(0, 1)
		defer s.addToCounts(0, -1)
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return nil, false
		case <-crash:
			return nil, false
		}
	}
	s.addToCounts(1, 0)
	return func() {
		s.addToCounts(-1, 0)
		if s.slots != nil {
			<-s.slots
		}
	}, true
}

func (s *Server) addToCounts(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
	s.recordLoadLocked()
}

func (s *Server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hold structs.ProgramID `json:"hold"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		refuse(w, http.StatusBadRequest)
		return
	}
	if s.releaseHold(body.Hold) {
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
