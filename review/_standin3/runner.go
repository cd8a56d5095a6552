package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// runner is a stand-in for a runner of a service. Its streams have one event of chunkTokens
// tokens for each part of the most tokens that a request asks for.
type runner struct {
	site    *site
	id      string
	service string
	zone    string
	slots   int
	queue   int
	stream  bool
	events  int
	pause   time.Duration // before each event or answer
	// readPerMS is the number of prompt tokens that are read in a millisecond, 0 for no limit. The
	// start of a prompt that was read before is not read again.
	readPerMS float64

	listener  net.Listener
	server    *http.Server
	places    chan struct{} // one for each request that runs
	mu        sync.Mutex
	waiting   int
	arrivedAt map[string]time.Time // by ID, of the requests that were taken
	known     map[uint64]time.Time // when the prompts with a start were read, by its hash
	readEnd   time.Time            // of the prompts that are being read
	runs      []run
	born      int64
}

// run is a request that a runner ran.
type run struct {
	id, method, target, previous string
	body                         int
	sum                          uint64
}

func (s *site) addRunner(r *runner) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.site, r.listener, r.places, r.born = s, listener, make(chan struct{}, r.slots), time.Now().UnixMilli()
	r.arrivedAt, r.known = make(map[string]time.Time), make(map[uint64]time.Time)
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	r.announce(1)
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		defer r.server.Close()
		for sequence := 2; ; sequence++ {
			select {
			case <-time.After(heartbeat):
				r.announce(sequence)
			case <-s.ctx.Done():
				return
			}
		}
	}()
	return nil
}

// announce writes the runner's entry in the store.
func (r *runner) announce(sequence int) {
	raw, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "coldRemainingMs": 0, "sequence": sequence, "born": r.born,
	})
	r.site.store.table.put(rowKey{Table: "servers", Key: r.id}, raw)
}

// enter waits for a place. It reports false if the queue is full or the caller has left.
func (r *runner) enter(req *http.Request) (isFull, isLeft bool) {
	r.mu.Lock()
	if r.waiting >= r.queue+r.slots {
		r.mu.Unlock()
		return true, false
	}
	r.waiting++
	r.arrivedAt[req.Header.Get("X-Endivecourse-Request-Id")] = time.Now()
	r.mu.Unlock()
	select {
	case r.places <- struct{}{}:
		return false, false
	case <-req.Context().Done():
		r.leaveQueue()
		return false, true
	}
}

func (r *runner) leaveQueue() {
	r.mu.Lock()
	r.waiting--
	r.mu.Unlock()
}

func (r *runner) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Endivecourse-Request-Id")
	w.Header().Set("X-Endivecourse-Request-Id", id)
	w.Header().Set("X-Endivecourse-Instance-Id", r.id)
	if expected := req.Header.Get("X-Endivecourse-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	isFull, isLeft := r.enter(req)
	switch {
	case isFull:
		w.Header().Set("X-Endivecourse-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case isLeft:
		return
	}
	defer func() {
		<-r.places
		r.leaveQueue()
	}()
	sum := fnv.New64a()
	sum.Write(body)
	r.mu.Lock()
	r.runs = append(r.runs, run{id: id, method: req.Method, target: req.RequestURI, previous: req.Header.Get("X-Endivecourse-Previous-Turn"), body: len(body), sum: sum.Sum64()})
	r.mu.Unlock()
	r.site.record.line("runner %s runs %s: %s %s, %d bytes", r.id, id, req.Method, req.RequestURI, len(body))
	w.Header().Set("X-Endivecourse-Response-Stamp", "stamp-"+id)
	if !r.stream {
		time.Sleep(r.pause)
		text := "answer to " + id
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	select {
	case <-time.After(time.Until(r.read(body))):
	case <-req.Context().Done():
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := 1; n <= r.events; n++ {
		select {
		case <-time.After(r.pause):
		case <-req.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
	}
}

const (
	// bytesPerToken are those of the users' sheet: 4,300 bytes for 654 tokens.
	bytesPerToken = 6.57
	// startBytes is how much of a prompt tells which conversation it continues.
	startBytes = 64 << 10
)

// read returns when the runner has read a prompt.
func (r *runner) read(prompt []byte) time.Time {
	now := time.Now()
	if r.readPerMS == 0 || len(prompt) < startBytes {
		return now
	}
	hash := fnv.New64a()
	hash.Write(prompt[:startBytes])
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, isKnown := r.known[hash.Sum64()]; isKnown {
		return at
	}
	if r.readEnd.Before(now) {
		r.readEnd = now
	}
	ms := float64(len(prompt)) / bytesPerToken / r.readPerMS
	r.readEnd = r.readEnd.Add(time.Duration(ms * float64(time.Millisecond)))
	r.known[hash.Sum64()] = r.readEnd
	return r.readEnd
}

func eventData(id string, n int) string { return fmt.Sprintf("%s piece %d", id, n) }

// hasArrived reports whether a request has arrived at one of some runners, which took it.
func hasArrived(runners []*runner, id string) bool {
	for _, r := range runners {
		r.mu.Lock()
		_, isHere := r.arrivedAt[id]
		r.mu.Unlock()
		if isHere {
			return true
		}
	}
	return false
}
