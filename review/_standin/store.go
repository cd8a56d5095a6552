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

// storeServer serves the platform's store to one machine.
type storeServer struct {
	listener net.Listener
	server   *http.Server
	stop     context.CancelFunc
	isSilent atomic.Bool // calls get no answer and do nothing
}

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r wireRow) key() rowstore.Key {
	return rowstore.Key{Table: r.Table, Partition: r.Part, Key: r.Key}
}

// newStoreServer starts a server for the store at a free port.
func newStoreServer(store *rows.Store) (*storeServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &storeServer{listener: listener, stop: stop}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", func(w http.ResponseWriter, r *http.Request) {
		var in struct{ Expect, Put, Delete []wireRow }
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
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
		version, err := store.Commit(r.Context(), tx)
		writePage(w, rowstore.Page{Version: version}, err)
	})
	mux.HandleFunc("GET /rows-get", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		page, err := store.Scan(r.Context(), rowstore.Range{Table: q.Get("table"), Partition: q.Get("part"), From: q.Get("from"), To: q.Get("to")})
		writePage(w, page, err)
	})
	mux.HandleFunc("GET /rows-feed", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		page, err := store.Watch(r.Context(), q.Get("table"), after, time.Duration(wait)*time.Millisecond)
		writePage(w, page, err)
	})
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isSilent.Load() {
			_, _ = io.Copy(io.Discard, r.Body) // the end of the caller shows only after the body
			select {
			case <-r.Context().Done():
			case <-ctx.Done():
			}
			panic(http.ErrAbortHandler)
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *storeServer) address() string { return s.listener.Addr().String() }

func (s *storeServer) close() {
	s.stop()
	s.server.Close()
}

// writePage writes a call's result; without one, the channel is closed.
func writePage(w http.ResponseWriter, page rowstore.Page, err error) {
	status := http.StatusOK
	var conflict *rowstore.ConflictError
	var gone *rowstore.HistoryGoneError
	var rejected *rowstore.RejectedError
	switch {
	case errors.As(err, &conflict):
		status, page.Rows = http.StatusPreconditionFailed, conflict.Current
	case errors.As(err, &gone):
		status = http.StatusGone
	case errors.As(err, &rejected):
		status = rejected.Status
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	out := struct {
		Rows    []wireRow `json:"rows"`
		HasMore bool      `json:"hasMore"`
		Ver     uint64    `json:"ver"`
		NowMs   int64     `json:"nowMs"`
	}{Rows: []wireRow{}, HasMore: page.HasMore, Ver: page.Version, NowMs: page.Clock}
	for _, row := range page.Rows {
		out.Rows = append(out.Rows, wireRow{
			Table: row.Table, Part: row.Partition, Key: row.Key.Key, Value: row.Value, Ver: row.Version, Removed: row.IsDeleted,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // fails if the caller has gone
}
