package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// storeLimits are the rates and the latency of the platform's store; a rate of 0 is no limit.
type storeLimits struct {
	readsPerS, writesPerS float64
	delay                 time.Duration
}

// store is a stand-in for the platform's store.
type store struct {
	table    *rowTable
	limits   storeLimits
	listener net.Listener
	server   *http.Server

	mu            sync.Mutex
	isDown        bool
	reads, writes float64 // calls that may still be made
	filledAt      time.Time
	readCalls     int
	refusedReads  int
	slowest       time.Duration // of a call that did not wait for a change
}

func newStore(limits storeLimits) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{table: newRowTable(), limits: limits, listener: listener, filledAt: time.Now(), reads: limits.readsPerS, writes: limits.writesPerS}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTx)
	mux.HandleFunc("GET /rows-get", s.serveGet)
	mux.HandleFunc("GET /rows-feed", s.serveFeed)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { s.server.Close() }

// setDown makes the store answer every call with 503, which means that nothing was done.
func (s *store) setDown(isDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = isDown
}

// admit returns the status with which a call is refused, 0 if it is not.
func (s *store) admit(isWrite bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	passed := now.Sub(s.filledAt).Seconds()
	s.filledAt = now
	s.reads = min(s.reads+passed*s.limits.readsPerS, s.limits.readsPerS)
	s.writes = min(s.writes+passed*s.limits.writesPerS, s.limits.writesPerS)
	left, limit := &s.reads, s.limits.readsPerS
	if isWrite {
		left, limit = &s.writes, s.limits.writesPerS
	} else {
		s.readCalls++
	}
	switch {
	case s.isDown:
		return http.StatusServiceUnavailable
	case limit > 0 && *left < 1:
		if !isWrite {
			s.refusedReads++
		}
		return http.StatusTooManyRequests
	}
	*left--
	return 0
}

// begin refuses a call or delays it, and reports whether it goes on.
func (s *store) begin(w http.ResponseWriter, isWrite bool) bool {
	if status := s.admit(isWrite); status != 0 {
		w.WriteHeader(status)
		return false
	}
	time.Sleep(s.limits.delay)
	return true
}

// recordTime records how long a call has taken.
func (s *store) recordTime(start time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowest = max(s.slowest, time.Since(start))
}

// stats returns the number of reading calls, of those that were refused for the rate, and the
// time of the slowest call.
func (s *store) stats() (reads, refused int, slowest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readCalls, s.refusedReads, s.slowest
}

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expect []row    `json:"expect"`
		Put    []row    `json:"put"`
		Delete []rowKey `json:"delete"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	defer s.recordTime(time.Now())
	if !s.begin(w, true) {
		return
	}
	version, current, isApplied := s.table.commit(in.Expect, in.Put, in.Delete)
	if !isApplied {
		reply(w, http.StatusPreconditionFailed, page{Rows: append([]row{}, current...), Ver: version})
		return
	}
	reply(w, http.StatusOK, page{Rows: []row{}, Ver: version})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	defer s.recordTime(time.Now())
	if !s.begin(w, false) {
		return
	}
	q := r.URL.Query()
	reply(w, http.StatusOK, s.table.get(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to")))
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	if !s.begin(w, false) {
		return
	}
	q := r.URL.Query()
	after, errAfter := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("waitMs"))
	if errAfter != nil || errWait != nil {
		http.Error(w, "after and waitMs must be whole numbers", http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for isOver := false; ; {
		out, changed := s.table.feed(q.Get("table"), after)
		s.mu.Lock()
		isDown := s.isDown
		s.mu.Unlock()
		switch {
		case isDown:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(out.Rows) > 0 || isOver:
			reply(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-end:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

// reply writes an answer about rows.
func reply(w http.ResponseWriter, status int, out page) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out)
}
