// Package holder is the quota holder of a scheduler: it runs the lenders of the shares whose
// slots the scheduler owns, and answers the gateways' loan requests.
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

// sweepInterval is how often epochs are recorded and idle lenders dropped.
const sweepInterval = 200 * time.Millisecond

// Options configures a Holder.
type Options struct {
	// DomainIndex is the index of the holder's domain in the sorted list of domains, and
	// Domains is their number. All processes must use the same list.
	DomainIndex, Domains int
	Slots                int
	Snapshot             quota.Snapshot
	Ownership            journal.Ownership
	Terms                quota.LoanTerms
	Now                  func() structs.Instant
	Log                  *slog.Logger
}

// epoch is an epoch of a slot's ownership and the time at which this process first saw it.
type epoch struct {
	number    structs.Epoch
	firstSeen structs.Instant
}

// lenderEntry is the lender of a share, with its slot, its epoch and its current limit.
type lenderEntry struct {
	lender *quota.Lender
	slot   structs.Slot
	epoch  structs.Epoch
	limit  quota.Limit
}

// Holder runs the lenders of one scheduler.
type Holder struct {
	opts    Options
	mu      sync.Mutex
	epochs  map[structs.Slot]epoch
	lenders map[shareKey]*lenderEntry
}

// shareKey identifies one share of an account.
type shareKey struct {
	account structs.AccountID
	share   int
}

// New returns a Holder without lenders. Terms, Now and Log have defaults.
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
	return &Holder{opts: opts, epochs: make(map[structs.Slot]epoch), lenders: make(map[shareKey]*lenderEntry)}
}

// Name returns the component's name.
func (h *Holder) Name() string { return "quota.holder" }

// RegisterHandlers registers the handler of structs.MethodExchangeQuota.
func (h *Holder) RegisterHandlers(s *wire.Server) {
	wire.HandleUnary(s, structs.MethodExchangeQuota, func(_ context.Context, in quota.Exchange) (quota.ExchangeReply, error) {
		return h.Exchange(in), nil
	})
}

// Start starts the sweep worker.
func (h *Holder) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("quota.sweep", h.sweepLoop)
	return nil
}

// Stop does nothing: the worker ends with the kernel.
func (h *Holder) Stop(context.Context) error { return nil }

func (h *Holder) sweepLoop(ctx context.Context) error {
	for {
		h.sweep()
		jitter := rand.N(sweepInterval / 4)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(sweepInterval + jitter):
		}
	}
}

// Exchange processes the loan requests of one gateway.
func (h *Holder) Exchange(in quota.Exchange) quota.ExchangeReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	exchangesTotal.Inc()
	reply := quota.ExchangeReply{Grants: make([]quota.AccountGrant, 0, len(in.Requests))}
	for i := range in.Requests {
		if grant, ok := h.handleRequest(in.From, &in.Requests[i]); ok {
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return reply
}

// handleRequest processes one loan request. It returns false if there is no reply. It reads
// the clock before it checks the ownership: the decision then uses a time at which the slot
// was owned, even if the process is paused between the two.
func (h *Holder) handleRequest(from structs.Incarnation, in *quota.AccountRequest) (quota.AccountGrant, bool) {
	out := quota.AccountGrant{Account: in.Account, Share: in.Share}
	if in.Share < 0 || quota.DomainOfShare(in.Share) != h.opts.DomainIndex {
		return out, false
	}
	slot := quota.SlotOfShare(in.Account, in.Share, h.opts.Slots)
	now := h.opts.Now()
	current, held := h.recordEpoch(slot)
	if !held {
		out.IsRedirect = true
		out.Owner = h.opts.Ownership.OwnerAddr(slot)
		redirectsTotal.Inc()
		return out, true
	}
	limit, known := quota.LimitOf(h.opts.Snapshot, in.Account)
	if !known {
		return out, false
	}
	e := h.lenderEntry(shareKey{account: in.Account, share: in.Share}, slot, current, limit)
	if limit != e.limit {
		e.lender.SetLimit(now, limit)
		e.limit = limit
	}
	grant, ok, err := e.lender.Handle(now, from, in.LoanRequest)
	if err != nil {
		violationsTotal.Inc()
		h.opts.Log.Error("quota invariant violated", "account", in.Account, "error", err)
		return out, false
	}
	countGrant(in.LoanRequest, grant)
	out.Grant = grant
	return out, ok
}

// recordEpoch returns the current epoch of the slot, or false if the process does not own
// the slot. It records when the epoch was first seen. The clock is read after the
// ownership, so that the recorded time is not before the start of the epoch.
func (h *Holder) recordEpoch(slot structs.Slot) (epoch, bool) {
	number, held := h.opts.Ownership.HeldEpoch(slot)
	if !held {
		return epoch{}, false
	}
	e, ok := h.epochs[slot]
	if !ok || e.number != number {
		e = epoch{number: number, firstSeen: h.opts.Now()}
		h.epochs[slot] = e
	}
	return e, true
}

// lenderEntry returns the share's lender in the current epoch and creates it if needed.
func (h *Holder) lenderEntry(id shareKey, slot structs.Slot, current epoch, limit quota.Limit) *lenderEntry {
	e := h.lenders[id]
	if e == nil || e.epoch != current.number {
		base := quota.BaseShare(id.account, id.share, h.opts.Domains)
		e = &lenderEntry{lender: quota.NewLender(current.firstSeen, base, limit, h.opts.Terms), slot: slot, epoch: current.number, limit: limit}
		h.lenders[id] = e
	}
	return e
}

// sweep records new epochs and drops lenders that are idle or belong to an epoch that has
// ended.
func (h *Holder) sweep() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for slot := range h.opts.Slots {
		h.recordEpoch(structs.Slot(slot))
	}
	now := h.opts.Now()
	for id, e := range h.lenders {
		current, held := h.recordEpoch(e.slot)
		if !held || current.number != e.epoch || e.lender.IsIdle(now) {
			delete(h.lenders, id)
		}
	}
}

// State is the state of a Holder in the state dump.
type State struct {
	Shares  int                                       `json:"shares"`
	Lenders map[structs.AccountID][]quota.LenderState `json:"lenders"`
}

// DumpState returns a State with all lenders.
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
