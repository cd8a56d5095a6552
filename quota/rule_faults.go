package quota

// ruleFaults disables single rules of the protocol. Tests use it to show that the
// randomized simulation finds a violation when a rule is missing. The zero value is the
// complete protocol.
type ruleFaults struct {
	refillsLentUnits  bool // the lender's bucket also refills by the units that are lent
	appliesAllReplies bool // the borrower also applies duplicate and late replies
	countsFromReceipt bool // the borrower counts a loan's duration from the reply
	startsFull        bool // a new lender starts open and with a full bucket
	processesRepeats  bool // the lender also processes repeated requests
}
