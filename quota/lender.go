package quota

import (
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// loan is a lender's record of what one borrower may use.
type loan struct {
	seq    uint64
	part   Amount
	need   Amount
	until  structs.Instant
	added  Amount  // by the reply to seq
	tokens float64 // moved by the reply to seq
}

// Lender keeps one account's base share of one failure domain during one epoch
// of its holder.
type Lender struct {
	terms  LoanTerms
	base   Amount
	limit  Limit
	opens  structs.Instant
	last   structs.Instant
	tokens float64
	lent   Amount
	need   Amount
	loans  map[structs.Incarnation]*loan
	rules  rules
}

// NewLender makes the lender of an epoch that began at the given instant. Its
// predecessor's loans may run on for one term: until then it lends nothing and
// takes over the loans that their borrowers present. Its bucket starts empty.
func NewLender(epochStart structs.Instant, base Amount, limit Limit, terms LoanTerms) *Lender {
	opens := epochStart.Add(terms.reclaimAfter())
	return &Lender{
		terms: terms,
		base:  base,
		limit: limit,
		opens: opens,
		last:  opens,
		loans: make(map[structs.Incarnation]*loan),
	}
}

// SetLimit changes the account's limit from now on.
func (l *Lender) SetLimit(now structs.Instant, limit Limit) {
	l.advance(now)
	l.limit = limit
	l.clip()
}

// Handle processes a borrower's request. It reports false when the request is
// older than one processed before: it has no reply.
func (l *Lender) Handle(now structs.Instant, from structs.Incarnation, ask LoanRequest) (Grant, bool, error) {
	l.advance(now)
	rec := l.loans[from]
	if rec != nil && ask.Seq <= rec.seq && !l.rules.returnTwice {
		return Grant{}, false, nil
	}
	if !l.acceptable(now, rec, ask.Hold) {
		return Grant{Seq: ask.Seq, Lost: true}, true, l.check()
	}
	if rec == nil {
		rec = &loan{}
		l.loans[from] = rec
	}
	l.reconcile(now, rec, ask)
	grant := l.lend(now, rec, ask)
	if rec.part.zero() && rec.need.zero() {
		l.remove(from, rec)
	}
	return grant, true, l.check()
}

// acceptable reports whether the stated holding can be true. Without a record
// it can only be a loan of an earlier epoch, which has ended once the lender
// opens.
func (l *Lender) acceptable(now structs.Instant, rec *loan, hold Amount) bool {
	if rec != nil {
		return hold.within(rec.part) || l.quarantined(now) && l.fits(hold.minus(rec.part).positive())
	}
	if hold.zero() {
		return true
	}
	return l.quarantined(now) && hold.within(l.base) && l.fits(hold)
}

func (l *Lender) fits(more Amount) bool { return l.lent.plus(more).within(l.base) }

func (l *Lender) quarantined(now structs.Instant) bool {
	return now.Before(l.opens) && !l.rules.startFull
}

// reconcile sets the record to the stated holding. Tokens come back only under
// units that come back: those of a reply that was never applied, and those
// that the borrower gave up.
func (l *Lender) reconcile(now structs.Instant, rec *loan, ask LoanRequest) {
	back := rec.part.minus(ask.Hold).positive()
	tokens := ask.Tokens
	if ask.Applied != rec.seq {
		tokens += rec.tokens
	}
	tokens = min(tokens, l.limit.tokens(back.Burst))
	l.lent = l.lent.plus(ask.Hold).minus(rec.part)
	l.need = l.need.plus(ask.Hold.plus(ask.Want)).minus(rec.need)
	rec.part = ask.Hold
	rec.need = ask.Hold.plus(ask.Want)
	rec.seq = max(rec.seq, ask.Seq)
	rec.until = now.Add(l.terms.reclaimAfter())
	if !l.quarantined(now) {
		l.tokens += max(tokens, 0)
	}
	l.clip()
}

// lend grants what is free of what the borrower wants.
func (l *Lender) lend(now structs.Instant, rec *loan, ask LoanRequest) Grant {
	grant := Grant{Seq: ask.Seq, Target: l.target(rec)}
	rec.added, rec.tokens = Amount{}, 0
	if l.quarantined(now) {
		grant.Target = rec.part
		return grant
	}
	add := l.grantable(ask.Want.positive())
	grant.Add = add
	grant.Tokens = min(l.tokens, l.limit.tokens(add.Burst))
	l.tokens -= grant.Tokens
	l.lent = l.lent.plus(add)
	rec.part = rec.part.plus(add)
	rec.added, rec.tokens = add, grant.Tokens
	l.clip()
	return grant
}

// lenderHeadroom is the refill of its remaining rate that a lender keeps burst
// units for.
const lenderHeadroom = 20 * time.Millisecond

// maxHeadroomShare bounds the units kept, as a divisor of those that are free.
const maxHeadroomShare = 4

// grantable returns what of the wanted part the lender parts with. Burst units
// go with tokens, along with rate, or because the rate to refill them is lent;
// rate that stays keeps units to refill.
func (l *Lender) grantable(want Amount) Amount {
	free := l.free()
	add := want.min(free)
	remaining := float64(free.Rate-add.Rate) / float64(l.base.Rate)
	idle := Units(float64(free.Burst) * (1 - remaining))
	backed := max(l.limit.burstUnits(l.tokens), add.Rate, idle)
	stays := l.limit.perSecond(free.Rate-add.Rate) * lenderHeadroom.Seconds()
	keep := min(l.limit.burstUnits(stays), free.Burst/maxHeadroomShare)
	add.Burst = min(add.Burst, backed, free.Burst-keep)
	return add
}

// target returns the borrower's fair part when all borrowers together need
// more than the base share.
func (l *Lender) target(rec *loan) Amount {
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

func (l *Lender) free() Amount { return l.base.minus(l.lent).positive() }

// own is the part that the lender's bucket refills by and is capped by.
func (l *Lender) own() Amount {
	if l.rules.refillWhileLent {
		return l.base
	}
	return l.free()
}

// advance refills the bucket up to now and then ends the loans whose time is
// over, so that their units refill only from now on.
func (l *Lender) advance(now structs.Instant) {
	if elapsed := now.Sub(l.last); elapsed > 0 {
		l.tokens += l.terms.refill(l.limit.perSecond(l.own().Rate), elapsed)
		l.clip()
		l.last = now
	}
	for borrower, rec := range l.loans {
		if rec.until.Before(now) {
			l.remove(borrower, rec)
		}
	}
}

func (l *Lender) remove(borrower structs.Incarnation, rec *loan) {
	l.lent = l.lent.minus(rec.part)
	l.need = l.need.minus(rec.need)
	delete(l.loans, borrower)
}

func (l *Lender) clip() { l.tokens = min(l.tokens, l.limit.tokens(l.own().Burst)) }

// IsIdle reports whether a new lender of the same epoch would be in no better
// state, so that this one may be forgotten.
func (l *Lender) IsIdle(now structs.Instant) bool {
	l.advance(now)
	full := l.limit.tokens(l.base.Burst)
	return len(l.loans) == 0 && (now.Before(l.opens) || l.tokens >= full)
}

// check asserts that own and lent parts make up the base share and that the
// bucket is within its cap.
func (l *Lender) check() error {
	var lent, need Amount
	for _, rec := range l.loans {
		lent = lent.plus(rec.part)
		need = need.plus(rec.need)
	}
	if lent != l.lent || need != l.need || !lent.within(l.base) {
		return violated("lender_conservation", "loans %v, counted %v, base %v", lent, l.lent, l.base)
	}
	if limit := l.limit.tokens(l.own().Burst); l.tokens < 0 || l.tokens > limit {
		return violated("lender_cap", "%v tokens, cap %v", l.tokens, limit)
	}
	return nil
}

// LenderState is a lender's part of a state dump.
type LenderState struct {
	Base    Amount        `json:"base"`
	Lent    Amount        `json:"lent"`
	Tokens  float64       `json:"tokens"`
	Loans   int           `json:"loans"`
	OpensIn time.Duration `json:"opens_in"`
}

// State returns the lender's state.
func (l *Lender) State(now structs.Instant) LenderState {
	return LenderState{Base: l.base, Lent: l.lent, Tokens: l.tokens, Loans: len(l.loans), OpensIn: max(0, l.opens.Sub(now))}
}

func violated(name, format string, args ...any) error {
	return &structs.InvariantError{Package: "quota", Name: name, Detail: fmt.Sprintf(format, args...)}
}
