package conversation

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
	"github.com/endivecourse/endivecourse/wire"
)

// Methods that a home VM serves.
const (
	MethodReserve = "conversation.reserve"
	MethodFinish  = "conversation.finish"
	MethodSettle  = "conversation.settle"
	MethodFind    = "conversation.find"
)

const (
	// storeTimeout is how long a home VM waits for the store before it replies with
	// SlowStoreError. A transaction takes 40 ms, and 600 ms when the store is 60 times
	// slower.
	storeTimeout = 700 * time.Millisecond
	// homeCallTimeout bounds a call to a home VM; after it, this VM acts itself. It
	// exceeds storeTimeout by 200 ms, seven round trips between regions.
	homeCallTimeout = 900 * time.Millisecond
	// settleTimeout bounds one attempt of a settlement, which runs in the background. It
	// waits for a part of that to share a transaction.
	settleTimeout = 2 * time.Second
	// settlePause is the pause between two attempts, settleTime the time for all of them: for
	// that long, balances remember which turns have been settled.
	settlePause = time.Second
	settleTime  = 45 * time.Second
	// flushPeriod is how often a stopping VM sends the settlements that wait for others.
	flushPeriod = 5 * time.Millisecond
)

// Peers finds and calls home VMs.
type Peers interface {
	// Home returns the home VM of a partition; isSelf is true when it is this VM.
	Home(partition string) (vm structs.VMID, isSelf bool)
	// OutageHome returns the home VM of a partition in a region while no VM reaches the store, empty
	// if there is none.
	OutageHome(region, partition string) (vm structs.VMID, isSelf bool)
	// CallHome calls a VM. After a failed call the VM is not used as a home VM for a
	// while.
	CallHome(ctx context.Context, vm structs.VMID, method string, in, out any) error
	// RegionSupport returns a VM's region, and whether the VM applies the regions of a
	// request.
	RegionSupport(vm structs.VMID) (region string, honorsRegions bool)
}

// Keeper sends each operation on a program to the program's home VM and performs it on
// this VM when the home VM does not answer.
type Keeper struct {
	local *Local
	peers Peers
	log   *slog.Logger
	// settling counts the settlements in the background.
	settling atomic.Int64
}

// NewKeeper returns a Keeper that falls back to local.
func NewKeeper(local *Local, peers Peers, log *slog.Logger) *Keeper {
	return &Keeper{local: local, peers: peers, log: log}
}

// Register registers the handlers through which peers use this VM as a home VM.
func Register(server *wire.Server, local *Local) {
	wire.HandleUnary(server, MethodReserve, func(ctx context.Context, req ReserveRequest) (Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if req.InOutage {
			copyAt, err := local.reserveInOutage(ctx, req)
			reply := errorReply(err)
			reply.CopyAt = copyAt
			return reply, nil
		}
		return errorReply(local.Reserve(ctx, req)), nil
	})
	wire.HandleUnary(server, MethodFinish, func(ctx context.Context, req FinishRequest) (Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return errorReply(local.Finish(rowstore.WithRelayRegions(ctx, req.Regions), req)), nil
	})
	wire.HandleUnary(server, MethodSettle, func(ctx context.Context, req SettleRequest) (Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		return errorReply(local.Settle(ctx, req)), nil
	})
	wire.HandleUnary(server, MethodFind, func(ctx context.Context, req FindRequest) (Reply, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		records, err := local.Find(rowstore.WithRelayRegions(ctx, req.Regions), req)
		reply := errorReply(err)
		reply.Records = records
		return reply, nil
	})
}

// callHome calls the program's home VM. handled is false when this VM has to perform
// the call itself.
func (k *Keeper) callHome(ctx context.Context, p ledger.Program, method string, in any, reply *Reply) (handled bool, err error) {
	vm, isSelf := k.peers.Home(k.local.Partition(p.Key()))
	if isSelf || !k.mayCallHome(ctx, vm) {
		return false, nil
	}
	return k.callVM(ctx, vm, p, method, in, reply)
}

