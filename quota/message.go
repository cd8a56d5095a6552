package quota

// Ask is a borrower's request about one account. It states the whole loan as
// it stands once the request is sent.
type Ask struct {
	// Seq grows with every request of a borrower to one domain.
	Seq uint64 `msgpack:"s"`
	// Applied is the Seq of the last reply that the borrower applied.
	Applied uint64 `msgpack:"p,omitempty"`
	// Hold is what the borrower still holds of the loan.
	Hold Part `msgpack:"h"`
	// Tokens are given back along with the units by which Hold shrank.
	Tokens float64 `msgpack:"t,omitempty"`
	// Want is what the borrower asks for in addition to Hold.
	Want Part `msgpack:"w"`
}

// Grant answers an Ask.
type Grant struct {
	Seq uint64 `msgpack:"s"`
	// Add is lent in addition to what the request stated as held.
	Add Part `msgpack:"a"`
	// Tokens are moved to the borrower along with the units of Add.
	Tokens float64 `msgpack:"t,omitempty"`
	// Target is the loan that the lender wishes the borrower to shrink to.
	Target Part `msgpack:"g"`
	// Lost says that the lender does not know the stated loan: the borrower
	// drops it.
	Lost bool `msgpack:"l,omitempty"`
}
