package quota

import "github.com/endivecourse/endivecourse/structs"

// Exchange is a message from a gateway to one quota holder, with loan requests for any
// number of accounts.
type Exchange struct {
	From     structs.Incarnation `msgpack:"f"`
	Requests []AccountRequest    `msgpack:"a"`
}

// AccountRequest is a LoanRequest for one share of an account.
type AccountRequest struct {
	Account     structs.AccountID `msgpack:"i"`
	Share       int               `msgpack:"s"`
	LoanRequest LoanRequest       `msgpack:"q"`
}

// ExchangeReply is the reply to an Exchange. It has no entry for repeated requests and for
// accounts that do not exist.
type ExchangeReply struct {
	Grants []AccountGrant `msgpack:"g"`
}

// AccountGrant is the Grant for one share of an account, or a redirect to its holder.
type AccountGrant struct {
	Account structs.AccountID `msgpack:"i"`
	Share   int               `msgpack:"s"`
	Grant   Grant             `msgpack:"g"`
	// IsRedirect is true if another scheduler holds the share. Owner is its address, or
	// empty if the address is unknown.
	IsRedirect bool   `msgpack:"n,omitempty"`
	Owner      string `msgpack:"o,omitempty"`
}

// LoanRequest is a borrower's request for one loan. It states the whole loan as it is once
// the request is sent.
type LoanRequest struct {
	// Seq increases with every request of a borrower for this loan.
	Seq uint64
	// Applied is the Seq of the last reply that the borrower applied.
	Applied uint64
	// Hold is the part of the loan that the borrower still holds.
	Hold Amount
	// Tokens are returned together with the units that Hold no longer contains.
	Tokens float64
	// Want is the amount that the borrower requests in addition to Hold.
	Want Amount
}

// Grant is the reply to a LoanRequest.
type Grant struct {
	Seq uint64
	// Add is lent in addition to the Hold of the request.
	Add Amount
	// Tokens are moved to the borrower together with the units of Add.
	Tokens float64
	// Target is the size to which the borrower should reduce the loan.
	Target Amount
	// Lost is true if the lender has no record of the stated loan. The borrower then
	// drops the loan.
	Lost bool
}
