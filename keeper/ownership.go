package keeper

import (
	"context"
	"slices"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/journal/tail"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// HeldEpoch implements journal.Ownership.
func (k *Keeper) HeldEpoch(slot structs.Slot) (structs.Epoch, bool) {
	return k.heldEpoch(k.groupOf(slot))
}

func (k *Keeper) groupOf(slot structs.Slot) lease.Group {
	return lease.GroupOf(slot, k.opts.Lease.Slots)
}

func (k *Keeper) heldEpoch(g lease.Group) (structs.Epoch, bool) {
	view := k.leases[g].Load()
	if view == nil || view.epoch == 0 || !structs.Now().Before(view.expiresAt) {
		return 0, false
	}
	return view.epoch, true
}

// OwnerAddr implements journal.Ownership.
func (k *Keeper) OwnerAddr(slot structs.Slot) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	row, known := k.node.Row(k.groupOf(slot))
	if !known || row.IsReleased {
		return ""
	}
	return row.Owner.Addr
}

// Changes implements journal.Ownership. A lease that expires and is renewed under the
// same epoch is reported neither as a loss nor as a gain; Held shows it.
func (k *Keeper) Changes() <-chan journal.SlotChange { return k.delivered }

func (k *Keeper) applyGain(a lease.Gained) {
	g := k.groups[a.Group]
	if g.tail == nil {
		g.tail = tail.NewOwnerLog(a.Group, a.Epoch)
		g.since = a.Epoch
	}
	if g.isOwnSuccessor && k.replaceLoss(a) {
		return
	}
	k.queueChanges(a.Group, a.Epoch, true)
}

// replaceLoss replaces the loss of the previous epoch, if it has not been delivered
// yet, and this gain by changes with IsContinued set, so that the work of the
// slots continues. It reports whether it did.
func (k *Keeper) replaceLoss(a lease.Gained) bool {
	slots := lease.SlotsOf(a.Group, k.opts.Lease.Slots)
	remaining := slices.DeleteFunc(slices.Clone(k.changes), func(c journal.SlotChange) bool {
		return !c.IsHeld && slices.Contains(slots, c.Slot)
	})
	if len(remaining) != len(k.changes)-len(slots) {
		return false
	}
	k.changes = remaining
	for _, slot := range slots {
		k.changes = append(k.changes, journal.SlotChange{Slot: slot, Epoch: a.Epoch, IsHeld: true, IsContinued: true})
	}
	signal(k.changed)
	return true
}

// applyLoss ends the tail of an epoch. If this process survived a revocation by taking
// the next epoch itself, it carries the tail over to that epoch instead. If it took a
// later epoch as an ordinary successor, the tail ends too: the records that may count
// are in the store by then, and the others were never acknowledged.
func (k *Keeper) applyLoss(a lease.Lost) {
	g := k.groups[a.Group]
	g.isOwnSuccessor = false
	k.queueChanges(a.Group, a.Epoch, false)
	row, _ := k.node.Row(a.Group)
	if row.Owner.Incarnation == k.opts.Self.Incarnation && !row.IsReleased && row.Epoch > a.Epoch && row.FirstEpoch <= a.Epoch {
		shift := g.tail.CarryOver(row.Epoch)
		for _, w := range g.waiting {
			w.lastIndex -= shift
		}
		g.pendingMove = nil
		g.isOwnSuccessor = true
		return
	}
	for _, w := range g.waiting {
		w.done <- &journal.FencedError{Slot: w.slot, Epoch: w.epoch}
	}
	g.tail, g.waiting, g.pendingMove, g.index = nil, nil, nil, nil
}

func (k *Keeper) queueChanges(group lease.Group, epoch structs.Epoch, isHeld bool) {
	for _, slot := range lease.SlotsOf(group, k.opts.Lease.Slots) {
		k.changes = append(k.changes, journal.SlotChange{Slot: slot, Epoch: epoch, IsHeld: isHeld})
	}
	signal(k.changed)
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (k *Keeper) deliverChanges(ctx context.Context) {
	for {
		select {
		case <-k.changed:
		case <-ctx.Done():
			return
		}
		k.mu.Lock()
		changes := k.changes
		k.changes = nil
		k.mu.Unlock()
		for _, c := range changes {
			select {
			case k.delivered <- c:
			case <-ctx.Done():
				return
			}
		}
	}
}
