package conversation

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/outage"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// MethodHold carries unstored grants between the holders of a region. It is sent only to
// VMs whose member row says that they serve it.
const MethodHold = "conversation.hold"

const (
	// holdTimeout bounds the calls of one attempt to get a majority: several round trips
	// within a region of 5 ms each.
	holdTimeout = 250 * time.Millisecond
	// maxHoldAttempts bounds the attempts for one grant. Another is made with what a holder
	// knows in addition.
	maxHoldAttempts = 3
	// writeBackPeriod is the time between two transactions of the write-back: 20 a second.
	writeBackPeriod = 50 * time.Millisecond
	// foreignDelay is how long after an outage a holder that is not the home VM writes back
	// what it still holds.
	foreignDelay = 5 * time.Second
	// minIntactAge is the age from which a process votes that had to learn from others. The
	// attempts for which its predecessor voted have timed out then.
	minIntactAge = 4 * holdTimeout
	// syncPeriod is the time between two attempts to learn from the other holders, and
	// syncWait how long a reservation waits for it before its program is charged.
	syncPeriod = 300 * time.Millisecond
	syncWait   = 300 * time.Millisecond
	// scanAge is the age from which a process reads the balances in the store if it learnt
	// nothing from other holders.
	scanAge = minIntactAge
	// scanTimeout bounds one attempt to read the balances.
	scanTimeout = 2 * time.Second
)

// HoldRequest is a call between holders; each field that is set is applied.
type HoldRequest struct {
	Offer  *outage.State  `msgpack:"o,omitempty"` // asks for a vote
	Budget int64          `msgpack:"b,omitempty"` // of the offer's program
	Close  string         `msgpack:"c,omitempty"` // a program that is closed, see package outage
	Drop   []outage.State `msgpack:"d,omitempty"` // grants that the store has
	Void   *outage.State  `msgpack:"v,omitempty"` // grants that did not take effect
	Pull   bool           `msgpack:"l,omitempty"` // asks for everything that the holder knows
}

// HoldReply answers a HoldRequest.
type HoldReply struct {
	Verdict  outage.Verdict `msgpack:"v,omitempty"`
	Known    outage.State   `msgpack:"k,omitempty"` // with outage.Outdated
	IsIntact bool           `msgpack:"i,omitempty"`
	// IsComplete means that the holder is intact and no grant was lost with others.
	IsComplete bool           `msgpack:"m,omitempty"`
	States     []outage.State `msgpack:"s,omitempty"`
	Closed     []string       `msgpack:"c,omitempty"`
}

// Holders finds and calls the holders of this region.
type Holders interface {
	Home(partition string) (vm structs.VMID, isSelf bool)
	// Holders returns the other holders, whether this VM is one, and whether all of them
	// can hold grants.
	Holders() (vms []structs.VMID, isSelf, areAble bool)
	CallHolder(ctx context.Context, vm structs.VMID, method string, in, out any) error
	IsMembershipKnown() bool
}

// HoldOptions configures Holds.
type HoldOptions struct {
	Holders    Holders
	Ledger     *ledger.Keeper
	Store      rowstore.Store
	Partition  func(program string) string
	Partitions []string
	// UnreachableFor returns the time for which no VM has reached the store, 0 if it is
	// reachable.
	UnreachableFor func() time.Duration
	FirstStart     bool
	Log            *slog.Logger
}

// Holds grants tokens while the store is unreachable, and writes the grants back
// afterwards. The decisions are those of package outage.
type Holds struct {
	opts    HoldOptions
	started time.Time

	mu       sync.Mutex
	register *outage.Register
	// isSynced is whether this VM has learnt the grants of the last outage. Until then or
	// until chargeUntil, reservations are charged.
	isSynced    bool
	chargeUntil time.Time
	outageEnd   time.Time
	isOut       bool
	writing     map[string]bool // programs whose grants are being written back
	// scanned is the number of partitions whose closed programs are read. Only Run uses it.
	scanned int
}

