package quota

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// relation is a borrower's side of its loan from one share.
type relation struct {
	share   int
	base    Amount // the most that can be lent of the share
	hold    Amount
	until   structs.Instant // hold is usable before this instant
	seq     uint64
	applied uint64
	pending bool
	asked   Amount // wanted by the pending request
	sentAt  structs.Instant
	target  Amount
	dry     structs.Instant // asked units were not to be had; not asked for more before this
	backOff time.Duration
}

// Borrower admits one account's requests at one gateway.
type Borrower struct {
	terms     LoanTerms
	policy    Policy
	limit     Limit
	place     Location
	first     int
	relations []relation // by share
	held      Amount
	tokens    float64
	last      structs.Instant
	demand    demand
	waiting   int
	answered  structs.Instant // last reply
	rules     rules
}

// NewBorrower makes the borrower of a gateway at the place.
func NewBorrower(now structs.Instant, account structs.AccountID, place Location, limit Limit, terms LoanTerms) *Borrower {
	b := &Borrower{
		terms:     terms,
		policy:    DefaultPolicy,
		limit:     limit,
		place:     place,
		first:     firstShare(account, place.Domains),
		relations: make([]relation, place.Domains*SharesPerDomain),
		last:      now,
	}
	for i := range b.relations {
		b.relations[i] = relation{share: i, base: BaseShare(account, i, place.Domains), target: Amount{Rate: TotalUnits, Burst: TotalUnits}}
	}
	return b
}

// SetLimit changes the account's limit from now on.
func (b *Borrower) SetLimit(now structs.Instant, limit Limit) {
	if limit == b.limit {
		return
	}
	b.advance(now)
	b.limit = limit
	b.clip()
}

// TryAdmit counts a new request and reports whether it is admitted at once.
func (b *Borrower) TryAdmit(now structs.Instant) bool {
	b.CountRequest(now)
	return b.TakeToken(now)
}

// CountRequest counts a new request that has to wait behind others.
func (b *Borrower) CountRequest(now structs.Instant) { b.demand.count(now, b.policy.DemandTau) }

