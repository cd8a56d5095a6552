package keeper

import (
	"context"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/journal/tail"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// maxBatch bounds the entries of one group in one message.
const maxBatch = 256

// Append implements journal.Journal.
func (k *Keeper) Append(ctx context.Context, records []journal.Record) error {
	byGroup := make(map[lease.Group][]journal.Record)
	for _, r := range records {
		g := k.groupOf(r.Slot)
		byGroup[g] = append(byGroup[g], r)
	}
	waiters, err := k.accept(byGroup, tail.SizeOf(records))
	if err != nil {
		return err
	}
	for _, w := range waiters {
		select {
		case err := <-w.done:
			if err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// accept adds records to the tails of their groups, all or none.
func (k *Keeper) accept(byGroup map[lease.Group][]journal.Record, size int64) ([]*waiter, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id, records := range byGroup {
		for _, r := range records {
			if !k.mayAppend(k.groups[id], r.Epoch) {
				return nil, &journal.FencedError{Slot: r.Slot, Epoch: r.Epoch}
			}
		}
	}
	if have := k.unstored(); have+size > k.opts.MaxTail {
		signal(k.drainNow)
		refusedTotal.Inc()
		return nil, &journal.FullError{Bytes: have, Max: k.opts.MaxTail}
	}
	var waiters []*waiter
	for id, records := range byGroup {
		g := k.groups[id]
		w := &waiter{slot: records[0].Slot, epoch: records[0].Epoch, upto: g.tail.Append(records), done: make(chan error, 1)}
		g.waiting = append(g.waiting, w)
		recordsTotal.Add(len(records))
		waiters = append(waiters, w)
		k.appendLocally(g)
		k.settle(g)
	}
	k.flushTails()
	return waiters, nil
}

// mayAppend reports whether records of an epoch may be added: the lease runs,
// and this process has owned the group without a break since that epoch.
func (k *Keeper) mayAppend(g *groupState, epoch structs.Epoch) bool {
	held, ok := k.heldGroup(g.id)
	return ok && g.tail != nil && epoch >= g.since && epoch <= held && g.tail.Epoch() == held
}

func (k *Keeper) unstored() int64 {
	var n int64
	for _, g := range k.groups {
		if g.tail != nil {
			n += g.tail.Bytes()
		}
	}
	return n
}

// appendLocally is this process's own part as a witness of its own group.
func (k *Keeper) appendLocally(g *groupState) {
	if batch, more := g.tail.Batch(k.opts.Self.Incarnation, maxBatch); more {
		g.tail.RecordAck(k.opts.Self.Incarnation, k.witness.Append(batch))
	}
}

// settle completes the appends that are durable by now.
func (k *Keeper) settle(g *groupState) {
	if g.tail == nil {
		return
	}
	durable := g.tail.DurableIndex(k.node.WitnessSets(g.id))
	for len(g.waiting) > 0 && g.waiting[0].upto <= durable {
		g.waiting[0].done <- nil
		g.waiting = g.waiting[1:]
	}
	k.settleMove(g)
}

// beginMove waits until all entries of now stand with the pending set.
func (k *Keeper) beginMove(a lease.MoveTail) {
	g := k.groups[a.Group]
	m := &move{epoch: a.Epoch, pending: a.PendingWitnesses}
	if g.tail != nil {
		m.upto = g.tail.LastIndex()
	}
	g.move = m
	k.settleMove(g)
	k.flushTails()
}

func (k *Keeper) settleMove(g *groupState) {
	m := g.move
	if m == nil || g.tail != nil && g.tail.DurableIndex([][]lease.Member{m.pending}) < m.upto {
		return
	}
	g.move = nil
	k.stepLocked(lease.TailMoved{Group: g.id, Epoch: m.epoch})
}

// flushTails starts a message to each witness that lacks entries and has none
// on its way.
func (k *Keeper) flushTails() {
	lacking := make(map[structs.Incarnation]lease.Member)
	for _, g := range k.groups {
		if g.tail == nil || g.tail.LastIndex() == g.tail.StoredIndex() {
			continue
		}
		for _, set := range k.node.WitnessSets(g.id) {
			for _, m := range set {
				lacking[m.Incarnation] = m
			}
		}
	}
	delete(lacking, k.opts.Self.Incarnation)
	for inc, m := range lacking {
		if k.senders[inc] {
			continue
		}
		batches := k.batchesFor(inc)
		if len(batches) == 0 {
			continue
		}
		k.senders[inc] = k.calls.TryPut(func(ctx context.Context) { k.sendTail(ctx, m, batches) })
	}
}

func (k *Keeper) batchesFor(inc structs.Incarnation) []tail.Batch {
	var batches []tail.Batch
	for _, g := range k.groups {
		if g.tail == nil || !inSets(k.node.WitnessSets(g.id), inc) {
			continue
		}
		if batch, more := g.tail.Batch(inc, maxBatch); more {
			batches = append(batches, batch)
		}
	}
	return batches
}

func inSets(sets [][]lease.Member, inc structs.Incarnation) bool {
	for _, set := range sets {
		for _, m := range set {
			if m.Incarnation == inc {
				return true
			}
		}
	}
	return false
}

func (k *Keeper) sendTail(ctx context.Context, to lease.Member, batches []tail.Batch) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var reply AppendReply
	err := k.opts.Sender.Call(ctx, to.Addr, MethodAppend, &AppendRequest{To: to.Incarnation, Batches: batches}, &reply)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.senders, to.Incarnation)
	if err != nil || reply.From != to.Incarnation {
		return // tried again at the next tick or append
	}
	progress := false
	for _, ack := range reply.Acks {
		if int(ack.Group) >= len(k.groups) || k.groups[ack.Group].tail == nil {
			continue
		}
		g := k.groups[ack.Group]
		g.tail.RecordAck(to.Incarnation, ack)
		progress = progress || !ack.IsFenced && !ack.IsFull
		k.settle(g)
	}
	if progress {
		k.flushTails()
	}
}

// HandleAppend serves MethodAppend.
func (k *Keeper) HandleAppend(_ context.Context, in AppendRequest) (AppendReply, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := AppendReply{From: k.opts.Self.Incarnation}
	if in.To != k.opts.Self.Incarnation {
		return out, nil
	}
	for _, batch := range in.Batches {
		if int(batch.Group) >= len(k.groups) {
			continue
		}
		out.Acks = append(out.Acks, k.witness.Append(batch))
	}
	return out, nil
}
