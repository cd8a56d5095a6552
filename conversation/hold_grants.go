package conversation

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/outage"
	"github.com/endivecourse/endivecourse/structs"
)

// vote answers an offered state. A VM that reaches the store does not vote, since other VMs
// may reserve in the store.
func (h *Holds) vote(offer outage.State, budget int64) (outage.Verdict, outage.State) {
	if h.opts.UnreachableFor() == 0 {
		return outage.Abstains, outage.State{}
	}
	if outage.IsClosedAt(h.opts.Ledger.Committed(offer.Program), budget) {
		return outage.Closed, outage.State{}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.mayGrantAt(time.Now()) || h.regionOf(offer.Program) != h.opts.Region {
		return outage.Abstains, outage.State{}
	}
	return h.register.Offer(offer)
}

// promiseLeft returns for how long this VM has promised to grant nothing, 0 or less for no longer.
func (h *Holds) promiseLeft() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Until(h.promisedUntil)
}

// promiseOfMajority returns for how long a majority of the holders, this VM included if it is one,
// can't be had since the others have promised to grant nothing. A grant that they refuse could not
// be asked for again.
func (h *Holds) promiseOfMajority(ctx context.Context, others []structs.VMID, isSelf bool) time.Duration {
	if h.promiseLeft() < -promiseSpread {
		return 0
	}
	left := make([]time.Duration, 0, len(others)+1)
	if isSelf {
		left = append(left, 0)
	}
	holders := len(others) + len(left)
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	for r := range h.callAll(ctx, others, HoldRequest{}) {
		if left = append(left, r.reply.PromiseLeft); r.reply.PromiseLeft == 0 && len(left) > holders/2 {
			break
		}
	}
	slices.Sort(left)
	if len(left) <= holders/2 {
		return 0 // the offer fails, or others answer it
	}
	return left[holders/2]
}

