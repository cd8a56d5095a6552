// Package borrower admits requests at a gateway within the rate limits of their accounts. It
// runs a quota.Borrower for each active account and exchanges messages with the quota
// holders.
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
	// renewCheckInterval is how often loans are checked for renewal.
	renewCheckInterval = 20 * time.Millisecond
	// senderCount is the maximum number of concurrent exchanges.
	senderCount = 16
	// ringSize is the maximum number of queued batches, and of queued wake-ups.
	ringSize = 256
	// defaultMaxWait is how long a request waits for a token by default.
	defaultMaxWait = 250 * time.Millisecond
)

// Sender sends a request and decodes its single reply. *wire.Client implements it.
type Sender interface {
	Call(ctx context.Context, addr, method string, in, out any) error
}

// Options configures a Borrower.
type Options struct {
	Self structs.Incarnation
	// Domain is the gateway's own domain. Domains is the sorted list of all domains, which
	// must be the same in all processes.
	Domain   structs.DomainID
	Domains  []structs.DomainID
	Slots    int
	Snapshot quota.Snapshot
	Client   Sender
	// OwnerAddr returns the address of the slot's owner, or "" if it is not known.
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

// Borrower admits the requests of all accounts at one gateway.
type Borrower struct {
	opts     Options
	location quota.Location
	resolver *ownerResolver
	wakeups  *kernel.Ring[*account]
	batches  *kernel.Ring[batch]

	mu       sync.RWMutex
	accounts map[structs.AccountID]*account
	lastSeq  uint64 // highest sequence number of the retired accounts
}

// New returns a Borrower without accounts. Terms, MaxWait, Now and Log have defaults.
func New(opts Options) *Borrower {
	opts.setDefaults()
	b := &Borrower{
		opts:     opts,
		resolver: newOwnerResolver(opts),
		wakeups:  kernel.NewRing[*account](nil, "quota.kicks", ringSize),
		batches:  kernel.NewRing[batch](nil, "quota.batches", ringSize),
		accounts: make(map[structs.AccountID]*account),
	}
	b.location = quota.Location{
		Domain:      max(0, slices.Index(opts.Domains, opts.Domain)),
		Domains:     len(opts.Domains),
		ShareOffset: int(structs.SlotOf(string(opts.Self), quota.SharesPerDomain)),
	}
	return b
}

// Name returns the component's name.
func (b *Borrower) Name() string { return "quota.borrower" }

// Start starts the workers that renew loans and send requests.
func (b *Borrower) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("quota.renew", b.renewLoop)
	for range senderCount {
		k.Go("quota.send", b.sendLoop)
	}
	return nil
}

// Stop does nothing: the workers end with the kernel.
func (b *Borrower) Stop(context.Context) error { return nil }

// Admit returns nil if a request is within the account's rate and burst, else a refusal. If
// no token is available, it waits for one for up to MaxWait.
func (b *Borrower) Admit(ctx context.Context, id structs.AccountID) *structs.Refusal {
	limit, known := quota.LimitOf(b.opts.Snapshot, id)
	if !known {
		refusedTotal.Inc()
		return structs.Refuse(structs.RefusedForbidden, structs.RunNo, "account %q does not exist", id)
	}
	a, w := b.admitOrQueue(id, limit)
	if w == nil {
		admittedTotal.Inc()
		return nil
	}
	b.wakeups.TryPut(a)
	timer := time.NewTimer(b.opts.MaxWait)
	defer timer.Stop()
	select {
	case <-w.admitted:
	case <-ctx.Done():
	case <-timer.C:
	}
	if refusal := a.leaveQueue(w); refusal != nil {
		refusedTotal.Inc()
		return refusal
	}
	admittedTotal.Inc()
	return nil
}

// admitOrQueue admits or queues a request. It looks up the account again if the account is
// retired in the meantime.
func (b *Borrower) admitOrQueue(id structs.AccountID, limit quota.Limit) (*account, *waiter) {
	for {
		a := b.account(id, limit)
		if w, ok := a.admitOrQueue(b.opts.Now, limit); ok {
			return a, w
		}
	}
}

// account returns the account and creates it if needed.
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
	borrower := quota.NewBorrower(b.opts.Now(), id, b.location, limit, b.opts.Terms)
	borrower.SetFirstSeq(b.lastSeq)
	a = &account{id: id, borrower: borrower}
	b.accounts[id] = a
	return a
}

// retireIdleAccounts removes idle accounts.
func (b *Borrower) retireIdleAccounts() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, a := range b.accounts {
		if last, idle := a.retireIfIdle(b.opts.Now); idle {
			b.lastSeq = max(b.lastSeq, last)
			delete(b.accounts, id)
		}
	}
}

// activeAccounts returns the accounts that have not been retired.
func (b *Borrower) activeAccounts() []*account {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make([]*account, 0, len(b.accounts))
	for _, a := range b.accounts {
		list = append(list, a)
	}
	return list
}

// State is the state of a Borrower in the state dump.
type State struct {
	Accounts map[structs.AccountID]quota.BorrowerState `json:"accounts"`
	Wakeups  kernel.RingState                          `json:"kicks"`
	Batches  kernel.RingState                          `json:"batches"`
}

// DumpState returns a State with all active accounts and the rings.
func (b *Borrower) DumpState() any {
	state := State{
		Accounts: make(map[structs.AccountID]quota.BorrowerState),
		Wakeups:  kernel.RingState{Depth: b.wakeups.Depth(), Cap: b.wakeups.Cap()},
		Batches:  kernel.RingState{Depth: b.batches.Depth(), Cap: b.batches.Cap()},
	}
	for _, a := range b.activeAccounts() {
		state.Accounts[a.id] = a.state(b.opts.Now)
	}
	return state
}
