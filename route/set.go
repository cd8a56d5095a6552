package route

import (
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

// TargetSet is a list of candidates that is read without being copied. A candidate
// that takes no calls now has a Limit of 0.
type TargetSet interface {
	Len() int
	At(i int) Target
	Find(id structs.TargetID) (Target, bool)
}

// TargetSetPolicy is a Policy that looks at a part of the candidates only, so that
// the cost of a decision does not grow with their number.
type TargetSetPolicy interface {
	Policy
	// ChooseFrom is Choose among the targets of the own failure domain and
	// those of the others.
	ChooseFrom(now structs.Instant, item queue.Item, own, others TargetSet) (structs.TargetID, bool)
}

// ProgramForgetter is a Policy that remembers programs until they end.
type ProgramForgetter interface {
	ForgetProgram(structs.ProgramID)
}
