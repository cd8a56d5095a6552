package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/conversation"
	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
)

const (
	// storeRetryAfter is the retry delay of a turn that needs the store. It is the
	// longest delay that callers observe, so that their attempts span an outage of
	// several seconds.
	storeRetryAfter = 1300 * time.Millisecond
	// busyRetryAfter is the retry delay while other turns of the program are not
	// yet settled.
	busyRetryAfter = 400 * time.Millisecond
	// storeWait is how long a turn of a program that has already started waits for
	// the store to return. Callers give up a stream that sends nothing for 2 s.
	storeWait = 900 * time.Millisecond
	// grantWait is how long a turn waits for grants to begin after the store has gone away. It ends
	// before callers give up a stream that sends nothing.
	grantWait       = 1700 * time.Millisecond
	storePollPeriod = 20 * time.Millisecond
	// reservationTimeout bounds the wait for a turn's reservation. With a store
	// that is 60 times slower, it takes 0.55 s, and as much again after a
	// conflict.
	reservationTimeout = 1300 * time.Millisecond
	// storeStableTime is how long the store must not have failed a call for turns
	// to run before their tokens are reserved.
	storeStableTime = 2 * time.Second
	// chainTimeout bounds the read of a conversation.
	chainTimeout = 2 * time.Second
)

// turn is a request that is stored as a turn of a conversation, or whose tokens count
// against a program's budget, or both.
type turn struct {
	chain   *turnlog.Chain  // nil for a first turn and for turns that are not stored
	record  *turnlog.Record // nil for turns that are not stored
	program ledger.Program
	// reservation is the most tokens that the turn can use.
	reservation ledger.Reservation
	reserved    <-chan error // nil without a budget, and once its result was read
	// refused is set when the reservation was refused: nothing may be sent then.
	refused *structs.Refusal
	// likelyGranted is closed when the forecast says that the reservation will be
	// granted.
	likelyGranted <-chan struct{}
	isSettled     bool // the turn was settled when it was stored
	// outageGrant is set if the turn runs although the store is unreachable.
	outageGrant *conversation.OutageGrant
	// noGrant is why the turn could not run during the outage.
	noGrant error
}

func (x *exchange) isTurn() bool {
	return x.route.StoresTurns || x.route.Kind == routing.Streaming && x.hasBudget()
}

// runTurn reads the turns before this one, reserves the turn's tokens and runs it.
func (x *exchange) runTurn(ctx context.Context) *structs.Refusal {
	if x.route.StoresTurns && len(x.Body) > turnlog.MaxInputBytes {
		cause := &turnlog.TooLargeError{Bytes: len(x.Body), Max: turnlog.MaxInputBytes}
		return structs.Refuse(structs.RefusedTooLarge, structs.RunNo, "input: %s", cause.Error())
	}
	if x.route.StoresTurns && x.LastEvent != "" {
		return structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "a turn that is stored is not resumed: it starts at its first event, not after event %q", x.LastEvent)
	}
	x.turn = &turn{program: ledger.Program{Account: x.accountID(), ID: x.Program}, reservation: x.newReservation()}
	if !x.reserveInOutage(ctx) {
		if refusal := x.awaitStore(ctx); refusal != nil {
			return refusal
		}
		x.startReservation(ctx)
	}
	defer x.settle()
	if refusal := x.readChain(ctx); refusal != nil {
		return refusal
	}
	if refusal := x.awaitReservation(ctx, x.turn.likelyGranted); refusal != nil {
		return refusal
	}
	if x.route.StoresTurns {
		x.turn.record = turnlog.NewRecord(x.accountID(), x.turn.chain, x.Body)
	}
	body := x.Body
	if x.turn.chain != nil {
		body = x.turn.chain.Prompt(x.Body)
	}
	return x.dispatch(ctx, body)
}

// reserveInOutage uses a grant from memory while no VM can reach the store. It reports
// whether the turn may run: it needs the store neither for its tokens nor for its end.
func (x *exchange) reserveInOutage(ctx context.Context) bool {
	if x.route.StoresTurns || !x.hasBudget() || x.server.opts.Store.UnreachableFor() == 0 {
		return false
	}
	for {
		grant, err := x.server.opts.Conversations.ReserveInOutage(ctx, x.reserveRequest())
		if err == nil {
			x.turn.outageGrant = &grant
			return true
		}
		x.turn.noGrant = err
		if !x.awaitGrants(ctx, err) {
			return false
		}
	}
}

