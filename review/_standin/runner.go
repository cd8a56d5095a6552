package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/rowstore"
)

// heartbeatPeriod is the time between two writes of a runner's entry.
const heartbeatPeriod = 300 * time.Millisecond

// behaviour is how a runner answers.
type behaviour struct {
	work   time.Duration // of a request or, of a stream, of each event
	events int           // of a stream, 0 for a runner of a plain service
	// isEndless sends bytes without end in place of the body, until the daemon closes.
	isEndless bool
	// readPerSecond bounds the bytes of a body that the runner reads in a second, 0 for none.
	readPerSecond int
}

// ranRequest is one request that a runner ran.
type ranRequest struct {
	id   string
	body []byte // of streams only
	at   time.Time
}

// runner is a server of a service.
type runner struct {
	id       string
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	behaviour behaviour
	runs      []ranRequest
}

// smallWindow is a listener whose connections hold little of what the runner has not read.
type smallWindow struct{ net.Listener }

func (l smallWindow) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn, conn.(*net.TCPConn).SetReadBuffer(windowBytes)
}

// addRunner starts a runner and registers it in the store.
func (s *site) addRunner(id, service string, slots int, z zone, b behaviour) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, listener: listener, behaviour: b}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(smallWindow{listener}) }()
	s.runners = append(s.runners, r)
	born := time.Now().UnixMilli()
	put := func(sequence int) {
		raw, _ := json.Marshal(map[string]any{ // never fails
			"service": service, "address": listener.Addr().String(), "zone": z.name, "version": "v1", "slots": slots, "state": "ready",
			"coldRemainingMs": 0, "sequence": sequence, "born": born,
		})
		s.store.Put(rowstore.Key{Table: "servers", Key: id}, raw)
	}
	put(1)
	go func() {
		for sequence := 2; ; sequence++ {
			select {
			case <-time.After(heartbeatPeriod):
				put(sequence)
			case <-s.stop:
				return
			}
		}
	}()
	return r, nil
}

func (r *runner) set(b behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
}

// ran returns how often the runner ran a request.
func (r *runner) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, one := range r.runs {
		if one.id == id {
			count++
		}
	}
	return count
}

// ranAt returns when the runner ran a request, 0 if it did not.
func (r *runner) ranAt(id string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.runs {
		if one.id == id {
			return one.at
		}
	}
	return time.Time{}
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Endivecourse-Request-Id")
	w.Header().Set("X-Endivecourse-Request-Id", id)
	if expected := req.Header.Get("X-Endivecourse-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	b := r.behaviour
	index := len(r.runs)
	r.runs = append(r.runs, ranRequest{id: id, at: time.Now()})
	r.mu.Unlock()
	body, err := readSlowly(req.Body, b.readPerSecond, b.events > 0)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.runs[index].body = body
	r.mu.Unlock()
	w.Header().Set("X-Endivecourse-Response-Stamp", "stamp-"+id)
	if b.isEndless {
		r.sendEndlessly(w)
	} else if b.events > 0 {
		r.stream(w, req, id, b)
	} else if waitFor(req, b.work) {
		text := "answer to " + id
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = io.WriteString(w, text) // fails if the daemon has gone
	}
}

func (r *runner) stream(w http.ResponseWriter, req *http.Request, id string, b behaviour) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= b.events; n++ {
		if !waitFor(req, b.work) {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", n, id, n); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}

// maxEndlessBytes ends a body without end that no daemon closes.
const maxEndlessBytes = 1 << 30

func (r *runner) sendEndlessly(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	w.Header().Set("Transfer-Encoding", "identity") // neither a length nor chunks
	piece := bytes.Repeat([]byte("x"), 32<<10)
	for sent := 0; sent < maxEndlessBytes; sent += len(piece) {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// waitFor waits and reports whether the caller is still there.
func waitFor(req *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-req.Context().Done():
		return false
	}
}

// readSlowly reads a body, and returns it if isKept is set.
func readSlowly(body io.Reader, bytesPerSecond int, isKept bool) ([]byte, error) {
	var kept bytes.Buffer
	buffer := make([]byte, windowBytes)
	began, read := time.Now(), 0
	for {
		n, err := body.Read(buffer)
		read += n
		if isKept {
			kept.Write(buffer[:n])
		}
		if err == io.EOF {
			return kept.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if bytesPerSecond > 0 {
			time.Sleep(time.Until(began.Add(time.Duration(read) * time.Second / time.Duration(bytesPerSecond))))
		}
	}
}
