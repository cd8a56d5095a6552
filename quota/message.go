package quota

import "github.com/endivecourse/endivecourse/structs"

// Exchange carries a gateway's requests about many accounts to one holder.
type Exchange struct {
	From     structs.Incarnation `msgpack:"f"`
	Requests []AccountRequest    `msgpack:"a"`
}

// AccountRequest is an Ask about one account.
type AccountRequest struct {
	Account     structs.AccountID `msgpack:"i"`
	Share       int               `msgpack:"s"`
	LoanRequest LoanRequest       `msgpack:"q"`
}

// ExchangeReply answers an Exchange. Requests that were repeated or concern an
// unknown account have no reply.
type ExchangeReply struct {
	Grants []AccountGrant `msgpack:"g"`
}

// AccountGrant is a Grant of one account, or says who holds the account.
type AccountGrant struct {
	Account structs.AccountID `msgpack:"i"`
	Share   int               `msgpack:"s"`
	Grant   Grant             `msgpack:"g"`
	// IsRedirect says that the account is held elsewhere, at Owner if known.
	IsRedirect bool   `msgpack:"n,omitempty"`
	Owner      string `msgpack:"o,omitempty"`
}

// LoanRequest is a borrower's request about one account. It states the whole loan as
// it stands once the request is sent.
type LoanRequest struct {
	// Seq grows with every request of a borrower to one domain.
	Seq uint64
	// Applied is the Seq of the last reply that the borrower applied.
	Applied uint64
	// Hold is what the borrower still holds of the loan.
	Hold Amount
	// Tokens are given back along with the units by which Hold shrank.
	Tokens float64
	// Want is what the borrower asks for in addition to Hold.
	Want Amount
}

// Grant answers an Ask.
type Grant struct {
	Seq uint64
	// Add is lent in addition to what the request stated as held.
	Add Amount
	// Tokens are moved to the borrower along with the units of Add.
	Tokens float64
	// Target is the loan that the lender wishes the borrower to shrink to.
	Target Amount
	// Lost says that the lender does not know the stated loan: the borrower
	// drops it.
	Lost bool
}
