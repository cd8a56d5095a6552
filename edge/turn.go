package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
)

const (
	// awayRetry is when a turn that needs the store is worth another try: as
	// long as callers heed, so that their tries span an outage of seconds.
	awayRetry = 1300 * time.Millisecond
	// busyRetry is when a program's other turns may have been settled.
	busyRetry = 400 * time.Millisecond
	// chainTimeout bounds the read of a conversation.
	chainTimeout = 2 * time.Second
)

// turn is a request that continues a conversation.
type turn struct {
	chain    *turnlog.Chain // nil for a first turn
	record   *turnlog.Record
	program  ledger.Program
	reserved <-chan error // nil without a budget
	decided  bool         // the run need not wait for the reservation
	finished bool         // the turn was settled as it was stored
}

// runTurn reads what the turn continues, reserves its tokens and runs it.
func (x *exchange) runTurn(ctx context.Context) *structs.Refusal {
	if away := x.server.opts.Store.Away(); away > 0 {
		return retryable(structs.RefusedNotReady, awayRetry, "the store has been out of reach for "+away.Round(time.Millisecond).String())
	}
	x.turn = &turn{program: ledger.Program{Account: x.accountID(), ID: x.Program}}
	x.reserve()
	if refusal := x.readChain(ctx); refusal != nil {
		x.settle()
		return refusal
	}
	if refusal := x.awaitReservation(ctx); refusal != nil {
		x.settle()
		return refusal
	}
	x.turn.record = turnlog.Next(x.accountID(), x.turn.chain, x.Body)
	body := x.Body
	if x.turn.chain != nil {
		body = x.turn.chain.Prompt(x.Body)
	}
	defer x.settle()
	return x.dispatch(ctx, body)
}

func (x *exchange) readChain(ctx context.Context) *structs.Refusal {
	if x.Turn.Previous == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, chainTimeout)
	defer cancel()
	chain, err := x.server.opts.Turns.Chain(ctx, x.accountID(), x.turn.program.Key(), x.Turn.Previous)
	var missing *turnlog.NotFoundError
	switch {
	case errors.As(err, &missing):
		return structs.Refuse(structs.RefusedNotFound, structs.RunNo, "%s", missing.Error())
	case err != nil:
		return retryable(structs.RefusedNotReady, awayRetry, "conversation not read: "+err.Error())
	}
	x.turn.chain = chain
	return nil
}

// reserve starts the reservation of the turn's tokens.
func (x *exchange) reserve() {
	if !x.hasBudget() {
		x.turn.decided = true
		return
	}
	// A first turn begins a program; one that continues a turn may meet a
	// spent budget unless this VM knows better.
	first := x.Turn.Previous == ""
	outlook := x.server.opts.Ledger.Outlook(x.turn.program, x.Turn.MostTokens, x.Turn.Budget)
	x.turn.reserved = x.server.opts.Ledger.Reserve(x.turn.program, x.tokensReserved(), x.Turn.Budget, x.Turn.Previous)
	x.turn.decided = outlook == ledger.Ample || first && outlook == ledger.Unknown
}

func (x *exchange) tokensReserved() ledger.Reservation {
	return ledger.Reservation{Turn: x.ID, Tokens: x.Turn.MostTokens, At: time.Now().UnixMilli()}
}

// awaitReservation waits for the reservation unless it can hardly fail; then
// only the answer waits for it.
func (x *exchange) awaitReservation(ctx context.Context) *structs.Refusal {
	if x.turn.decided {
		return nil
	}
	err := x.reservation(ctx)
	var spent *ledger.SpentError
	var busy *ledger.BusyError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &spent):
		return structs.Refuse(structs.RefusedOverBudget, structs.RunNo, "%s", spent.Error())
	case errors.As(err, &busy):
		return retryable(structs.RefusedNotReady, busyRetry, busy.Error())
	}
	return retryable(structs.RefusedNotReady, awayRetry, "tokens not reserved: "+err.Error())
}

// reservation returns the outcome of the reservation.
func (x *exchange) reservation(ctx context.Context) error {
	t := x.turn
	if t == nil || t.reserved == nil {
		return nil
	}
	select {
	case err := <-t.reserved:
		t.reserved = nil
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// hasBudget reports whether the turn's tokens are counted.
func (x *exchange) hasBudget() bool { return x.Turn.Budget > 0 && x.Program != "" }

// settle replaces the reservation by the tokens that the caller got, unless that
// was done as the turn was stored.
func (x *exchange) settle() {
	if x.hasBudget() && !x.turn.finished {
		x.server.opts.Ledger.Settle(x.turn.program, x.ID, x.tokens)
	}
}

// commit stores the turn. Only then may the answer end.
func (x *exchange) commit(ctx context.Context) error {
	if x.turn == nil {
		return nil
	}
	x.turn.record.Target = x.target
	turns, program := x.server.opts.Turns, x.turn.program.Key()
	if !x.hasBudget() {
		return turns.Append(ctx, program, x.ID, x.turn.record)
	}
	rows, err := turns.Rows(program, x.ID, x.turn.record)
	if err != nil {
		return err
	}
	x.turn.finished = true
	done := x.server.opts.Ledger.Finish(x.turn.program, x.tokensReserved(), x.Turn.Budget, x.tokens, rows)
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		turns.Stored(x.ID, x.turn.record)
	}
	return err
}

// cachedAt returns the target that ran the turn before.
func (x *exchange) cachedAt() structs.TargetID {
	if x.turn == nil || x.turn.chain == nil {
		return ""
	}
	return x.turn.chain.Last().Target
}