// TakeToken admits one request when a token is there.
func (b *Borrower) TakeToken(now structs.Instant) bool {
	b.advance(now)
	if b.tokens < 1-tokenSlack {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// tokenSlack absorbs rounding of sums of refills.
const tokenSlack = 1e-9

// SetWaiting tells how many requests wait for a token.
func (b *Borrower) SetWaiting(n int) { b.waiting = n }

// ApplyGrant takes a reply of the share's holder. A reply to any but the
// latest request, or one that comes after its own term, is dropped.
func (b *Borrower) ApplyGrant(now structs.Instant, share int, grant Grant) error {
	b.advance(now)
	r := &b.relations[share]
	if !b.rules.applyTwice && (!r.pending || grant.Seq != r.seq) {
		return nil
	}
	asked := r.asked
	b.answered = now
	r.pending = false
	r.asked = Amount{}
	if grant.Lost {
		b.drop(r)
		return b.check()
	}
	from := r.sentAt
	if b.rules.termFromReceipt {
		from = now
	}
	until := from.Add(b.terms.Duration)
	if !now.Before(until) {
		return nil
	}
	r.until = until
	r.applied = grant.Seq
	r.target = grant.Target
	r.hold = r.hold.plus(grant.Add)
	b.held = b.held.plus(grant.Add)
	b.tokens += grant.Tokens
	b.clip()
	if grant.Add.Burst < asked.Burst || grant.Add.Rate < asked.Rate || grant.Tokens < b.limit.tokens(asked.Burst)/2 {
		b.backOff(now, r)
	} else if !asked.zero() {
		r.backOff = 0
	}
	return b.check()
}

// advance refills the bucket up to now, stopping each loan at its end.
func (b *Borrower) advance(now structs.Instant) {
	for {
		r := b.nextEnd(now)
		if r == nil {
			break
		}
		b.refill(r.until)
		b.drop(r)
	}
	b.refill(now)
}

// nextEnd returns the loan that ends first and not after now.
func (b *Borrower) nextEnd(now structs.Instant) *relation {
	var first *relation
	for i := range b.relations {
		r := &b.relations[i]
		if r.hold.zero() || now.Before(r.until) {
			continue
		}
		if first == nil || r.until.Before(first.until) {
			first = r
		}
	}
	return first
}

func (b *Borrower) refill(to structs.Instant) {
	elapsed := to.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.tokens += b.terms.refill(b.limit.perSecond(b.held.Rate), elapsed)
	b.clip()
	b.last = to
}

// drop ends a loan; tokens beyond the remaining cap are lost.
func (b *Borrower) drop(r *relation) {
	b.held = b.held.minus(r.hold)
	r.hold = Amount{}
	b.clip()
}

func (b *Borrower) clip() { b.tokens = min(b.tokens, b.limit.tokens(b.held.Burst)) }

// check asserts that the pool is the sum of the loans and within its cap.
func (b *Borrower) check() error {
	var sum Amount
	for i := range b.relations {
		sum = sum.plus(b.relations[i].hold)
		if !b.relations[i].hold.within(Amount{Rate: TotalUnits, Burst: TotalUnits}) {
			return violated("borrower_loan", "loan %v of share %d", b.relations[i].hold, i)
		}
	}
	if sum != b.held || !sum.within(Amount{Rate: TotalUnits, Burst: TotalUnits}) {
		return violated("borrower_conservation", "loans %v, counted %v", sum, b.held)
	}
	if limit := b.limit.tokens(b.held.Burst); b.tokens < 0 || b.tokens > limit {
		return violated("borrower_cap", "%v tokens, cap %v", b.tokens, limit)
	}
	return nil
}

// IsIdle reports whether the borrower holds nothing, awaits nothing and has had
// no request for a while, so that it may be forgotten. Its request numbers
// must not be used again: the owner of the borrower starts a new one under a
// later first number.
func (b *Borrower) IsIdle(now structs.Instant) bool {
	b.advance(now)
	if !b.held.zero() || b.waiting > 0 || now.Sub(b.demand.last) < b.policy.IdleTimeout {
		return false
	}
	for i := range b.relations {
		if b.relations[i].pending && now.Sub(b.relations[i].sentAt) < b.terms.Duration {
			return false
		}
	}
	return true
}

// SetFirstSeq sets the number of the first request to every holder.
func (b *Borrower) SetFirstSeq(seq uint64) {
	for i := range b.relations {
		b.relations[i].seq = seq
	}
}

// LastSeq returns the highest request number in use.
func (b *Borrower) LastSeq() uint64 {
	var last uint64
	for i := range b.relations {
		last = max(last, b.relations[i].seq)
	}
	return last
}

// HasNoReplySince reports whether the borrower holds no rate and no holder has
// replied since the instant.
func (b *Borrower) HasNoReplySince(since structs.Instant) bool {
	return b.held.Rate == 0 && b.answered.Before(since)
}

// RetryAfter estimates when a token will be there.
func (b *Borrower) RetryAfter() time.Duration {
	if b.limit.Rate <= 0 {
		return b.policy.IdleTimeout
	}
	wait := time.Duration(float64(b.waiting+1) / b.limit.Rate * float64(time.Second))
	return min(max(wait, b.policy.ShortageBackoff), b.policy.IdleTimeout)
}

// BorrowerState is a borrower's part of a state dump.
type BorrowerState struct {
	Held    Amount  `json:"held"`
	Tokens  float64 `json:"tokens"`
	Waiting int     `json:"waiting"`
	Demand  float64 `json:"demand_per_second"`
}

// State returns the borrower's state.
func (b *Borrower) State(now structs.Instant) BorrowerState {
	b.advance(now)
	return BorrowerState{Held: b.held, Tokens: b.tokens, Waiting: b.waiting, Demand: b.demand.rate(now, b.policy.DemandTau)}
}
