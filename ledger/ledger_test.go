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

func newTestKeeper(store *rows.Store) *Keeper {
	return NewKeeper(Options{
		Store:     store,
		Partition: func(string) string { return "p" },
		Log:       slog.New(slog.DiscardHandler),
	})
}

var program = Program{Account: "account", ID: "program"}

func newReservation(turn string, tokens int64) Reservation {
	return Reservation{Turn: structs.RequestID(turn), Tokens: tokens, CreatedAt: time.Now().UnixMilli()}
}

// Several VMs run turns of one program concurrently. Some turns are never settled, and
// VMs restart and lose their state. The tokens delivered must not exceed the budget plus
// the maximum of one turn.
func TestBudgetHoldsAcrossVMs(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			store := rows.New()
			keepers := []*Keeper{newTestKeeper(store), newTestKeeper(store), newTestKeeper(store)}
			const maxTokens, budget = 100, 1500
			delivered := int64(0)
			for turn := range 200 {
				vm := rng.IntN(len(keepers))
				if rng.IntN(25) == 0 {
					keepers[vm] = newTestKeeper(store)
				}
				id := fmt.Sprint(turn)
				if err := <-keepers[vm].Reserve(t.Context(), program, newReservation(id, maxTokens), budget); err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				got := int64(rng.IntN(maxTokens + 1))
				delivered += got
				if rng.IntN(10) > 0 { // otherwise the VM fails before it settles
					keepers[vm].SettleTurn(program, Reservation{Turn: structs.RequestID(id)}, got)
				}
				time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
			}
			assert.Assert(t, delivered <= budget+maxTokens, "seed %d: %d tokens of a budget of %d", seed, delivered, budget)
			assert.Assert(t, delivered >= budget/2, "seed %d: only %d tokens of a budget of %d", seed, delivered, budget)
			time.Sleep(time.Minute)
		})
	}
}

// If all VMs restart, a program must not get a new budget.
func TestSpentBudgetIsKnownAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		first := newTestKeeper(store)
		assert.NilError(t, <-first.Reserve(t.Context(), program, newReservation("1", 100), 100))
		first.SettleTurn(program, Reservation{Turn: "1"}, 100)
		time.Sleep(time.Second)
		err := <-newTestKeeper(store).Reserve(t.Context(), program, newReservation("2", 100), 100)
		var spent *BudgetSpentError
		assert.Assert(t, errors.As(err, &spent), "%v", err)
	})
}

// Tokens that running turns may still leave unused must not be reported as spent: the
// caller could retry later.
func TestOpenReservationsAreNotReportedAsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newTestKeeper(store)
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation("1", 100), 100))
		err := <-keeper.Reserve(t.Context(), program, newReservation("2", 100), 100)
		var reservedErr *BudgetReservedError
		assert.Assert(t, errors.As(err, &reservedErr), "%v", err)
		keeper.SettleTurn(program, Reservation{Turn: "1"}, 10)
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation("3", 100), 100))
	})
}

// A reservation whose response was lost may have been stored. The keeper must read the
// balance again, so that the reservation is neither lost nor made twice.
func TestReservationWithLostResponseStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newTestKeeper(store)
		store.SetFaults(rows.Faults{LoseEveryNth: 1})
		err := <-keeper.Reserve(t.Context(), program, newReservation("1", 100), 100)
		assert.Assert(t, err != nil, "the response was lost")
		store.SetFaults(rows.Faults{})
		err = <-keeper.Reserve(t.Context(), program, newReservation("2", 100), 100)
		var reservedErr *BudgetReservedError
		assert.Assert(t, errors.As(err, &reservedErr), "the first reservation stands: %v", err)
	})
}

// The settlement of a program's last turn must be stored within a second, although it
// waits for a next turn to share its transaction.
func TestSettlementIsStoredWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newTestKeeper(store)
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation("1", 100), 150))
		keeper.SettleTurn(program, Reservation{Turn: "1"}, 40)
		time.Sleep(time.Second)
		other := newTestKeeper(store)
		assert.NilError(t, <-other.Reserve(t.Context(), program, newReservation("2", 100), 150))
		assert.Equal(t, other.entries[program.Key()].balance.Spent, int64(40))
	})
}

