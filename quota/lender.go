package quota

import (
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// lentLoan is the lender's record of the loan of one borrower.
type lentLoan struct {
	seq       uint64
	amount    Amount
	need      Amount // held and wanted according to the last request
	expiresAt structs.Instant
	granted   Amount  // added by the reply to request seq
	tokens    float64 // moved by the reply to request seq
}

// Lender manages one base share of an account during one epoch of the slot's ownership. It
// keeps the share's free units and tokens and records its loans.
type Lender struct {
	terms      LoanTerms
	base       Amount
	limit      Limit
	opensAt    structs.Instant // loans of earlier epochs have expired
	refilledAt structs.Instant
	tokens     float64
	lent       Amount // sum of all loans
	need       Amount // sum of all borrowers' needs
	loans      map[structs.Incarnation]*lentLoan
	ruleFaults ruleFaults
}

// NewLender returns the lender of an epoch that began at epochStart. Loans of the previous
// epoch may be valid for one more loan duration. Until they have expired, the lender lends
// nothing and takes over the loans that borrowers state. Its bucket starts empty.
func NewLender(epochStart structs.Instant, base Amount, limit Limit, terms LoanTerms) *Lender {
	opensAt := epochStart.Add(terms.reclaimDelay())
	return &Lender{
		terms:      terms,
		base:       base,
		limit:      limit,
		opensAt:    opensAt,
		refilledAt: opensAt,
		loans:      make(map[structs.Incarnation]*lentLoan),
	}
}

// SetLimit changes the account's limit as of now.
func (l *Lender) SetLimit(now structs.Instant, limit Limit) {
	l.advance(now)
	l.limit = limit
	l.capTokens()
}

// Handle processes a borrower's request. It returns false, and no reply, if the request is
// not newer than the last one processed.
func (l *Lender) Handle(now structs.Instant, from structs.Incarnation, req LoanRequest) (Grant, bool, error) {
	l.advance(now)
	rec := l.loans[from]
	if rec != nil && req.Seq <= rec.seq && !l.ruleFaults.processesRepeats {
		return Grant{}, false, nil
	}
	if !l.isPlausible(now, rec, req.Hold) {
		return Grant{Seq: req.Seq, Lost: true}, true, l.checkInvariants()
	}
	if rec == nil {
		rec = &lentLoan{}
		l.loans[from] = rec
	}
	l.reconcile(now, rec, req)
	grant := l.grantLoan(now, rec, req)
	if rec.amount.isZero() && rec.need.isZero() {
		l.removeLoan(from, rec)
	}
	return grant, true, l.checkInvariants()
}

// isPlausible reports whether the amount that a borrower states as held can be correct. If
// the lender has no record of it, it can only be a loan of an earlier epoch. Such loans
// have expired when the lender opens.
func (l *Lender) isPlausible(now structs.Instant, rec *lentLoan, hold Amount) bool {
	if rec != nil {
		return hold.isWithin(rec.amount) || l.isClosed(now) && l.hasRoomFor(hold.minus(rec.amount).nonNegative())
	}
	if hold.isZero() {
		return true
	}
	return l.isClosed(now) && hold.isWithin(l.base) && l.hasRoomFor(hold)
}

func (l *Lender) hasRoomFor(more Amount) bool { return l.lent.plus(more).isWithin(l.base) }

// isClosed reports whether loans of an earlier epoch may still be valid. Until then the
// lender lends nothing.
func (l *Lender) isClosed(now structs.Instant) bool {
	return now.Before(l.opensAt) && !l.ruleFaults.startsFull
}

// reconcile sets the record to the amount that the borrower states as held. Tokens are
// accepted only together with returned units: the units of a reply that was never applied
// and the units that the borrower returned.
func (l *Lender) reconcile(now structs.Instant, rec *lentLoan, req LoanRequest) {
	returned := rec.amount.minus(req.Hold).nonNegative()
	tokens := req.Tokens
	if req.Applied != rec.seq {
		tokens += rec.tokens
	}
	tokens = min(tokens, l.limit.tokens(returned.Burst))
	l.lent = l.lent.plus(req.Hold).minus(rec.amount)
	l.need = l.need.plus(req.Hold.plus(req.Want)).minus(rec.need)
	rec.amount = req.Hold
	rec.need = req.Hold.plus(req.Want)
	rec.seq = max(rec.seq, req.Seq)
	rec.expiresAt = now.Add(l.terms.reclaimDelay())
	if !l.isClosed(now) {
		l.tokens += max(tokens, 0)
	}
	l.capTokens()
}

// grantLoan lends the borrower as much of the wanted amount as is available.
func (l *Lender) grantLoan(now structs.Instant, rec *lentLoan, req LoanRequest) Grant {
	grant := Grant{Seq: req.Seq, Target: l.fairTarget(rec)}
	rec.granted, rec.tokens = Amount{}, 0
	if l.isClosed(now) {
		grant.Target = rec.amount
		return grant
	}
	add := l.grantableAmount(req.Want.nonNegative())
	grant.Add = add
	grant.Tokens = min(l.tokens, l.limit.tokens(add.Burst))
	l.tokens -= grant.Tokens
	l.lent = l.lent.plus(add)
	rec.amount = rec.amount.plus(add)
	rec.granted, rec.tokens = add, grant.Tokens
	l.capTokens()
	return grant
}

// lenderHeadroom is the period for whose refill, at the rate that is not lent, a lender
// keeps burst units.
const lenderHeadroom = 20 * time.Millisecond

// A lender keeps at most 1/headroomDivisor of its free burst units for this refill.
const headroomDivisor = 4

// grantableAmount returns how much of the wanted amount can be lent. Burst units are lent up
// to the largest of three amounts: the units filled with tokens, the rate units of this
// grant, and the part of the free units whose refill rate is lent. Some free burst units
// stay with the lender for the refill of the remaining rate.
func (l *Lender) grantableAmount(want Amount) Amount {
	free := l.freeAmount()
	add := want.min(free)
	remaining := float64(free.Rate-add.Rate) / float64(l.base.Rate)
	idle := Units(float64(free.Burst) * (1 - remaining))
	backed := max(l.limit.burstUnits(l.tokens), add.Rate, idle)
	refillReserve := l.limit.perSecond(free.Rate-add.Rate) * lenderHeadroom.Seconds()
	keep := min(l.limit.burstUnits(refillReserve), free.Burst/headroomDivisor)
	add.Burst = min(add.Burst, backed, free.Burst-keep)
	return add
}

// fairTarget returns the size to which the borrower should reduce its loan: its proportional
// share if all borrowers together need more than the base share, else no restriction.
func (l *Lender) fairTarget(rec *lentLoan) Amount {
	return Amount{
		Rate:  fairUnits(rec.need.Rate, l.need.Rate, l.base.Rate),
		Burst: fairUnits(rec.need.Burst, l.need.Burst, l.base.Burst),
	}
}

func fairUnits(need, total, base Units) Units {
	if total <= base {
		return TotalUnits
	}
	return Units(float64(need) / float64(total) * float64(base))
}

func (l *Lender) freeAmount() Amount { return l.base.minus(l.lent).nonNegative() }

// ownAmount returns the units that set the refill rate and the capacity of the lender's own
// bucket.
func (l *Lender) ownAmount() Amount {
	if l.ruleFaults.refillsLentUnits {
		return l.base
	}
	return l.freeAmount()
}

// advance refills the bucket up to now and then removes expired loans, so that their units
// contribute to the refill only from now on.
func (l *Lender) advance(now structs.Instant) {
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens += l.terms.refill(l.limit.perSecond(l.ownAmount().Rate), elapsed)
		l.capTokens()
		l.refilledAt = now
	}
	for borrower, rec := range l.loans {
		if rec.expiresAt.Before(now) {
			l.removeLoan(borrower, rec)
		}
	}
}

