package keeper

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// handing is what was given up of one group under one epoch.
type handing struct {
	epoch  structs.Epoch
	slots  map[structs.Slot]bool
	wanted *lease.Handover // set while another scheduler should have the group
}

// Excess lists the slots that another scheduler should have, for balance. It
// is empty unless Options.Deferred is set.
func (k *Keeper) Excess() []structs.Slot {
	k.mu.Lock()
	defer k.mu.Unlock()
	var slots []structs.Slot
	for group, h := range k.handing {
		if h.wanted == nil || !k.holds(group, h.epoch) {
			continue
		}
		for _, slot := range lease.SlotsOf(group, k.opts.Lease.Slots) {
			if !h.slots[slot] {
				slots = append(slots, slot)
			}
		}
	}
	return slots
}

// Release gives up a slot in which nothing runs. The group of the slot is
// handed over once all its slots were given up; the last of these calls
// returns when the row says so, or ctx ends.
func (k *Keeper) Release(ctx context.Context, slot structs.Slot) error {
	group := k.groupOf(slot)
	epoch, whole := k.giveUp(group, slot)
	if !whole {
		return nil
	}
	if err := k.drain(ctx); err != nil {
		k.opts.Log.Warn("tail not stored before release", "error", err)
	}
	k.step(k.releaseEvent(group, epoch))
	return k.until(ctx, func() bool { return !k.holds(group, epoch) })
}

// giveUp notes the slot and reports whether it was the last of its group.
func (k *Keeper) giveUp(group lease.Group, slot structs.Slot) (structs.Epoch, bool) {
	epoch, held := k.heldGroup(group)
	if !held {
		return 0, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.handingOf(group, epoch)
	h.slots[slot] = true
	return epoch, len(h.slots) == len(lease.SlotsOf(group, k.opts.Lease.Slots))
}

// handingOf begins anew for each epoch.
func (k *Keeper) handingOf(group lease.Group, epoch structs.Epoch) *handing {
	h := k.handing[group]
	if h == nil || h.epoch != epoch {
		h = &handing{epoch: epoch, slots: make(map[structs.Slot]bool)}
		k.handing[group] = h
	}
	return h
}

func (k *Keeper) releaseEvent(group lease.Group, epoch structs.Epoch) lease.Event {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h := k.handing[group]; h != nil && h.epoch == epoch && h.wanted != nil {
		return lease.HandoverReady(*h.wanted)
	}
	return lease.ReleaseGroup{Group: group, Epoch: epoch}
}

// handover answers a proposal for balance at once, or leaves it to Excess and
// Release.
func (k *Keeper) handover(a lease.Handover) {
	if !k.opts.DefersHandover {
		k.stepLocked(lease.HandoverReady(a))
		return
	}
	k.handingOf(a.Group, a.Epoch).wanted = &a
}

// holds reports whether the row as last seen names this process under the
// epoch.
func (k *Keeper) holds(group lease.Group, epoch structs.Epoch) bool {
	row, known := k.node.Row(group)
	return known && !row.IsReleased && row.Epoch == epoch && row.Owner.Incarnation == k.opts.Self.Incarnation
}

// ReleaseAll hands all groups over, for a planned stop. The caller has ended
// its work on them: appends are refused from here on. It returns when every
// row says so, or ctx ends.
func (k *Keeper) ReleaseAll(ctx context.Context) error {
	if err := k.drain(ctx); err != nil {
		k.opts.Log.Warn("tail not stored before release", "error", err)
	}
	k.leave(lease.ReleaseAll{})
	return k.until(ctx, k.node.HasReleasedAll)
}

// StopAcquiring takes no further groups, for a planned stop.
func (k *Keeper) StopAcquiring() { k.leave(lease.StopAcquiring{}) }

// leave tells the peers, which may not have it from the VM list yet, and steps.
func (k *Keeper) leave(event lease.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving[k.opts.Self.Incarnation] = true
	for _, m := range k.members {
		k.ask(m)
	}
	k.stepLocked(event)
}

// until waits for a condition, which is asked under the lock.
func (k *Keeper) until(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(k.cfg.RenewInterval / releaseLooks)
	defer ticker.Stop()
	for {
		k.mu.Lock()
		k.flush()
		met := done()
		k.mu.Unlock()
		if met {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// releaseLooks is how often in a renewal interval a release is looked at.
const releaseLooks = 10
