package conversation

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
)

const (
	most   = 100
	budget = 1000
)

var program = ledger.Program{Account: "account", ID: "program"}

func newLocal(store *rows.Store) *Local {
	partition := func(string) string { return "p" }
	return &Local{
		Ledger:    ledger.NewKeeper(ledger.Options{Store: store, Partition: partition, FirstStart: true, Log: slog.New(slog.DiscardHandler)}),
		Turns:     turnlog.New(turnlog.Options{Store: store, Partition: partition, Partitions: []string{"p"}, CacheBytes: 1 << 20, RowBytes: 1 << 16}),
		Partition: partition,
	}
}

// home is the one peer, which keeps all programs. Calls pass through the wire's
// encoding.
type home struct {
	t      *testing.T
	local  *Local
	silent bool
	calls  map[string]int
}

func (h *home) Home(string) (structs.VMID, bool) { return "home", false }

func (h *home) CallHome(ctx context.Context, _ structs.VMID, method string, in, out any) error {
	h.calls[method]++
	if h.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := msgpack.Marshal(in)
	assert.NilError(h.t, err)
	ctx, cancel := context.WithTimeout(ctx, homePatience)
	defer cancel()
	var reply Reply
	switch method {
	case MethodReserve:
		var s ReserveRequest
		assert.NilError(h.t, msgpack.Unmarshal(raw, &s))
		reply = replyOf(h.local.Reserve(ctx, s))
	case MethodFinish:
		var e FinishRequest
		assert.NilError(h.t, msgpack.Unmarshal(raw, &e))
		reply = replyOf(h.local.Finish(ctx, e))
	case MethodFind:
		var q FindRequest
		assert.NilError(h.t, msgpack.Unmarshal(raw, &q))
		var err error
		reply.Records, err = h.local.Find(ctx, q)
		if err != nil {
			reply = replyOf(err)
		}
	}
	whole, err := msgpack.Marshal(reply)
	assert.NilError(h.t, err)
	return msgpack.Unmarshal(whole, out)
}

type bed struct {
	store  *rows.Store
	home   *home
	keeper *Keeper // of another VM
}

func newBed(t *testing.T) *bed {
	b := &bed{store: rows.New()}
	b.home = &home{t: t, local: newLocal(b.store), calls: make(map[string]int)}
	b.keeper = NewKeeper(newLocal(b.store), b.home, slog.New(slog.DiscardHandler))
	return b
}

func start(turn string) ReserveRequest {
	return ReserveRequest{Program: program, Budget: budget, Reservation: ledger.Reservation{
		Turn: structs.RequestID(turn), Tokens: most, CreatedAt: time.Now().UnixMilli(),
	}}
}

func ending(turn string) FinishRequest {
	return FinishRequest{
		Program: program, Budget: budget, Reservation: start(turn).Reservation, Tokens: 30,
		Record: &turnlog.Record{Account: program.Account, Input: []byte("in"), Output: []byte("out " + turn)},
	}
}

// While the store is slow, the home says so: no other VM writes the same book,
// and the end of a turn is asked for again until the store has it.
func TestSlowStoreKeepsProgramsAtTheirHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.store.SetFaults(rows.Faults{Delay: homePatience * 3 / 2})
		var slow *SlowStoreError
		assert.Assert(t, errors.As(b.keeper.Reserve(t.Context(), start("1")), &slow))
		assert.Equal(t, b.home.calls[MethodReserve], 1)
		assert.Equal(t, b.keeper.local.Ledger.CachedBalances(), 0)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		time.AfterFunc(time.Second, func() { b.store.SetFaults(rows.Faults{}) })
		assert.NilError(t, b.keeper.Finish(ctx, ending("1")))
		assert.Assert(t, b.home.calls[MethodFinish] > 1)
		assert.Equal(t, b.keeper.local.Ledger.CachedBalances(), 0)
		time.Sleep(time.Minute)
	})
}

// A home that does not answer costs time, not the turn.
func TestSilentHomeIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.home.silent = true
		began := time.Now()
		assert.NilError(t, b.keeper.Reserve(t.Context(), start("1")))
		assert.Assert(t, time.Since(began) <= homeTimeout+50*time.Millisecond)
		assert.NilError(t, b.keeper.Finish(t.Context(), ending("1")))
		chain, err := b.keeper.Chain(t.Context(), program, "1")
		assert.NilError(t, err)
		assert.Equal(t, string(chain.Last().Output), "out 1")
		time.Sleep(time.Minute)
	})
}

// With Early, the home answers before the store does, and the second question
// waits for the outcome. A spent budget is never likely.
func TestEarlyReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBed(t)
		b.store.SetFaults(rows.Faults{Delay: 100 * time.Millisecond})
		early := start("1")
		early.AllowsPending = true
		var pending *PendingError
		assert.Assert(t, errors.As(b.keeper.Reserve(t.Context(), early), &pending))
		early.AllowsPending = false
		assert.NilError(t, b.keeper.Reserve(t.Context(), early))
		end := ending("1")
		end.Tokens = budget
		assert.NilError(t, b.keeper.Finish(t.Context(), end))
		second := start("2")
		second.AllowsPending = true
		var spent *ledger.BudgetSpentError
		assert.Assert(t, errors.As(b.keeper.Reserve(t.Context(), second), &spent))
		time.Sleep(time.Minute)
	})
}