// awaitOutage waits until this VM has noticed that the store is unreachable, which the VM that
// calls it knows already, and its promise to grant nothing has ended. It reports whether both are
// so.
func (h *Holds) awaitOutage(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(noticePollPeriod)
	defer ticker.Stop()
	for h.opts.UnreachableFor() == 0 || h.promiseLeft() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// Grant grants a turn's tokens without the store and returns a VM that has a copy. It
// returns *NoGrantError if it can't.
func (h *Holds) Grant(ctx context.Context, req ReserveRequest) (copyAt structs.VMID, err error) {
	others, isSelf, areAble := h.opts.Holders.Holders()
	if !areAble || len(others) == 0 {
		return "", &NoGrantError{Turn: req.Reservation.Turn, Reason: "no second VM can hold a copy"}
	}
	if region := h.RegionOf(req.Program.Key()); region != h.opts.Region {
		return "", &NoGrantError{Turn: req.Reservation.Turn, Reason: "region " + region + " grants the program's tokens"}
	}
	if !h.awaitOutage(ctx, homeNoticeTime) {
		return "", &NoGrantError{Turn: req.Reservation.Turn, Reason: "the region's holders have reached the store just now", RetryIn: max(0, h.promiseLeft())}
	}
	if left := h.promiseOfMajority(ctx, others, isSelf); left > 0 {
		return "", &NoGrantError{Turn: req.Reservation.Turn, Reason: "most of the region's holders have reached the store just now", RetryIn: left}
	}
	ctx, cancel := context.WithTimeout(ctx, maxHoldAttempts*holdTimeout)
	defer cancel()
	program := req.Program.Key()
	grant := outage.Grant{Turn: req.Reservation.Turn, Tokens: req.Reservation.Tokens, CreatedAt: req.Reservation.CreatedAt}
	h.mu.Lock()
	grantsNothing := h.region.record.GrantsNothing(time.Now().UnixMilli())
	h.mu.Unlock()
	if grantsNothing {
		return "", &NoGrantError{Turn: grant.Turn, Reason: "the region grants nothing for a while, since grants may have been lost"}
	}
	isOwn := func(g outage.Grant) bool { return g.Turn == grant.Turn }
	void := HoldRequest{Void: &outage.State{Program: program, Grants: []outage.Grant{grant}}}
	reason := "no majority of the holders accepted the grant"
	var known outage.State
	for attempt := range maxHoldAttempts {
		h.mu.Lock()
		offer := h.register.State(program)
		h.mu.Unlock()
		if attempt > 0 {
			offer.Grants = slices.DeleteFunc(offer.Grants, isOwn) // this VM's own vote in the attempt before
		}
		offer.Merge(known)
		if slices.ContainsFunc(offer.Grants, isOwn) {
			return "", &NoGrantError{Turn: grant.Turn, Reason: "an earlier attempt got no majority"}
		}
		if !offer.Allows(grant.Tokens, req.Budget) {
			reason = "the tokens granted without the store are at their limit"
			if attempt == 0 {
				return "", &NoGrantError{Turn: grant.Turn, Reason: reason}
			}
			break
		}
		offer.Grants = append(offer.Grants, grant)
		votes := h.collectVotes(ctx, offer, req.Budget, others, isSelf)
		if votes.copyAt != "" {
			return votes.copyAt, nil
		}
		if votes.isClosed {
			void.Close, reason = program, "the program is close to its budget"
			break
		}
		known = votes.known
		if !votes.isNewer {
			break
		}
	}
	h.serve(void)
	replies := h.callAll(ctx, others, void)
	if void.Close != "" {
		for range replies { // until the others know, they may grant a turn that another VM asks for
		}
	}
	return "", &NoGrantError{Turn: grant.Turn, Reason: reason}
}

// voteResult is the result of an offer to all holders.
type voteResult struct {
	copyAt structs.VMID // a holder that accepted, if a majority did
	// isNewer is whether a holder knew more, which is in known.
	isNewer bool
	known   outage.State
	// isClosed is whether a holder knows that the program is closed. One is enough: not all
	// of them have heard of it.
	isClosed bool
}

// collectVotes offers a state to all holders.
func (h *Holds) collectVotes(ctx context.Context, offer outage.State, budget int64, others []structs.VMID, isSelf bool) voteResult {
	votes, holders := 0, len(others)
	result := voteResult{known: outage.State{Program: offer.Program}}
	if outage.IsClosedAt(h.opts.Ledger.Committed(offer.Program), budget) {
		result.isClosed = true
		return result
	}
	if isSelf {
		holders++
		switch verdict, own := h.vote(offer, budget); verdict {
		case outage.Accepted:
			votes++
		case outage.Outdated:
			result.known, result.isNewer = own, true
			return result
		case outage.Closed:
			result.isClosed = true
			return result
		}
	}
	copyAt := structs.VMID("")
	ctx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	for r := range h.callAll(ctx, others, HoldRequest{Offer: &offer, Budget: budget}) {
		switch r.reply.Verdict {
		case outage.Accepted:
			votes++
			copyAt = r.vm
		case outage.Outdated:
			result.known.Merge(r.reply.Known)
			result.isNewer = true
		case outage.Closed:
			result.isClosed = true
			return result
		}
		if votes > holders/2 && copyAt != "" {
			result.copyAt = copyAt
			return result
		}
	}
	return result
}

type holdResult struct {
	vm    structs.VMID
	reply HoldReply
}

// callAll calls VMs at once. The channel delivers the replies in the order of their arrival
// and is closed after the last.
func (h *Holds) callAll(ctx context.Context, vms []structs.VMID, req HoldRequest) <-chan holdResult {
	results := make(chan holdResult, len(vms))
	var calls sync.WaitGroup
	// The calls go on when the caller has its majority: the others keep copies too.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), holdTimeout)
	for _, vm := range vms {
		calls.Go(func() {
			var reply HoldReply
			if err := h.opts.Holders.CallHolder(ctx, vm, MethodHold, req, &reply); err == nil {
				results <- holdResult{vm, reply}
			}
		})
	}
	go func() {
		calls.Wait()
		cancel()
		close(results)
	}()
	return results
}

// NoGrantError reports that a turn can't run without the store.
type NoGrantError struct {
	Turn   structs.RequestID
	Reason string
	// RetryIn is the time after which a grant is likely, 0 if it is not.
	RetryIn time.Duration
}

// Error includes the reason.
func (e *NoGrantError) Error() string {
	return "turn " + string(e.Turn) + " needs the store: " + e.Reason
}