func (l *Lender) removeLoan(borrower structs.Incarnation, rec *lentLoan) {
	l.lent = l.lent.minus(rec.amount)
	l.need = l.need.minus(rec.need)
	delete(l.loans, borrower)
}

func (l *Lender) capTokens() { l.tokens = min(l.tokens, l.limit.tokens(l.ownAmount().Burst)) }

// IsIdle reports whether the lender can be dropped: it has no loans, and a new lender of
// the same epoch would not have more tokens.
func (l *Lender) IsIdle(now structs.Instant) bool {
	l.advance(now)
	full := l.limit.tokens(l.base.Burst)
	return len(l.loans) == 0 && (now.Before(l.opensAt) || l.tokens >= full)
}

// checkInvariants checks that the loans add up to the recorded sums, that they do not exceed
// the base share, and that the tokens are within the bucket's capacity.
func (l *Lender) checkInvariants() error {
	var lent, need Amount
	for _, rec := range l.loans {
		lent = lent.plus(rec.amount)
		need = need.plus(rec.need)
	}
	if lent != l.lent || need != l.need || !lent.isWithin(l.base) {
		return invariantError("lender_conservation", "sum of loans %v, recorded %v, base share %v", lent, l.lent, l.base)
	}
	if limit := l.limit.tokens(l.ownAmount().Burst); l.tokens < 0 || l.tokens > limit {
		return invariantError("lender_cap", "%v tokens, capacity %v", l.tokens, limit)
	}
	return nil
}

// LenderState is the state of a Lender in a state dump.
type LenderState struct {
	Base    Amount        `json:"base"`
	Lent    Amount        `json:"lent"`
	Tokens  float64       `json:"tokens"`
	Loans   int           `json:"loans"`
	OpensIn time.Duration `json:"opens_in"`
}

// State returns the lender's state for a state dump.
func (l *Lender) State(now structs.Instant) LenderState {
	return LenderState{Base: l.base, Lent: l.lent, Tokens: l.tokens, Loans: len(l.loans), OpensIn: max(0, l.opensAt.Sub(now))}
}

func invariantError(name, format string, args ...any) error {
	return &structs.InvariantError{Package: "quota", Name: name, Detail: fmt.Sprintf(format, args...)}
}
