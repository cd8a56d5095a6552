package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Headers of the platform.
const (
	headerRequestID = "X-Endivecourse-Request-Id"
	headerExpect    = "X-Endivecourse-Expect-Instance"
	headerInstance  = "X-Endivecourse-Instance-Id"
	headerNotRun    = "X-Endivecourse-Not-Executed"
	headerStamp     = "X-Endivecourse-Response-Stamp"
	headerKey       = "X-Endivecourse-Key"
	headerDeadline  = "X-Endivecourse-Deadline-Ms"
	headerProgram   = "X-Endivecourse-Program-Id"
	headerSession   = "X-Endivecourse-Session-Id"
	headerUsage     = "X-Endivecourse-Token-Usage"
	headerBudget    = "X-Endivecourse-Token-Budget"
	headerPrevious  = "X-Endivecourse-Previous-Turn"
)

// run is one request that a runner ran.
type run struct {
	runner, id, method, uri, body string
	header                        http.Header
	at                            time.Time
}

// runner is a runner of a service.
type runner struct {
	id       string
	listener net.Listener
	server   *http.Server
	crashed  chan struct{} // closed by crash
	slots    chan struct{}
	// answer runs a request; it is called in a slot.
	answer func(rn *runner, w http.ResponseWriter, r *http.Request, id string)

	mu   sync.Mutex
	runs []run
}

// newRunner starts a runner, which its entry names after list.
func newRunner(id string, slots int, answer func(*runner, http.ResponseWriter, *http.Request, string)) *runner {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	rn := &runner{id: id, listener: listener, crashed: make(chan struct{}), slots: make(chan struct{}, slots), answer: answer}
	rn.server = &http.Server{Handler: rn}
	go func() { _ = rn.server.Serve(listener) }()
	return rn
}

// crash ends the runner: it accepts no channel any more, and those it has are closed.
func (rn *runner) crash() {
	close(rn.crashed)
	rn.server.Close()
}

func (rn *runner) hasCrashed() bool {
	select {
	case <-rn.crashed:
		return true
	default:
		return false
	}
}

func (rn *runner) address() string { return rn.listener.Addr().String() }

// allRuns returns the requests that the runner ran.
func (rn *runner) allRuns() []run {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return append([]run(nil), rn.runs...)
}

// hasRun reports whether the runner has run a request.
func (rn *runner) hasRun(id string) bool {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	return slices.ContainsFunc(rn.runs, func(r run) bool { return r.id == id })
}

// ServeHTTP implements http.Handler.
func (rn *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set(headerInstance, rn.id)
		return
	}
	id := r.Header.Get(headerRequestID)
	w.Header().Set(headerRequestID, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != rn.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request has not arrived whole
	}
	select {
	case rn.slots <- struct{}{}:
	default:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-rn.slots }()
	rn.mu.Lock()
	rn.runs = append(rn.runs, run{rn.id, id, r.Method, r.RequestURI, string(body), r.Header.Clone(), time.Now()})
	rn.mu.Unlock()
	w.Header().Set(headerStamp, "stamp."+id)
	rn.answer(rn, w, r, id)
}

// answerAfter returns an answer of a plain service after some work.
func answerAfter(work time.Duration) func(*runner, http.ResponseWriter, *http.Request, string) {
	return func(_ *runner, w http.ResponseWriter, r *http.Request, id string) {
		select {
		case <-time.After(work):
			fmt.Fprintf(w, "answer to %s", id)
		case <-r.Context().Done():
		}
	}
}

// streamOf returns an answer of an engine: events with a pause before each.
func streamOf(events int, gap time.Duration) func(*runner, http.ResponseWriter, *http.Request, string) {
	return func(_ *runner, w http.ResponseWriter, r *http.Request, id string) {
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		for n := range events {
			select {
			case <-time.After(gap):
			case <-r.Context().Done():
				return
			}
			fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n+1, id, n+1)
			if control.Flush() != nil {
				return
			}
		}
	}
}
