package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/conversation"
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
	// awayHold is how long a turn of a program under way waits for the store
	// to return. Callers leave a silent stream after 2 s.
	awayHold = 900 * time.Millisecond
	awayPoll = 20 * time.Millisecond
	// reservationWait is how long a turn waits for its reservation. A store
	// slowed 60 times takes 0.55 s, and as much again after a conflict.
	reservationWait = 1300 * time.Millisecond
	// calmSpan is how long the store has to have answered every call for turns
	// to run before they are reserved.
	calmSpan = 2 * time.Second
	// chainTimeout bounds the read of a conversation.
	chainTimeout = 2 * time.Second
)

// turn is a request that continues a conversation.
type turn struct {
	chain    *turnlog.Chain // nil for a first turn
	record   *turnlog.Record
	program  ledger.Program
	reserved <-chan error // nil without a budget
	// pending is closed once the reservation is likely to be granted.
	pending  <-chan struct{}
	finished bool // the turn was settled as it was stored
}

// runTurn reads what the turn continues, reserves its tokens and runs it.
func (x *exchange) runTurn(ctx context.Context) *structs.Refusal {
	if refusal := x.awaitStore(ctx); refusal != nil {
		return refusal
	}
	x.turn = &turn{program: ledger.Program{Account: x.accountID(), ID: x.Program}}
	x.reserve(ctx)
	defer x.settle()
	if refusal := x.readChain(ctx); refusal != nil {
		return refusal
	}
	if refusal := x.awaitReservation(ctx, x.turn.pending); refusal != nil {
		return refusal
	}
	x.turn.record = turnlog.NewRecord(x.accountID(), x.turn.chain, x.Body)
	body := x.Body
	if x.turn.chain != nil {
		body = x.turn.chain.Prompt(x.Body)
	}
	return x.dispatch(ctx, body)
}

// awaitStore refuses the turn while the store is away from all VMs. Turns of
// programs under way wait for its return for a moment, since they are served
// sooner so than by another try; new programs are refused at once.
func (x *exchange) awaitStore(ctx context.Context) *structs.Refusal {
	deadline := x.Arrived.Add(awayHold)
	for {
		away := x.server.opts.Store.UnreachableFor()
		if away == 0 {
			return nil
		}
		if x.Turn.Previous == "" || structs.Now() >= deadline || ctx.Err() != nil {
			return retryable(structs.RefusedNotReady, awayRetry, "the store has been out of reach for "+away.Round(time.Millisecond).String())
		}
		time.Sleep(awayPoll)
	}
}

func (x *exchange) readChain(ctx context.Context) *structs.Refusal {
	if x.Turn.Previous == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, chainTimeout)
	defer cancel()
	chain, err := x.server.opts.Conversations.Chain(ctx, x.turn.program, x.Turn.Previous)
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
func (x *exchange) reserve(ctx context.Context) {
	if !x.hasBudget() {
		return
	}
	done, likely := make(chan error, 1), make(chan struct{})
	x.turn.reserved, x.turn.pending = done, likely
	start := conversation.ReserveRequest{
		Program: x.turn.program, Reservation: x.tokensReserved(), Budget: x.Turn.Budget, Previous: x.Turn.Previous,
		AllowsPending: x.server.isStoreCalm(),
	}
	go func() {
		err := x.server.opts.Conversations.Reserve(ctx, start)
		var pending *conversation.PendingError
		if errors.As(err, &pending) {
			close(likely)
			start.AllowsPending = false
			err = x.server.opts.Conversations.Reserve(ctx, start)
		}
		done <- err
	}()
}

// isStoreCalm reports whether nothing suggests that a reservation takes long, so
// that turns may run while they are reserved.
func (s *Server) isStoreCalm() bool {
	failed := s.opts.Store.LastFailure()
	return failed == 0 || structs.Now().Sub(failed) > calmSpan
}

// tokensReserved is the most that the turn can cost: tokens are counted by whole
// events, also when the last one is not full.
func (x *exchange) tokensReserved() ledger.Reservation {
	tokens := x.Turn.MaxTokens
	if each := int64(x.service.TokensPerEvent); each > 0 {
		tokens = (tokens + each - 1) / each * each
	}
	return ledger.Reservation{Turn: x.ID, Tokens: tokens, CreatedAt: time.Now().UnixMilli()}
}

// awaitReservation waits for the reservation of the turn's tokens or, with early,
// until it is likely: then the target may run the turn, but its caller gets
// nothing before awaitReservation has returned without it.
func (x *exchange) awaitReservation(ctx context.Context, early <-chan struct{}) *structs.Refusal {
	if x.turn == nil || x.turn.reserved == nil {
		return nil
	}
	timer := time.NewTimer(reservationWait)
	defer timer.Stop()
	var err error
	select {
	case err = <-x.turn.reserved:
		x.turn.reserved = nil
	case <-early:
	case <-timer.C:
		err = context.DeadlineExceeded
	case <-ctx.Done():
		err = ctx.Err()
	}
	return refusalOfReservation(err)
}

func refusalOfReservation(err error) *structs.Refusal {
	var spent *ledger.BudgetSpentError
	var busy *ledger.BudgetReservedError
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

// hasBudget reports whether the turn's tokens are counted.
func (x *exchange) hasBudget() bool { return x.Turn.Budget > 0 && x.Program != "" }

// settle replaces the reservation by the tokens that the caller got, unless that
// was done as the turn was stored.
func (x *exchange) settle() {
	if x.hasBudget() && !x.turn.finished {
		x.server.opts.Conversations.Settle(conversation.SettleRequest{Program: x.turn.program, Turn: x.ID, Tokens: x.tokens})
	}
}

// commit stores the turn. Only then may the answer end.
func (x *exchange) commit(ctx context.Context) error {
	if x.turn == nil {
		return nil
	}
	x.turn.record.Target = x.target
	ending := conversation.FinishRequest{
		Program: x.turn.program, Reservation: x.tokensReserved(), Tokens: x.tokens, Record: x.turn.record,
	}
	if x.hasBudget() {
		ending.Budget = x.Turn.Budget
	}
	err := x.server.opts.Conversations.Finish(ctx, ending)
	x.turn.finished = err == nil
	return err
}

// cachedAt returns the target that ran the turn before.
func (x *exchange) cachedAt() structs.TargetID {
	if x.turn == nil || x.turn.chain == nil {
		return ""
	}
	return x.turn.chain.Last().Target
}