// NewHolds returns Holds without grants.
func NewHolds(opts HoldOptions) *Holds {
	now := time.Now()
	h := &Holds{opts: opts, started: now, register: outage.NewRegister(opts.FirstStart), isSynced: opts.FirstStart, writing: make(map[string]bool)}
	if !opts.FirstStart {
		h.chargeUntil = now.Add(ledger.ChargeTime)
	}
	return h
}

// RegisterHolds registers the handler of MethodHold.
func RegisterHolds(server *wire.Server, holds func() *Holds) {
	wire.HandleUnary(server, MethodHold, func(_ context.Context, req HoldRequest) (HoldReply, error) { return holds().serve(req), nil })
}

func (h *Holds) serve(req HoldRequest) HoldReply {
	var reply HoldReply
	if req.Offer != nil {
		reply.Verdict, reply.Known = h.vote(*req.Offer, req.Budget)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if req.Close != "" {
		h.register.Close(req.Close)
	}
	if req.Void != nil {
		for _, g := range req.Void.Grants {
			h.register.Settle(req.Void.Program, g.Turn, 0)
		}
	}
	for _, state := range req.Drop {
		h.register.Drop(state)
	}
	reply.IsIntact, reply.IsComplete = h.register.IsIntact(), h.isComplete(time.Now())
	if req.Pull {
		reply.States, reply.Closed = h.register.States(), h.register.ClosedPrograms()
	}
	return reply
}

// isComplete reports whether this holder is intact and need not charge. The caller holds the
// lock.
func (h *Holds) isComplete(now time.Time) bool {
	return h.register.IsIntact() && now.After(h.chargeUntil)
}

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
	return h.register.Offer(offer)
}

