package conversation

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// homeNoticeTime is how long a home VM that still reaches the store waits to notice an
	// outage that another VM reports: one round of digests and a margin. A refused turn waits
	// 1.3 s before it is sent again. It also waits that long for the end of its promise to grant
	// nothing. It is below storeTimeout.
	homeNoticeTime = 600 * time.Millisecond
	// voteNoticeTime is the same for a holder that is asked for its vote. It ends before
	// holdTimeout, so that the vote is not cast after the home VM has given up the attempt.
	voteNoticeTime   = 200 * time.Millisecond
	noticePollPeriod = 10 * time.Millisecond
	// promiseSpread is how much later than that of the home VM the promises of other holders may end:
	// VMs notice an outage one after the other.
	promiseSpread = 2 * time.Second
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
	// syncPeriod is the time between two attempts to learn from the other holders.
	syncPeriod = 300 * time.Millisecond
	// minLossAge is the age from which a process that learned nothing from other holders records
	// that grants may have been lost.
	minLossAge = minIntactAge
	// minScanAge is the age from which a process reads the closed programs from the store if it
	// learned nothing from other holders. Reservations of programs that were closed before have been
	// stored by then.
	minScanAge = 4 * time.Second
	// maxScanDelay is how much longer the other holders wait for the one that reads first.
	maxScanDelay = 4 * time.Second
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
	// Promise asks to grant nothing for outage.PromiseTime. IsRecorded means that the region's
	// record is in the store: without it, holders grant nothing at all.
	Promise    bool     `msgpack:"p,omitempty"`
	IsRecorded bool     `msgpack:"r,omitempty"`
	Joined     []string `msgpack:"j,omitempty"`
}

// HoldReply answers a HoldRequest.
type HoldReply struct {
	Verdict  outage.Verdict `msgpack:"v,omitempty"`
	Known    outage.State   `msgpack:"k,omitempty"` // with outage.Outdated
	IsIntact bool           `msgpack:"i,omitempty"`
	// KnowsGrants means that the holder knows all grants that it has accepted, except for those of
	// the loss that Region tells.
	KnowsGrants bool                `msgpack:"w,omitempty"`
	Region      outage.RegionRecord `msgpack:"r,omitempty"`
	// IsRecorded means that Region is in the store. Joined are the regions that have a record there.
	IsRecorded bool     `msgpack:"o,omitempty"`
	Joined     []string `msgpack:"j,omitempty"`
	// HasScanned means that the holder knows the closed programs from the store.
	HasScanned bool `msgpack:"z,omitempty"`
	// PromiseLeft is how long the holder has promised to grant nothing.
	PromiseLeft time.Duration `msgpack:"t,omitempty"`
	// HasPromised answers Promise.
	HasPromised bool           `msgpack:"p,omitempty"`
	States      []outage.State `msgpack:"s,omitempty"`
	Closed      []string       `msgpack:"c,omitempty"`
}

// Holders finds and calls the holders of this region.
type Holders interface {
	Home(partition string) (vm structs.VMID, isSelf bool)
	// Holders returns the other holders, whether this VM is one, and whether all of them
	// can hold grants.
	Holders() (vms []structs.VMID, isSelf, areAble bool)
	// HoldersOf returns the holders of another region, and whether all of them can hold grants.
	HoldersOf(region string) (vms []structs.VMID, areAble bool)
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
	// Region is that of this VM.
	Region string
	// MayGrant reports whether there are turns that may run on a grant; nil means that there are.
	MayGrant func() bool
	// UnreachableFor returns the time for which no VM has reached the store, 0 if it is
	// reachable.
	UnreachableFor func() time.Duration
	FirstStart     bool
	// Started is when this process started, by its monotonic clock; zero means now. What an earlier
	// process of the VM did ended before.
	Started time.Time
	Log     *slog.Logger
}

// Holds grants tokens while the store is unreachable, and writes the grants back
// afterwards. The decisions are those of package outage.
type Holds struct {
	opts    HoldOptions
	started time.Time

	mu        sync.Mutex
	register  *outage.Register
	outageEnd time.Time
	isOut     bool
	region    regionEvidence
	// promisedUntil is the end of the promise to grant nothing.
	promisedUntil time.Time
	// scanned is the number of partitions whose closed programs are read. Only Run uses it.
	scanned int
	// hasScanned is whether this process has read the closed programs or has learned them from one
	// that has.
	hasScanned bool
}

// NewHolds returns Holds without grants.
func NewHolds(opts HoldOptions) *Holds {
	if opts.Started.IsZero() {
		opts.Started = time.Now()
	}
	if opts.MayGrant == nil {
		opts.MayGrant = func() bool { return true }
	}
	h := &Holds{opts: opts, started: opts.Started, register: outage.NewRegister(opts.FirstStart)}
	h.region.isFirstStart = opts.FirstStart
	return h
}

// RegionOf returns the region that grants tokens to a program: one of those that have a record in
// the store, so that the grants of several regions can't add up.
func (h *Holds) RegionOf(program string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.regionOf(program)
}

// regionOf is RegionOf. The caller holds the lock.
func (h *Holds) regionOf(program string) string {
	best, bestHash := h.opts.Region, uint64(0)
	for _, region := range h.region.joined {
		if hash := xxhash.Sum64String(region + "\x00" + program); hash > bestHash {
			best, bestHash = region, hash
		}
	}
	return best
}

// RegisterHolds registers the handler of MethodHold.
func RegisterHolds(server *wire.Server, holds func() *Holds) {
	wire.HandleUnary(server, MethodHold, func(ctx context.Context, req HoldRequest) (HoldReply, error) {
		return holds().serveCall(ctx, req), nil
	})
}

// serveCall serves another holder, which knows of an outage if it asks for a vote.
func (h *Holds) serveCall(ctx context.Context, req HoldRequest) HoldReply {
	if req.Offer != nil {
		h.awaitOutage(ctx, voteNoticeTime)
	}
	return h.serve(req)
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
		if state := h.register.State(req.Close); len(state.Grants) > 0 {
			reply.States = []outage.State{state}
		}
	}
	if req.Void != nil {
		for _, g := range req.Void.Grants {
			h.register.Void(req.Void.Program, g.Turn)
		}
	}
	for _, state := range req.Drop {
		h.register.Drop(state)
	}
	if req.Promise && !h.isOut {
		h.promise(time.Now())
		h.learnJoined(req.Joined, req.IsRecorded)
		reply.HasPromised = true
	}
	reply.IsIntact, reply.KnowsGrants, reply.HasScanned, reply.Region = h.register.IsIntact(), h.knowsGrants(), h.hasScanned, h.region.record
	reply.PromiseLeft = max(0, time.Until(h.promisedUntil))
	reply.IsRecorded, reply.Joined = h.region.isRecorded, h.region.joined
	if req.Pull {
		reply.States, reply.Closed = h.register.States(), h.register.ClosedPrograms()
	}
	return reply
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