// callVM calls a VM for a program. handled is false when this VM has to perform the call
// itself.
func (k *Keeper) callVM(ctx context.Context, vm structs.VMID, p ledger.Program, method string, in any, reply *Reply) (handled bool, err error) {
	callCtx, cancel := wire.WithReplyTimeout(ctx, homeCallTimeout)
	defer cancel()
	if err := k.peers.CallHome(callCtx, vm, method, in, reply); err != nil {
		if ctx.Err() != nil {
			return true, ctx.Err()
		}
		k.log.Warn("program's home does not answer", "program", p.Key(), "home", string(vm), "call", method, "cause", err.Error())
		return false, nil
	}
	return reply.isFinal(), reply.err()
}

// mayCallHome reports whether a call may go to a program's home VM. While regions limit the
// relaying of the program's turns, a home VM of a build that ignores them is not called.
func (k *Keeper) mayCallHome(ctx context.Context, vm structs.VMID) bool {
	if rowstore.RelayRegions(ctx) == nil {
		return true
	}
	_, honorsRegions := k.peers.RegionSupport(vm)
	return honorsRegions
}

// Reserve reserves a turn's tokens, on the home VM or on this one. With AllowsPending
// it may return *PendingError.
func (k *Keeper) Reserve(ctx context.Context, req ReserveRequest) error {
	return k.perform(ctx, operation{
		program: req.Program, method: MethodReserve, request: &req,
		local: func() error { return k.local.Reserve(ctx, req) },
	})
}

// operation is a change of a program's balance.
type operation struct {
	program ledger.Program
	method  string
	request any
	// local performs the operation on this VM.
	local func() error
	// isRepeated repeats the operation while the store is slow.
	isRepeated bool
}

// perform performs an operation at the program's home VM, or on this VM if that does not
// answer. VMs with different views of the members may each act as the home of a program.
// The one whose changes keep losing then lets the other make them.
func (k *Keeper) perform(ctx context.Context, op operation) error {
	var slow *SlowStoreError
	handled, err := k.callHome(ctx, op.program, op.method, op.request, &Reply{})
	for {
		lost := findLoss(err)
		if !handled && (lost == nil || !k.mayRelayTo(ctx, lost.Writer)) {
			err = op.local()
			lost = findLoss(err)
		}
		switch {
		case ctx.Err() != nil:
			return err
		case lost != nil && k.mayRelayTo(ctx, lost.Writer):
			k.log.Info("program's balance is changed by another VM, which makes this change too", "program", op.program.Key(),
				"writer", string(lost.Writer), "call", op.method)
			handled, err = k.callVM(ctx, lost.Writer, op.program, op.method, op.request, &Reply{})
		case lost != nil:
			handled, err = false, nil
		case op.isRepeated && errors.As(err, &slow):
			handled, err = k.callHome(ctx, op.program, op.method, op.request, &Reply{})
		default:
			return err
		}
	}
}

// findLoss returns err as a loss to changes of another VM, nil if it is none.
func findLoss(err error) *ledger.ContendedError {
	var lost *ledger.ContendedError
	if !errors.As(err, &lost) {
		return nil
	}
	return lost
}

// mayRelayTo reports whether a program's content may be sent to a VM, empty for none.
func (k *Keeper) mayRelayTo(ctx context.Context, vm structs.VMID) bool {
	allowed := rowstore.RelayRegions(ctx)
	if vm == "" || allowed == nil {
		return vm != ""
	}
	region, honorsRegions := k.peers.RegionSupport(vm)
	return honorsRegions && slices.Contains(allowed, region)
}

// OutageGrant says where a turn's tokens are accounted for that runs during an outage.
type OutageGrant struct {
	Home   structs.VMID // empty for this VM
	CopyAt structs.VMID // has a copy
}

