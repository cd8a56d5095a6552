package conversation

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
	"github.com/endivecourse/endivecourse/wire"
)

// Methods of a home.
const (
	MethodReserve = "conversation.reserve"
	MethodFinish  = "conversation.finish"
	MethodSettle  = "conversation.settle"
	MethodFind    = "conversation.find"
)

const (
	// homePatience is how long a home waits for the store before it answers
	// that it does. Its transaction takes 40 ms, and 600 ms with a store that
	// is 60 times slower.
	homePatience = 700 * time.Millisecond
	// homeTimeout is when a home that is silent is passed over. It leaves
	// 200 ms beside homePatience, seven round trips between regions.
	homeTimeout = 900 * time.Millisecond
	// settleTimeout bounds a settlement, for which nobody waits.
	settleTimeout = 2 * time.Second
)

// Peers finds and calls homes.
type Peers interface {
	// Home returns the VM that keeps a partition; self says that it is this one.
	Home(partition string) (vm structs.VMID, self bool)
	// CallHome calls a VM; a failure makes it no home for a while.
	CallHome(ctx context.Context, vm structs.VMID, method string, in, out any) error
}

// Keeper keeps programs at their homes.
type Keeper struct {
	local *Local
	peers Peers
	log   *slog.Logger
}

// NewKeeper makes a keeper.
func NewKeeper(local *Local, peers Peers, log *slog.Logger) *Keeper {
	return &Keeper{local: local, peers: peers, log: log}
}

// Register lets peers use this VM as a home.
func Register(server *wire.Server, local *Local) {
	wire.HandleUnary(server, MethodReserve, func(ctx context.Context, s ReserveRequest) (Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, homePatience)
		defer cancel()
		return replyOf(local.Reserve(ctx, s)), nil
	})
	wire.HandleUnary(server, MethodFinish, func(ctx context.Context, e FinishRequest) (Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, homePatience)
		defer cancel()
		return replyOf(local.Finish(ctx, e)), nil
	})
	wire.HandleUnary(server, MethodSettle, func(_ context.Context, s SettleRequest) (Reply, error) {
		local.Settle(s)
		return Reply{}, nil
	})
	wire.HandleUnary(server, MethodFind, func(ctx context.Context, q FindRequest) (Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, homePatience)
		defer cancel()
		records, err := local.Find(ctx, q)
		reply := replyOf(err)
		reply.Records = records
		return reply, nil
	})
}

// atHome calls the program's home. done is false when this VM has to act itself.
func (k *Keeper) atHome(ctx context.Context, p ledger.Program, method string, in any, reply *Reply) (done bool, err error) {
	vm, self := k.peers.Home(k.local.Partition(p.Key()))
	if self {
		return false, nil
	}
	call, cancel := context.WithTimeout(ctx, homeTimeout)
	defer cancel()
	if err := k.peers.CallHome(call, vm, method, in, reply); err != nil {
		if ctx.Err() != nil {
			return true, ctx.Err()
		}
		k.log.Warn("program's home does not answer", "program", p.Key(), "home", string(vm), "call", method, "cause", err.Error())
		return false, nil
	}
	return reply.isDecisive(), reply.err()
}

// Reserve reserves a turn's tokens, at the home or here. With Early it may return
// *PendingError.
func (k *Keeper) Reserve(ctx context.Context, s ReserveRequest) error {
	if done, err := k.atHome(ctx, s.Program, MethodReserve, s, &Reply{}); done {
		return err
	}
	return k.local.Reserve(ctx, s)
}

// Finish stores a turn and settles it. It asks again while the home waits for the
// store. A home that did not answer may have stored the turn already; its rows
// show it.
func (k *Keeper) Finish(ctx context.Context, e FinishRequest) error {
	var slow *SlowStoreError
	done, err := k.atHome(ctx, e.Program, MethodFinish, e, &Reply{})
	for done && errors.As(err, &slow) && ctx.Err() == nil {
		done, err = k.atHome(ctx, e.Program, MethodFinish, e, &Reply{})
	}
	if !done {
		return k.local.Finish(ctx, e)
	}
	if err == nil {
		k.local.Turns.AddToCache(e.Reservation.Turn, e.Record)
	}
	return err
}

// Settle ends the reservation of a turn that was not stored. It does not wait.
func (k *Keeper) Settle(s SettleRequest) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if done, _ := k.atHome(ctx, s.Program, MethodSettle, s, &Reply{}); !done {
			k.local.Settle(s)
		}
	}()
}

// Chain returns a turn of the account with all that precede it. Turns that are
// not in this VM's memory come from the home.
func (k *Keeper) Chain(ctx context.Context, p ledger.Program, id structs.RequestID) (*turnlog.Chain, error) {
	return k.local.Turns.Chain(ctx, p.Account, id, func(ctx context.Context, ids []structs.RequestID) ([]*turnlog.Record, error) {
		q := FindRequest{Program: p, Turns: ids}
		var reply Reply
		done, err := k.atHome(ctx, p, MethodFind, q, &reply)
		if !done {
			return k.local.Find(ctx, q)
		}
		return reply.Records, err
	})
}
