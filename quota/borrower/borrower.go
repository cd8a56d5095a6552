// Package borrower admits requests at a gateway: it runs a quota.Borrower for
// each account in use and exchanges messages with the holders.
package borrower

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/quota"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// tickEvery is how often loans are looked at for renewal.
	tickEvery = 20 * time.Millisecond
	// senders is how many exchanges may be under way at once.
	senders = 16
	// ringDepth bounds batches and kicks that wait.
	ringDepth = 256
	// defaultMaxWait is how long a request waits for a token.
	defaultMaxWait = 250 * time.Millisecond
)

// Sender sends a request and decodes its only reply; *wire.Client is one.
type Sender interface {
	Call(ctx context.Context, addr, method string, in, out any) error
}

// Options configures a Borrower.
type Options struct {
	Self structs.Incarnation
	// Domain is the gateway's own domain; Domains are all domains of the
	// deployment, sorted. All processes have to agree on them.
	Domain   structs.DomainID
	Domains  []structs.DomainID
	Slots    int
	Snapshot quota.Snapshot
	Client   Sender
	// OwnerAddr returns the address of the slot's owner as far as known, else "".
	OwnerAddr func(domain structs.DomainID, slot structs.Slot) string
	// SchedulerAddrs returns the addresses of a domain's schedulers.
	SchedulerAddrs func(domain structs.DomainID) []string
	Terms          quota.LoanTerms
	MaxWait        time.Duration
	Now            func() structs.Instant
	Log            *slog.Logger
}

func (o *Options) setDefaults() {
	if o.Terms.Duration == 0 {
		o.Terms = quota.DefaultLoanTerms
	}
	if o.MaxWait == 0 {
		o.MaxWait = defaultMaxWait
	}
	if o.Now == nil {
		o.Now = structs.Now
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
}

// Borrower admits the requests of one gateway.
type Borrower struct {
	opts    Options
	place   quota.Location
	routes  *routes
	kicks   *kernel.Ring[*account]
	batches *kernel.Ring[batch]

	mu       sync.RWMutex
	accounts map[structs.AccountID]*account
	lastSeq  uint64 // of accounts that were forgotten
}

// New makes a borrower. Terms, MaxWait, Now and Log have defaults.
func New(opts Options) *Borrower {
	opts.setDefaults()
	b := &Borrower{
		opts:     opts,
		routes:   newRoutes(opts),
		kicks:    kernel.NewRing[*account](nil, "quota.kicks", ringDepth),
		batches:  kernel.NewRing[batch](nil, "quota.batches", ringDepth),
		accounts: make(map[structs.AccountID]*account),
	}
	b.place = quota.Location{
		Domain:      max(0, slices.Index(opts.Domains, opts.Domain)),
		Domains:     len(opts.Domains),
		ShareOffset: int(structs.SlotOf(string(opts.Self), quota.SharesPerDomain)),
	}
	return b
}

// Name returns the component's name.
func (b *Borrower) Name() string { return "quota.borrower" }

// Start starts the duties.
func (b *Borrower) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("quota.renew", b.renewLoop)
	for range senders {
		k.Go("quota.send", b.sendLoop)
	}
	return nil
}

// Stop does nothing: the duties end with the kernel.
func (b *Borrower) Stop(context.Context) error { return nil }

// Admit returns nil when the request is within the account's rate and burst.
// It waits for a token for a short time.
func (b *Borrower) Admit(ctx context.Context, id structs.AccountID) *structs.Refusal {
	limit, known := quota.LimitOf(b.opts.Snapshot, id)
	if !known {
		refused.Inc()
		return structs.Refuse(structs.RefusedForbidden, structs.RunNo, "account %q does not exist", id)
	}
	a, w := b.offer(id, limit)
	if w == nil {
		admitted.Inc()
		return nil
	}
	b.kicks.TryPut(a)
	timer := time.NewTimer(b.opts.MaxWait)
	defer timer.Stop()
	select {
	case <-w.admitted:
	case <-ctx.Done():
	case <-timer.C:
	}
	if refusal := a.leave(w); refusal != nil {
		refused.Inc()
		return refusal
	}
	admitted.Inc()
	return nil
}

// offer looks the account up until it finds one that was not forgotten in the
// meantime.
func (b *Borrower) offer(id structs.AccountID, limit quota.Limit) (*account, *waiter) {
	for {
		a := b.account(id, limit)
		if w, ok := a.offer(b.opts.Now, limit); ok {
			return a, w
		}
	}
}

func (b *Borrower) account(id structs.AccountID, limit quota.Limit) *account {
	b.mu.RLock()
	a := b.accounts[id]
	b.mu.RUnlock()
	if a != nil {
		return a
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a = b.accounts[id]; a != nil {
		return a
	}
	core := quota.NewBorrower(b.opts.Now(), id, b.place, limit, b.opts.Terms)
	core.SetFirstSeq(b.lastSeq)
	a = &account{id: id, core: core}
	b.accounts[id] = a
	return a
}

// forget drops accounts that are idle.
func (b *Borrower) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, a := range b.accounts {
		if last, idle := a.retire(b.opts.Now); idle {
			b.lastSeq = max(b.lastSeq, last)
			delete(b.accounts, id)
		}
	}
}

// inUse lists the accounts in use.
func (b *Borrower) inUse() []*account {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make([]*account, 0, len(b.accounts))
	for _, a := range b.accounts {
		list = append(list, a)
	}
	return list
}

// State is the borrower's part of the state dump.
type State struct {
	Accounts map[structs.AccountID]quota.BorrowerState `json:"accounts"`
	Wakeups  kernel.RingState                          `json:"kicks"`
	Batches  kernel.RingState                          `json:"batches"`
}

// DumpState returns the state of all accounts in use and of the rings.
func (b *Borrower) DumpState() any {
	state := State{
		Accounts: make(map[structs.AccountID]quota.BorrowerState),
		Wakeups:  kernel.RingState{Depth: b.kicks.Depth(), Cap: b.kicks.Cap()},
		Batches:  kernel.RingState{Depth: b.batches.Depth(), Cap: b.batches.Cap()},
	}
	for _, a := range b.inUse() {
		state.Accounts[a.id] = a.state(b.opts.Now)
	}
	return state
}
