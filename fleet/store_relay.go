package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// Methods by which one VM calls the store for another.
const (
	MethodCommit = "fleet.store.commit"
	MethodScan   = "fleet.store.scan"
	MethodWatch  = "fleet.store.watch"
)

// WatchRequest asks for the changes of a table.
type WatchRequest struct {
	Table string        `msgpack:"t"`
	After uint64        `msgpack:"a"`
	Wait  time.Duration `msgpack:"w"`
}

// failure is the type of a relayed call's error.
type failure uint8

const (
	failureNone failure = iota
	failureConflict
	failureUnavailable
	failureUnknown
	failureHistory
	failureRejected
	failureBusy
)

// StoreReply is the outcome of a relayed call.
type StoreReply struct {
	Version uint64         `msgpack:"n,omitempty"`
	Page    rowstore.Page  `msgpack:"p"`
	Failure failure        `msgpack:"f,omitempty"`
	Status  int            `msgpack:"s,omitempty"`
	Detail  string         `msgpack:"d,omitempty"`
	Current []rowstore.Row `msgpack:"c,omitempty"`
}

// RelayedError is a failure that another VM reports.
type RelayedError struct{ Detail string }

// Error includes the other VM's error text.
func (e *RelayedError) Error() string { return "at the relaying VM: " + e.Detail }

func newStoreReply(err error) StoreReply {
	var (
		conflict    *rowstore.ConflictError
		historyGone *rowstore.HistoryGoneError
		rejected    *rowstore.RejectedError
		unavailable *rowstore.UnavailableError
		busy        *rowstore.BusyError
	)
	switch {
	case err == nil:
		return StoreReply{}
	case errors.As(err, &conflict):
		return StoreReply{Failure: failureConflict, Current: conflict.Current}
	case errors.As(err, &historyGone):
		return StoreReply{Failure: failureHistory, Version: historyGone.After}
	case errors.As(err, &rejected):
		return StoreReply{Failure: failureRejected, Status: rejected.Status, Detail: rejected.Detail}
	case errors.As(err, &busy):
		return StoreReply{Failure: failureBusy, Detail: err.Error()}
	case errors.As(err, &unavailable):
		return StoreReply{Failure: failureUnavailable, Detail: err.Error()}
	}
	return StoreReply{Failure: failureUnknown, Detail: err.Error()}
}

func (r *StoreReply) err() error {
	switch r.Failure {
	case failureNone:
		return nil
	case failureConflict:
		return &rowstore.ConflictError{Current: r.Current}
	case failureHistory:
		return &rowstore.HistoryGoneError{After: r.Version}
	case failureRejected:
		return &rowstore.RejectedError{Status: r.Status, Detail: r.Detail}
	case failureBusy:
		return &rowstore.BusyError{Cause: &RelayedError{Detail: r.Detail}}
	case failureUnavailable:
		return &rowstore.UnavailableError{Cause: &RelayedError{Detail: r.Detail}}
	}
	return &rowstore.OutcomeUnknownError{Cause: &RelayedError{Detail: r.Detail}}
}

const (
	// maxRelayedReads and maxRelayedCommits bound the calls that are relayed at a time. Each
	// takes a connection to the store, and a read up to a page of rows.
	maxRelayedReads   = 16
	maxRelayedCommits = 64
	// maxRelayedWait bounds the wait of a relayed watch, maxRelayTime a relayed call.
	maxRelayedWait = time.Second
	maxRelayTime   = 12 * time.Second
)

// TooManyRelayedError reports that a VM relays as many calls as it can.
type TooManyRelayedError struct{ Max int }

// Error names the maximum.
func (e *TooManyRelayedError) Error() string {
	return fmt.Sprintf("%d calls to the store are being relayed", e.Max)
}

// relayWithin performs a relayed call unless as many as slots holds are in progress.
func relayWithin(ctx context.Context, slots chan struct{}, call func(context.Context) StoreReply) (StoreReply, error) {
	select {
	case slots <- struct{}{}:
	default:
		return newStoreReply(&rowstore.UnavailableError{Cause: &TooManyRelayedError{Max: cap(slots)}}), nil
	}
	defer func() { <-slots }()
	ctx, cancel := context.WithTimeout(ctx, maxRelayTime)
	defer cancel()
	return call(ctx), nil
}

func newPageReply(page rowstore.Page, err error) StoreReply {
	reply := newStoreReply(err)
	reply.Page = page
	return reply
}

// serveStore lets peers call the store over this VM's direct path. A relayed call
// is not relayed again, which bounds the number of hops.
func serveStore(server *wire.Server, direct rowstore.Store) {
	reads, commits := make(chan struct{}, maxRelayedReads), make(chan struct{}, maxRelayedCommits)
	wire.HandleUnary(server, MethodCommit, func(ctx context.Context, tx rowstore.Tx) (StoreReply, error) {
		return relayWithin(ctx, commits, func(ctx context.Context) StoreReply {
			version, err := direct.Commit(ctx, tx)
			reply := newStoreReply(err)
			if err == nil {
				reply.Version = version
			}
			return reply
		})
	})
	wire.HandleUnary(server, MethodScan, func(ctx context.Context, r rowstore.Range) (StoreReply, error) {
		return relayWithin(ctx, reads, func(ctx context.Context) StoreReply { return newPageReply(direct.Scan(ctx, r)) })
	})
	wire.HandleUnary(server, MethodWatch, func(ctx context.Context, call WatchRequest) (StoreReply, error) {
		return relayWithin(ctx, reads, func(ctx context.Context) StoreReply {
			return newPageReply(direct.Watch(ctx, call.Table, call.After, min(call.Wait, maxRelayedWait)))
		})
	})
}

// relayedStore is a rowstore.Store that calls the store through another VM.
type relayedStore struct {
	mesh *Mesh
	vm   structs.VMID
}

// StoreVia implements storepath.Relay.
func (m *Mesh) StoreVia(vm structs.VMID) rowstore.Store { return &relayedStore{mesh: m, vm: vm} }

func (s *relayedStore) call(ctx context.Context, method string, in any) (*StoreReply, error) {
	var reply StoreReply
	err := s.mesh.callVM(ctx, s.vm, method, in, &reply)
	var notSent *wire.NotSentError
	if errors.As(err, &notSent) {
		return nil, &rowstore.UnavailableError{Cause: err}
	}
	if err != nil {
		return nil, &rowstore.OutcomeUnknownError{Cause: err}
	}
	return &reply, reply.err()
}

// Commit implements rowstore.Store.
func (s *relayedStore) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	reply, err := s.call(ctx, MethodCommit, tx)
	if err != nil {
		return 0, err
	}
	return reply.Version, nil
}

// Scan implements rowstore.Store.
func (s *relayedStore) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	reply, err := s.call(ctx, MethodScan, r)
	if err != nil {
		return rowstore.Page{}, err
	}
	return reply.Page, nil
}

// Watch implements rowstore.Store.
func (s *relayedStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	reply, err := s.call(ctx, MethodWatch, WatchRequest{Table: table, After: after, Wait: wait})
	if err != nil {
		return rowstore.Page{}, err
	}
	return reply.Page, nil
}
