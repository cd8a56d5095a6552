package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	simDomains = 3
	simVMs     = 3
	simShares  = simDomains * SharesPerDomain
	maxWait    = 250 * time.Millisecond
	simTick    = 10 * time.Millisecond
	simDrift   = 0.01 // MaxClockDrift of the loan terms
)

// bucket is a global token bucket without delay, with which the fleet is compared.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

func (b *bucket) advance(now time.Duration, l Limit) {
	b.tokens = min(l.Burst, b.tokens+l.Rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

type event struct {
	runAt time.Duration
	seq   int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].runAt < h[j].runAt || h[i].runAt == h[j].runAt && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// proc is a process with its clock, its incarnation, and the events that arrived while it
// was frozen.
type proc struct {
	domain   int
	name     structs.Incarnation
	offset   time.Duration
	speed    float64
	isDead   bool
	isFrozen bool
	backlog  []func()
	limit    Limit
}

func (p *proc) now(t time.Duration) structs.Instant {
	return structs.Instant(p.offset + time.Duration(float64(t)*p.speed))
}

// waiter is a request that waits for a token. wouldAdmit tells whether the ideal bucket had
// a token for it.
type waiter struct {
	until      time.Duration
	wouldAdmit bool
}

type gateway struct {
	*proc
	borrower *Borrower
	waiters  []waiter
}

type holder struct {
	*proc
	lenders   [simShares]*Lender       // nil for shares that this process never held
	leaseEnds [simShares]time.Duration // of the leases of the shares' slots
}

type counts struct {
	offered, admitted, refused, wrongful                int
	abandoned                                           int // requests that waited at a gateway when it was killed
	messages, lost, duplicated, delayed                 int
	kills, freezes, partitions, takeovers, limitChanges int
	violations                                          int
	firstViolation                                      string
}

func (c *counts) add(o counts) {
	c.offered += o.offered
	c.admitted += o.admitted
	c.refused += o.refused
	c.wrongful += o.wrongful
	c.abandoned += o.abandoned
	c.messages += o.messages
	c.lost += o.lost
	c.duplicated += o.duplicated
	c.delayed += o.delayed
	c.kills += o.kills
	c.freezes += o.freezes
	c.partitions += o.partitions
	c.takeovers += o.takeovers
	c.limitChanges += o.limitChanges
	c.violations += o.violations
	if c.firstViolation == "" {
		c.firstViolation = o.firstViolation
	}
}

// fleet simulates all gateways and quota holders for one account.
type fleet struct {
	rng             *rand.Rand
	t               time.Duration
	events          eventHeap
	seq             int
	account         structs.AccountID
	limit           Limit
	ruleFaults      ruleFaults
	gateways        [simDomains * simVMs]*gateway
	holders         [simDomains * simVMs]*holder
	holderOf        [simShares]int // index of the holder of each share
	isCut           [simDomains][simDomains]bool
	injectsFaults   bool
	hasLongTimeouts bool   // gateways wait long for replies, so that delayed ones are applied
	boundBucket     bucket // takes a token for each admitted request; must not become negative
	idealBucket     bucket // takes a token for each request that it has one for
	counts          counts
	processCount    int
}

func newFleet(seed uint64, limit Limit, ruleFaults ruleFaults, injectsFaults bool) *fleet {
	f := &fleet{
		rng:             rand.New(rand.NewPCG(seed, 1)),
		account:         structs.AccountID(fmt.Sprintf("account-%d", seed%7)),
		limit:           limit,
		ruleFaults:      ruleFaults,
		injectsFaults:   injectsFaults,
		hasLongTimeouts: injectsFaults && seed%2 == 0,
	}
	f.boundBucket.tokens, f.idealBucket.tokens = limit.Burst, limit.Burst
	for i := range f.gateways {
		f.gateways[i] = f.newGateway(i / simVMs)
		f.holders[i] = &holder{proc: f.newProc(i / simVMs)}
	}
	for d := range f.holderOf {
		f.startEpoch(d, DomainOfShare(d)*simVMs+d%simVMs)
	}
	f.scheduleEvery(simTick, f.tick)
	return f
}

func (f *fleet) newProc(domain int) *proc {
	f.processCount++
	return &proc{
		domain: domain,
		name:   structs.Incarnation(fmt.Sprintf("%d", f.processCount)),
		offset: time.Duration(f.rng.Int64N(int64(time.Hour))),
		speed:  1 + simDrift*(2*f.rng.Float64()-1),
		limit:  f.limit,
	}
}

func (f *fleet) newGateway(domain int) *gateway {
	p := f.newProc(domain)
	b := NewBorrower(p.now(f.t), f.account, Location{Domain: domain, Domains: simDomains, ShareOffset: f.processCount}, f.limit, DefaultLoanTerms)
	b.ruleFaults = f.ruleFaults
	if f.hasLongTimeouts {
		b.policy.ReplyTimeout = 3 * time.Second
	}
	return &gateway{proc: p, borrower: b}
}

// noLeaseEnd is the end of a lease that is always renewed.
const noLeaseEnd time.Duration = 1 << 62

// startEpoch starts a new epoch of the share at the holder with the given index.
func (f *fleet) startEpoch(share, index int) {
	h := f.holders[index]
	l := NewLender(h.now(f.t), BaseShare(f.account, share, simDomains), h.limit, DefaultLoanTerms)
	l.ruleFaults = f.ruleFaults
	if f.ruleFaults.startsFull {
		l.opensAt, l.refilledAt = h.now(f.t), h.now(f.t)
		l.tokens = h.limit.tokens(l.base.Burst)
	}
	h.lenders[share], h.leaseEnds[share] = l, noLeaseEnd
	f.holderOf[share] = index
}

func (f *fleet) holdsShare(h *holder, share int) bool {
	return h.lenders[share] != nil && !h.isDead && f.t < h.leaseEnds[share]
}

func (f *fleet) runAt(delay time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{runAt: f.t + delay, seq: f.seq, run: run})
}

func (f *fleet) scheduleEvery(d time.Duration, run func()) {
	f.runAt(d, func() {
		run()
		f.scheduleEvery(d, run)
	})
}

func (f *fleet) runUntil(t time.Duration) {
	for len(f.events) > 0 && f.events[0].runAt <= t {
		e := heap.Pop(&f.events).(event)
		f.t = e.runAt
		e.run()
	}
	f.t = t
}

func (f *fleet) recordViolation(format string, args ...any) {
	f.counts.violations++
	if f.counts.firstViolation == "" {
		f.counts.firstViolation = fmt.Sprintf("at %v: ", f.t) + fmt.Sprintf(format, args...)
	}
}

// deliver runs fn in the receiving process after the network delay. If faults are injected,
// the message can be lost, duplicated or delayed for long.
func (f *fleet) deliver(from, to *proc, fn func()) {
	f.counts.messages++
	copies := 1
	if f.injectsFaults {
		switch x := f.rng.Float64(); {
		case x < 0.03:
			f.counts.lost++
			return
		case x < 0.08:
			f.counts.duplicated++
			copies = 2
		}
	}
	for range copies {
		f.runAt(f.delay(from.domain, to.domain), func() {
			if f.isCut[from.domain][to.domain] {
				f.counts.lost++
				return
			}
			f.runIn(to, fn)
		})
	}
}

// runIn runs fn in the process, at once or when the process resumes.
func (f *fleet) runIn(p *proc, fn func()) {
	switch {
	case p.isDead:
	case p.isFrozen:
		p.backlog = append(p.backlog, fn)
	default:
		fn()
	}
}

func (f *fleet) delay(from, to int) time.Duration {
	d := 500 * time.Microsecond
	if from != to && (from == simDomains-1 || to == simDomains-1) {
		d = 12 * time.Millisecond
	}
	if f.injectsFaults && f.rng.Float64() < 0.05 {
		f.counts.delayed++
		if f.rng.IntN(2) == 0 {
			return d + time.Duration(f.rng.Int64N(int64(500*time.Millisecond)))
		}
		return d + time.Duration(f.rng.Int64N(int64(5*time.Second)))
	}
	return d + time.Duration(f.rng.Int64N(int64(d)/4+1))
}

// largestLimit returns the largest rate and burst that any process uses.
func (f *fleet) largestLimit() Limit {
	l := f.limit
	for i := range f.gateways {
		l.Rate = max(l.Rate, f.gateways[i].limit.Rate, f.holders[i].limit.Rate)
		l.Burst = max(l.Burst, f.gateways[i].limit.Burst, f.holders[i].limit.Burst)
	}
	return l
}

func (f *fleet) recordAdmitted() {
	f.counts.admitted++
	f.boundBucket.advance(f.t, f.largestLimit())
	f.boundBucket.tokens--
	if f.boundBucket.tokens < -1e-6 {
		f.recordViolation("%v tokens left in the global bucket after an admission", f.boundBucket.tokens)
		f.boundBucket.tokens = 0
	}
}

func (f *fleet) recordRefused(wouldAdmit bool) {
	f.counts.refused++
	if wouldAdmit {
		f.counts.wrongful++
	}
}

// ownAmountOf returns the units that the lenders of a holder use for their own buckets.
func (f *fleet) ownAmountOf(h *holder) Amount {
	var sum Amount
	for share, l := range h.lenders {
		if f.holdsShare(h, share) && !h.isFrozen && !l.isClosed(h.now(f.t)) {
			l.advance(h.now(f.t))
			sum = sum.plus(l.ownAmount())
		}
	}
	return sum
}

// checkUnits records a violation if a unit is usable in two places, that is, if more units
// than TotalUnits are usable.
func (f *fleet) checkUnits() {
	var sum Amount
	for i, g := range f.gateways {
		for _, r := range g.borrower.loans {
			if g.now(f.t).Before(r.expiresAt) {
				sum = sum.plus(r.holding)
			}
		}
		sum = sum.plus(f.ownAmountOf(f.holders[i]))
	}
	if !sum.isWithin(Amount{Rate: TotalUnits, Burst: TotalUnits}) {
		f.recordViolation("units %v are usable of %v", sum, TotalUnits)
	}
}

// request sends one request to a gateway.
func (f *fleet) request(g *gateway) {
	if g.isDead || g.isFrozen {
		return
	}
	f.counts.offered++
	f.idealBucket.advance(f.t, f.largestLimit())
	wouldAdmit := f.idealBucket.tokens >= 1-1e-6
	if wouldAdmit {
		f.idealBucket.tokens--
	}
	now := g.now(f.t)
	if len(g.waiters) == 0 && g.borrower.TryAdmit(now) {
		f.recordAdmitted()
	} else {
		if len(g.waiters) > 0 {
			g.borrower.CountRequest(now)
		}
		g.waiters = append(g.waiters, waiter{until: f.t + maxWait, wouldAdmit: wouldAdmit})
	}
	f.serveAndSend(g)
}

// serveAndSend admits or refuses waiting requests and sends the loan requests that are due.
func (f *fleet) serveAndSend(g *gateway) {
	now := g.now(f.t)
	for len(g.waiters) > 0 {
		w := g.waiters[0]
		if f.t < w.until && g.borrower.TakeToken(now) {
			f.recordAdmitted()
		} else if f.t >= w.until {
			f.recordRefused(w.wouldAdmit)
		} else {
			break
		}
		g.waiters = g.waiters[1:]
	}
	g.borrower.SetWaiting(len(g.waiters))
	for _, out := range g.borrower.DueRequests(now) {
		f.send(g, out)
	}
}

func (f *fleet) send(g *gateway, out ShareRequest) {
	h := f.holders[f.holderOf[out.Share]]
	f.deliver(g.proc, h.proc, func() {
		if !f.holdsShare(h, out.Share) {
			return
		}
		grant, ok, err := h.lenders[out.Share].Handle(h.now(f.t), g.name, out.LoanRequest)
		if err != nil {
			f.recordViolation("%v", err)
		}
		if !ok {
			return
		}
		f.deliver(h.proc, g.proc, func() {
			if err := g.borrower.ApplyGrant(g.now(f.t), out.Share, grant); err != nil {
				f.recordViolation("%v", err)
			}
			f.serveAndSend(g)
		})
	})
}

func (f *fleet) tick() {
	f.checkUnits()
	for _, g := range f.gateways {
		if !g.isDead && !g.isFrozen {
			f.serveAndSend(g)
		}
	}
}
