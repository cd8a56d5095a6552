package quota

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Policy sets how much a borrower asks for and when. It affects wrongful
// refusals and control traffic, never safety.
type Policy struct {
	// RenewInterval is how often a loan in use is renewed and adjusted.
	RenewInterval time.Duration
	// ReplyTimeout is how long a reply is awaited before the next request.
	ReplyTimeout time.Duration
	// MinRequestInterval is the least time between two requests about one share.
	MinRequestInterval time.Duration
	// ShortageBackoff is how long a holder that had less than was asked for is not
	// asked for more. It doubles up to DryRetryMax.
	ShortageBackoff    time.Duration
	MaxShortageBackoff time.Duration
	// NoReplyBackoff is how long a holder that did not reply is not asked for
	// more.
	NoReplyBackoff time.Duration
	// DemandTau is the time constant of the demand's moving average.
	DemandTau time.Duration
	// ReservePeriod is the demand that the bucket is kept stocked for.
	ReservePeriod time.Duration
	// BacklogPeriod is the time in which the rate asked for serves those waiting.
	BacklogPeriod time.Duration
	// HeadroomPeriod is the refill that empty burst units are kept for.
	HeadroomPeriod time.Duration
	// MaxRequestGap is the gap between requests up to which a loan of a small burst
	// is kept for the next request.
	MaxRequestGap time.Duration
	// SmallBurst is the burst, in requests, up to which a loan that is not in
	// use is given back at once.
	SmallBurst float64
	// IdleTimeout is how long an account is remembered without a request.
	IdleTimeout time.Duration
}

// DefaultPolicy is the policy of a deployment.
var DefaultPolicy = Policy{
	RenewInterval:      600 * time.Millisecond,
	ReplyTimeout:       60 * time.Millisecond,
	MinRequestInterval: 5 * time.Millisecond,
	ShortageBackoff:    25 * time.Millisecond,
	MaxShortageBackoff: 50 * time.Millisecond,
	NoReplyBackoff:     500 * time.Millisecond,
	DemandTau:          2 * time.Second,
	ReservePeriod:      500 * time.Millisecond,
	BacklogPeriod:      250 * time.Millisecond,
	HeadroomPeriod:     200 * time.Millisecond,
	MaxRequestGap:      150 * time.Millisecond,
	SmallBurst:         32,
	IdleTimeout:        10 * time.Second,
}

// demand is an exponentially weighted rate of offered requests since the last
// pause.
type demand struct {
	weight float64
	at     structs.Instant
	since  structs.Instant
	last   structs.Instant
	// started tells the zero value from a demand whose first request has come;
	// that one only opens the interval in which requests are counted.
	started bool
}

// minDemandAge keeps the first requests after a pause from counting as a high
// rate.
const minDemandAge = 100 * time.Millisecond

func (d *demand) count(now structs.Instant, window time.Duration) {
	if d.paused(now, window, pauseGaps) {
		*d = demand{since: now, at: now, last: now, started: true}
		return
	}
	d.weight = d.weight*decay(now.Sub(d.at), window) + 1
	d.at, d.last = now, now
}

func decay(elapsed, window time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}

// rate returns the requests per second, corrected for the short time since the
// first of them.
func (d *demand) rate(now structs.Instant, window time.Duration) float64 {
	if d.weight == 0 {
		return 0
	}
	age := max(now.Sub(d.since), minDemandAge)
	observed := window.Seconds() * (1 - decay(age, window))
	return d.weight * decay(now.Sub(d.at), window) / observed
}

// Multiples of the expected gap between two requests after which the demand
// counts as paused.
const (
	pauseGaps      = 8
	smallPauseGaps = 1.5
)

// paused reports whether the requests have stopped coming.
func (d *demand) paused(now structs.Instant, window time.Duration, gaps float64) bool {
	idle := now.Sub(d.last)
	if !d.started || idle > window {
		return true
	}
	if idle <= minDemandAge {
		return false
	}
	before := d.rate(d.last, window)
	return idle.Seconds()*before > gaps
}

