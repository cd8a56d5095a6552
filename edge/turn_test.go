package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/structs"
)

// Guards against BUDGET: a stream that may be sent again must not begin without tokens after
// its reservation was refused.
func TestRefusedReservationStaysRefused(t *testing.T) {
	for _, err := range []error{&ledger.BudgetSpentError{}, &ledger.BudgetReservedError{}} {
		reserved := make(chan error, 1)
		reserved <- err
		x := &exchange{turn: &turn{reserved: reserved}}
		for range 3 {
			refusal := x.awaitReservation(t.Context(), nil)
			assert.Assert(t, refusal != nil)
			assert.Equal(t, refusal.Run, structs.RunNo)
		}
	}
}

func TestGrantedReservationIsAwaitedOnce(t *testing.T) {
	reserved := make(chan error, 1)
	reserved <- nil
	x := &exchange{turn: &turn{reserved: reserved}}
	for range 2 {
		assert.Assert(t, x.awaitReservation(t.Context(), nil) == nil)
	}
}
