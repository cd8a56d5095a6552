// Package conversation keeps the turns and the token budget of each program. All
// VMs of a region send the changes of programs in one partition of the store to
// one VM, their home, where they share transactions and memory. The home is a
// matter of cost only: the store's versions keep changes apart, so any VM may act
// when the home does not answer.
package conversation

import (
	"context"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
)

// FinishRequest is a turn that was answered whole.
type FinishRequest struct {
	Program ledger.Program `msgpack:"p"`
	// Reservation is the turn's reservation; Budget 0 stands for none.
	Reservation ledger.Reservation `msgpack:"r"`
	Budget      int64              `msgpack:"b"`
	Tokens      int64              `msgpack:"n"` // that the caller got
	Record      *turnlog.Record    `msgpack:"t"`
}

// ReserveRequest is a turn that is about to run.
type ReserveRequest struct {
	Program     ledger.Program     `msgpack:"p"`
	Reservation ledger.Reservation `msgpack:"r"`
	Budget      int64              `msgpack:"b"`
	Previous    structs.RequestID  `msgpack:"v"`
	// AllowsPending asks for word as soon as the reservation is likely to be granted.
	AllowsPending bool `msgpack:"e,omitempty"`
}

// SettleRequest is a turn that ended without being stored.
type SettleRequest struct {
	Program ledger.Program    `msgpack:"p"`
	Turn    structs.RequestID `msgpack:"t"`
	Tokens  int64             `msgpack:"n"` // that the caller got
}

// FindRequest asks for turns of a program.
type FindRequest struct {
	Program ledger.Program      `msgpack:"p"`
	Turns   []structs.RequestID `msgpack:"t"`
}

// Local keeps programs with this VM's own path to the store.
type Local struct {
	Ledger *ledger.Keeper
	Turns  *turnlog.Log
	// Partition maps a program to the store's partition of its rows.
	Partition func(program string) string
}

// Reserve reserves a turn's tokens. With Early it returns *PendingError while
// the reservation, which is likely to be granted, goes on.
func (l *Local) Reserve(ctx context.Context, s ReserveRequest) error {
	likely := s.AllowsPending && l.Ledger.Forecast(s.Program, s.Reservation, s.Budget)
	done := l.Ledger.Reserve(ctx, s.Program, s.Reservation, s.Budget, s.Previous)
	if !likely {
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

// Finish stores a turn and settles it.
func (l *Local) Finish(ctx context.Context, e FinishRequest) error {
	id, program := e.Reservation.Turn, e.Program.Key()
	if e.Budget <= 0 {
		return l.Turns.Append(ctx, program, id, e.Record)
	}
	rows, err := l.Turns.AppendTx(program, id, e.Record)
	if err != nil {
		return err
	}
	if err := wait(ctx, l.Ledger.FinishTurn(ctx, e.Program, e.Reservation, e.Budget, e.Tokens, rows)); err != nil {
		return err
	}
	l.Turns.AddToCache(id, e.Record)
	return nil
}

// Settle ends the reservation of a turn that was not stored.
func (l *Local) Settle(s SettleRequest) { l.Ledger.SettleTurn(s.Program, s.Turn, s.Tokens) }

// Find returns turns of a program, from memory or the store.
func (l *Local) Find(ctx context.Context, q FindRequest) ([]*turnlog.Record, error) {
	return l.Turns.Find(ctx, q.Program.Key(), q.Turns)
}
