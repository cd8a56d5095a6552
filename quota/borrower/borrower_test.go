package borrower_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/quota"
	"github.com/endivecourse/endivecourse/quota/borrower"
	"github.com/endivecourse/endivecourse/quota/holder"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

const slots = 16

var domains = []structs.DomainID{"a", "b", "c"}

type snapshot map[structs.AccountID]config.Account

func (s snapshot) Account(id structs.AccountID) (config.Account, bool) {
	a, ok := s[id]
	return a, ok
}

func (s snapshot) Version() uint64 { return 1 }

// ownership owns all slots or points to who does.
type ownership struct {
	held  bool
	owner string
}

func (o ownership) HeldEpoch(structs.Slot) (structs.Epoch, bool) { return 1, o.held }
func (o ownership) OwnerAddr(structs.Slot) string                { return o.owner }
func (o ownership) Changes() <-chan journal.SlotChange           { return nil }

// network calls holders in this process through the codec.
type network struct {
	holders map[string]*holder.Holder
	delay   time.Duration
	down    map[string]bool
	calls   atomic.Int64
}

func (n *network) Call(ctx context.Context, addr, _ string, in, out any) error {
	n.calls.Add(1)
	h := n.holders[addr]
	if h == nil || n.down[addr] {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(n.delay)
	var exchange quota.Exchange
	body, err := msgpack.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if err := msgpack.Unmarshal(body, &exchange); err != nil {
		return errors.Wrap(err, "decode")
	}
	body, err = msgpack.Marshal(h.Exchange(exchange))
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	time.Sleep(n.delay)
	return errors.Wrap(msgpack.Unmarshal(body, out), "decode")
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func clockFrom(start time.Time) func() structs.Instant {
	return func() structs.Instant { return structs.Instant(time.Hour + time.Since(start)) }
}

func newHolder(index int, s quota.Snapshot, o journal.Ownership, now func() structs.Instant) *holder.Holder {
	return holder.New(holder.Options{DomainIndex: index, Domains: len(domains), Slots: slots, Snapshot: s, Ownership: o, Now: now, Log: quiet()})
}

// run starts a borrower in a kernel and returns what ends both.
func run(t *testing.T, components ...kernel.Component) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	k := kernel.New(quiet(), components...)
	go func() { done <- k.Run(ctx, time.Second) }()
	time.Sleep(10 * time.Millisecond)
	return func() {
		cancel()
		assert.NilError(t, <-done)
	}
}

func TestAdmitsTheRateOfAllDomainsAndNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clockFrom(time.Now())
		accounts := snapshot{"acme": {Rate: 50, Burst: 20}}
		net := &network{holders: map[string]*holder.Holder{}, delay: time.Millisecond}
		for i, d := range domains {
			net.holders[string(d)] = newHolder(i, accounts, ownership{held: true}, now)
		}
		// In domain c the gateway first asks a scheduler that only redirects.
		net.holders["c-other"] = newHolder(2, accounts, ownership{owner: "c"}, now)
		b := borrower.New(borrower.Options{
			Self: "gw-1", Domain: "a", Domains: domains, Slots: slots, Snapshot: accounts, Client: net, Now: now, Log: quiet(),
			OwnerAddr: func(d structs.DomainID, _ structs.Slot) string {
				if d == "c" {
					return "c-other"
				}
				return string(d)
			},
		})
		components := []kernel.Component{b}
		for _, d := range domains {
			components = append(components, net.holders[string(d)])
		}
		stop := run(t, components...)
		defer stop()
		time.Sleep(10 * time.Second)

		begin := time.Now()
		admitted, refused := 0, 0
		for time.Since(begin) < 10*time.Second {
			if refusal := b.Admit(t.Context(), "acme"); refusal == nil {
				admitted++
				continue
			} else {
				assert.Equal(t, refusal.Kind, structs.RefusedOverRate)
				assert.Equal(t, refusal.Run, structs.RunNo)
				assert.Assert(t, refusal.RetryAfter > 0)
			}
			refused++
		}
		bound := int(50*time.Since(begin).Seconds() + 20)
		assert.Assert(t, admitted <= bound, "%d of %d", admitted, bound)
		assert.Assert(t, admitted >= bound*9/10, "%d of %d, %d refused", admitted, bound, refused)
	})
}

func TestCutOffDomainServesItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clockFrom(time.Now())
		accounts := snapshot{"acme": {Rate: 30, Burst: 30}}
		net := &network{
			holders: map[string]*holder.Holder{"a": newHolder(0, accounts, ownership{held: true}, now)},
			down:    map[string]bool{"b": true, "c": true},
		}
		b := borrower.New(borrower.Options{
			Self: "gw-1", Domain: "a", Domains: domains, Slots: slots, Snapshot: accounts, Client: net, Now: now, Log: quiet(),
			SchedulerAddrs: func(d structs.DomainID) []string { return []string{string(d)} },
		})
		defer run(t, b, net.holders["a"])()
		time.Sleep(5 * time.Second)
		begin := time.Now()
		admitted := 0
		for time.Since(begin) < 5*time.Second {
			if b.Admit(t.Context(), "acme") == nil {
				admitted++
			}
		}
		bound := int(10*time.Since(begin).Seconds() + 10 + 1)
		assert.Assert(t, admitted <= bound, "%d of %d", admitted, bound)
		assert.Assert(t, admitted >= bound*8/10, "%d of %d", admitted, bound)
	})
}

