// Package forward finds the scheduler that owns a key (a program ID or an account ID) and
// sends requests to it. It learns the owners of slots from the schedulers' refusals, and
// retries only requests that can't run twice.
package forward

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// Sender sends requests to schedulers. Its errors are those of wire.Client.
type Sender interface {
	Call(ctx context.Context, addr, method string, in, out any) error
	Stream(ctx context.Context, addr, method string, in any) (ReplyStream, error)
}

// ReplyStream reads the replies to one request, like wire.Stream.
type ReplyStream interface {
	Recv(out any) error
	Close() error
}

// WireSender adapts a wire.Client to Sender.
type WireSender struct{ *wire.Client }

// Stream sends a request whose replies are read with Recv.
func (c WireSender) Stream(ctx context.Context, addr, method string, in any) (ReplyStream, error) {
	stream, err := c.Client.Stream(ctx, addr, method, in)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// Options configures a Forwarder. Sender, Addresses and Slots are required.
type Options struct {
	Sender Sender
	// Addresses returns the wire addresses of a failure domain's schedulers.
	Addresses func(domain structs.DomainID) []string
	Slots     int                    // number of slots in each failure domain
	Clock     func() structs.Instant // nil means structs.Now
	Random    func() float64         // in [0, 1); nil means math/rand
}

// Forwarder sends requests to the owners of keys.
type Forwarder struct {
	opts        Options
	retryBudget *retryBudget

	mu      sync.Mutex
	owners  map[domainSlot]string
	outages map[domainSlot]*outage
}

// domainSlot identifies one slot of one failure domain.
type domainSlot struct {
	domain structs.DomainID
	slot   structs.Slot
}

// New returns a forwarder that doesn't know any owners yet.
func New(opts Options) *Forwarder {
	if opts.Clock == nil {
		opts.Clock = structs.Now
	}
	if opts.Random == nil {
		opts.Random = rand.Float64
	}
	return &Forwarder{
		opts:        opts,
		retryBudget: newRetryBudget(opts.Clock()),
		owners:      make(map[domainSlot]string),
		outages:     make(map[domainSlot]*outage),
	}
}

// Call sends a request to the owner of key and decodes the reply into out. An idempotent
// request is sent again after an incomplete reply. Its error is a *structs.Refusal.
func (f *Forwarder) Call(ctx context.Context, domain structs.DomainID, key, method string, idempotent bool, in, out any) error {
	attempts := f.BeginRequest(domain, key)
	defer attempts.End()
	for {
		addr, refusal := attempts.NextAddr()
		if refusal != nil {
			return refusal
		}
		attempts.RecordSend()
		err := f.opts.Sender.Call(ctx, addr, method, in, out)
		if err == nil {
			attempts.RecordOwner(addr)
			return nil
		}
		if err := attempts.PrepareRetry(ctx, addr, err, idempotent); err != nil {
			return err
		}
	}
}

// OpenStream sends one attempt of a request with a stream of replies.
func (f *Forwarder) OpenStream(ctx context.Context, addr, method string, in any) (ReplyStream, error) {
	return f.opts.Sender.Stream(ctx, addr, method, in)
}

// BeginRequest returns the Attempts of a new request. The caller must call End on it.
func (f *Forwarder) BeginRequest(domain structs.DomainID, key string) *Attempts {
	f.retryBudget.addRequest(f.opts.Clock())
	return &Attempts{
		forwarder:  f,
		domainSlot: domainSlot{domain: domain, slot: structs.SlotOf(key, f.opts.Slots)},
		startIndex: int(f.opts.Random() * startIndexRange),
	}
}

// startIndexRange is the range of the random index of the first scheduler to try.
const startIndexRange = 1 << 16

// Owner returns the address of a slot's owner, or "" if it is not known.
func (f *Forwarder) Owner(domain structs.DomainID, slot structs.Slot) string {
	return f.owner(domainSlot{domain: domain, slot: slot})
}

func (f *Forwarder) owner(s domainSlot) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners[s]
}

func (f *Forwarder) setOwner(s domainSlot, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owners[s] = addr
}

// removeOwner forgets the owner of a slot if it still is addr.
func (f *Forwarder) removeOwner(s domainSlot, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owners[s] == addr {
		delete(f.owners, s)
	}
}

// State is the forwarder's part of the state dump.
type State struct {
	KnownOwners int     `json:"known_owners"`
	Outages     int     `json:"outages"` // slots that no scheduler serves
	RetryBudget float64 `json:"retry_budget"`
}

// State returns the forwarder's state.
func (f *Forwarder) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return State{KnownOwners: len(f.owners), Outages: len(f.outages), RetryBudget: f.retryBudget.remaining()}
}
