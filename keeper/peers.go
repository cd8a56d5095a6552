package keeper

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// unknownPrefix begins the key of an outbox whose receiver is not known yet.
const unknownPrefix = '?'

// outbox holds the lease messages for one incarnation.
type outbox struct {
	to       lease.Member
	messages []Message
	ask      bool // an exchange is due without messages too
	busy     bool // an exchange is on its way
}

// RegisterHandlers sets the handlers of the methods between schedulers.
func (k *Keeper) RegisterHandlers(s *wire.Server) {
	wire.HandleUnary(s, MethodExchange, k.Exchange)
	wire.HandleUnary(s, MethodAppend, k.HandleAppend)
	wire.HandleUnary(s, MethodRead, k.HandleRead)
}

// tellMembership passes on what the VM list and the peers' answers say, and
// asks peers who they are.
func (k *Keeper) tellMembership() {
	peers := k.opts.Peers()
	k.mu.Lock()
	defer k.mu.Unlock()
	var live []lease.Member
	self := true
	unknown := len(peers) == 0
	for _, p := range peers {
		if p.VM == k.opts.Self.VM {
			self = !p.IsLeaving
			continue
		}
		k.hello(p)
		m, known := k.members[p.VM]
		unknown = unknown || !known && !p.IsLeaving
		if known && !p.IsLeaving && !k.leaving[m.Incarnation] && !k.silent(m) {
			live = append(live, m)
		}
	}
	if self {
		live = append(live, k.opts.Self)
	}
	if !k.mayAct(!unknown) {
		return
	}
	k.stepLocked(lease.Peers{Members: live})
	for _, m := range k.namedMembers() {
		k.account(m)
	}
}

// silent reports whether exchanges with a peer have failed for a lease duration.
// A listed VM whose process has died is one; it must neither be handed groups
// nor witness new epochs. It is asked again at each look, so that its return is
// noticed.
func (k *Keeper) silent(m lease.Member) bool {
	since, failing := k.failing[m.VM]
	if !failing {
		return false
	}
	k.ask(m)
	return structs.Now().Sub(since) >= k.cfg.Duration
}

// noteAnswer records whether an exchange with a VM's scheduler succeeded.
func (k *Keeper) noteAnswer(vm structs.VMID, answered bool) {
	if answered {
		delete(k.failing, vm)
		return
	}
	if _, failing := k.failing[vm]; !failing {
		k.failing[vm] = structs.Now()
	}
}

// mayAct reports whether this process may take groups. One that has just
// started first learns the incarnations of all listed peers, so that its groups
// have a whole witness set from the start; it waits for at most greetDurations
// lease durations.
func (k *Keeper) mayAct(allKnown bool) bool {
	patience := greetDurations * k.cfg.Duration
	k.greeted = k.greeted || allKnown || structs.Now().Sub(k.startedAt) >= patience
	return k.greeted
}

// greetDurations bounds the wait for peers after a start, in lease durations.
const greetDurations = 2

// namedMembers returns the other processes that rows name.
func (k *Keeper) namedMembers() []lease.Member {
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

// account looks for evidence that a process which a row names has ended: its
// VM is gone, or another incarnation answers on it.
func (k *Keeper) account(m lease.Member) {
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
		k.ask(m)
	}
}

// hello makes an exchange due with a peer that is not known yet. Known ones
// answer with their incarnation whenever messages go to their address.
func (k *Keeper) hello(p Peer) {
	if _, known := k.members[p.VM]; !known {
		inc := structs.Incarnation(rune(unknownPrefix)) + structs.Incarnation(p.VM)
		k.ask(lease.Member{Incarnation: inc, VM: p.VM, Addr: p.Addr})
	}
}

// ask makes an exchange due, even without messages.
func (k *Keeper) ask(m lease.Member) {
	if k.outbox[m.Incarnation] == nil {
		k.outbox[m.Incarnation] = &outbox{to: m}
	}
	k.outbox[m.Incarnation].ask = true
}

func (k *Keeper) post(msg lease.Message) {
	box := k.outbox[msg.To.Incarnation]
	if box == nil {
		box = &outbox{to: msg.To}
		k.outbox[msg.To.Incarnation] = box
	}
	if len(box.messages) < maxMessages {
		box.messages = append(box.messages, Message{Kind: msg.Kind, Group: msg.Group, Epoch: msg.Epoch, Round: msg.Round, Age: msg.Age})
	}
}

// flush starts an exchange with every peer that has messages waiting.
func (k *Keeper) flush() {
	for inc, box := range k.outbox {
		if box.busy {
			continue
		}
		if len(box.messages) == 0 && !box.ask {
			delete(k.outbox, inc)
			continue
		}
		messages := box.messages
		box.messages, box.ask, box.busy = nil, false, true
		started := k.calls.TryPut(func(ctx context.Context) { k.exchange(ctx, inc, box, messages) })
		if !started {
			box.busy = false
		}
	}
}

// exchangeTimeout leaves time for another exchange within a lease, since there
// is one at a time with each peer.
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
	box.busy = false
	if len(box.messages) == 0 && !box.ask {
		delete(k.outbox, inc)
	}
	k.noteAnswer(box.to.VM, err == nil)
	if err != nil {
		k.opts.Log.Debug("exchange failed", "addr", box.to.Addr, "error", err)
		return
	}
	k.members[in.From.VM] = in.From
	k.noteLeaving(in)
	k.stepLocked(lease.ProcessSeen{Sent: sent, Member: in.From})
	k.receive(in)
}

func (k *Keeper) noteLeaving(in Exchange) {
	if in.IsLeaving {
		k.leaving[in.From.Incarnation] = true
	}
}

func (k *Keeper) isLeaving() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaving[k.opts.Self.Incarnation]
}

// receive takes the messages of an exchange.
func (k *Keeper) receive(in Exchange) {
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
	k.noteLeaving(in)
	if in.To != k.opts.Self.Incarnation {
		return out, nil
	}
	k.receive(in)
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
