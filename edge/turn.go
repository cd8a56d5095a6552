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
	verdict  error        // of the reservation, once known
	decided  bool
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
	chain, err := x.server.opts.Turns.Chain(ctx, x.accountID(), x.Turn.Previous)
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
	if x.Turn.Budget <= 0 || x.Program == "" {
		x.turn.decided = true
		return
	}
	reservation := ledger.Reservation{Turn: x.ID, Tokens: x.Turn.MostTokens, At: time.Now().UnixMilli()}
	// A first turn begins a program; one that continues a turn may meet a
	// spent budget unless this VM knows better.
	first := x.Turn.Previous == ""
	outlook := x.server.opts.Ledger.Outlook(x.turn.program, x.Turn.MostTokens, x.Turn.Budget)
	x.turn.reserved = x.server.opts.Ledger.Reserve(x.turn.program, reservation, x.Turn.Budget)
	x.turn.decided = outlook == ledger.Ample || first && outlook == ledger.Unknown
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
	case t.verdict = <-t.reserved:
		t.reserved = nil
		if t.verdict != nil {
			return t.verdict
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settle replaces the reservation by the tokens that the caller got.
func (x *exchange) settle() {
	if x.Turn.Budget <= 0 || x.Program == "" {
		return
	}
	x.server.opts.Ledger.Settle(x.turn.program, x.ID, x.tokens)
}

// commit stores the turn. Only then may the answer end.
func (x *exchange) commit(ctx context.Context) error {
	if x.turn == nil {
		return nil
	}
	x.turn.record.Target = x.target
	return x.server.opts.Turns.Append(ctx, x.ID, x.turn.record)
}

// cachedAt returns the target that ran the turn before.
func (x *exchange) cachedAt() structs.TargetID {
	if x.turn == nil || x.turn.chain == nil {
		return ""
	}
	return x.turn.chain.Last().Target
}
