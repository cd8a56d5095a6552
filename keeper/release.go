package keeper

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// groupRelease is what was given up of one group under one epoch.
type groupRelease struct {
	epoch    structs.Epoch
	released map[structs.Slot]bool
	proposal *lease.Handover // set while another scheduler should have the group
}

// Excess lists the slots that another scheduler should have, for balance. It
// is empty unless Options.Deferred is set.
func (k *Keeper) Excess() []structs.Slot {
	k.mu.Lock()
	defer k.mu.Unlock()
	var slots []structs.Slot
	for group, h := range k.groupRelease {
		if h.proposal == nil || !k.isRowOwner(group, h.epoch) {
			continue
		}
		for _, slot := range lease.SlotsOf(group, k.opts.Lease.Slots) {
			if !h.released[slot] {
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
	epoch, isLast := k.markReleased(group, slot)
	if !isLast {
		return nil
	}
	if err := k.drain(ctx); err != nil {
		k.opts.Log.Warn("tail not stored before release", "error", err)
	}
	k.step(k.releaseEvent(group, epoch))
	return k.waitUntil(ctx, func() bool { return !k.isRowOwner(group, epoch) })
}

// markReleased notes the slot and reports whether it was the last of its group.
func (k *Keeper) markReleased(group lease.Group, slot structs.Slot) (structs.Epoch, bool) {
	epoch, held := k.heldEpoch(group)
	if !held {
		return 0, false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.releaseOf(group, epoch)
	h.released[slot] = true
	return epoch, len(h.released) == len(lease.SlotsOf(group, k.opts.Lease.Slots))
}

// releaseOf begins anew for each epoch.
func (k *Keeper) releaseOf(group lease.Group, epoch structs.Epoch) *groupRelease {
	h := k.groupRelease[group]
	if h == nil || h.epoch != epoch {
		h = &groupRelease{epoch: epoch, released: make(map[structs.Slot]bool)}
		k.groupRelease[group] = h
	}
	return h
}

func (k *Keeper) releaseEvent(group lease.Group, epoch structs.Epoch) lease.Event {
	k.mu.Lock()
	defer k.mu.Unlock()
	if h := k.groupRelease[group]; h != nil && h.epoch == epoch && h.proposal != nil {
		return lease.HandoverReady(*h.proposal)
	}
	return lease.ReleaseGroup{Group: group, Epoch: epoch}
}

// acceptHandover answers a proposal for balance at once, or leaves it to Excess and
// Release.
func (k *Keeper) acceptHandover(a lease.Handover) {
	if !k.opts.DefersHandover {
		k.stepLocked(lease.HandoverReady(a))
		return
	}
	k.releaseOf(a.Group, a.Epoch).proposal = &a
}

// isRowOwner reports whether the row as last seen names this process under the
// epoch.
func (k *Keeper) isRowOwner(group lease.Group, epoch structs.Epoch) bool {
	row, known := k.node.Row(group)
	return known && !row.Released && row.Epoch == epoch && row.Owner.Incarnation == k.opts.Self.Incarnation
}

// ReleaseAll hands all groups over, for a planned stop. The caller has ended
// its work on them: appends are refused from here on. It returns when every
// row says so, or ctx ends.
func (k *Keeper) ReleaseAll(ctx context.Context) error {
	if err := k.drain(ctx); err != nil {
		k.opts.Log.Warn("tail not stored before release", "error", err)
	}
	k.startLeaving(lease.ReleaseAll{})
	return k.waitUntil(ctx, k.node.AllReleased)
}

// StopAcquiring takes no further groups, for a planned stop.
func (k *Keeper) StopAcquiring() { k.startLeaving(lease.Leave{}) }

// startLeaving tells the peers, which may not have it from the VM list yet, and steps.
func (k *Keeper) startLeaving(event lease.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving[k.opts.Self.Incarnation] = true
	for _, m := range k.members {
		k.requestExchange(m)
	}
	k.stepLocked(event)
}

// waitUntil waits for a condition, which is asked under the lock.
func (k *Keeper) waitUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(k.cfg.Renew / releaseChecksPerRenewal)
	defer ticker.Stop()
	for {
		k.mu.Lock()
		k.flushOutboxes()
		isMet := condition()
		k.mu.Unlock()
		if isMet {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// releaseChecksPerRenewal is how often in a renewal interval a release is looked at.
const releaseChecksPerRenewal = 10
