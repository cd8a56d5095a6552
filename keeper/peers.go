package keeper

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// unknownPrefix starts the outbox key of a VM whose incarnation is not known yet.
const unknownPrefix = '?'

// outbox holds the lease messages for one incarnation.
type outbox struct {
	to          lease.Member
	messages    []Message
	isRequested bool // an exchange is due even without messages
	isSending   bool // an exchange is running
}

// RegisterHandlers registers the handlers of the methods between schedulers.
func (k *Keeper) RegisterHandlers(s *wire.Server) {
	wire.HandleUnary(s, MethodExchange, k.Exchange)
	wire.HandleUnary(s, MethodAppend, k.HandleAppend)
	wire.HandleUnary(s, MethodRead, k.HandleRead)
}

// updateMembership passes the live peers to the lease state machine, as known from the
// VM list and from exchanges, and requests exchanges with peers whose incarnation is
// not known.
func (k *Keeper) updateMembership() {
	peers := k.opts.Peers()
	k.mu.Lock()
	defer k.mu.Unlock()
	var live []lease.Member
	isSelfLive := true
	hasUnknown := len(peers) == 0
	for _, p := range peers {
		if p.VM == k.opts.Self.VM {
			isSelfLive = !p.IsLeaving
			continue
		}
		k.contactUnknown(p)
		m, known := k.members[p.VM]
		hasUnknown = hasUnknown || !known && !p.IsLeaving
		if known && !p.IsLeaving && !k.leaving[m.Incarnation] && !k.isUnresponsive(m) {
			live = append(live, m)
		}
	}
	if isSelfLive {
		live = append(live, k.opts.Self)
	}
	if !k.canAcquire(!hasUnknown) {
		return
	}
	k.stepLocked(lease.Peers{Members: live})
	for _, m := range k.rowMembers() {
		k.checkEnded(m)
	}
}

// isUnresponsive reports whether exchanges with a peer have failed for a lease
// duration, as with a listed VM whose process has died. Such a peer must neither get
// groups nor be a witness of new epochs. Each call requests another exchange, so that
// the peer's return is noticed.
func (k *Keeper) isUnresponsive(m lease.Member) bool {
	since, failing := k.failingSince[m.VM]
	if !failing {
		return false
	}
	k.requestExchange(m)
	return structs.Now().Sub(since) >= k.cfg.Duration
}

// recordExchange records whether an exchange with a VM's scheduler succeeded.
func (k *Keeper) recordExchange(vm structs.VMID, hasAnswered bool) {
	if hasAnswered {
		delete(k.failingSince, vm)
		return
	}
	if _, failing := k.failingSince[vm]; !failing {
		k.failingSince[vm] = structs.Now()
	}
}

// canAcquire reports whether this process may acquire groups. After its start, a
// process first waits until it knows the incarnations of all listed peers, so that
// its groups have a complete witness set from the beginning. It waits for at most
// maxPeerWaitDurations lease durations.
func (k *Keeper) canAcquire(areAllKnown bool) bool {
	maxWait := maxPeerWaitDurations * k.cfg.Duration
	k.hasInitialPeers = k.hasInitialPeers || areAllKnown || structs.Now().Sub(k.startedAt) >= maxWait
	return k.hasInitialPeers
}

// maxPeerWaitDurations limits the wait for peers after a start, in lease durations.
const maxPeerWaitDurations = 2

// rowMembers returns the processes, other than this one, that the lease rows name.
func (k *Keeper) rowMembers() []lease.Member {
	seen := map[structs.Incarnation]bool{k.opts.Self.Incarnation: true}
	var out []lease.Member
	for g := range k.groups {
		row, known := k.node.Row(lease.Group(g))
		if !known {
			continue
		}
		for _, m := range append(row.AllWitnesses(), row.Owner) {
			if !seen[m.Incarnation] {
				seen[m.Incarnation] = true
				out = append(out, m)
			}
		}
	}
	return out
}

// checkEnded looks for evidence that a process named in a row has ended: its VM is no
// longer listed, or another incarnation runs on it. In the second case it requests
// an exchange, whose reply names the current incarnation.
func (k *Keeper) checkEnded(m lease.Member) {
	if k.node.HasExited(m.Incarnation) {
		return
	}
	if !k.gone[m.VM] && k.opts.IsVMGone(m.VM) {
		k.gone[m.VM] = true
		delete(k.members, m.VM)
		k.stepLocked(lease.VMRemoved{VM: m.VM})
		return
	}
	if answers, known := k.members[m.VM]; known && answers.Incarnation != m.Incarnation {
		k.requestExchange(m)
	}
}

