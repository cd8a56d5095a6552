// Package quota divides the rate and burst of a client account among the gateways of all
// failure domains. It is a deterministic state machine without clock, goroutine or I/O.
//
// An account's rate and burst are each divided into TotalUnits integer units. Every
// failure domain has SharesPerDomain base shares of these units. Their sizes depend only
// on the account and on the number of domains. Each share belongs to a slot, and the
// scheduler that owns the slot runs the share's Lender: it is the quota holder. The
// lender lends units to the gateways of all domains. A gateway's Borrower has one loan
// per share and one token bucket for all its loans together.
//
// Three rules keep the limit:
//   - A unit is usable in one place at a time. A lender does not use a lent unit for its
//     own bucket until the loan is returned or has expired. It counts the loan's duration
//     from the grant, the borrower from its request, so the borrower stops first.
//   - Tokens are moved, never copied, and only together with burst units. All tokens
//     together therefore never exceed the burst.
//   - Tokens accrue only at the rate of the units held.
//
// Hence all gateways together admit at most rate x time + burst requests in any period.
//
// One exchange of messages renews, enlarges and reduces a loan. A borrower numbers its
// requests, states in each what it holds, and applies only the reply to its latest
// request. When a lender receives a higher number, it can therefore set its record to the
// stated amount, no matter which messages were lost or duplicated before.
//
// A change of an account's limit changes the value of a unit, but not who holds it. Until
// every process has the new limit, the larger of the old and the new limit applies.
package quota
