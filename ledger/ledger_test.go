package ledger

import (
	"context"
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
				if err := <-keepers[vm].Reserve(t.Context(), program, reservation(id, most), budget, ""); err != nil {
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
		assert.NilError(t, <-first.Reserve(t.Context(), program, reservation("1", 100), 100, ""))
		first.Settle(program, "1", 100)
		time.Sleep(time.Second)
		err := <-newKeeper(store).Reserve(t.Context(), program, reservation("2", 100), 100, "")
		var spent *SpentError
		assert.Assert(t, errors.As(err, &spent), "%v", err)
	})
}

// Tokens that running turns may still use are not called spent.
func TestOpenReservationsAreBusyNotSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newKeeper(store)
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("1", 100), 100, ""))
		err := <-keeper.Reserve(t.Context(), program, reservation("2", 100), 100, "")
		var busy *BusyError
		assert.Assert(t, errors.As(err, &busy), "%v", err)
		keeper.Settle(program, "1", 10)
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("3", 100), 100, ""))
	})
}

// A lost answer to a reservation is read back: it is neither lost nor made
// twice.
func TestLostAnswerIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newKeeper(store)
		store.SetFaults(rows.Faults{LoseAnswers: 1})
		err := <-keeper.Reserve(t.Context(), program, reservation("1", 100), 100, "")
		assert.Assert(t, err != nil, "the answer was lost")
		store.SetFaults(rows.Faults{})
		err = <-keeper.Reserve(t.Context(), program, reservation("2", 100), 100, "")
		var busy *BusyError
		assert.Assert(t, errors.As(err, &busy), "the first reservation stands: %v", err)
	})
}

// The settlement of a program's last turn is in the store within a second.
func TestSettlementIsStoredWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newKeeper(store)
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("1", 100), 150, ""))
		keeper.Settle(program, "1", 40)
		time.Sleep(time.Second)
		other := newKeeper(store)
		assert.NilError(t, <-other.Reserve(t.Context(), program, reservation("2", 100), 150, ""))
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
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("1", most), budget, ""))
		for turn := 1; turn <= 5; turn++ {
			id := fmt.Sprint(turn)
			assert.NilError(t, <-keeper.Finish(t.Context(), program, reservation(id, most), budget, 30, rowOf(id)))
			before := store.Calls()
			next := reservation(fmt.Sprint(turn+1), most)
			assert.NilError(t, <-keeper.Reserve(t.Context(), program, next, budget, structs.RequestID(id)))
			assert.Equal(t, store.Calls(), before)
		}
		other := newKeeper(store)
		assert.NilError(t, <-other.Reserve(t.Context(), program, reservation("other", most), budget, ""))
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
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("1", 100), 150, ""))
		assert.NilError(t, <-keeper.Finish(t.Context(), program, reservation("1", 100), 150, 60, rowOf("1")))
		assert.Equal(t, len(keeper.books[program.Key()].book.Open), 0)
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("2", 100), 320, "1"))
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
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("1", 100), 1000, ""))
		finish := &change{
			reserve: reservation("1", 100), budget: 1000, settles: true, tokens: 60, rows: rowOf("1"),
			done: make(chan error, 1),
		}
		e := keeper.books[program.Key()]
		batch := []*work{{entry: e, changes: []*change{finish}}}
		version := e.version
		_, err := keeper.commit(t.Context(), keeper.plan(batch))
		assert.NilError(t, err)
		assert.NilError(t, <-newKeeper(store).Reserve(t.Context(), program, reservation("2", 100), 1000, ""))
		e.version = version // as if no answer had come
		keeper.apply(batch)
		assert.NilError(t, <-finish.done)
		assert.Equal(t, e.book.Spent, int64(60))
	})
}

func programNamed(n int) Program {
	return Program{Account: "account", ID: structs.ProgramID(fmt.Sprint("program-", n))}
}

// Programs that come while the store is slow share transactions: a store at its
// rate gets fewer calls, not more.
func TestProgramsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		store.SetFaults(rows.Faults{Delay: 100 * time.Millisecond})
		keeper := newKeeper(store)
		const programs = 200
		var reserved []<-chan error
		for n := range programs {
			reserved = append(reserved, keeper.Reserve(t.Context(), programNamed(n), reservation("1", 100), 1000, ""))
			time.Sleep(time.Millisecond)
		}
		for _, done := range reserved {
			assert.NilError(t, <-done)
		}
		var finished []<-chan error
		for n := range programs {
			rows := rowOf(fmt.Sprint("turn-", n))
			finished = append(finished, keeper.Finish(t.Context(), programNamed(n), reservation("1", 100), 1000, 50, rows))
		}
		for _, done := range finished {
			assert.NilError(t, <-done)
		}
		assert.Assert(t, store.Calls() <= 2*programs/10, "%d calls for %d programs", store.Calls(), programs)
		synctest.Wait()
		for n := range programs {
			assert.Equal(t, keeper.books[programNamed(n).Key()].book.Spent, int64(50))
		}
	})
}

