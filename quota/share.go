package quota

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Units counts equal parts of an account's whole rate or whole burst.
type Units int64

// TotalUnits is the number of units of the whole.
const TotalUnits Units = 1 << 30

// Amount is a part of an account's rate and of its burst.
type Amount struct {
	Rate  Units `json:"rate_units"`
	Burst Units `json:"burst_units"`
}

func (p Amount) plus(q Amount) Amount { return Amount{Rate: p.Rate + q.Rate, Burst: p.Burst + q.Burst} }
func (p Amount) minus(q Amount) Amount {
	return Amount{Rate: p.Rate - q.Rate, Burst: p.Burst - q.Burst}
}
func (p Amount) min(q Amount) Amount {
	return Amount{Rate: min(p.Rate, q.Rate), Burst: min(p.Burst, q.Burst)}
}
func (p Amount) positive() Amount { return Amount{Rate: max(p.Rate, 0), Burst: max(p.Burst, 0)} }
func (p Amount) zero() bool       { return p == Amount{} }
func (p Amount) within(q Amount) bool {
	return p.Rate >= 0 && p.Burst >= 0 && p.Rate <= q.Rate && p.Burst <= q.Burst
}

// Limit is an account's rate in requests per second and its burst in requests.
type Limit struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// perSecond returns the rate that the units are worth.
func (l Limit) perSecond(u Units) float64 { return l.Rate * float64(u) / float64(TotalUnits) }

// tokens returns the burst that the units are worth.
func (l Limit) tokens(u Units) float64 { return l.Burst * float64(u) / float64(TotalUnits) }

// burstUnits returns the fewest units that are worth the tokens.
func (l Limit) burstUnits(tokens float64) Units { return unitsFor(tokens, l.Burst) }

// rateUnits returns the fewest units that are worth the rate.
func (l Limit) rateUnits(perSecond float64) Units { return unitsFor(perSecond, l.Rate) }

func unitsFor(amount, whole float64) Units {
	if amount <= 0 || whole <= 0 {
		return 0
	}
	if amount >= whole {
		return TotalUnits
	}
	u := Units(amount / whole * float64(TotalUnits))
	if float64(u)/float64(TotalUnits)*whole < amount {
		u++
	}
	return min(u, TotalUnits)
}

// SharesPerDomain is how many base shares of an account each domain has. They
// belong to different slots, so that one holder's end leaves the others. All
// processes have to agree on it.
const SharesPerDomain = 3

// DomainOfShare returns the index of the domain that has the share.
func DomainOfShare(share int) int { return share / SharesPerDomain }

// SlotOfShare returns the slot, in the share's domain, whose owner holds it.
func SlotOfShare(account structs.AccountID, share, slots int) structs.Slot {
	first := int(structs.SlotOf(string(account), slots))
	step := max(1, slots/SharesPerDomain)
	return structs.Slot((first + share%SharesPerDomain*step) % slots)
}

// BaseShare returns the base share of the given index among those of the given
// number of domains. Remainders go to shares by the account's hash, so that
// all shares sum to the whole.
func BaseShare(account structs.AccountID, share, domains int) Amount {
	n := domains * SharesPerDomain
	units := TotalUnits / Units(n)
	rank := (share + n - firstShare(account, domains)) % n
	if Units(rank) < TotalUnits%Units(n) {
		units++
	}
	return Amount{Rate: units, Burst: units}
}

// firstShare returns the share that an account's gateways ask first when they
// have to ask several in a common order.
func firstShare(account structs.AccountID, domains int) int {
	return int(structs.SlotOf(string(account), domains)) * SharesPerDomain
}

// Location is where a gateway is: the index of its domain among the sorted
// domains of the deployment, and a number that spreads the gateways of a
// domain over its shares.
type Location struct {
	Domain, Domains, ShareOffset int
}

// LoanTerms are the durations that lenders and borrowers agree on.
type LoanTerms struct {
	// Duration is how long a loan runs on after the request that renewed it.
	Duration time.Duration
	// MaxClockDrift bounds the relative error of each clock's rate.
	MaxClockDrift float64
}

// DefaultLoanTerms are the terms of a deployment.
var DefaultLoanTerms = LoanTerms{Duration: time.Second, MaxClockDrift: 0.01}

// refill returns the tokens of a rate over a time by this process's clock,
// which may run fast.
func (t LoanTerms) refill(perSecond float64, elapsed time.Duration) float64 {
	return perSecond * elapsed.Seconds() / (1 + t.MaxClockDrift)
}

// reclaimAfter returns how long a lender waits before it reuses what it lent.
func (t LoanTerms) reclaimAfter() time.Duration {
	return t.Duration + time.Duration(2*t.MaxClockDrift*float64(t.Duration)) + time.Millisecond
}