func TestUnknownAccountIsRefused(t *testing.T) {
	b := borrower.New(borrower.Options{Domains: domains, Slots: slots, Snapshot: snapshot{}, Log: quiet()})
	refusal := b.Admit(t.Context(), "nobody")
	assert.Equal(t, refusal.Kind, structs.RefusedForbidden)
}

func TestExchangeOverTheWire(t *testing.T) {
	accounts := snapshot{"acme": {Rate: 1000, Burst: 1000}}
	server := wire.NewServer(wire.Options{})
	h := newHolder(0, accounts, ownership{held: true}, structs.Now)
	h.RegisterHandlers(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	client := wire.NewClient(wire.Options{})
	b := borrower.New(borrower.Options{
		Self: "gw-1", Domain: "a", Domains: domains[:1], Slots: slots, Snapshot: accounts, Client: client, Log: quiet(),
		SchedulerAddrs: func(structs.DomainID) []string { return []string{listener.Addr().String()} },
	})
	stop := run(t, b, h)
	for b.Admit(t.Context(), "acme") != nil {
	}
	stop()
	client.Close()
	assert.NilError(t, server.Close())
	assert.NilError(t, <-served)
}

// bed is one gateway of domain a before a holder of the whole.
func bed(t *testing.T, account config.Account) (*borrower.Borrower, *network, func()) {
	now := clockFrom(time.Now())
	accounts := snapshot{"acme": account}
	h := holder.New(holder.Options{Domains: 1, Slots: slots, Snapshot: accounts, Ownership: ownership{held: true}, Now: now, Log: quiet()})
	net := &network{holders: map[string]*holder.Holder{"a": h}, delay: time.Millisecond, down: map[string]bool{}}
	b := borrower.New(borrower.Options{
		Self: "gw-1", Domain: "a", Domains: domains[:1], Slots: slots, Snapshot: accounts, Client: net, Now: now, Log: quiet(),
		SchedulerAddrs: func(structs.DomainID) []string { return []string{"a"} },
	})
	stop := run(t, b, h)
	time.Sleep(5 * time.Second)
	return b, net, stop
}

func TestWaitersShareExchanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, net, stop := bed(t, config.Account{Rate: 1000, Burst: 1000})
		defer stop()
		results := make(chan *structs.Refusal, 100)
		for range 100 {
			go func() { results <- b.Admit(t.Context(), "acme") }()
		}
		for range 100 {
			assert.Assert(t, <-results == nil)
		}
		assert.Assert(t, net.calls.Load() <= 10, "%d exchanges", net.calls.Load())
	})
}

func TestIdleLoansAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, net, stop := bed(t, config.Account{Rate: 100, Burst: 100})
		defer stop()
		for range 50 {
			assert.Assert(t, b.Admit(t.Context(), "acme") == nil)
			time.Sleep(20 * time.Millisecond)
		}
		lent := func() (sum quota.Units) {
			for _, l := range net.holders["a"].DumpState().(holder.State).Lenders["acme"] {
				sum += l.Lent.Rate + l.Lent.Burst
			}
			return sum
		}
		assert.Assert(t, lent() > 0)
		time.Sleep(3 * time.Second)
		assert.Equal(t, lent(), quota.Units(0))
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(b.DumpState().(borrower.State).Accounts), 0)
		calls := net.calls.Load()
		time.Sleep(10 * time.Second)
		assert.Equal(t, net.calls.Load(), calls)
		assert.Assert(t, b.Admit(t.Context(), "acme") == nil)
	})
}

func TestLostHoldersAreNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, net, stop := bed(t, config.Account{Rate: 100, Burst: 100})
		defer stop()
		net.down["a"] = true
		refusal := b.Admit(t.Context(), "acme")
		assert.Equal(t, refusal.Kind, structs.RefusedNotReady)
		assert.Equal(t, refusal.Run, structs.RunNo)
		assert.Assert(t, refusal.RetryAfter > 0)
	})
}

func TestLeavingWaiterKeepsNoToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _, stop := bed(t, config.Account{Rate: 0.1, Burst: 1})
		defer stop()
		time.Sleep(10 * time.Second)
		gone, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Equal(t, b.Admit(gone, "acme").Run, structs.RunNo)
		assert.Assert(t, b.Admit(t.Context(), "acme") == nil)
		assert.Equal(t, b.Admit(t.Context(), "acme").Kind, structs.RefusedOverRate)
	})
}

func TestStaleOwnerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := clockFrom(time.Now())
		accounts := snapshot{"acme": {Rate: 100, Burst: 100}}
		h := holder.New(holder.Options{Domains: 1, Slots: slots, Snapshot: accounts, Ownership: ownership{held: true}, Now: now, Log: quiet()})
		net := &network{holders: map[string]*holder.Holder{"a": h}, delay: time.Millisecond}
		b := borrower.New(borrower.Options{
			Self: "gw-1", Domain: "a", Domains: domains[:1], Slots: slots, Snapshot: accounts, Client: net, Now: now, Log: quiet(),
			OwnerAddr:      func(structs.DomainID, structs.Slot) string { return "dead" },
			SchedulerAddrs: func(structs.DomainID) []string { return []string{"dead", "a"} },
		})
		defer run(t, b, h)()
		time.Sleep(5 * time.Second)
		for begin := time.Now(); time.Since(begin) < 5*time.Second; {
			b.Admit(t.Context(), "acme")
		}
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, b.Admit(t.Context(), "acme") == nil)
		}
	})
}
