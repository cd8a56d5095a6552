package quota

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Policy determines how much a borrower requests and when. It affects the number of
// wrongful refusals (of requests within the account's limit) and the control traffic. It
// does not affect safety: all gateways together stay within the limit under any policy.
type Policy struct {
	// RenewInterval is the interval at which a loan in use is renewed and resized.
	RenewInterval time.Duration
	// ReplyTimeout is how long the borrower waits for a reply before its next request.
	ReplyTimeout time.Duration
	// MinRequestInterval is the minimum time between two requests for one share.
	MinRequestInterval time.Duration
	// ShortageBackoff is how long no additional amount is requested from a holder that
	// granted less than requested. It doubles up to MaxShortageBackoff.
	ShortageBackoff    time.Duration
	MaxShortageBackoff time.Duration
	// NoReplyBackoff is how long no additional amount is requested from a holder that did
	// not reply.
	NoReplyBackoff time.Duration
	// DemandTau is the time constant of the moving average of the demand.
	DemandTau time.Duration
	// ReservePeriod is the period of demand for which the bucket holds tokens in reserve.
	ReservePeriod time.Duration
	// BacklogPeriod is the period within which the needed rate would admit the waiting
	// requests.
	BacklogPeriod time.Duration
	// HeadroomPeriod is the period for whose refill empty burst units are kept.
	HeadroomPeriod time.Duration
	// MaxRequestGap is the largest mean interval between requests at which an account with
	// a small burst keeps its loans for the next request.
	MaxRequestGap time.Duration
	// SmallBurst is the burst, in requests, up to which an unused loan is returned at
	// once.
	SmallBurst float64
	// IdleTimeout is how long an account without requests is kept.
	IdleTimeout time.Duration
}

// DefaultPolicy is the policy of every Borrower that NewBorrower returns.
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

// demand measures the rate of offered requests since the last pause, as an exponentially
// weighted moving average.
type demand struct {
	weight        float64
	decayedAt     structs.Instant
	startedAt     structs.Instant
	lastRequestAt structs.Instant
	// hasStarted is true after the first request. That request has no weight: it only
	// starts the period in which requests are counted.
	hasStarted bool
}

// minDemandAge is the shortest period over which the rate is computed. Without it, the first
// requests after a pause would appear as a high rate.
const minDemandAge = 100 * time.Millisecond

func (d *demand) countRequest(now structs.Instant, tau time.Duration) {
	if d.isPaused(now, tau, pauseGaps) {
		*d = demand{startedAt: now, decayedAt: now, lastRequestAt: now, hasStarted: true}
		return
	}
	d.weight = d.weight*decay(now.Sub(d.decayedAt), tau) + 1
	d.decayedAt, d.lastRequestAt = now, now
}

func decay(elapsed, tau time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / tau.Seconds())
}

// rate returns the requests per second, corrected for the short time since the first
// request.
func (d *demand) rate(now structs.Instant, tau time.Duration) float64 {
	if d.weight == 0 {
		return 0
	}
	age := max(now.Sub(d.startedAt), minDemandAge)
	observed := tau.Seconds() * (1 - decay(age, tau))
	return d.weight * decay(now.Sub(d.decayedAt), tau) / observed
}

// The demand counts as paused after this many expected intervals without a request.
const (
	pauseGaps           = 8
	smallBurstPauseGaps = 1.5
)

// isPaused reports whether no request has arrived for the given number of expected
// intervals, or for the time constant.
func (d *demand) isPaused(now structs.Instant, tau time.Duration, gaps float64) bool {
	idle := now.Sub(d.lastRequestAt)
	if !d.hasStarted || idle > tau {
		return true
	}
	if idle <= minDemandAge {
		return false
	}
	lastRate := d.rate(d.lastRequestAt, tau)
	return idle.Seconds()*lastRate > gaps
}

// One gateway holds at most 1/reserveDivisor of an account's burst in reserve for future
// requests.
const reserveDivisor = 64

// need is what a borrower aims to hold. The rate is the offered rate minus its standard
// error, so that the lenders keep the uncertain part available to all gateways.
type need struct {
	rate    float64 // requests per second
	tokens  float64
	reserve float64 // tokens without those for waiting requests
	isIdle  bool    // all loans can be returned
}