// A turn's rows are stored in the transaction of its settlement, and nothing stays reserved
// after it, so that any VM can use what is left of the budget at once.
func TestFinishedTurnLeavesNothingReserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keepers := []*Keeper{newTestKeeper(store), newTestKeeper(store)}
		const maxTokens, budget = 100, 1000
		for turn := 1; turn <= 5; turn++ {
			id := fmt.Sprint(turn)
			keeper := keepers[turn%2]
			assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation(id, maxTokens), budget))
			assert.NilError(t, <-keeper.FinishTurn(t.Context(), program, TurnEnd{Reservation: newReservation(id, maxTokens), Budget: budget, Tokens: 30, Rows: turnRow(id)}))
			synctest.Wait()
			assert.Equal(t, len(keeper.entries[program.Key()].balance.Open), 0)
		}
		assert.Assert(t, store.Calls() <= 4*5, "%d calls", store.Calls())
		other := newTestKeeper(store)
		assert.NilError(t, <-other.Reserve(t.Context(), program, newReservation("other", maxTokens), budget))
		balance := other.entries[program.Key()].balance
		assert.Equal(t, balance.Spent, int64(150))
		assert.Equal(t, len(balance.Open), 1)
		for turn := 1; turn <= 5; turn++ {
			row, err := rowstore.Get(t.Context(), store, turnRow(fmt.Sprint(turn)).Put[0].Key)
			assert.NilError(t, err)
			assert.Assert(t, row.Version > 0)
		}
	})
}

func turnRow(id string) rowstore.Tx {
	key := rowstore.Key{Table: "turns", Partition: "p", Key: id}
	return rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: key}},
		Put:    []rowstore.Put{{Key: key, Value: []byte("turn " + id)}},
	}
}

// A budget can be used to its last turn, whichever VMs the turns use, and no further.
func TestBudgetIsUsedToItsLastTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		const maxTokens, turns = 100, 6
		for turn := range turns {
			id := fmt.Sprint(turn)
			keeper := newTestKeeper(store) // each turn at another VM
			assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation(id, maxTokens), turns*maxTokens))
			assert.NilError(t, <-keeper.FinishTurn(t.Context(), program, TurnEnd{Reservation: newReservation(id, maxTokens), Budget: turns * maxTokens, Tokens: maxTokens, Rows: turnRow(id)}))
		}
		last := newTestKeeper(store)
		err := <-last.Reserve(t.Context(), program, newReservation("over", maxTokens), turns*maxTokens)
		var spent *BudgetSpentError
		assert.Assert(t, errors.As(err, &spent), "%v", err)
		assert.Equal(t, len(last.entries[program.Key()].balance.Open), 0)
		assert.Equal(t, last.entries[program.Key()].balance.Spent, int64(turns*maxTokens))
	})
}

// A transaction whose response was lost must not be applied again. It is recognized by
// the rows of its turn, even if another VM has changed the balance since.
func TestFinishTurnIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newTestKeeper(store)
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation("1", 100), 1000))
		finish := &change{
			reservation: newReservation("1", 100), budget: 1000, isSettlement: true, tokens: 60, rows: turnRow("1"),
			done: make(chan error, 1),
		}
		e := keeper.entries[program.Key()]
		batch := []*batchItem{{entry: e, changes: []*change{finish}}}
		version := e.version
		_, err := keeper.commitTx(t.Context(), keeper.prepareBatch(batch))
		assert.NilError(t, err)
		assert.NilError(t, <-newTestKeeper(store).Reserve(t.Context(), program, newReservation("2", 100), 1000))
		e.version = version // as if the response had been lost
		keeper.commitBatch(batch)
		assert.NilError(t, <-finish.done)
		assert.Equal(t, e.balance.Spent, int64(60))
	})
}

func programNamed(n int) Program {
	return Program{Account: "account", ID: structs.ProgramID(fmt.Sprint("program-", n))}
}

// Programs that arrive while the store is slow share transactions, so that an overloaded
// store gets fewer calls rather than more.
func TestProgramsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		store.SetFaults(rows.Faults{Delay: 100 * time.Millisecond})
		keeper := newTestKeeper(store)
		const programs = 200
		var reserved []<-chan error
		for n := range programs {
			reserved = append(reserved, keeper.Reserve(t.Context(), programNamed(n), newReservation("1", 100), 1000))
			time.Sleep(time.Millisecond)
		}
		for _, done := range reserved {
			assert.NilError(t, <-done)
		}
		var finished []<-chan error
		for n := range programs {
			rows := turnRow(fmt.Sprint("turn-", n))
			finished = append(finished, keeper.FinishTurn(t.Context(), programNamed(n), TurnEnd{Reservation: newReservation("1", 100), Budget: 1000, Tokens: 50, Rows: rows}))
		}
		for _, done := range finished {
			assert.NilError(t, <-done)
		}
		assert.Assert(t, store.Calls() <= 2*programs/10, "%d calls for %d programs", store.Calls(), programs)
		synctest.Wait()
		for n := range programs {
			assert.Equal(t, keeper.entries[programNamed(n).Key()].balance.Spent, int64(50))
		}
	})
}

