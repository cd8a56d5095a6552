package keeper

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/journal/tail"
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
	records, err := tail.Merge(stored, tail.EntriesAfter(index.Mark, own))
	return records, errors.Wrapf(err, "recover slot %d", slot)
}

func (k *Keeper) ownEntries(slot structs.Slot) []tail.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	g := k.groups[k.groupOf(slot)]
	if g.tail == nil {
		return nil
	}
	return slices.DeleteFunc(g.tail.UnstoredEntries(), func(e tail.Entry) bool { return e.Record.Slot != slot })
}