// ReserveInOutage reserves a turn's tokens while no VM reaches the store.
func (k *Keeper) ReserveInOutage(ctx context.Context, req ReserveRequest) (OutageGrant, error) {
	req.InOutage = true
	if k.local.Holds == nil {
		return OutageGrant{}, &NoGrantError{Turn: req.Reservation.Turn, Reason: "this VM holds no grants"}
	}
	region := k.local.Holds.RegionOf(req.Program.Key())
	vm, isSelf := k.peers.OutageHome(region, k.local.Partition(req.Program.Key()))
	switch {
	case isSelf:
		copyAt, err := k.local.reserveInOutage(ctx, req)
		return OutageGrant{CopyAt: copyAt}, err
	case vm == "":
		return OutageGrant{}, &NoGrantError{Turn: req.Reservation.Turn, Reason: "no VM of region " + region + " is in reach"}
	}
	ctx, cancel := wire.WithReplyTimeout(ctx, homeCallTimeout)
	defer cancel()
	var reply Reply
	if err := k.peers.CallHome(ctx, vm, MethodReserve, req, &reply); err != nil {
		k.log.Warn("program's home does not answer", "program", req.Program.Key(), "home", string(vm), "call", MethodReserve, "cause", err.Error())
		return OutageGrant{}, err
	}
	return OutageGrant{Home: vm, CopyAt: reply.CopyAt}, reply.err()
}

// SettleInOutage settles, in the background, a turn that ran on an outage grant. This VM keeps the
// settlement too. If both are lost, the turn counts with its maximum.
func (k *Keeper) SettleInOutage(grant OutageGrant, req SettleRequest) {
	k.local.Holds.KeepSettled(req)
	k.inBackground(func() {
		ctx, cancel := wire.WithReplyTimeout(context.Background(), settleTimeout)
		defer cancel()
		if grant.Home == "" {
			if err := k.local.Settle(ctx, req); err != nil {
				k.log.Warn("turn of an outage not settled", "program", req.Program.Key(), "turn", string(req.Turn), "cause", err.Error())
			}
			return
		}
		if err := k.peers.CallHome(ctx, grant.Home, MethodSettle, req, &Reply{}); err != nil {
			k.log.Warn("turn of an outage not settled", "program", req.Program.Key(), "turn", string(req.Turn), "home", string(grant.Home), "cause", err.Error())
		}
	})
}

// Finish stores a turn and settles its reservation. It repeats the call while the home
// VM waits for the store. A home VM that did not answer may have stored the turn
// already; the retry on this VM detects that from the turn's rows.
func (k *Keeper) Finish(ctx context.Context, req FinishRequest) error {
	req.Regions = rowstore.RelayRegions(ctx)
	k.local.Turns.Locate(req.Program.Key(), req.Record)
	err := k.perform(ctx, operation{
		program: req.Program, method: MethodFinish, request: &req, isRepeated: true,
		local: func() error { return k.local.Finish(ctx, req) },
	})
	if err == nil {
		k.local.Turns.AddToCache(req.Reservation.Turn, req.Record)
	}
	return err
}

// Settle settles, in the background, the reservation of a turn that was not stored. It repeats
// that until it is stored: a home VM may end before it has stored what it was told.
func (k *Keeper) Settle(req SettleRequest) {
	k.inBackground(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		for {
			err := k.settleOnce(ctx, req)
			if err == nil {
				return
			}
			select {
			case <-time.After(settlePause):
			case <-ctx.Done():
				k.log.Warn("turn not settled, it counts with its maximum", "program", req.Program.Key(), "turn", string(req.Turn),
					"tokens", req.Tokens, "cause", err.Error())
				return
			}
		}
	})
}

// settleOnce settles a turn at the program's home VM, or on this VM if that does not answer.
func (k *Keeper) settleOnce(ctx context.Context, req SettleRequest) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	vm, isSelf := k.peers.Home(k.local.Partition(req.Program.Key()))
	if !isSelf {
		callCtx, cancelCall := wire.WithReplyTimeout(ctx, settleTimeout)
		defer cancelCall()
		var reply Reply
		err := k.peers.CallHome(callCtx, vm, MethodSettle, req, &reply)
		if err == nil && reply.isFinal() {
			return reply.err()
		}
		if err != nil {
			k.log.Warn("program's home does not answer", "program", req.Program.Key(), "home", string(vm), "call", MethodSettle, "cause", err.Error())
		}
	}
	localCtx, cancelLocal := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancelLocal()
	return k.local.Settle(localCtx, req)
}

