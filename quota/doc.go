// Package quota decides how an account's rate and burst are shared among the
// gateways of all failure domains. It has no clock, goroutine or I/O.
//
// The whole of an account is divided into integer units of rate and of burst.
// Every failure domain has SharesPerDomain base shares of them that depend on
// the account and the list of domains alone. A share's holder, a Lender, is the
// scheduler that owns the share's slot; it lends parts of the share to gateways
// of any domain. A gateway, a Borrower, keeps one loan per share and pools what
// it borrowed in one token bucket.
//
// Safety rests on three facts. A unit is usable in one place at a time: the
// lender excludes lent units from its own bucket until the loan is given back
// or its term, counted from the grant, has ended; the borrower counts the same
// term from the request, so it stops first. Tokens are moved, never copied, and
// travel only under burst units that travel with them, so that all tokens
// together never exceed the burst. Tokens accrue only at the rate of the units
// in hand. Hence the requests admitted by all gateways in any window stay
// within rate x time + burst.
//
// One exchange renews, enlarges and reduces a loan. The borrower numbers its
// requests and states what it holds; it applies only the reply to its latest
// request. A lender that sees a later number may therefore set its record to
// the stated holding, whatever was lost or repeated before.
//
// A change of an account's limit changes the value of a unit, not who holds
// it. Until every process has the change, the bound is that of the larger of
// the old and the new limit.
package quota