// contactUnknown requests an exchange with a peer whose incarnation is not known yet.
// Known peers need none: every reply to a message names the incarnation.
func (k *Keeper) contactUnknown(p Peer) {
	if _, known := k.members[p.VM]; !known {
		inc := structs.Incarnation(rune(unknownPrefix)) + structs.Incarnation(p.VM)
		k.requestExchange(lease.Member{Incarnation: inc, VM: p.VM, Addr: p.Addr})
	}
}

// requestExchange makes an exchange with a process due, even without messages.
func (k *Keeper) requestExchange(m lease.Member) {
	if k.outbox[m.Incarnation] == nil {
		k.outbox[m.Incarnation] = &outbox{to: m}
	}
	k.outbox[m.Incarnation].isRequested = true
}

// enqueue adds a message to its receiver's outbox. It drops the message when the
// outbox is full.
func (k *Keeper) enqueue(msg lease.Message) {
	box := k.outbox[msg.To.Incarnation]
	if box == nil {
		box = &outbox{to: msg.To}
		k.outbox[msg.To.Incarnation] = box
	}
	if len(box.messages) < maxMessages {
		box.messages = append(box.messages, Message{Kind: msg.Kind, Group: msg.Group, Epoch: msg.Epoch, Round: msg.Round, Age: msg.Age})
	}
}

// flushOutboxes starts an exchange with every peer that has messages in its outbox or
// a requested exchange, unless one with it is still running.
func (k *Keeper) flushOutboxes() {
	for inc, box := range k.outbox {
		if box.isSending {
			continue
		}
		if len(box.messages) == 0 && !box.isRequested {
			delete(k.outbox, inc)
			continue
		}
		messages := box.messages
		box.messages, box.isRequested, box.isSending = nil, false, true
		started := k.calls.TryPut(func(ctx context.Context) { k.exchange(ctx, inc, box, messages) })
		if !started {
			box.isSending = false
		}
	}
}

// exchangeTimeout is at most half a lease duration. Only one exchange at a time runs
// with each peer, so this leaves time for a second one within a lease.
func (k *Keeper) exchangeTimeout() time.Duration {
	return min(requestTimeout, k.cfg.Duration/2)
}

func (k *Keeper) exchange(ctx context.Context, inc structs.Incarnation, box *outbox, messages []Message) {
	ctx, cancel := context.WithTimeout(ctx, k.exchangeTimeout())
	defer cancel()
	out := Exchange{From: k.opts.Self, To: inc, Messages: messages, IsLeaving: k.isLeaving()}
	if inc[0] == unknownPrefix {
		out.To = ""
	}
	sent := structs.Now()
	var in Exchange
	err := k.opts.Sender.Call(ctx, box.to.Addr, MethodExchange, &out, &in)
	k.mu.Lock()
	defer k.mu.Unlock()
	box.isSending = false
	if len(box.messages) == 0 && !box.isRequested {
		delete(k.outbox, inc)
	}
	k.recordExchange(box.to.VM, err == nil)
	if err != nil {
		k.opts.Log.Debug("exchange with a peer failed", "addr", box.to.Addr, "error", err)
		return
	}
	k.members[in.From.VM] = in.From
	k.recordLeaving(in)
	k.stepLocked(lease.ProcessSeen{Sent: sent, Member: in.From})
	k.applyMessages(in)
}

func (k *Keeper) recordLeaving(in Exchange) {
	if in.IsLeaving {
		k.leaving[in.From.Incarnation] = true
	}
}

func (k *Keeper) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving[k.opts.Self.Incarnation]
}

// applyMessages passes the messages of an exchange to the lease state machine.
func (k *Keeper) applyMessages(in Exchange) {
	for _, m := range in.Messages {
		k.stepLocked(lease.MessageReceived{Message: lease.Message{
			Kind: m.Kind, From: in.From, To: lease.Member{Incarnation: in.To},
			Group: m.Group, Epoch: m.Epoch, Round: m.Round, Age: m.Age,
		}})
	}
}

// Exchange serves MethodExchange.
func (k *Keeper) Exchange(_ context.Context, in Exchange) (Exchange, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := Exchange{From: k.opts.Self, To: in.From.Incarnation, IsLeaving: k.leaving[k.opts.Self.Incarnation]}
	k.recordLeaving(in)
	if in.To != k.opts.Self.Incarnation {
		return out, nil
	}
	k.applyMessages(in)
	if box := k.outbox[in.From.Incarnation]; box != nil {
		out.Messages, box.messages = box.messages, nil
	}
	return out, nil
}

func (k *Keeper) serveCalls(ctx context.Context) {
	for {
		select {
		case call := <-k.calls.C():
			call(ctx)
		case <-ctx.Done():
			return
		}
	}
}