func (b *Borrower) need(now structs.Instant) need {
	if b.limit.Rate <= 0 || b.limit.Burst <= 0 {
		return need{isIdle: true}
	}
	isSmallBurst := b.limit.Burst <= b.policy.SmallBurst
	gaps := float64(pauseGaps)
	if isSmallBurst {
		gaps = smallBurstPauseGaps
	}
	if b.waiting == 0 && b.demand.isPaused(now, b.policy.DemandTau, gaps) {
		return need{isIdle: true}
	}
	offered := b.demand.rate(now, b.policy.DemandTau)
	waiting := float64(b.waiting)
	if isSmallBurst && offered*b.policy.MaxRequestGap.Seconds() < 1 {
		tokens := min(waiting, b.limit.Burst)
		return need{rate: b.limit.Rate * tokens / b.limit.Burst, tokens: tokens, reserve: tokens, isIdle: b.waiting == 0}
	}
	reserve := 1 + min(offered*b.policy.ReservePeriod.Seconds(), b.limit.Burst/reserveDivisor)
	steady := max(0, offered-math.Sqrt(offered/(2*b.policy.DemandTau.Seconds())))
	return need{
		rate:    min(steady+waiting/b.policy.BacklogPeriod.Seconds(), b.limit.Rate),
		tokens:  min(waiting+reserve, b.limit.Burst),
		reserve: min(reserve, b.limit.Burst),
	}
}

// ShareRequest is a request to the holder of a share.
type ShareRequest struct {
	Share       int
	LoanRequest LoanRequest
}

// DueRequests returns the requests that are due. Additional amounts are requested from one
// holder after another: the next holder is used when the previous one granted less than
// requested.
func (b *Borrower) DueRequests(now structs.Instant) []ShareRequest {
	b.advance(now)
	n := b.need(now)
	missing := b.missingAmount(n)
	var out []ShareRequest
	for k := range b.loans {
		loan := b.loanInOrder(k)
		b.expireRequest(now, loan)
		if loan.isPending {
			missing = missing.minus(loan.requested).nonNegative()
			continue
		}
		want := b.wantedAmount(now, loan, missing)
		if !b.isDue(now, loan, n, want) {
			if b.usesFixedOrder() && b.mustWaitFor(loan, missing) {
				break
			}
			continue
		}
		out = append(out, b.buildRequest(now, loan, n, want))
		missing = missing.minus(want).nonNegative()
		if b.usesFixedOrder() && !want.isZero() {
			break
		}
	}
	return out
}

// usesFixedOrder reports whether the burst allows only one request at a time. A gateway then
// needs the account's shares together, and all gateways request them in the same order, so
// that they don't wait for each other.
func (b *Borrower) usesFixedOrder() bool {
	return b.limit.Burst < 2
}

// mustWaitFor reports whether, in the fixed order, this share must be held completely before
// the next one is requested. A holder that did not reply is not waited for.
func (b *Borrower) mustWaitFor(loan *borrowedLoan, missing Amount) bool {
	reachable := loan.seq == 0 || loan.seq == loan.appliedSeq
	return missing.Burst > 0 && reachable && loan.holding.Burst < loan.base.Burst
}

// loanInOrder returns the loan of the k-th share to request from. Shares of the borrower's
// own domain come first or, in the fixed order, the account's first share.
func (b *Borrower) loanInOrder(k int) *borrowedLoan {
	if b.usesFixedOrder() {
		return &b.loans[(b.startShare+k)%len(b.loans)]
	}
	domain := (b.location.Domain + k/SharesPerDomain) % b.location.Domains
	offset := (b.location.ShareOffset + k) % SharesPerDomain
	return &b.loans[domain*SharesPerDomain+offset]
}

// expireRequest abandons the pending request if its reply is overdue.
func (b *Borrower) expireRequest(now structs.Instant, loan *borrowedLoan) {
	if loan.isPending && now.Sub(loan.sentAt) >= b.policy.ReplyTimeout {
		loan.isPending = false
		loan.requested = Amount{}
		loan.backOffUntil = now.Add(b.policy.NoReplyBackoff)
	}
}

// backOff delays the next request for an additional amount after a shortage.
func (b *Borrower) backOff(now structs.Instant, loan *borrowedLoan) {
	loan.backOff = min(max(2*loan.backOff, b.policy.ShortageBackoff), b.policy.MaxShortageBackoff)
	if b.usesFixedOrder() {
		loan.backOff = b.policy.ShortageBackoff
	}
	loan.backOffUntil = now.Add(loan.backOff)
}