// Grant grants a turn's tokens without the store and returns a VM that has a copy. It
// returns *NoGrantError if it can't.
func (h *Holds) Grant(ctx context.Context, req ReserveRequest) (copyAt structs.VMID, err error) {
	others, isSelf, areAble := h.opts.Holders.Holders()
	if !areAble || len(others) == 0 || h.opts.UnreachableFor() == 0 {
		return "", &NoGrantError{Turn: req.Reservation.Turn, Reason: "no second VM can hold a copy, or the store is reachable"}
	}
	ctx, cancel := context.WithTimeout(ctx, maxHoldAttempts*holdTimeout)
	defer cancel()
	program := req.Program.Key()
	grant := outage.Grant{Turn: req.Reservation.Turn, Tokens: req.Reservation.Tokens, CreatedAt: req.Reservation.CreatedAt}
	h.mu.Lock()
	isComplete := h.isComplete(time.Now())
	h.mu.Unlock()
	if !isComplete && 2*grant.Tokens > req.Budget {
		return "", &NoGrantError{Turn: grant.Turn, Reason: "grants may have been lost, and the turn may use more than half of the budget"}
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

// Settle settles a turn that runs on a grant, and reports whether there is one here that is
// not being written back.
func (h *Holds) Settle(req SettleRequest) bool {
	program := req.Program.Key()
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.writing[program] && h.register.Settle(program, req.Turn, req.Tokens)
}

// Prepare makes sure that a reservation in the store can't miss grants of an outage: the
// grants that are known here are written back, and the returned tokens have to be charged
// for those that may have been lost.
func (h *Holds) Prepare(ctx context.Context, req ReserveRequest) (charge int64, err error) {
	for end := time.Now().Add(syncWait); req.IsUnstored && h.isLearning() && time.Now().Before(end); {
		time.Sleep(writeBackPeriod / 5)
	}
	h.mu.Lock()
	state := h.register.State(req.Program.Key())
	mustCharge := req.IsUnstored && time.Now().Before(h.chargeUntil)
	h.mu.Unlock()
	if len(state.Grants) > 0 {
		if err := h.writeBack(ctx, state); err != nil {
			return 0, errors.Wrap(err, "write grants back")
		}
	}
	if !mustCharge {
		return 0, nil
	}
	if _, _, areAble := h.opts.Holders.Holders(); areAble {
		charge = outage.Limit(req.Reservation.Tokens, req.Budget)
		h.opts.Log.Info("program is charged for grants that may have been lost", "program", req.Program.Key(), "tokens", charge, "budget", req.Budget)
	}
	return charge, nil
}

// isLearning reports whether what this VM may have missed is expected soon.
func (h *Holds) isLearning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.isSynced
}

// Announce tells the holders, once, when a program is closed.
func (h *Holds) Announce(ctx context.Context, p ledger.Program, budget int64) {
	program := p.Key()
	if budget <= 0 || !outage.IsClosedAt(h.opts.Ledger.Committed(program), budget) {
		return
	}
	h.mu.Lock()
	wasClosed := h.register.IsClosed(program)
	h.register.Close(program)
	h.mu.Unlock()
	others, _, areAble := h.opts.Holders.Holders()
	if wasClosed || !areAble {
		return
	}
	needed := (len(others) + 1) / 2 // a majority with this VM
	for range h.callAll(ctx, others, HoldRequest{Close: program}) {
		if needed--; needed == 0 {
			return
		}
	}
	if needed > 0 {
		h.opts.Log.Warn("no majority of the holders knows that a program is closed", "program", program, "missing", needed)
	}
}

// writeBack stores grants and tells the other holders.
func (h *Holds) writeBack(ctx context.Context, state outage.State) error {
	h.mu.Lock()
	h.writing[state.Program] = true
	h.mu.Unlock()
	err := wait(ctx, h.opts.Ledger.WriteBack(state.Program, state.Grants))
	h.mu.Lock()
	delete(h.writing, state.Program)
	if err == nil {
		h.register.Drop(state)
	}
	h.mu.Unlock()
	if err != nil {
		return err
	}
	h.opts.Log.Info("unstored grants written back", "program", state.Program, "grants", len(state.Grants), "tokens", state.Unstored(),
		"oldest_ms", time.Now().UnixMilli()-state.Grants[0].CreatedAt)
	others, _, _ := h.opts.Holders.Holders()
	h.callAll(context.Background(), others, HoldRequest{Drop: []outage.State{state}})
	return nil
}

// Run follows the store's outages and writes grants back until ctx ends.
func (h *Holds) Run(ctx context.Context) error {
	ticker := time.NewTicker(writeBackPeriod)
	defer ticker.Stop()
	var lastSync time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			h.followOutage(now)
			if now.Sub(lastSync) >= syncPeriod && h.needsSync() {
				lastSync = now
				h.sync(ctx, now)
			}
			h.writeBackOldest(ctx, now)
		}
	}
}

func (h *Holds) followOutage(now time.Time) {
	isOut := h.opts.UnreachableFor() > 0
	h.mu.Lock()
	defer h.mu.Unlock()
	if isOut {
		h.isSynced = false
	} else if h.isOut {
		h.outageEnd = now
	}
	h.isOut = isOut
}

// needsSync reports whether this VM has to learn from others: after an outage and, if it is a
// holder, after its start, also while the store is unreachable.
func (h *Holds) needsSync() bool {
	_, isHolder, _ := h.opts.Holders.Holders()
	h.mu.Lock()
	defer h.mu.Unlock()
	return isHolder && !h.register.IsIntact() || !h.isSynced && !h.isOut
}