// stockShare is the part of the whole burst, as a divisor, that one gateway
// stocks at most for requests to come.
const stockShare = 64

// need is what a borrower aims to hold. The rate is the offered one less its
// standard error, so that the lenders keep what is uncertain for all.
type need struct {
	rate   float64 // requests per second
	tokens float64
	stock  float64 // of tokens, those for waiting requests left out
	idle   bool    // nothing held is of use
}

func (b *Borrower) need(now structs.Instant) need {
	if b.limit.Rate <= 0 || b.limit.Burst <= 0 {
		return need{idle: true}
	}
	small := b.limit.Burst <= b.policy.SmallBurst
	gaps := float64(pauseGaps)
	if small {
		gaps = smallPauseGaps
	}
	if b.waiting == 0 && b.demand.paused(now, b.policy.DemandTau, gaps) {
		return need{idle: true}
	}
	offered := b.demand.rate(now, b.policy.DemandTau)
	waiting := float64(b.waiting)
	if small && offered*b.policy.MaxRequestGap.Seconds() < 1 {
		tokens := min(waiting, b.limit.Burst)
		return need{rate: b.limit.Rate * tokens / b.limit.Burst, tokens: tokens, stock: tokens, idle: b.waiting == 0}
	}
	stock := 1 + min(offered*b.policy.ReservePeriod.Seconds(), b.limit.Burst/stockShare)
	steady := max(0, offered-math.Sqrt(offered/(2*b.policy.DemandTau.Seconds())))
	return need{
		rate:   min(steady+waiting/b.policy.BacklogPeriod.Seconds(), b.limit.Rate),
		tokens: min(waiting+stock, b.limit.Burst),
		stock:  min(stock, b.limit.Burst),
	}
}

// ShareRequest is a request to the holder of a share.
type ShareRequest struct {
	Share       int
	LoanRequest LoanRequest
}

// DueRequests returns the requests that are due. Holders are asked for more one after
// another, each once the one before had less than was asked for.
func (b *Borrower) DueRequests(now structs.Instant) []ShareRequest {
	b.advance(now)
	n := b.need(now)
	missing := b.missing(n)
	var out []ShareRequest
	for k := range b.relations {
		r := b.inOrder(k)
		b.expire(now, r)
		if r.pending {
			missing = missing.minus(r.asked).positive()
			continue
		}
		want := b.wanted(now, r, missing)
		if !b.due(now, r, n, want) {
			if b.strict() && b.shortOf(r, missing) {
				break
			}
			continue
		}
		out = append(out, b.ask(now, r, n, want))
		missing = missing.minus(want).positive()
		if b.strict() && !want.zero() {
			break
		}
	}
	return out
}

// strict reports whether the whole burst admits one request at a time, so that
// gateways collect all shares in one order and never wait for each other.
func (b *Borrower) strict() bool {
	return b.limit.Burst < 2
}

// shortOf reports whether the next share has to wait for this one.
func (b *Borrower) shortOf(r *relation, missing Amount) bool {
	reachable := r.seq == 0 || r.seq == r.applied
	return missing.Burst > 0 && reachable && r.hold.Burst < r.base.Burst
}

// inOrder returns the k-th share to ask for: those of the borrower's own
// domain first, or, when shares have to be collected in one order, the
// account's first.
func (b *Borrower) inOrder(k int) *relation {
	if b.strict() {
		return &b.relations[(b.first+k)%len(b.relations)]
	}
	domain := (b.place.Domain + k/SharesPerDomain) % b.place.Domains
	part := (b.place.ShareOffset + k) % SharesPerDomain
	return &b.relations[domain*SharesPerDomain+part]
}

func (b *Borrower) expire(now structs.Instant, r *relation) {
	if r.pending && now.Sub(r.sentAt) >= b.policy.ReplyTimeout {
		r.pending = false
		r.asked = Amount{}
		r.dry = now.Add(b.policy.NoReplyBackoff)
	}
}

