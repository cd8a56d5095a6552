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
	return k.heldGroup(k.groupOf(slot))
}

func (k *Keeper) groupOf(slot structs.Slot) lease.Group {
	return lease.GroupOf(slot, k.opts.Lease.Slots)
}

func (k *Keeper) heldGroup(g lease.Group) (structs.Epoch, bool) {
	view := k.leases[g].Load()
	if view == nil || view.epoch == 0 || !structs.Now().Before(view.until) {
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

// Changes implements journal.Ownership. A lease that lapses and is renewed
// under the same epoch is neither a loss nor a gain: Held tells.
func (k *Keeper) Changes() <-chan journal.SlotChange { return k.delivered }

func (k *Keeper) gained(a lease.Gained) {
	g := k.groups[a.Group]
	if g.tail == nil {
		g.tail = tail.NewOwnerLog(a.Group, a.Epoch)
		g.since = a.Epoch
	}
	if g.carried && k.continues(a) {
		return
	}
	k.change(a.Group, a.Epoch, true)
}

// continues turns the loss of the epoch before, if nobody has been told of it
// yet, and this gain into changes that let the slots' work go on.
func (k *Keeper) continues(a lease.Gained) bool {
	slots := lease.SlotsOf(a.Group, k.opts.Lease.Slots)
	kept := slices.DeleteFunc(slices.Clone(k.changes), func(c journal.SlotChange) bool {
		return !c.IsHeld && slices.Contains(slots, c.Slot)
	})
	if len(kept) != len(k.changes)-len(slots) {
		return false
	}
	k.changes = kept
	for _, slot := range slots {
		k.changes = append(k.changes, journal.SlotChange{Slot: slot, Epoch: a.Epoch, IsHeld: true, IsContinued: true})
	}
	signal(k.changed)
	return true
}

// lost ends the tail of an epoch, or carries it on when this process has outrun
// a revocation. When it followed itself like any successor, the records that
// may count are in the store, and the others were never acknowledged.
func (k *Keeper) lost(a lease.Lost) {
	g := k.groups[a.Group]
	g.carried = false
	k.change(a.Group, a.Epoch, false)
	row, _ := k.node.Row(a.Group)
	if row.Owner.Incarnation == k.opts.Self.Incarnation && !row.IsReleased && row.Epoch > a.Epoch && row.FirstEpoch <= a.Epoch {
		shift := g.tail.CarryOver(row.Epoch)
		for _, w := range g.waiting {
			w.upto -= shift
		}
		g.move = nil
		g.carried = true
		return
	}
	for _, w := range g.waiting {
		w.done <- &journal.FencedError{Slot: w.slot, Epoch: w.epoch}
	}
	g.tail, g.waiting, g.move, g.index = nil, nil, nil, nil
}

func (k *Keeper) change(group lease.Group, epoch structs.Epoch, held bool) {
	for _, slot := range lease.SlotsOf(group, k.opts.Lease.Slots) {
		k.changes = append(k.changes, journal.SlotChange{Slot: slot, Epoch: epoch, IsHeld: held})
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
