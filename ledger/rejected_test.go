package ledger

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// rejectingStore rejects transactions that put a turn of the given ID.
type rejectingStore struct {
	*rows.Store
	key string
}

func (s *rejectingStore) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	time.Sleep(10 * time.Millisecond)
	for _, put := range tx.Put {
		if put.Key.Key == s.key {
			return 0, &rowstore.RejectedError{Status: 413, Detail: "row too large"}
		}
	}
	return s.Store.Commit(ctx, tx)
}

// Guards against turns that are not stored since the store rejects another program's change in
// their transaction.
func TestRejectedChangeFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := newTestKeeper(rows.New())
		rowsOf := turnRow("bad")
		k.opts.Store = &rejectingStore{Store: rows.New(), key: rowsOf.Put[0].Key.Key}
		// Occupy the writers so that the next changes share a transaction.
		var busy []<-chan error
		for n := range maxWriters {
			busy = append(busy, k.Reserve(t.Context(), Program{Account: "x", ID: structs.ProgramID(rune('a' + n))}, newReservation("r", 1), 1000))
			synctest.Wait()
		}
		bad := k.FinishTurn(t.Context(), Program{Account: "b", ID: "bad"}, TurnEnd{Reservation: newReservation("bad", 1), Budget: 1, Tokens: 1, Rows: rowsOf})
		good := k.FinishTurn(t.Context(), Program{Account: "b", ID: "good"}, TurnEnd{Reservation: newReservation("good", 1), Budget: 1, Tokens: 1, Rows: turnRow("good")})
		for _, done := range busy {
			assert.NilError(t, <-done)
		}
		assert.Assert(t, <-bad != nil)
		assert.NilError(t, <-good)
	})
}
