package quota

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// borrowedLoan is the borrower's record of its loan from one share.
type borrowedLoan struct {
	share        int
	base         Amount // size of the share, the most that can be borrowed
	holding      Amount
	expiresAt    structs.Instant // holding is usable before this instant
	seq          uint64
	appliedSeq   uint64
	isPending    bool   // the request seq has no reply yet
	requested    Amount // additional amount in the pending request
	sentAt       structs.Instant
	target       Amount          // size to which the lender wants the loan reduced
	backOffUntil structs.Instant // no additional amount is requested before this instant
	backOff      time.Duration
}

// Borrower admits one account's requests at one gateway.
type Borrower struct {
	terms       LoanTerms
	policy      Policy
	limit       Limit
	location    Location
	startShare  int            // where a fixed order of the shares starts
	loans       []borrowedLoan // by share
	held        Amount         // sum of all holdings
	tokens      float64
	refilledAt  structs.Instant
	demand      demand
	waiting     int // requests that wait for a token
	lastReplyAt structs.Instant
	ruleFaults  ruleFaults
}

// NewBorrower returns the Borrower of an account for the gateway at the location. It has no
// loans yet.
func NewBorrower(now structs.Instant, account structs.AccountID, location Location, limit Limit, terms LoanTerms) *Borrower {
	b := &Borrower{
		terms:      terms,
		policy:     DefaultPolicy,
		limit:      limit,
		location:   location,
		startShare: firstShare(account, location.Domains),
		loans:      make([]borrowedLoan, location.Domains*SharesPerDomain),
		refilledAt: now,
	}
	for i := range b.loans {
		b.loans[i] = borrowedLoan{share: i, base: BaseShare(account, i, location.Domains), target: Amount{Rate: TotalUnits, Burst: TotalUnits}}
	}
	return b
}

// SetLimit changes the account's limit as of now.
func (b *Borrower) SetLimit(now structs.Instant, limit Limit) {
	if limit == b.limit {
		return
	}
	b.advance(now)
	b.limit = limit
	b.capTokens()
}

// TryAdmit counts a new request and takes a token for it. It reports whether there was one.
func (b *Borrower) TryAdmit(now structs.Instant) bool {
	b.CountRequest(now)
	return b.TakeToken(now)
}

// CountRequest adds a new request to the demand. Use it alone for a request that is queued
// behind others.
func (b *Borrower) CountRequest(now structs.Instant) { b.demand.countRequest(now, b.policy.DemandTau) }

// TakeToken takes a token for one request. It reports whether there was one.
func (b *Borrower) TakeToken(now structs.Instant) bool {
	b.advance(now)
	if b.tokens < 1-tokenTolerance {
		return false
	}
	b.tokens = max(0, b.tokens-1)
	return true
}

// tokenTolerance allows for rounding errors in sums of refills.
const tokenTolerance = 1e-9

// SetWaiting sets the number of requests that wait for a token.
func (b *Borrower) SetWaiting(n int) { b.waiting = n }

// ApplyGrant applies a reply of the share's holder. It drops a reply that does not belong
// to the latest request or arrives after the loan has expired.
func (b *Borrower) ApplyGrant(now structs.Instant, share int, grant Grant) error {
	b.advance(now)
	loan := &b.loans[share]
	if !b.ruleFaults.appliesAllReplies && (!loan.isPending || grant.Seq != loan.seq) {
		return nil
	}
	requested := loan.requested
	b.lastReplyAt = now
	loan.isPending = false
	loan.requested = Amount{}
	if grant.Lost {
		b.dropLoan(loan)
		return b.checkInvariants()
	}
	from := loan.sentAt
	if b.ruleFaults.countsFromReceipt {
		from = now
	}
	until := from.Add(b.terms.Duration)
	if !now.Before(until) {
		return nil
	}
	loan.expiresAt = until
	loan.appliedSeq = grant.Seq
	loan.target = grant.Target
	loan.holding = loan.holding.plus(grant.Add)
	b.held = b.held.plus(grant.Add)
	b.tokens += grant.Tokens
	b.capTokens()
	if grant.Add.Burst < requested.Burst || grant.Add.Rate < requested.Rate || grant.Tokens < b.limit.tokens(requested.Burst)/2 {
		b.backOff(now, loan)
	} else if !requested.isZero() {
		loan.backOff = 0
	}
	return b.checkInvariants()
}

// advance refills the bucket up to now and drops each loan at the time it expires.
func (b *Borrower) advance(now structs.Instant) {
	for {
		loan := b.nextExpiredLoan(now)
		if loan == nil {
			break
		}
		b.refill(loan.expiresAt)
		b.dropLoan(loan)
	}
	b.refill(now)
}

