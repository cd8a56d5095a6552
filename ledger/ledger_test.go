package ledger

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

func newKeeper(store *rows.Store) *Keeper {
	return NewKeeper(Options{
		Store:     store,
		Partition: func(string) string { return "p" },
		Log:       slog.New(slog.DiscardHandler),
	})
}

var program = Program{Account: "account", ID: "program"}

func reservation(turn string, tokens int64) Reservation {
	return Reservation{Turn: structs.RequestID(turn), Tokens: tokens, At: time.Now().UnixMilli()}
}

// Several VMs run turns of one program at once, some break off, and one VM is
// lost with its reservations. Callers never get more than the budget and one
// turn's most.
func TestBudgetHoldsOverVMs(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			store := rows.New()
			keepers := []*Keeper{newKeeper(store), newKeeper(store), newKeeper(store)}
			const most, budget = 100, 1500
			delivered := int64(0)
			for turn := range 200 {
				vm := rng.IntN(len(keepers))
				if rng.IntN(25) == 0 {
					keepers[vm] = newKeeper(store)
				}
				id := fmt.Sprint(turn)
				if err := <-keepers[vm].Reserve(program, reservation(id, most), budget, ""); err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				got := int64(rng.IntN(most + 1))
				delivered += got
				if rng.IntN(10) > 0 { // else the VM dies before it settles
					keepers[vm].Settle(program, structs.RequestID(id), got)
				}
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
			assert.Assert(t, delivered <= budget+most, "seed %d: %d tokens of a budget of %d", seed, delivered, budget)
			assert.Assert(t, delivered >= budget/2, "seed %d: only %d tokens of a budget of %d", seed, delivered, budget)
			time.Sleep(time.Minute)
		})
	}
}

// A program that comes back after all VMs were lost meets a spent budget.
func TestSpentBudgetIsKnownAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		first := newKeeper(store)
		assert.NilError(t, <-first.Reserve(program, reservation("1", 100), 100, ""))
		first.Settle(program, "1", 100)
		time.Sleep(time.Second)
		err := <-newKeeper(store).Reserve(program, reservation("2", 100), 100, "")
		var spent *SpentError
		assert.Assert(t, errors.As(err, &spent), "%v", err)
	})
}

// Tokens that running turns may still use are not called spent.
func TestOpenReservationsAreBusyNotSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newKeeper(store)
		assert.NilError(t, <-keeper.Reserve(program, reservation("1", 100), 100, ""))
		err := <-keeper.Reserve(program, reservation("2", 100), 100, "")
		var busy *BusyError
		assert.Assert(t, errors.As(err, &busy), "%v", err)
		keeper.Settle(program, "1", 10)
		assert.NilError(t, <-keeper.Reserve(program, reservation("3", 100), 100, ""))
	})
}

// A lost answer to a reservation is read back: it is neither lost nor made
// twice.
func TestLostAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newKeeper(store)
		store.SetFaults(rows.Faults{LoseAnswers: 1})
		err := <-keeper.Reserve(program, reservation("1", 100), 100, "")
		assert.Assert(t, err != nil, "the answer was lost")
		store.SetFaults(rows.Faults{})
		err = <-keeper.Reserve(program, reservation("2", 100), 100, "")
		var busy *BusyError
		assert.Assert(t, errors.As(err, &busy), "the first reservation stands: %v", err)
	})
}

// The settlement of a program's last turn is in the store within a second.
func TestSettlementIsStoredWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newKeeper(store)
		assert.NilError(t, <-keeper.Reserve(program, reservation("1", 100), 150, ""))
		keeper.Settle(program, "1", 40)
		time.Sleep(time.Second)
		other := newKeeper(store)
		assert.NilError(t, <-other.Reserve(program, reservation("2", 100), 150, ""))
		assert.Equal(t, other.books[program.Key()].book.Spent, int64(40))
	})
}

// A turn that continues one that ended here costs no transaction of its own, and
// the rows of a turn are stored with its settlement.
func TestVoucherSavesATransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newKeeper(store)
		const most, budget = 100, 1000
		assert.NilError(t, <-keeper.Reserve(program, reservation("1", most), budget, ""))
		for turn := 1; turn <= 5; turn++ {
			id := fmt.Sprint(turn)
			assert.NilError(t, <-keeper.Finish(t.Context(), program, reservation(id, most), budget, 30, rowOf(id)))
			before := store.Calls()
			next := reservation(fmt.Sprint(turn+1), most)
			assert.NilError(t, <-keeper.Reserve(program, next, budget, structs.RequestID(id)))
			assert.Equal(t, store.Calls(), before)
		}
		other := newKeeper(store)
		assert.NilError(t, <-other.Reserve(program, reservation("other", most), budget, ""))
		book := other.books[program.Key()].book
		assert.Equal(t, book.Spent, int64(150))
		assert.Equal(t, len(book.Open), 2)
		for turn := 1; turn <= 5; turn++ {
			row, err := rowstore.Get(t.Context(), store, rowOf(fmt.Sprint(turn)).Put[0].Key)
			assert.NilError(t, err)
			assert.Assert(t, row.Version > 0)
		}
	})
}

func rowOf(id string) rowstore.Tx {
	key := rowstore.Key{Table: "turns", Partition: "p", Key: id}
	return rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: key}},
		Put:    []rowstore.Put{{Key: key, Value: []byte("turn " + id)}},
	}
}

// No voucher is made that the budget has no room for, and unused ones end.
func TestVouchersStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newKeeper(store)
		assert.NilError(t, <-keeper.Reserve(program, reservation("1", 100), 150, ""))
		assert.NilError(t, <-keeper.Finish(t.Context(), program, reservation("1", 100), 150, 60, rowOf("1")))
		assert.Equal(t, len(keeper.books[program.Key()].book.Open), 0)
		assert.NilError(t, <-keeper.Reserve(program, reservation("2", 100), 320, "1"))
		assert.NilError(t, <-keeper.Finish(t.Context(), program, reservation("2", 100), 320, 60, rowOf("2")))
		assert.Equal(t, len(keeper.books[program.Key()].book.Open), 1)
		time.Sleep(voucherLife)
		keeper.Sweep(time.Now())
		synctest.Wait()
		assert.Equal(t, len(keeper.books[program.Key()].book.Open), 0)
		assert.Equal(t, keeper.books[program.Key()].book.Spent, int64(120))
	})
}

// A transaction whose answer was lost is found applied by the turn's rows, also
// when another VM has changed the book since.
func TestFinishIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newKeeper(store)
		assert.NilError(t, <-keeper.Reserve(program, reservation("1", 100), 1000, ""))
		finish := &change{
			reserve: reservation("1", 100), budget: 1000, settles: true, tokens: 60, rows: rowOf("1"),
			done: make(chan error, 1),
		}
		e := keeper.books[program.Key()]
		book := e.book.Clone()
		_, _ = perform(&book, []*change{finish})
		version := e.version
		assert.NilError(t, keeper.commit(t.Context(), e, book, []*change{finish}))
		assert.NilError(t, <-newKeeper(store).Reserve(program, reservation("2", 100), 1000, ""))
		e.version = version // as if no answer had come
		keeper.apply(e, []*change{finish})
		assert.NilError(t, <-finish.done)
		assert.Equal(t, e.book.Spent, int64(60))
	})
}