// A program whose balance another VM changes must not delay the programs that share its
// transactions, and a change past its deadline fails alone.
func TestSharedTransactionIsolatesPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		store.SetFaults(rows.Faults{Delay: 50 * time.Millisecond})
		keeper, other := newTestKeeper(store), newTestKeeper(store)
		assert.NilError(t, <-other.Reserve(t.Context(), programNamed(0), newReservation("0", 100), 100))
		ctx, cancel := context.WithTimeout(t.Context(), 120*time.Millisecond)
		defer cancel()
		var reserved []<-chan error
		for n := range 20 {
			reserveCtx := t.Context()
			if n == 1 {
				reserveCtx = ctx
			}
			reserved = append(reserved, keeper.Reserve(reserveCtx, programNamed(n), newReservation("1", 100), 1000))
		}
		for n, done := range reserved {
			if err := <-done; n != 1 {
				assert.NilError(t, err, "program %d", n)
			}
		}
		assert.Equal(t, len(keeper.entries[programNamed(0).Key()].balance.Open), 2)
	})
}

// A reservation that does not fit beside the open ones waits for a short time, since most
// turns use fewer tokens than reserved. A turn that has ended makes room for it at once.
func TestReservationWaitsForSettlements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		keeper := newTestKeeper(rows.New())
		const maxTokens, budget = 100, 200
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation("1", maxTokens), budget))
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation("2", maxTokens), budget))
		third := keeper.Reserve(t.Context(), program, newReservation("3", maxTokens), budget)
		time.Sleep(maxBlockedTime / 2)
		keeper.SettleTurn(program, Reservation{Turn: "1"}, 30)
		assert.NilError(t, <-third)

		keeper = newTestKeeper(rows.New())
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation("1", maxTokens), 2*budget))
		assert.NilError(t, <-keeper.FinishTurn(t.Context(), program, TurnEnd{Reservation: newReservation("1", maxTokens), Budget: 2 * budget, Tokens: maxTokens, Rows: turnRow("1")}))
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation("2", maxTokens), 2*budget))
		start := time.Now()
		assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation("3", maxTokens), 2*budget))
		assert.Assert(t, time.Since(start) < maxBlockedTime/2)
	})
}

// A reservation that is withdrawn while it is queued must not block the commit queue of
// its partition.
func TestWithdrawnReservationBlocksNoOtherProgram(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		store.SetFaults(rows.Faults{Delay: 50 * time.Millisecond})
		keeper := newTestKeeper(store)
		for n := range maxWriters { // each with a transaction in progress
			keeper.Reserve(t.Context(), programNamed(n), newReservation("1", 100), 1000)
			time.Sleep(time.Millisecond)
		}
		done := keeper.Reserve(t.Context(), programNamed(100), newReservation("1", 100), 1000)
		keeper.SettleTurn(programNamed(100), Reservation{Turn: "1"}, 0)
		var withdrawn *WithdrawnError
		assert.Assert(t, errors.As(<-done, &withdrawn))
		start := time.Now()
		assert.NilError(t, <-keeper.Reserve(t.Context(), programNamed(101), newReservation("1", 100), 1000))
		assert.Assert(t, time.Since(start) <= 100*time.Millisecond, "%s", time.Since(start))
	})
}

// A reservation is likely to be granted if it fits into the cached balance, including
// changes that are not yet committed. A VM that has just restarted makes no such
// forecast for a program whose balance it has not read.
func TestForecast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		first := NewKeeper(Options{Store: store, Partition: func(string) string { return "p" }, FirstStart: true, Log: slog.New(slog.DiscardHandler)})
		const maxTokens, budget = 100, 200
		assert.Assert(t, first.Forecast(program, newReservation("1", maxTokens), budget))
		store.SetFaults(rows.Faults{Delay: 50 * time.Millisecond})
		firstDone := first.Reserve(t.Context(), program, newReservation("1", maxTokens), budget)
		assert.Assert(t, first.Forecast(program, newReservation("2", maxTokens), budget))
		secondDone := first.Reserve(t.Context(), program, newReservation("2", maxTokens), budget)
		assert.Assert(t, !first.Forecast(program, newReservation("3", maxTokens), budget))
		assert.NilError(t, <-firstDone)
		assert.NilError(t, <-secondDone)
		done := first.FinishTurn(t.Context(), program, TurnEnd{Reservation: newReservation("1", maxTokens), Budget: budget, Tokens: 20, Rows: turnRow("1")})
		assert.Assert(t, first.Forecast(program, newReservation("3", maxTokens), budget))

		assert.NilError(t, <-done)
		synctest.Wait()
		assert.Equal(t, len(first.entries[program.Key()].balance.Open), 1)

		restarted := newTestKeeper(store)
		assert.Assert(t, !restarted.Forecast(program, newReservation("4", maxTokens), budget))
		time.Sleep(balanceTTL)
		assert.Assert(t, restarted.Forecast(program, newReservation("4", maxTokens), budget))
	})
}