// awaitGrants waits until grants begin, if that is soon enough, and reports whether to ask for one
// again.
func (x *exchange) awaitGrants(ctx context.Context, err error) bool {
	var noGrant *conversation.NoGrantError
	if !errors.As(err, &noGrant) || noGrant.RetryIn <= 0 || structs.Now().Add(noGrant.RetryIn) > x.Arrived.Add(grantWait) {
		return false
	}
	select {
	case <-time.After(noGrant.RetryIn):
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitStore refuses the turn while no VM can reach the store. Turns of programs
// that have already started wait briefly for the store, since that serves them
// sooner than a retry; new programs are refused at once.
func (x *exchange) awaitStore(ctx context.Context) *structs.Refusal {
	deadline := x.Arrived.Add(storeWait)
	for {
		away := x.storeAwayFor()
		if away == 0 {
			return nil
		}
		if x.Turn.Previous == "" || structs.Now() >= deadline || ctx.Err() != nil {
			reason := "the store has been out of reach for " + away.Round(time.Millisecond).String()
			if x.turn.noGrant != nil {
				reason += "; " + x.turn.noGrant.Error()
			}
			return retryableRefusal(structs.RefusedNotReady, storeRetryAfter, reason)
		}
		time.Sleep(storePollPeriod)
	}
}

func (x *exchange) readChain(ctx context.Context) *structs.Refusal {
	if x.Turn.Previous == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, chainTimeout)
	defer cancel()
	chain, err := x.server.opts.Conversations.Chain(ctx, x.turn.program, x.Turn.Previous)
	var notFound *turnlog.NotFoundError
	switch {
	case errors.As(err, &notFound):
		return structs.Refuse(structs.RefusedNotFound, structs.RunNo, "%s", notFound.Error())
	case err != nil:
		return retryableRefusal(structs.RefusedNotReady, storeRetryAfter, "conversation not read: "+err.Error())
	}
	x.turn.chain = chain
	return nil
}

// startReservation starts the reservation of the turn's tokens.
func (x *exchange) startReservation(ctx context.Context) {
	if !x.hasBudget() {
		return
	}
	done, likelyGranted := make(chan error, 1), make(chan struct{})
	x.turn.reserved, x.turn.likelyGranted = done, likelyGranted
	start := x.reserveRequest()
	start.AllowsPending = x.server.isStoreStable()
	go func() {
		err := x.server.opts.Conversations.Reserve(ctx, start)
		var pending *conversation.PendingError
		if errors.As(err, &pending) {
			close(likelyGranted)
			start.AllowsPending = false
			err = x.server.opts.Conversations.Reserve(ctx, start)
		}
		done <- err
	}()
}

func (x *exchange) reserveRequest() conversation.ReserveRequest {
	return conversation.ReserveRequest{
		Program: x.turn.program, Reservation: x.turn.reservation, Budget: x.Turn.Budget, IsUnstored: !x.route.StoresTurns,
	}
}

// isStoreStable reports whether the store has not failed recently, so that
// reservations are expected to be quick and turns may run before theirs has been
// made.
func (s *Server) isStoreStable() bool {
	failed := s.opts.Store.LastFailure()
	return failed == 0 || structs.Now().Sub(failed) > storeStableTime
}

// newReservation returns a reservation of the most tokens that the turn can use: tokens are
// counted in complete events, even if the last event is not full.
func (x *exchange) newReservation() ledger.Reservation {
	tokens := x.Turn.MaxTokens
	if perEvent := int64(x.service.TokensPerEvent); perEvent > 0 {
		tokens = (tokens + perEvent - 1) / perEvent * perEvent
	}
	return ledger.Reservation{Turn: turnlog.TurnID(x.ID), Tokens: tokens, CreatedAt: time.Now().UnixMilli(), Owner: x.server.opts.Process}
}

// awaitReservation waits until the turn's tokens are reserved or, if likelyGranted
// is not nil, until that is likely. In the latter case the target may run the turn,
// but nothing is sent to the caller until another call, with a nil likelyGranted,
// has returned no refusal.
func (x *exchange) awaitReservation(ctx context.Context, likelyGranted <-chan struct{}) *structs.Refusal {
	if x.turn == nil || x.turn.reserved == nil {
		return x.refusedReservation()
	}
	timer := time.NewTimer(reservationTimeout)
	defer timer.Stop()
	var err error
	select {
	case err = <-x.turn.reserved:
		x.turn.reserved, x.turn.refused = nil, reservationRefusal(err)
	case <-likelyGranted:
	case <-timer.C:
		err = context.DeadlineExceeded
	case <-ctx.Done():
		err = ctx.Err()
	}
	return reservationRefusal(err)
}

// refusedReservation returns the refusal of the turn's reservation, nil if there is none.
func (x *exchange) refusedReservation() *structs.Refusal {
	if x.turn == nil {
		return nil
	}
	return x.turn.refused
}

func reservationRefusal(err error) *structs.Refusal {
	var spent *ledger.BudgetSpentError
	var busy *ledger.BudgetReservedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &spent):
		return structs.Refuse(structs.RefusedOverBudget, structs.RunNo, "%s", spent.Error())
	case errors.As(err, &busy):
		return retryableRefusal(structs.RefusedNotReady, busyRetryAfter, busy.Error())
	}
	return retryableRefusal(structs.RefusedNotReady, storeRetryAfter, "tokens not reserved: "+err.Error())
}

// hasBudget reports whether the turn's tokens are counted against a budget.
func (x *exchange) hasBudget() bool { return x.Turn.Budget > 0 && x.Program != "" }

// settle replaces the reservation by the tokens that the caller received, unless
// that was done when the turn was stored.
func (x *exchange) settle() {
	if !x.hasBudget() || x.turn.isSettled {
		return
	}
	request := conversation.SettleRequest{
		Program: x.turn.program, Turn: x.turn.reservation.Turn, Tokens: x.tokens, CreatedAt: x.turn.reservation.CreatedAt,
	}
	if x.turn.outageGrant != nil {
		x.server.opts.Conversations.SettleInOutage(*x.turn.outageGrant, request)
		return
	}
	x.server.opts.Conversations.Settle(request)
}

// storeTurn stores the turn if its route asks for it. The response to the caller may
// end only after that.
func (x *exchange) storeTurn(ctx context.Context) error {
	if x.turn == nil || !x.route.StoresTurns {
		return nil
	}
	x.turn.record.Target = x.target
	end := conversation.FinishRequest{
		Program: x.turn.program, Reservation: x.turn.reservation, Tokens: x.tokens, Record: x.turn.record,
		SegmentBefore: turnlog.SegmentBefore(x.turn.chain),
	}
	if x.hasBudget() {
		end.Budget = x.Turn.Budget
	}
	err := x.server.opts.Conversations.Finish(ctx, end)
	x.turn.isSettled = err == nil
	return err
}

// previousTarget returns the target that ran the previous turn.
func (x *exchange) previousTarget() structs.TargetID {
	if x.turn == nil || x.turn.chain == nil {
		return ""
	}
	return x.turn.chain.Last().Target
}