// inBackground runs a settlement that Flush waits for.
func (k *Keeper) inBackground(settle func()) {
	k.settling.Add(1)
	go func() {
		defer k.settling.Add(-1)
		settle()
	}()
}

// Flush stores the settlements of this VM and of those that call it as a home, before the
// process ends.
func (k *Keeper) Flush(ctx context.Context) {
	for {
		k.local.Ledger.Flush(ctx)
		left := k.settling.Load()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			k.log.Warn("turns not settled before the stop count with their maximum", "turns", left)
			return
		case <-time.After(flushPeriod):
		}
	}
}

// Chain returns a turn of the account and all turns that precede it. Turns that are not
// in this VM's cache are requested from other VMs, see findTurns.
func (k *Keeper) Chain(ctx context.Context, p ledger.Program, id structs.RequestID) (*turnlog.Chain, error) {
	return k.local.Turns.Chain(ctx, p.Account, id, func(ctx context.Context, q turnlog.Query) ([]*turnlog.Record, error) {
		return k.findTurns(ctx, FindRequest{Program: p, Turns: q.IDs, Of: q.Of, Regions: rowstore.RelayRegions(ctx)})
	})
}

// findTurns asks the program's home VM, which has the turns of a running program in memory. If it
// does not have them, they are read by the chain's reader: one VM for all programs and VMs that
// continue the chain, so that it is read from the store once.
func (k *Keeper) findTurns(ctx context.Context, req FindRequest) ([]*turnlog.Record, error) {
	var notCached *NotCachedError
	cached := req
	cached.IsCachedOnly = true
	var reply Reply
	handled, err := k.callHome(ctx, req.Program, MethodFind, cached, &reply)
	switch {
	case handled && mayBeUnread(req.Turns, err):
		return k.local.Find(ctx, req)
	case !handled || errors.As(err, &notCached):
		return k.readTurns(ctx, req)
	}
	return reply.Records, err
}

// readTurns has turns read by the chain's reader, or reads them on this VM if that does not
// answer. The reader goes on with a read that takes long.
func (k *Keeper) readTurns(ctx context.Context, req FindRequest) ([]*turnlog.Record, error) {
	vm, isSelf := k.peers.Home(readerName(req))
	for !isSelf && k.mayCallHome(ctx, vm) {
		var reply Reply
		handled, err := k.callVM(ctx, vm, req.Program, MethodFind, req, &reply)
		var slow *SlowStoreError
		switch {
		case !handled || mayBeUnread(req.Turns, err):
			return k.local.Find(ctx, req)
		case !errors.As(err, &slow) || ctx.Err() != nil:
			return reply.Records, err
		}
	}
	return k.local.Find(ctx, req)
}

// readerName returns the name by whose hash the reader of a chain is chosen: the chain's first
// turn, or the turn itself while nothing is known of its chain.
func readerName(req FindRequest) string {
	first := req.Turns[0]
	if req.Of != nil && len(req.Of.Ancestors) > 0 {
		first = req.Of.Ancestors[0]
	}
	return "chain/" + string(turnlog.TurnID(first))
}

// unreadIDBytes is the length of a turn's ID above which an earlier build, as the home VM,
// says that a turn does not exist without reading the store.
const unreadIDBytes = 60

// mayBeUnread reports whether a home VM of an earlier build may have said of a turn that is
// stored that it does not exist.
func mayBeUnread(ids []structs.RequestID, err error) bool {
	var missing *turnlog.NotFoundError
	return errors.As(err, &missing) && slices.ContainsFunc(ids, func(id structs.RequestID) bool { return len(id) > unreadIDBytes })
}