func (b *Borrower) backOff(now structs.Instant, r *relation) {
	r.backOff = min(max(2*r.backOff, b.policy.ShortageBackoff), b.policy.MaxShortageBackoff)
	if b.strict() {
		r.backOff = b.policy.ShortageBackoff
	}
	r.dry = now.Add(r.backOff)
}

// missing is what the borrower lacks in rate and in burst units. Units are
// lacking for the tokens that are not there, held units that are empty
// notwithstanding: a lender's tokens only travel under its own units.
func (b *Borrower) missing(n need) Amount {
	var m Amount
	room := TotalUnits - b.held.Burst
	m.Burst = min(b.limit.burstUnits(n.tokens-b.tokens), room+b.empty(n))
	if b.tokens >= n.tokens/2 && float64(b.waiting) <= b.tokens {
		m.Burst = 0
	}
	m.Rate = min(b.limit.rateUnits(n.rate)-b.held.Rate, TotalUnits-b.held.Rate)
	if m.Rate < b.limit.rateUnits(n.rate)/rateStep {
		m.Rate = 0
	}
	return m.positive()
}

// rateStep is the fraction of the needed rate, as a divisor, that a change of
// the loan is worth a request.
const rateStep = 8

// empty returns held burst units beyond the tokens and what will soon refill.
func (b *Borrower) empty(n need) Units {
	keep := b.tokens
	if b.held.Rate > 0 {
		soon := b.limit.perSecond(b.held.Rate) * b.policy.HeadroomPeriod.Seconds()
		keep = max(keep+soon, n.stock)
	}
	return max(0, b.held.Burst-b.limit.burstUnits(keep))
}

func (b *Borrower) wanted(now structs.Instant, r *relation, missing Amount) Amount {
	if now.Before(r.dry) {
		return Amount{}
	}
	return missing.min(r.base.minus(r.hold)).positive()
}

func (b *Borrower) due(now structs.Instant, r *relation, n need, want Amount) bool {
	since := now.Sub(r.sentAt)
	switch {
	case r.seq > 0 && since < b.policy.MinRequestInterval:
		return false
	case !want.zero():
		return true
	case r.hold.zero():
		return false
	case n.idle, r.applied != r.seq:
		return true
	default:
		return since >= b.policy.RenewInterval
	}
}

// ask gives back what the loan has beyond the need and builds the request.
func (b *Borrower) ask(now structs.Instant, r *relation, n need, want Amount) ShareRequest {
	back, tokens := b.giveBack(r, n)
	r.hold = r.hold.minus(back)
	b.held = b.held.minus(back)
	b.tokens -= tokens
	b.clip()
	r.seq++
	r.pending = true
	r.asked = want
	r.sentAt = now
	return ShareRequest{Share: r.share, LoanRequest: LoanRequest{Seq: r.seq, Applied: r.applied, Hold: r.hold, Tokens: tokens, Want: want}}
}

// giveBack chooses the units that go back and the tokens under them.
func (b *Borrower) giveBack(r *relation, n need) (Amount, float64) {
	if n.idle {
		tokens := min(b.tokens, b.limit.tokens(r.hold.Burst))
		return r.hold, tokens
	}
	var back Amount
	needRate := b.limit.rateUnits(n.rate)
	if surplus := b.held.Rate - needRate; surplus > needRate/rateStep {
		back.Rate = surplus
	}
	back.Rate = max(back.Rate, r.hold.Rate-r.target.Rate)
	keep := b.limit.burstUnits(2 * n.stock)
	back.Burst = max(b.held.Burst-keep, r.hold.Burst-r.target.Burst)
	if !b.strict() {
		back.Burst = max(back.Burst, b.empty(n))
	}
	back = back.positive().min(r.hold)
	left := b.limit.tokens(b.held.Burst - back.Burst)
	return back, min(max(0, b.tokens-left), b.limit.tokens(back.Burst))
}
