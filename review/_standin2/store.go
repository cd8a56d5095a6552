package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/rowstore"
)

// storeAnswer is the time that the platform's store takes for an answer.
const storeAnswer = 4 * time.Millisecond

// storeServer serves the platform's store with the calls of PROTOCOL.md.
type storeServer struct {
	store    *rows.Store
	listener net.Listener
	isSilent atomic.Bool // the store is down and answers nothing
	isDown   atomic.Bool // the store is down and answers 503
}

func newStoreServer(store *rows.Store) *storeServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &storeServer{store: store, listener: listener}
	go func() { _ = http.Serve(listener, s) }()
	return s
}

func (s *storeServer) address() string { return s.listener.Addr().String() }

type wireKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

func (k wireKey) key() rowstore.Key {
	return rowstore.Key{Table: k.Table, Partition: k.Part, Key: k.Key}
}

type wireRow struct {
	wireKey
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type wireTx struct {
	Expect []wireRow `json:"expect"`
	Put    []wireRow `json:"put"`
	Delete []wireKey `json:"delete"`
}

type wirePage struct {
	Rows    []wireRow `json:"rows"`
	HasMore bool      `json:"hasMore"`
	Ver     uint64    `json:"ver"`
	NowMs   int64     `json:"nowMs"`
}

// ServeHTTP implements http.Handler.
func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.isSilent.Load() {
		<-r.Context().Done()
		return
	}
	if s.isDown.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeAnswer)
	query := r.URL.Query()
	var page rowstore.Page
	switch r.Method + " " + r.URL.Path {
	case "POST /rows-tx":
		page.Version, err = s.commit(r.Context(), body)
	case "GET /rows-get":
		page, err = s.store.Scan(r.Context(), rowstore.Range{Table: query.Get("table"), Partition: query.Get("part"), From: query.Get("from"), To: query.Get("to")})
	case "GET /rows-feed":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		page, err = s.store.Watch(r.Context(), query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if s.isSilent.Load() { // the store went down meanwhile
		<-r.Context().Done()
		return
	}
	writePage(w, page, err)
}

func (s *storeServer) commit(ctx context.Context, body []byte) (uint64, error) {
	var in wireTx
	if err := json.Unmarshal(body, &in); err != nil {
		return 0, &rowstore.RejectedError{Status: http.StatusBadRequest, Detail: err.Error()}
	}
	var tx rowstore.Tx
	for _, e := range in.Expect {
		tx.Expect = append(tx.Expect, rowstore.Expectation{Key: e.key(), Version: e.Ver})
	}
	for _, p := range in.Put {
		tx.Put = append(tx.Put, rowstore.Put{Key: p.key(), Value: p.Value})
	}
	for _, d := range in.Delete {
		tx.Delete = append(tx.Delete, d.key())
	}
	return s.store.Commit(ctx, tx)
}

func writePage(w http.ResponseWriter, page rowstore.Page, err error) {
	var conflict *rowstore.ConflictError
	var gone *rowstore.HistoryGoneError
	var rejected *rowstore.RejectedError
	status := http.StatusOK
	switch {
	case errors.As(err, &conflict):
		status, page.Rows = http.StatusPreconditionFailed, conflict.Current
	case errors.As(err, &gone):
		status = http.StatusGone
	case errors.As(err, &rejected):
		status = rejected.Status
	case err != nil: // the caller has left
		return
	}
	out := wirePage{Rows: []wireRow{}, HasMore: page.HasMore, Ver: page.Version, NowMs: page.Clock}
	for _, row := range page.Rows {
		key := wireKey{Table: row.Table, Part: row.Partition, Key: row.Key.Key}
		out.Rows = append(out.Rows, wireRow{wireKey: key, Value: row.Value, Ver: row.Version, Removed: row.IsDeleted})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // an error means that the caller has left
}
