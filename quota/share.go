package quota

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Units is a number of equal parts of an account's rate or burst.
type Units int64

// TotalUnits is the number of units of an account's whole rate, and of its whole burst.
const TotalUnits Units = 1 << 30

// Amount is a number of rate units and of burst units of one account.
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
func (p Amount) nonNegative() Amount { return Amount{Rate: max(p.Rate, 0), Burst: max(p.Burst, 0)} }
func (p Amount) isZero() bool        { return p == Amount{} }
func (p Amount) isWithin(q Amount) bool {
	return p.Rate >= 0 && p.Burst >= 0 && p.Rate <= q.Rate && p.Burst <= q.Burst
}

// Limit is an account's rate in requests per second and its burst in requests.
type Limit struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// perSecond returns the rate, in requests per second, of a number of rate units.
func (l Limit) perSecond(u Units) float64 { return l.Rate * float64(u) / float64(TotalUnits) }

// tokens returns the number of tokens that burst units can hold.
func (l Limit) tokens(u Units) float64 { return l.Burst * float64(u) / float64(TotalUnits) }

// burstUnits returns the smallest number of burst units that can hold the tokens.
func (l Limit) burstUnits(tokens float64) Units { return unitsFor(tokens, l.Burst) }

// rateUnits returns the smallest number of rate units that provide the rate.
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

// SharesPerDomain is the number of base shares of an account in each domain. They belong
// to different slots, so that the others remain available when one holder fails. All
// processes must use the same value.
const SharesPerDomain = 3

// DomainOfShare returns the index of the domain that the share belongs to.
func DomainOfShare(share int) int { return share / SharesPerDomain }

// SlotOfShare returns the slot, in the share's domain, whose owner holds the share.
func SlotOfShare(account structs.AccountID, share, slots int) structs.Slot {
	first := int(structs.SlotOf(string(account), slots))
	step := max(1, slots/SharesPerDomain)
	return structs.Slot((first + share%SharesPerDomain*step) % slots)
}

// BaseShare returns the size of the base share with the given index in a deployment with
// the given number of domains. Units that remain after even division are given to the
// first shares, counted from a start that depends on the account's hash, so that all
// shares add up to TotalUnits.
func BaseShare(account structs.AccountID, share, domains int) Amount {
	n := domains * SharesPerDomain
	units := TotalUnits / Units(n)
	rank := (share + n - firstShare(account, domains)) % n
	if Units(rank) < TotalUnits%Units(n) {
		units++
	}
	return Amount{Rate: units, Burst: units}
}

// firstShare returns the share at which all gateways start when they must request an
// account's shares in the same order.
func firstShare(account structs.AccountID, domains int) int {
	return int(structs.SlotOf(string(account), domains)) * SharesPerDomain
}

// Location describes where a gateway is: the index of its domain in the sorted list of
// domains, the number of domains, and an offset that makes the gateways of a domain start
// with different shares of it.
type Location struct {
	Domain, Domains, ShareOffset int
}

// LoanTerms are the parameters that lenders and borrowers must share.
type LoanTerms struct {
	// Duration is how long a loan is valid after the request that renewed it.
	Duration time.Duration
	// MaxClockDrift is the largest relative error of the speed of each process's clock.
	MaxClockDrift float64
}

// DefaultLoanTerms are the default loan terms.
var DefaultLoanTerms = LoanTerms{Duration: time.Second, MaxClockDrift: 0.01}

// refill returns the tokens that accrue at a rate during a time measured by this process's
// clock. It assumes that the clock is as fast as MaxClockDrift allows.
func (t LoanTerms) refill(perSecond float64, elapsed time.Duration) float64 {
	return perSecond * elapsed.Seconds() / (1 + t.MaxClockDrift)
}

// reclaimDelay returns how long after a grant the lender may use lent units again. The
// borrower counts Duration by its own clock, and both clocks may drift.
func (t LoanTerms) reclaimDelay() time.Duration {
	return t.Duration + time.Duration(2*t.MaxClockDrift*float64(t.Duration)) + time.Millisecond
}
