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
	simDrift   = 0.01 // the terms' bound for each clock
)

// bucket is the perfect global token bucket that the fleet is compared with.
type bucket struct {
	tokens float64
	last   time.Duration
}

func (b *bucket) advance(now time.Duration, l Limit) {
	b.tokens = min(l.Burst, b.tokens+l.Rate*(now-b.last).Seconds())
	b.last = now
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// proc is one process: a clock, an incarnation, and what it missed while frozen.
type proc struct {
	domain  int
	name    structs.Incarnation
	offset  time.Duration
	speed   float64
	dead    bool
	frozen  bool
	backlog []func()
	limit   Limit
}

func (p *proc) now(t time.Duration) structs.Instant {
	return structs.Instant(p.offset + time.Duration(float64(t)*p.speed))
}

type waiter struct {
	until  time.Duration
	shadow bool
}

type gateway struct {
	*proc
	borrower *Borrower
	waiters  []waiter
}

type holder struct {
	*proc
	lenders [simShares]*Lender       // of the epochs this process holds, else nil
	ends    [simShares]time.Duration // of their leases
}

type counts struct {
	offered, admitted, refused, wrongful         int
	cutOff                                       int // waited at a gateway that was killed
	messages, lost, repeated, late               int
	kills, freezes, cuts, successions, reconfigs int
	violations                                   int
	first                                        string
}

func (c *counts) add(o counts) {
	c.offered += o.offered
	c.admitted += o.admitted
	c.refused += o.refused
	c.wrongful += o.wrongful
	c.cutOff += o.cutOff
	c.messages += o.messages
	c.lost += o.lost
	c.repeated += o.repeated
	c.late += o.late
	c.kills += o.kills
	c.freezes += o.freezes
	c.cuts += o.cuts
	c.successions += o.successions
	c.reconfigs += o.reconfigs
	c.violations += o.violations
	if c.first == "" {
		c.first = o.first
	}
}

// fleet simulates one account in all gateways and holders.
type fleet struct {
	rng      *rand.Rand
	t        time.Duration
	events   eventHeap
	seq      int
	account  structs.AccountID
	limit    Limit
	rules    rules
	gateways [simDomains * simVMs]*gateway
	holders  [simDomains * simVMs]*holder
	current  [simShares]int // index of the holder of each share
	cut      [simDomains][simDomains]bool
	faults   bool
	patient  bool // gateways await replies for long, so that late ones are applied
	meter    bucket
	shadow   bucket
	counts   counts
	born     int
}

func newFleet(seed uint64, limit Limit, rules rules, faults bool) *fleet {
	f := &fleet{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		account: structs.AccountID(fmt.Sprintf("account-%d", seed%7)),
		limit:   limit,
		rules:   rules,
		faults:  faults,
		patient: faults && seed%2 == 0,
	}
	f.meter.tokens, f.shadow.tokens = limit.Burst, limit.Burst
	for i := range f.gateways {
		f.gateways[i] = f.newGateway(i / simVMs)
		f.holders[i] = &holder{proc: f.newProc(i / simVMs)}
	}
	for d := range f.current {
		f.hold(d, DomainOfShare(d)*simVMs+d%simVMs)
	}
	f.every(simTick, f.tick)
	return f
}

func (f *fleet) newProc(domain int) *proc {
	f.born++
	return &proc{
		domain: domain,
		name:   structs.Incarnation(fmt.Sprintf("%d", f.born)),
		offset: time.Duration(f.rng.Int64N(int64(time.Hour))),
		speed:  1 + simDrift*(2*f.rng.Float64()-1),
		limit:  f.limit,
	}
}

func (f *fleet) newGateway(domain int) *gateway {
	p := f.newProc(domain)
	b := NewBorrower(p.now(f.t), f.account, Location{Domain: domain, Domains: simDomains, ShareOffset: f.born}, f.limit, DefaultLoanTerms)
	b.rules = f.rules
	if f.patient {
		b.policy.ReplyTimeout = 3 * time.Second
	}
	return &gateway{proc: p, borrower: b}
}

// noEnd is the end of a lease that is renewed on and on.
const noEnd time.Duration = 1 << 62

// hold starts a new epoch of the share at the holder of the given index.
func (f *fleet) hold(share, index int) {
	h := f.holders[index]
	l := NewLender(h.now(f.t), BaseShare(f.account, share, simDomains), h.limit, DefaultLoanTerms)
	l.rules = f.rules
	if f.rules.startFull {
		l.opens, l.last = h.now(f.t), h.now(f.t)
		l.tokens = h.limit.tokens(l.base.Burst)
	}
	h.lenders[share], h.ends[share] = l, noEnd
	f.current[share] = index
}

func (f *fleet) held(h *holder, share int) bool {
	return h.lenders[share] != nil && !h.dead && f.t < h.ends[share]
}

func (f *fleet) at(delay time.Duration, run func()) {
	f.seq++
	heap.Push(&f.events, event{at: f.t + delay, seq: f.seq, run: run})
}

func (f *fleet) every(d time.Duration, run func()) {
	f.at(d, func() {
		run()
		f.every(d, run)
	})
}

func (f *fleet) runUntil(t time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= t {
		e := heap.Pop(&f.events).(event)
		f.t = e.at
		e.run()
	}
	f.t = t
}

func (f *fleet) violation(format string, args ...any) {
	f.counts.violations++
	if f.counts.first == "" {
		f.counts.first = fmt.Sprintf("at %v: ", f.t) + fmt.Sprintf(format, args...)
	}
}

// deliver runs fn in a process after the network's delay, loss and repetition.
func (f *fleet) deliver(from, to *proc, fn func()) {
	f.counts.messages++
	copies := 1
	if f.faults {
		switch x := f.rng.Float64(); {
		case x < 0.03:
			f.counts.lost++
			return
		case x < 0.08:
			f.counts.repeated++
			copies = 2
		}
	}
	for range copies {
		f.at(f.delay(from.domain, to.domain), func() {
			if f.cut[from.domain][to.domain] {
				f.counts.lost++
				return
			}
			f.within(to, fn)
		})
	}
}

// within runs fn in the process now, or when it resumes.
func (f *fleet) within(p *proc, fn func()) {
	switch {
	case p.dead:
	case p.frozen:
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
	if f.faults && f.rng.Float64() < 0.05 {
		f.counts.late++
		if f.rng.IntN(2) == 0 {
			return d + time.Duration(f.rng.Int64N(int64(500*time.Millisecond)))
		}
		return d + time.Duration(f.rng.Int64N(int64(5*time.Second)))
	}
	return d + time.Duration(f.rng.Int64N(int64(d)/4+1))
}

// larger is the larger of all limits in force anywhere.
func (f *fleet) larger() Limit {
	l := f.limit
	for i := range f.gateways {
		l.Rate = max(l.Rate, f.gateways[i].limit.Rate, f.holders[i].limit.Rate)
		l.Burst = max(l.Burst, f.gateways[i].limit.Burst, f.holders[i].limit.Burst)
	}
	return l
}

func (f *fleet) admit() {
	f.counts.admitted++
	f.meter.advance(f.t, f.larger())
	f.meter.tokens--
	if f.meter.tokens < -1e-6 {
		f.violation("%v tokens left in the global bucket", f.meter.tokens)
		f.meter.tokens = 0
	}
}

func (f *fleet) refuse(shadow bool) {
	f.counts.refused++
	if shadow {
		f.counts.wrongful++
	}
}

// ownOf returns what the lenders of a holder refill their own buckets by.
func (f *fleet) ownOf(h *holder) Amount {
	var sum Amount
	for share, l := range h.lenders {
		if f.held(h, share) && !h.frozen && !l.quarantined(h.now(f.t)) {
			l.advance(h.now(f.t))
			sum = sum.plus(l.own())
		}
	}
	return sum
}

// checkUnits asserts that no unit is usable in two places.
func (f *fleet) checkUnits() {
	var sum Amount
	for i, g := range f.gateways {
		for _, r := range g.borrower.relations {
			if g.now(f.t).Before(r.until) {
				sum = sum.plus(r.hold)
			}
		}
		sum = sum.plus(f.ownOf(f.holders[i]))
	}
	if !sum.within(Amount{Rate: TotalUnits, Burst: TotalUnits}) {
		f.violation("units %v usable of %v", sum, TotalUnits)
	}
}

// request offers one request to a gateway.
func (f *fleet) request(g *gateway) {
	if g.dead || g.frozen {
		return
	}
	f.counts.offered++
	f.shadow.advance(f.t, f.larger())
	shadow := f.shadow.tokens >= 1-1e-6
	if shadow {
		f.shadow.tokens--
	}
	now := g.now(f.t)
	if len(g.waiters) == 0 && g.borrower.TryAdmit(now) {
		f.admit()
	} else {
		if len(g.waiters) > 0 {
			g.borrower.CountRequest(now)
		}
		g.waiters = append(g.waiters, waiter{until: f.t + maxWait, shadow: shadow})
	}
	f.pump(g)
}

// pump serves the waiters and sends what is due.
func (f *fleet) pump(g *gateway) {
	now := g.now(f.t)
	for len(g.waiters) > 0 {
		w := g.waiters[0]
		if f.t < w.until && g.borrower.TakeToken(now) {
			f.admit()
		} else if f.t >= w.until {
			f.refuse(w.shadow)
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
	h := f.holders[f.current[out.Share]]
	f.deliver(g.proc, h.proc, func() {
		if !f.held(h, out.Share) {
			return
		}
		grant, ok, err := h.lenders[out.Share].Handle(h.now(f.t), g.name, out.LoanRequest)
		if err != nil {
			f.violation("%v", err)
		}
		if !ok {
			return
		}
		f.deliver(h.proc, g.proc, func() {
			if err := g.borrower.ApplyGrant(g.now(f.t), out.Share, grant); err != nil {
				f.violation("%v", err)
			}
			f.pump(g)
		})
	})
}

func (f *fleet) tick() {
	f.checkUnits()
	for _, g := range f.gateways {
		if !g.dead && !g.frozen {
			f.pump(g)
		}
	}
}
