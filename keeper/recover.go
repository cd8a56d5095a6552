package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/journal/tail"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// Recover implements journal.Journal. What the witnesses held was stored before
// this process took the epoch, so the store and this process's own tail are all
// there is to read.
func (k *Keeper) Recover(ctx context.Context, slot structs.Slot, epoch structs.Epoch) ([]journal.Record, error) {
	group := k.groupOf(slot)
	if held, ok := k.heldGroup(group); !ok || held != epoch {
		return nil, &journal.FencedError{Slot: slot, Epoch: epoch}
	}
	own := k.ownEntries(slot)
	index, err := k.readIndex(ctx, group)
	if err != nil {
		return nil, err
	}
	stored, err := k.readObjects(ctx, group, index.Objects)
	if err != nil {
		return nil, err
	}
	stored = slices.DeleteFunc(stored, func(r journal.Record) bool { return r.Slot != slot })
	records, err := tail.Merge(stored, tail.After(index.Mark, own))
	return records, errors.Wrapf(err, "recover slot %d", slot)
}

func (k *Keeper) ownEntries(slot structs.Slot) []tail.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	g := k.groups[k.groupOf(slot)]
	if g.tail == nil {
		return nil
	}
	return slices.DeleteFunc(g.tail.Unstored(), func(e tail.Entry) bool { return e.Record.Slot != slot })
}

// Release hands all groups over, for a planned stop. The caller has ended its
// work on them: appends are refused from here on. It returns when every row
// says so, or ctx ends.
func (k *Keeper) Release(ctx context.Context) error {
	if err := k.drain(ctx); err != nil {
		k.opts.Log.Warn("tail not stored before release", "error", err)
	}
	k.leave()
	ticker := time.NewTicker(k.cfg.Renew / 10)
	defer ticker.Stop()
	for {
		k.mu.Lock()
		k.flush()
		released := k.node.AllReleased()
		k.mu.Unlock()
		if released {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// leave gives up every group and tells the peers, which may not have it from
// the VM list yet.
func (k *Keeper) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving[k.opts.Self.Incarnation] = true
	for _, m := range k.members {
		k.ask(m)
	}
	k.stepLocked(lease.ReleaseAll{})
}
