package conversation

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// Guards against BUDGET, as in review/7: a home VM wakes from a freeze and still serves the call
// that stores a turn, which another VM has stored meanwhile. The two turns that continue it, one
// at each VM, must not share a reservation, so that the tokens of one are not counted.
func TestLateFinishAtFrozenHomeSharesNoReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		frozen, other := newLocal(store), newLocal(store)
		assert.NilError(t, frozen.Reserve(t.Context(), reserveRequest("1")))
		first := finishRequest("1")
		assert.NilError(t, other.Finish(t.Context(), first))
		time.Sleep(time.Second)
		assert.NilError(t, frozen.Finish(t.Context(), first))
		turns := map[structs.RequestID]*Local{"2": frozen, "3": other}
		for id, vm := range turns {
			next := reserveRequest(string(id))
			next.AdvanceKey = "1"
			assert.NilError(t, vm.Reserve(t.Context(), next))
		}
		for id, vm := range turns {
			assert.NilError(t, vm.Finish(t.Context(), finishRequest(string(id))))
		}
		row, err := rowstore.Get(t.Context(), store, rowstore.Key{Table: "budgets", Partition: "p", Key: program.Key()})
		assert.NilError(t, err)
		var balance ledger.Balance
		assert.NilError(t, msgpack.Unmarshal(row.Value, &balance))
		assert.Equal(t, balance.Spent, int64(3*first.Tokens))
	})
}

// settle settles a turn in the background, and repeats that until it is stored.
func (vm *holdVM) settle(turn structs.RequestID, tokens int64) {
	req := SettleRequest{Program: program, Turn: turn, Tokens: tokens}
	if vm.local.Holds.Settle(req) {
		return
	}
	go func() {
		for vm.local.Settle(context.Background(), req) != nil {
			time.Sleep(settlePause)
		}
	}()
}