// missingAmount returns the rate and burst units that the borrower lacks. Burst units are
// needed for each missing token even if the borrower holds empty burst units, because a
// lender moves tokens only together with its own burst units.
func (b *Borrower) missingAmount(n need) Amount {
	var m Amount
	room := TotalUnits - b.held.Burst
	m.Burst = min(b.limit.burstUnits(n.tokens-b.tokens), room+b.emptyUnits(n))
	if b.tokens >= n.tokens/2 && float64(b.waiting) <= b.tokens {
		m.Burst = 0
	}
	m.Rate = min(b.limit.rateUnits(n.rate)-b.held.Rate, TotalUnits-b.held.Rate)
	if m.Rate < b.limit.rateUnits(n.rate)/rateStepDivisor {
		m.Rate = 0
	}
	return m.nonNegative()
}

// A difference below 1/rateStepDivisor of the needed rate is not worth a request.
const rateStepDivisor = 8

// emptyUnits returns the held burst units that are needed neither for the present tokens nor
// for the refill of the next HeadroomPeriod.
func (b *Borrower) emptyUnits(n need) Units {
	keep := b.tokens
	if b.held.Rate > 0 {
		soon := b.limit.perSecond(b.held.Rate) * b.policy.HeadroomPeriod.Seconds()
		keep = max(keep+soon, n.reserve)
	}
	return max(0, b.held.Burst-b.limit.burstUnits(keep))
}

// wantedAmount returns the part of the missing amount to request for the loan.
func (b *Borrower) wantedAmount(now structs.Instant, loan *borrowedLoan, missing Amount) Amount {
	if now.Before(loan.backOffUntil) {
		return Amount{}
	}
	return missing.min(loan.base.minus(loan.holding)).nonNegative()
}

func (b *Borrower) isDue(now structs.Instant, loan *borrowedLoan, n need, want Amount) bool {
	since := now.Sub(loan.sentAt)
	switch {
	case loan.seq > 0 && since < b.policy.MinRequestInterval:
		return false
	case !want.isZero():
		return true
	case loan.holding.isZero():
		return false
	case n.isIdle, loan.appliedSeq != loan.seq:
		return true
	default:
		return since >= b.policy.RenewInterval
	}
}

// buildRequest removes what the loan holds beyond the need and returns the request that
// returns it to the lender and asks for the wanted amount.
func (b *Borrower) buildRequest(now structs.Instant, loan *borrowedLoan, n need, want Amount) ShareRequest {
	returned, tokens := b.chooseReturn(loan, n)
	loan.holding = loan.holding.minus(returned)
	b.held = b.held.minus(returned)
	b.tokens -= tokens
	b.capTokens()
	loan.seq++
	loan.isPending = true
	loan.requested = want
	loan.sentAt = now
	return ShareRequest{Share: loan.share, LoanRequest: LoanRequest{Seq: loan.seq, Applied: loan.appliedSeq, Hold: loan.holding, Tokens: tokens, Want: want}}
}

// chooseReturn returns the units of the loan to return and the tokens to return with them.
func (b *Borrower) chooseReturn(loan *borrowedLoan, n need) (Amount, float64) {
	if n.isIdle {
		tokens := min(b.tokens, b.limit.tokens(loan.holding.Burst))
		return loan.holding, tokens
	}
	var returned Amount
	needRate := b.limit.rateUnits(n.rate)
	if surplus := b.held.Rate - needRate; surplus > needRate/rateStepDivisor {
		returned.Rate = surplus
	}
	returned.Rate = max(returned.Rate, loan.holding.Rate-loan.target.Rate)
	keep := b.limit.burstUnits(2 * n.reserve)
	returned.Burst = max(b.held.Burst-keep, loan.holding.Burst-loan.target.Burst)
	if !b.usesFixedOrder() {
		returned.Burst = max(returned.Burst, b.emptyUnits(n))
	}
	returned = returned.nonNegative().min(loan.holding)
	left := b.limit.tokens(b.held.Burst - returned.Burst)
	return returned, min(max(0, b.tokens-left), b.limit.tokens(returned.Burst))
}
