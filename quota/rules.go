package quota

// rules switches single rules of the protocol off, for tests that show that
// the randomised run finds a violation without them. The zero value is the
// protocol.
type rules struct {
	refillWhileLent bool // the lender refills as if nothing were lent
	applyTwice      bool // the borrower applies repeated and late replies
	termFromReceipt bool // the borrower counts the term from the reply
	startFull       bool // a new holder neither waits nor starts empty
	returnTwice     bool // the lender processes repeated requests
}