// nextExpiredLoan returns the loan that expired first, or nil if none has expired by now.
func (b *Borrower) nextExpiredLoan(now structs.Instant) *borrowedLoan {
	var first *borrowedLoan
	for i := range b.loans {
		loan := &b.loans[i]
		if loan.holding.isZero() || now.Before(loan.expiresAt) {
			continue
		}
		if first == nil || loan.expiresAt.Before(first.expiresAt) {
			first = loan
		}
	}
	return first
}

func (b *Borrower) refill(to structs.Instant) {
	elapsed := to.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.tokens += b.terms.refill(b.limit.perSecond(b.held.Rate), elapsed)
	b.capTokens()
	b.refilledAt = to
}

// dropLoan ends a loan. Tokens above the remaining capacity are lost.
func (b *Borrower) dropLoan(loan *borrowedLoan) {
	b.held = b.held.minus(loan.holding)
	loan.holding = Amount{}
	b.capTokens()
}

func (b *Borrower) capTokens() { b.tokens = min(b.tokens, b.limit.tokens(b.held.Burst)) }

// checkInvariants checks that the holdings add up to held and that the tokens are within
// the bucket's capacity.
func (b *Borrower) checkInvariants() error {
	var sum Amount
	for i := range b.loans {
		sum = sum.plus(b.loans[i].holding)
		if !b.loans[i].holding.isWithin(Amount{Rate: TotalUnits, Burst: TotalUnits}) {
			return invariantError("borrower_loan", "loan %v of share %d is negative or exceeds the total", b.loans[i].holding, i)
		}
	}
	if sum != b.held || !sum.isWithin(Amount{Rate: TotalUnits, Burst: TotalUnits}) {
		return invariantError("borrower_conservation", "sum of loans %v, recorded %v", sum, b.held)
	}
	if limit := b.limit.tokens(b.held.Burst); b.tokens < 0 || b.tokens > limit {
		return invariantError("borrower_cap", "%v tokens, capacity %v", b.tokens, limit)
	}
	return nil
}

// IsIdle reports whether the borrower can be dropped: it has no loans, no waiting requests
// and no pending loan request whose reply could still be applied, and the last request is at
// least IdleTimeout ago. Its sequence numbers must not be used again, so a later Borrower of
// the account must start above LastSeq (see SetFirstSeq).
func (b *Borrower) IsIdle(now structs.Instant) bool {
	b.advance(now)
	if !b.held.isZero() || b.waiting > 0 || now.Sub(b.demand.lastRequestAt) < b.policy.IdleTimeout {
		return false
	}
	for i := range b.loans {
		if b.loans[i].isPending && now.Sub(b.loans[i].sentAt) < b.terms.Duration {
			return false
		}
	}
	return true
}

// SetFirstSeq sets the sequence number after which the requests for each share are
// numbered.
func (b *Borrower) SetFirstSeq(seq uint64) {
	for i := range b.loans {
		b.loans[i].seq = seq
	}
}

// LastSeq returns the highest sequence number used for any share.
func (b *Borrower) LastSeq() uint64 {
	var last uint64
	for i := range b.loans {
		last = max(last, b.loans[i].seq)
	}
	return last
}

// HasNoReplySince reports whether the borrower holds no rate units and no quota holder has
// replied since the instant.
func (b *Borrower) HasNoReplySince(since structs.Instant) bool {
	return b.held.Rate == 0 && b.lastReplyAt.Before(since)
}

// RetryAfter estimates the time until a token is available.
func (b *Borrower) RetryAfter() time.Duration {
	if b.limit.Rate <= 0 {
		return b.policy.IdleTimeout
	}
	wait := time.Duration(float64(b.waiting+1) / b.limit.Rate * float64(time.Second))
	return min(max(wait, b.policy.ShortageBackoff), b.policy.IdleTimeout)
}

// BorrowerState is the state of a Borrower in a state dump.
type BorrowerState struct {
	Held    Amount  `json:"held"`
	Tokens  float64 `json:"tokens"`
	Waiting int     `json:"waiting"`
	Demand  float64 `json:"demand_per_second"`
}

// State returns the borrower's state for a state dump.
func (b *Borrower) State(now structs.Instant) BorrowerState {
	b.advance(now)
	return BorrowerState{Held: b.held, Tokens: b.tokens, Waiting: b.waiting, Demand: b.demand.rate(now, b.policy.DemandTau)}
}