// A turn that ends before its tokens are reserved must not leave a reservation behind,
// whether or not its reservation was already sent.
func TestEndedTurnReservesNothing(t *testing.T) {
	for _, delay := range []time.Duration{0, 30 * time.Millisecond, 150 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store := rows.New()
			keeper := newTestKeeper(store)
			assert.NilError(t, <-keeper.Reserve(t.Context(), program, newReservation("1", 100), 1000))
			store.SetFaults(rows.Faults{Delay: 100 * time.Millisecond})
			first := keeper.Reserve(t.Context(), program, newReservation("2", 100), 1000)
			time.Sleep(delay)
			second := keeper.Reserve(t.Context(), program, newReservation("3", 100), 1000)
			keeper.Reserve(t.Context(), program, newReservation("2", 100), 1000) // requested again, as after an early response
			keeper.SettleTurn(program, Reservation{Turn: "2"}, 0)
			keeper.SettleTurn(program, Reservation{Turn: "3"}, 0)
			<-first
			<-second
			time.Sleep(2 * time.Second)
			synctest.Wait()
			assert.Equal(t, len(keeper.entries[program.Key()].balance.Open), 1)
		})
	}
}

// Guards against a transaction whose answer is lost and that holds up the other programs of
// its partition until its deadline.
func TestLostAnswerHoldsNoOtherProgramUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newTestKeeper(store)
		store.SetFaults(rows.Faults{Delay: 2 * time.Second})
		slow := keeper.Reserve(t.Context(), programNamed(0), newReservation("1", 100), 1000)
		time.Sleep(time.Millisecond)
		store.SetFaults(rows.Faults{Delay: 5 * time.Millisecond})
		start := time.Now()
		assert.NilError(t, <-keeper.Reserve(t.Context(), programNamed(1), newReservation("1", 100), 1000))
		assert.Assert(t, time.Since(start) < 2*overdueTime, "%s", time.Since(start))
		assert.NilError(t, <-slow)
	})
}

// A process that ends stores the settlements that wait to share a transaction.
func TestFlushStoresWaitingSettlements(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		keeper := newTestKeeper(store)
		for n := range 5 {
			assert.NilError(t, <-keeper.Reserve(t.Context(), programNamed(n), newReservation("1", 100), 100))
			keeper.SettleTurn(programNamed(n), newReservation("1", 100), 30)
		}
		start := time.Now()
		keeper.Flush(t.Context())
		assert.Assert(t, time.Since(start) < settleDelay/2, "%s", time.Since(start))
		other := newTestKeeper(store)
		for n := range 5 {
			assert.NilError(t, <-other.Reserve(t.Context(), programNamed(n), newReservation("2", 100), 100))
			assert.Equal(t, other.entries[programNamed(n).Key()].balance.Spent, int64(30))
		}
	})
}

// Guards against a reservation that nobody settles: a turn ends before its reservation was
// sent, and a second call to reserve for it arrives after that, at this VM or another one.
func TestCallAfterWithdrawnReservationReservesNothing(t *testing.T) {
	for _, isOtherVM := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			store := rows.New()
			store.SetFaults(rows.Faults{Delay: 50 * time.Millisecond})
			keeper := newTestKeeper(store)
			keeper.Reserve(t.Context(), programNamed(0), newReservation("1", 100), 1000) // a transaction in progress
			time.Sleep(time.Millisecond)
			done := keeper.Reserve(t.Context(), program, newReservation("1", 100), 1000)
			settled := keeper.SettleStored(program, newReservation("1", 100), 0)
			var withdrawn *WithdrawnError
			assert.Assert(t, errors.As(<-done, &withdrawn))
			assert.NilError(t, <-settled)
			if isOtherVM {
				keeper = newTestKeeper(store)
			}
			assert.ErrorType(t, <-keeper.Reserve(t.Context(), program, newReservation("1", 100), 1000), &LateReservationError{})
		})
	}
}
