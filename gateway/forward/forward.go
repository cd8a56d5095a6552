// Package forward finds the scheduler that owns a key (a program ID or an
// account ID) and sends requests to it. It remembers the owners of slots from
// the refusals of schedulers and retries only what cannot run twice.
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

// ReplyStream are the replies to one request, as of wire.Stream.
type ReplyStream interface {
	Recv(out any) error
	Close() error
}

// WireSender makes a Caller of a wire.Client.
type WireSender struct{ *wire.Client }

// Stream sends a request whose replies are read with Recv.
func (c WireSender) Stream(ctx context.Context, addr, method string, in any) (ReplyStream, error) {
	stream, err := c.Client.Stream(ctx, addr, method, in)
	if err != nil {
		return nil, err
	}
	return stream, nil
}

// Options configures a Forwarder. Caller, Addresses and Slots are required.
type Options struct {
	Sender Sender
	// Addresses returns the wire addresses of a failure domain's schedulers.
	Addresses func(domain structs.DomainID) []string
	Slots     int
	Clock     func() structs.Instant // nil means structs.Now
	Random    func() float64         // in [0, 1); nil means math/rand
}

// Forwarder sends requests to the owners of keys.
type Forwarder struct {
	opts   Options
	budget *budget

	mu      sync.Mutex
	owners  map[place]string
	outages map[place]*outage
}

// place is one slot of one failure domain.
type place struct {
	domain structs.DomainID
	slot   structs.Slot
}

// New makes a forwarder that knows no owner.
func New(opts Options) *Forwarder {
	if opts.Clock == nil {
		opts.Clock = structs.Now
	}
	if opts.Random == nil {
		opts.Random = rand.Float64
	}
	return &Forwarder{
		opts:    opts,
		budget:  newBudget(opts.Clock()),
		owners:  make(map[place]string),
		outages: make(map[place]*outage),
	}
}

// Call sends a request to the owner of key and decodes its reply into out. An
// idempotent request is also sent again after its reply was cut. Its error is
// a *structs.Refusal.
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

// OpenStream opens the stream of one attempt.
func (f *Forwarder) OpenStream(ctx context.Context, addr, method string, in any) (ReplyStream, error) {
	return f.opts.Sender.Stream(ctx, addr, method, in)
}

// BeginRequest starts the attempts of one request, which End ends.
func (f *Forwarder) BeginRequest(domain structs.DomainID, key string) *Attempts {
	f.budget.request(f.opts.Clock())
	return &Attempts{
		forwarder: f,
		place:     place{domain: domain, slot: structs.SlotOf(key, f.opts.Slots)},
		first:     int(f.opts.Random() * firstSpread),
	}
}

// firstSpread is the range from which the first address is drawn.
const firstSpread = 1 << 16

// Owner returns the address of a slot's owner as far as known, else "".
func (f *Forwarder) Owner(domain structs.DomainID, slot structs.Slot) string {
	return f.owner(place{domain: domain, slot: slot})
}

func (f *Forwarder) owner(p place) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.owners[p]
}

func (f *Forwarder) learn(p place, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.owners[p] = addr
}

// unlearn drops an owner if it is still the given one.
func (f *Forwarder) unlearn(p place, addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owners[p] == addr {
		delete(f.owners, p)
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
	return State{KnownOwners: len(f.owners), Outages: len(f.outages), RetryBudget: f.budget.left()}
}