// A program that another VM changes holds up none that shares its transactions,
// and a change whose time is over ends alone.
func TestSharedTransactionKeepsProgramsApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		store.SetFaults(rows.Faults{Delay: 50 * time.Millisecond})
		keeper, other := newKeeper(store), newKeeper(store)
		assert.NilError(t, <-other.Reserve(t.Context(), programNamed(0), reservation("0", 100), 100, ""))
		ctx, cancel := context.WithTimeout(t.Context(), 120*time.Millisecond)
		defer cancel()
		var reserved []<-chan error
		for n := range 20 {
			bound := t.Context()
			if n == 1 {
				bound = ctx
			}
			reserved = append(reserved, keeper.Reserve(bound, programNamed(n), reservation("1", 100), 1000, ""))
		}
		for n, done := range reserved {
			if err := <-done; n != 1 {
				assert.NilError(t, err, "program %d", n)
			}
		}
		assert.Equal(t, len(keeper.books[programNamed(0).Key()].book.Open), 2)
	})
}

// A reservation that the open ones leave no room for waits for a moment, since
// most of them end with fewer tokens. Unused vouchers yield to it at once.
func TestReservationWaitsForSettlements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newKeeper(rows.New())
		const most, budget = 100, 200
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("1", most), budget, ""))
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("2", most), budget, ""))
		third := keeper.Reserve(t.Context(), program, reservation("3", most), budget, "")
		time.Sleep(busyHold / 2)
		keeper.Settle(program, "1", 30)
		assert.NilError(t, <-third)

		keeper = newKeeper(rows.New())
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("1", most), 2*budget, ""))
		assert.NilError(t, <-keeper.Finish(t.Context(), program, reservation("1", most), 2*budget, most, rowOf("1")))
		assert.Equal(t, len(keeper.books[program.Key()].vouchers), 1)
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("2", most), 2*budget, "other"))
		start := time.Now()
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("3", most), 2*budget, "other"))
		assert.Assert(t, time.Since(start) < busyHold/2)
	})
}

// A reservation that is withdrawn while it queues holds up no other program of its
// partition.
func TestWithdrawnReservationBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		store.SetFaults(rows.Faults{Delay: 50 * time.Millisecond})
		keeper := newKeeper(store)
		for n := range maxWriters { // each with a transaction in progress
			keeper.Reserve(t.Context(), programNamed(n), reservation("1", 100), 1000, "")
			time.Sleep(time.Millisecond)
		}
		ended := keeper.Reserve(t.Context(), programNamed(100), reservation("1", 100), 1000, "")
		keeper.Settle(programNamed(100), "1", 0)
		var withdrawn *WithdrawnError
		assert.Assert(t, errors.As(<-ended, &withdrawn))
		start := time.Now()
		assert.NilError(t, <-keeper.Reserve(t.Context(), programNamed(101), reservation("1", 100), 1000, ""))
		assert.Assert(t, time.Since(start) <= 100*time.Millisecond, "%s", time.Since(start))
	})
}

// A reservation counts as likely when the book as known here has room for it,
// changes on their way included. A VM that has just come back knows no program.
func TestOutlook(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		first := NewKeeper(Options{Store: store, Partition: func(string) string { return "p" }, FirstStart: true, Log: slog.New(slog.DiscardHandler)})
		const most, budget = 100, 200
		assert.Assert(t, first.Outlook(program, reservation("1", most), budget))
		store.SetFaults(rows.Faults{Delay: 50 * time.Millisecond})
		one := first.Reserve(t.Context(), program, reservation("1", most), budget, "")
		assert.Assert(t, first.Outlook(program, reservation("2", most), budget))
		two := first.Reserve(t.Context(), program, reservation("2", most), budget, "")
		assert.Assert(t, !first.Outlook(program, reservation("3", most), budget))
		assert.NilError(t, <-one)
		assert.NilError(t, <-two)
		ended := first.Finish(t.Context(), program, reservation("1", most), budget, 20, rowOf("1"))
		assert.Assert(t, first.Outlook(program, reservation("3", most), budget))

		assert.NilError(t, <-ended)
		synctest.Wait()
		assert.Equal(t, len(first.books[program.Key()].vouchers), 0)

		back := newKeeper(store)
		assert.Assert(t, !back.Outlook(program, reservation("4", most), budget))
		time.Sleep(bookLife)
		assert.Assert(t, back.Outlook(program, reservation("4", most), budget))
	})
}

// A turn that ends before its tokens are reserved leaves no reservation behind,
// and costs no call if none was sent for it.
func TestEndedTurnReservesNothing(t *testing.T) {
	for _, waited := range []time.Duration{0, 30 * time.Millisecond, 150 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store := rows.New()
			keeper := newKeeper(store)
			assert.NilError(t, <-keeper.Reserve(t.Context(), program, reservation("1", 100), 1000, ""))
			store.SetFaults(rows.Faults{Delay: 100 * time.Millisecond})
			first := keeper.Reserve(t.Context(), program, reservation("2", 100), 1000, "")
			time.Sleep(waited)
			second := keeper.Reserve(t.Context(), program, reservation("3", 100), 1000, "")
			keeper.Reserve(t.Context(), program, reservation("2", 100), 1000, "") // asked again, as after an early answer
			keeper.Settle(program, "2", 0)
			keeper.Settle(program, "3", 0)
			<-first
			<-second
			time.Sleep(2 * time.Second)
			synctest.Wait()
			assert.Equal(t, len(keeper.books[program.Key()].book.Open), 1)
		})
	}
}