// sync learns what the other holders know. If half of them have lost nothing, no grant can
// be unknown. Otherwise reservations are charged for ledger.ChargeTime.
func (h *Holds) sync(ctx context.Context, now time.Time) {
	if !h.opts.Holders.IsMembershipKnown() {
		return
	}
	others, isSelf, areAble := h.opts.Holders.Holders()
	if !areAble {
		h.skipSync()
		return
	}
	h.mu.Lock()
	intact, complete, holders := 0, 0, len(others)
	count := func(isIntact, isComplete bool) {
		if isIntact {
			intact++
		}
		if isComplete {
			complete++
		}
	}
	if isSelf {
		holders++
		count(h.register.IsIntact(), h.isComplete(now))
	}
	h.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	for r := range h.callAll(callCtx, others, HoldRequest{Pull: true}) {
		count(r.reply.IsIntact, r.reply.IsComplete)
		h.learn(r.reply)
	}
	hasHalf := func(count int) bool { return count > 0 && 2*count >= holders }
	if isSelf && !hasHalf(intact) && h.opts.UnreachableFor() == 0 && now.Sub(h.started) > scanAge && !h.isIntact() {
		h.scan(ctx)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if hasHalf(intact) && now.Sub(h.started) >= minIntactAge {
		h.register.SetIntact()
	}
	switch {
	case hasHalf(complete):
		h.isSynced = !h.isOut
		h.chargeUntil = time.Time{}
	case !h.isOut && !h.isSynced:
		h.isSynced = true
		h.chargeUntil = now.Add(ledger.ChargeTime)
		h.opts.Log.Warn("grants of an outage may have been lost, programs are charged", "holders", holders, "intact", intact, "complete", complete)
	}
}

// skipSync ends the charge where no grants can have been made: a VM of the earlier build in the
// region rules them out.
func (h *Holds) skipSync() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isSynced = !h.isOut
	h.chargeUntil = time.Time{}
}

func (h *Holds) isIntact() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.register.IsIntact()
}

func (h *Holds) learn(reply HoldReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, state := range reply.States {
		h.register.Learn(state)
	}
	for _, program := range reply.Closed {
		h.register.Close(program)
	}
}

// scan reads from the store which programs are closed, when no other holder knows. It goes
// on where the attempt before has ended: in a region far from the store one attempt does
// not suffice, and repeated reads of all partitions use up the store's rate.
func (h *Holds) scan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	for h.scanned < len(h.opts.Partitions) {
		partition := h.opts.Partitions[h.scanned]
		programs, err := ledger.ClosedPrograms(ctx, h.opts.Store, partition)
		if err != nil {
			h.opts.Log.Warn("balances not read", "partition", partition, "cause", err.Error())
			return
		}
		h.learn(HoldReply{Closed: programs})
		h.scanned++
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.register.SetIntact()
	h.opts.Log.Info("closed programs read from the store", "partitions", h.scanned)
}

// writeBackOldest writes back the oldest state of those whose home is this VM or, long
// after an outage, of all.
func (h *Holds) writeBackOldest(ctx context.Context, now time.Time) {
	h.mu.Lock()
	isOut, states := h.isOut, h.register.States()
	outageEnd := h.outageEnd
	takesForeign := now.Sub(outageEnd) > foreignDelay
	h.mu.Unlock()
	if isOut {
		return
	}
	for _, state := range states {
		writableSince := max(state.Grants[0].CreatedAt, outageEnd.UnixMilli())
		if now.UnixMilli()-writableSince > ledger.MaxGrantAge.Milliseconds() {
			h.opts.Log.Error("grants not written back in time", "program", state.Program, "tokens", state.Unstored())
			h.serve(HoldRequest{Drop: []outage.State{state}})
			continue
		}
		if _, isHome := h.opts.Holders.Home(h.opts.Partition(state.Program)); !isHome && !takesForeign {
			continue
		}
		if err := h.writeBack(ctx, state); err != nil {
			h.opts.Log.Warn("unstored grants not written back yet", "program", state.Program, "cause", err.Error())
		}
		return
	}
}

// Stats returns the number of unstored grants and the age of the oldest.
func (h *Holds) Stats() (grants int, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	grants, oldest := h.register.Stats()
	if grants > 0 {
		age = time.Since(time.UnixMilli(oldest))
	}
	return grants, age
}

// NoGrantError reports that a turn can't run without the store.
type NoGrantError struct {
	Turn   structs.RequestID
	Reason string
}

// Error includes the reason.
func (e *NoGrantError) Error() string {
	return "turn " + string(e.Turn) + " needs the store: " + e.Reason
}
