package admission

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// Guards against an account that crowds out the others of its rank: of 40 free slots, an
// account with 80 waiting requests of earlier deadlines gets no more than the one with 20.
func TestWaitingAccountsShareFreeSlots(t *testing.T) {
	var q Queue
	for i := range 100 {
		account := structs.AccountID("large")
		if i >= 80 {
			account = "small"
		}
		q.Add(0, &Request{Account: account, ProgramDeadline: structs.Instant(i)})
	}
	granted := make(map[structs.AccountID]int)
	for range 40 {
		first := q.First(0)
		granted[first.Account]++
		q.Grant(0, first)
	}
	assert.DeepEqual(t, granted, map[structs.AccountID]int{"large": 20, "small": 20})
}
