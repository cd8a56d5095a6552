package ledger

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// distantStore is a store with a one-way delay.
type distantStore struct {
	*rows.Store
	delay time.Duration
}

func (s *distantStore) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	time.Sleep(s.delay)
	defer time.Sleep(s.delay)
	return s.Store.Commit(ctx, tx)
}

// Guards against a turn that is not stored, so that its answer is broken off, since another
// VM changes the program's balance all the time.
func TestTurnIsStoredWhileAnotherVMChangesTheBalance(t *testing.T) {
	for _, delay := range []time.Duration{3 * time.Millisecond, 14 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store := rows.New()
			newKeeper := func(delay time.Duration) *Keeper {
				k := newTestKeeper(store)
				k.opts.Store = &distantStore{Store: store, delay: delay}
				return k
			}
			ctx, cancel := context.WithCancel(t.Context())
			busy := newKeeper(3 * time.Millisecond)
			for caller := range 4 {
				go func() {
					for n := 0; ctx.Err() == nil; n++ {
						finishTurn(ctx, busy, fmt.Sprintf("busy-%d-%d", caller, n))
						time.Sleep(time.Duration(20+caller) * time.Millisecond)
					}
				}()
			}
			other := newKeeper(delay)
			failed := 0
			var err error
			for n := range 40 {
				if turnErr := finishTurn(ctx, other, fmt.Sprint("other-", n)); turnErr != nil {
					failed, err = failed+1, turnErr
				}
			}
			cancel()
			time.Sleep(time.Minute)
			assert.Equal(t, failed, 0, "delay %v, last error: %v", delay, err)
		})
	}
}

// finishTurn reserves a turn's tokens and stores the turn, within the time that a caller has.
func finishTurn(ctx context.Context, k *Keeper, id string) error {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	const budget = 1 << 30
	if err := <-k.Reserve(ctx, program, newReservation(id, 100), budget, ""); err != nil {
		return err
	}
	return <-k.FinishTurn(ctx, program, TurnEnd{
		Reservation: newReservation(id, 100), Budget: 1, // no room for an advance reservation
		Tokens: 10, AdvanceKey: structs.RequestID(id), Rows: turnRow(id),
	})
}
