// Package conversation stores the turns of each program and accounts for its token
// budget. All VMs of a region send the changes of the programs in one partition of the
// store to one VM, the partition's home VM, where they share transactions and a cache.
// The home VM only saves cost: the store's row versions detect concurrent changes, so
// any VM may act when the home VM does not answer.
package conversation

import (
	"context"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
)

// FinishRequest asks to store a turn that was answered completely and to settle its
// reservation.
type FinishRequest struct {
	Program ledger.Program `msgpack:"p"`
	// Reservation is the turn's reservation; there is none when Budget is 0.
	Reservation ledger.Reservation `msgpack:"r"`
	Budget      int64              `msgpack:"b"`
	Tokens      int64              `msgpack:"n"` // delivered to the caller
	Record      *turnlog.Record    `msgpack:"t"`
	// SegmentBefore are the earlier turns of the segment that the turn ends, see
	// turnlog.SegmentBefore. Earlier builds store no segments.
	SegmentBefore []*turnlog.Record `msgpack:"s,omitempty"`
	// Regions are the regions through whose VMs the turn may be relayed, empty for all.
	Regions []string `msgpack:"g,omitempty"`
}

// ReserveRequest asks to reserve the tokens of a turn that is about to run.
type ReserveRequest struct {
	Program     ledger.Program     `msgpack:"p"`
	Reservation ledger.Reservation `msgpack:"r"`
	Budget      int64              `msgpack:"b"`
	// AdvanceKey is not used any more; builds that reserve tokens for a next turn send it.
	AdvanceKey structs.RequestID `msgpack:"v"`
	// InOutage asks for a grant that is not in the store, or *NoGrantError; the store is not
	// called.
	InOutage bool `msgpack:"d,omitempty"`
	// AllowsPending asks for *PendingError as soon as the reservation is likely to be
	// granted.
	AllowsPending bool `msgpack:"e,omitempty"`
	// IsUnstored means that the turn's route stores no turns. Only such a turn may run on a
	// grant that is not in the store.
	IsUnstored bool `msgpack:"u,omitempty"`
}

// SettleRequest asks to settle the reservation of a turn that ended without being
// stored.
type SettleRequest struct {
	Program ledger.Program    `msgpack:"p"`
	Turn    structs.RequestID `msgpack:"t"`
	Tokens  int64             `msgpack:"n"` // delivered to the caller
	// CreatedAt is when the turn's reservation was made, in Unix milliseconds; 0 in calls of
	// earlier builds.
	CreatedAt int64 `msgpack:"c,omitempty"`
	// AdvanceKey, MaxTokens and Budget are not used any more; builds that reserve tokens for a
	// next turn send them.
	AdvanceKey structs.RequestID `msgpack:"v,omitempty"`
	MaxTokens  int64             `msgpack:"m,omitempty"`
	Budget     int64             `msgpack:"b,omitempty"`
}

// FindRequest asks for the records of turns of a program.
type FindRequest struct {
	Program ledger.Program      `msgpack:"p"`
	Turns   []structs.RequestID `msgpack:"t"`
	// Of is the turn of which Turns are ancestors, see turnlog.Query.
	Of *turnlog.Record `msgpack:"o,omitempty"`
	// IsCachedOnly asks for *NotCachedError in place of a read from the store. Earlier builds read.
	IsCachedOnly bool `msgpack:"c,omitempty"`
	// Regions are the regions through whose VMs the turns may be relayed, empty for all.
	Regions []string `msgpack:"g,omitempty"`
}

// Local performs the operations on this VM, over its own path to the store.
type Local struct {
	Ledger *ledger.Keeper
	Turns  *turnlog.Log
	// Partition maps a program to the store's partition of its rows.
	Partition func(program string) string
	// Holds grants tokens while the store is unreachable; nil never does.
	Holds *Holds
}

// Reserve reserves a turn's tokens. With AllowsPending it returns *PendingError when the
// reservation is likely to be granted but not stored yet; the reservation continues in
// the background.
func (l *Local) Reserve(ctx context.Context, req ReserveRequest) error {
	if req.InOutage {
		_, err := l.reserveInOutage(ctx, req)
		return err
	}
	if l.Holds == nil {
		return l.reserve(ctx, req, ledger.Closing{})
	}
	closing, err := l.Holds.Prepare(ctx, req)
	if err != nil {
		return err
	}
	err = l.reserve(ctx, req, closing)
	var open *ledger.OpenProgramError
	if !errors.As(err, &open) {
		return err
	}
	if closing, err = l.Holds.Close(ctx, req.Program); err != nil {
		return err
	}
	return l.reserve(ctx, req, closing)
}

// reserveInOutage makes a grant from memory for a turn that is not stored. It returns the VM
// that has a copy of the grant.
func (l *Local) reserveInOutage(ctx context.Context, req ReserveRequest) (copyAt structs.VMID, err error) {
	if !req.IsUnstored || l.Holds == nil {
		return "", &NoGrantError{Turn: req.Reservation.Turn, Reason: "a turn that is stored needs the store"}
	}
	return l.Holds.Grant(ctx, req)
}

func (l *Local) reserve(ctx context.Context, req ReserveRequest, closing ledger.Closing) error {
	isLikely := req.AllowsPending && l.Ledger.ForecastOpen(req.Program, req.Reservation, req.Budget, closing)
	done := l.Ledger.ReserveOpen(ctx, req.Program, req.Reservation, req.Budget, closing)
	if !isLikely {
		return wait(ctx, done)
	}
	select {
	case err := <-done:
		return err
	default:
		return &PendingError{}
	}
}

func wait(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Finish stores a turn and settles its reservation.
func (l *Local) Finish(ctx context.Context, req FinishRequest) error {
	id, program := req.Reservation.Turn, req.Program.Key()
	if req.Budget <= 0 {
		return l.Turns.AppendSegment(ctx, program, id, req.Record, req.SegmentBefore)
	}
	rows, err := l.Turns.AppendTx(program, id, req.Record, req.SegmentBefore)
	if err != nil {
		return err
	}
	end := ledger.TurnEnd{Reservation: req.Reservation, Budget: req.Budget, Tokens: req.Tokens, Rows: rows}
	if err := wait(ctx, l.Ledger.FinishTurn(ctx, req.Program, end)); err != nil {
		return err
	}
	l.Turns.AddToCache(id, req.Record)
	return nil
}

// Settle settles the reservation of a turn that was not stored. It returns once that is
// stored; a settlement may be repeated.
func (l *Local) Settle(ctx context.Context, req SettleRequest) error {
	if l.Holds != nil && l.Holds.Settle(req) {
		return nil
	}
	return wait(ctx, l.Ledger.SettleStored(req.Program, ledger.Reservation{Turn: req.Turn, CreatedAt: req.CreatedAt}, req.Tokens))
}

// Find returns the records of turns of a program, from the cache or the store.
func (l *Local) Find(ctx context.Context, req FindRequest) ([]*turnlog.Record, error) {
	if !req.IsCachedOnly {
		return l.Turns.Find(ctx, req.Program.Key(), turnlog.Query{IDs: req.Turns, Of: req.Of})
	}
	records, missing := l.Turns.Cached(req.Turns)
	if len(missing) > 0 {
		return nil, &NotCachedError{Turns: len(missing)}
	}
	return records, nil
}
