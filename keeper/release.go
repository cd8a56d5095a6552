package keeper

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// groupRelease records which slots of a group were released under one epoch.
type groupRelease struct {
	epoch    structs.Epoch
	released map[structs.Slot]bool
	proposal *lease.Handover // set while the group should move to another scheduler
}

// Excess lists the slots that should move to another scheduler to balance the load
// and are not released yet. It is empty unless Options.DefersHandover is set.
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

// Release releases a slot in which nothing runs. The group of the slot is handed
// over once all its slots are released; the last of these calls returns when the
// lease row shows the handover, or when ctx ends.
func (k *Keeper) Release(ctx context.Context, slot structs.Slot) error {
	group := k.groupOf(slot)
	epoch, isLast := k.markReleased(group, slot)
	if !isLast {
		return nil
	}
	if err := k.drain(ctx); err != nil {
		k.opts.Log.Warn("journal tail not stored before release", "error", err)
	}
	k.step(k.releaseEvent(group, epoch))
	return k.waitUntil(ctx, func() bool { return !k.isRowOwner(group, epoch) })
}

// markReleased marks the slot as released and reports whether it was the last one
// of its group.
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

// releaseOf returns the release state of a group, which is empty in a new epoch.
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

// acceptHandover accepts a proposal to move a group for balance: at once, or, with
// DefersHandover, when Release was called for all its slots.
func (k *Keeper) acceptHandover(a lease.Handover) {
	if !k.opts.DefersHandover {
		k.stepLocked(lease.HandoverReady(a))
		return
	}
	k.releaseOf(a.Group, a.Epoch).proposal = &a
}

// isRowOwner reports whether the row last read names this process as the owner under
// the epoch.
func (k *Keeper) isRowOwner(group lease.Group, epoch structs.Epoch) bool {
	row, known := k.node.Row(group)
	return known && !row.IsReleased && row.Epoch == epoch && row.Owner.Incarnation == k.opts.Self.Incarnation
}

// ReleaseAll releases all groups, for a planned stop. The caller must have ended its
// work on them: later appends are refused. It returns when every row shows the
// release, or when ctx ends.
func (k *Keeper) ReleaseAll(ctx context.Context) error {
	if err := k.drain(ctx); err != nil {
		k.opts.Log.Warn("journal tail not stored before release", "error", err)
	}
	k.startLeaving(lease.ReleaseAll{})
	return k.waitUntil(ctx, k.node.HasReleasedAll)
}

// StopAcquiring makes this process acquire no further groups, for a planned stop.
func (k *Keeper) StopAcquiring() { k.startLeaving(lease.StopAcquiring{}) }

// startLeaving notifies the peers that this process is leaving, which the VM list may
// not show yet, and passes the event to the state machine.
func (k *Keeper) startLeaving(event lease.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving[k.opts.Self.Incarnation] = true
	for _, m := range k.members {
		k.requestExchange(m)
	}
	k.stepLocked(event)
}

// waitUntil waits until the condition, which is evaluated under the lock, is true.
func (k *Keeper) waitUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(k.cfg.RenewInterval / releaseChecksPerRenewal)
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

// releaseChecksPerRenewal is how often waitUntil evaluates its condition in a renewal
// interval.
const releaseChecksPerRenewal = 10
