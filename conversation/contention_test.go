package conversation

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/ledger"
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

// secondHome is a VM that acts as the home of all programs beside the VM that it calls.
type secondHome struct{ *homePeer }

func (secondHome) Home(string) (structs.VMID, bool) { return "second", true }

// Guards against a turn that is not stored, so that its answer is broken off, since another
// VM changes the program's balance all the time.
func TestTurnIsStoredWhileAnotherVMChangesTheBalance(t *testing.T) {
	for _, delay := range []time.Duration{3 * time.Millisecond, 14 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			store := rows.New()
			newVM := func(vm structs.VMID, delay time.Duration) *Local {
				local := newLocal(store)
				local.Ledger = ledger.NewKeeper(ledger.Options{
					Self: vm, Store: &distantStore{Store: store, delay: delay}, Partition: local.Partition, FirstStart: true, Log: slog.New(slog.DiscardHandler),
				})
				return local
			}
			ctx, cancel := context.WithCancel(t.Context())
			busy := newVM("busy", 3*time.Millisecond)
			for caller := range 4 {
				go func() {
					for n := 0; ctx.Err() == nil; n++ {
						_ = runTurn(ctx, busy, fmt.Sprintf("busy-%d-%d", caller, n)) // its errors are those of the end
						time.Sleep(time.Duration(20+caller) * time.Millisecond)
					}
				}()
			}
			peer := &homePeer{t: t, local: busy, calls: make(map[string]int)}
			other := NewKeeper(newVM("other", delay), secondHome{peer}, slog.New(slog.DiscardHandler))
			failed := 0
			var err error
			for n := range 40 {
				if turnErr := runTurn(ctx, other, fmt.Sprint("other-", n)); turnErr != nil {
					failed, err = failed+1, turnErr
				}
			}
			cancel()
			time.Sleep(time.Minute)
			assert.Equal(t, failed, 0, "delay %v, last error: %v", delay, err)
		})
	}
}

// turnStore is what stores turns: a VM by itself, or with its peers.
type turnStore interface {
	Reserve(ctx context.Context, req ReserveRequest) error
	Finish(ctx context.Context, req FinishRequest) error
}

// runTurn reserves a turn's tokens and stores the turn, within the time that a caller has.
func runTurn(ctx context.Context, s turnStore, id string) error {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	reserve := reserveRequest(id)
	reserve.Budget = 1 << 30
	if err := s.Reserve(ctx, reserve); err != nil {
		return err
	}
	return s.Finish(ctx, finishRequest(id))
}

// A turn that another VM stores settles the reservation that this VM has made, so that the
// tokens do not stay reserved.
func TestTurnStoredByAnotherVMSettlesItsReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		first, second := newLocal(store), newLocal(store)
		assert.NilError(t, runTurn(t.Context(), first, "1"))
		assert.NilError(t, first.Reserve(t.Context(), reserveRequest("2")))
		assert.NilError(t, second.Finish(t.Context(), finishRequest("2")))
		probe := reserveRequest("3")
		probe.Budget = 61 // 60 are spent; an open reservation would leave no room
		assert.NilError(t, second.Reserve(t.Context(), probe))
	})
}

// contendedStore is a store at which another VM changes the balance before each commit, while
// changes is above 0.
type contendedStore struct {
	*rows.Store
	changes int
	change  func()
}

func (s *contendedStore) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	if s.changes > 0 {
		s.changes--
		s.change()
	}
	return s.Store.Commit(ctx, tx)
}

// newContended returns a VM and the VM writer, which changes the balance before its commits.
func newContended(store *rows.Store, writer structs.VMID) (vm, busy *Local, at *contendedStore) {
	newVM := func(self structs.VMID, at rowstore.Store) *Local {
		local := newLocal(store)
		local.Ledger = ledger.NewKeeper(ledger.Options{Self: self, Store: at, Partition: local.Partition, FirstStart: true, Log: slog.New(slog.DiscardHandler)})
		return local
	}
	busy = newVM(writer, store)
	n := 0
	at = &contendedStore{Store: store, change: func() {
		n++
		r := reserveRequest(fmt.Sprint("busy-", n))
		r.Budget = 1 << 30
		_ = busy.Reserve(context.Background(), r) // the loss of one change does not matter
	}}
	return newVM("other", at), busy, at
}

func finishUnlimited(id string) FinishRequest {
	end := finishRequest(id)
	end.Budget = 1 << 30
	return end
}

// Guards against a turn that is not stored beside a VM of an earlier build, which does not name
// itself in the row.
func TestTurnIsStoredBesideAnUnknownWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		vm, busy, at := newContended(store, "")
		at.changes = 40
		keeper := NewKeeper(vm, secondHome{&homePeer{t: t, local: busy, calls: make(map[string]int)}}, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		assert.NilError(t, keeper.Finish(ctx, finishUnlimited("x")))
	})
}

// openTurns returns the turns of the test's program that have a reservation in the store.
func openTurns(t *testing.T, store *rows.Store) (turns []structs.RequestID) {
	row, err := rowstore.Get(t.Context(), store, rowstore.Key{Table: "budgets", Partition: "p", Key: program.Key()})
	assert.NilError(t, err)
	var balance ledger.Balance
	assert.NilError(t, msgpack.Unmarshal(row.Value, &balance))
	for _, r := range balance.Open {
		turns = append(turns, r.Turn)
	}
	return turns
}

// Guards against a reservation that two VMs make for the same turn, or that neither of them
// settles, while they compete for the balance.
func TestReservationOfContendedTurnIsMadeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		vm, busy, at := newContended(store, "busy")
		assert.NilError(t, busy.Finish(t.Context(), finishUnlimited("1")))
		keeper := NewKeeper(vm, secondHome{&homePeer{t: t, local: busy, calls: make(map[string]int)}}, slog.New(slog.DiscardHandler))
		at.changes = 40
		next := reserveRequest("2")
		next.Budget = 1 << 30
		assert.NilError(t, keeper.Reserve(t.Context(), next))
		at.changes = 0
		count := 0
		for _, turn := range openTurns(t, store) {
			if turn == "2" {
				count++
			}
		}
		assert.Equal(t, count, 1)
		assert.NilError(t, keeper.Finish(t.Context(), finishUnlimited("2")))
		assert.Assert(t, !slices.Contains(openTurns(t, store), "2"))
	})
}

// Guards against a turn that one VM reserves, loses to another VM and lets that VM store: none
// of its tokens may stay reserved.
func TestLostTurnIsSettledByTheVMThatStoresIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := rows.New()
		vm, busy, at := newContended(store, "busy")
		var lost *ledger.ContendedError
		for turn := range 5 {
			first, second := fmt.Sprint(turn, "a"), fmt.Sprint(turn, "b")
			for _, id := range []string{first, second} {
				reserve := reserveRequest(id)
				reserve.Budget = 1 << 30
				assert.NilError(t, vm.Reserve(t.Context(), reserve))
			}
			assert.NilError(t, vm.Finish(t.Context(), finishUnlimited(first)))
			at.changes = 40
			err := vm.Finish(t.Context(), finishUnlimited(second))
			at.changes = 0
			assert.Assert(t, errors.As(err, &lost), "%v", err)
			assert.NilError(t, busy.Finish(t.Context(), finishUnlimited(second)))
			open := openTurns(t, store)
			assert.Assert(t, !slices.Contains(open, structs.RequestID(first)) && !slices.Contains(open, structs.RequestID(second)), "%v", open)
		}
	})
}
