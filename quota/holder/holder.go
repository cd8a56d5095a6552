// Package holder runs the lenders of the accounts whose slots a scheduler
// owns, and answers the gateways' exchanges.
package holder

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/quota"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// sweepEvery is how often epochs are noted and idle lenders forgotten.
const sweepEvery = 200 * time.Millisecond

// Options configures a Holder.
type Options struct {
	// DomainIndex is the position of the holder's domain among the Domains sorted
	// domains of the deployment. All processes have to agree on both.
	DomainIndex, Domains int
	Slots                int
	Snapshot             quota.Snapshot
	Ownership            journal.Ownership
	Terms                quota.LoanTerms
	Now                  func() structs.Instant
	Log                  *slog.Logger
}

type epoch struct {
	number structs.Epoch
	since  structs.Instant
}

type entry struct {
	lender *quota.Lender
	slot   structs.Slot
	epoch  structs.Epoch
	limit  quota.Limit
}

// Holder is the holder of a failure domain's accounts in one scheduler.
type Holder struct {
	opts    Options
	mu      sync.Mutex
	epochs  map[structs.Slot]epoch
	lenders map[key]*entry
}

// key names one share of an account.
type key struct {
	account structs.AccountID
	share   int
}

// New makes a holder. Terms, Now and Log have defaults.
func New(opts Options) *Holder {
	if opts.Terms.Duration == 0 {
		opts.Terms = quota.DefaultLoanTerms
	}
	if opts.Now == nil {
		opts.Now = structs.Now
	}
	if opts.Log == nil {
		opts.Log = slog.Default()
	}
	return &Holder{opts: opts, epochs: make(map[structs.Slot]epoch), lenders: make(map[key]*entry)}
}

// Name returns the component's name.
func (h *Holder) Name() string { return "quota.holder" }

// RegisterHandlers sets the handler of MethodExchangeQuota.
func (h *Holder) RegisterHandlers(s *wire.Server) {
	wire.HandleUnary(s, structs.MethodExchangeQuota, func(_ context.Context, in quota.Exchange) (quota.ExchangeReply, error) {
		return h.Exchange(in), nil
	})
}

// Start starts the sweep.
func (h *Holder) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("quota.sweep", h.sweepLoop)
	return nil
}

// Stop does nothing: the duty ends with the kernel.
func (h *Holder) Stop(context.Context) error { return nil }

func (h *Holder) sweepLoop(ctx context.Context) error {
	for {
		h.sweep()
		jitter := rand.N(sweepEvery / 4)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(sweepEvery + jitter):
		}
	}
}

// Exchange processes one gateway's requests.
func (h *Holder) Exchange(in quota.Exchange) quota.ExchangeReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	exchanges.Inc()
	reply := quota.ExchangeReply{Grants: make([]quota.AccountGrant, 0, len(in.Requests))}
	for i := range in.Requests {
		if grant, ok := h.handle(in.From, &in.Requests[i]); ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply
}

// handle reads the clock before it asks for the ownership, so that the
// decision is taken at an instant at which the slot was owned, even when the
// process is paused in between.
func (h *Holder) handle(from structs.Incarnation, in *quota.AccountRequest) (quota.AccountGrant, bool) {
	out := quota.AccountGrant{Account: in.Account, Share: in.Share}
	if in.Share < 0 || quota.DomainOfShare(in.Share) != h.opts.DomainIndex {
		return out, false
	}
	slot := quota.SlotOfShare(in.Account, in.Share, h.opts.Slots)
	now := h.opts.Now()
	since, held := h.note(slot)
	if !held {
		out.IsRedirect = true
		out.Owner = h.opts.Ownership.OwnerAddr(slot)
		redirects.Inc()
		return out, true
	}
	limit, known := quota.LimitOf(h.opts.Snapshot, in.Account)
	if !known {
		return out, false
	}
	e := h.entry(key{account: in.Account, share: in.Share}, slot, since, limit)
	if limit != e.limit {
		e.lender.SetLimit(now, limit)
		e.limit = limit
	}
	grant, ok, err := e.lender.Handle(now, from, in.LoanRequest)
	if err != nil {
		violations.Inc()
		h.opts.Log.Error("quota invariant violated", "account", in.Account, "error", err)
		return out, false
	}
	countGrant(in.LoanRequest, grant)
	out.Grant = grant
	return out, ok
}

// note records when the process first saw itself own the slot's epoch. The
// clock is read after the ownership, so that the record is not too early.
func (h *Holder) note(slot structs.Slot) (epoch, bool) {
	number, held := h.opts.Ownership.HeldEpoch(slot)
	if !held {
		return epoch{}, false
	}
	e, ok := h.epochs[slot]
	if !ok || e.number != number {
		e = epoch{number: number, since: h.opts.Now()}
		h.epochs[slot] = e
	}
	return e, true
}

func (h *Holder) entry(id key, slot structs.Slot, since epoch, limit quota.Limit) *entry {
	e := h.lenders[id]
	if e == nil || e.epoch != since.number {
		base := quota.BaseShare(id.account, id.share, h.opts.Domains)
		e = &entry{lender: quota.NewLender(since.since, base, limit, h.opts.Terms), slot: slot, epoch: since.number, limit: limit}
		h.lenders[id] = e
	}
	return e
}

// sweep notes new epochs and forgets the lenders that lend nothing or belong
// to an epoch that has ended.
func (h *Holder) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for slot := range h.opts.Slots {
		h.note(structs.Slot(slot))
	}
	now := h.opts.Now()
	for id, e := range h.lenders {
		current, held := h.note(e.slot)
		if !held || current.number != e.epoch || e.lender.IsIdle(now) {
			delete(h.lenders, id)
		}
	}
}

// State is the holder's part of the state dump.
type State struct {
	Shares  int                                       `json:"shares"`
	Lenders map[structs.AccountID][]quota.LenderState `json:"lenders"`
}

// DumpState returns the state of all lenders.
func (h *Holder) DumpState() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	state := State{Shares: len(h.lenders), Lenders: make(map[structs.AccountID][]quota.LenderState)}
	for id, e := range h.lenders {
		state.Lenders[id.account] = append(state.Lenders[id.account], e.lender.State(now))
	}
	return state
}
