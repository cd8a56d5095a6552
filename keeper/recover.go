package keeper

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/journal/tail"
	"github.com/endivecourse/endivecourse/structs"
)

// Recover implements journal.Journal. The entries that the witnesses held were stored
// before this process took the epoch, so it reads only the store and its own tail.
func (k *Keeper) Recover(ctx context.Context, slot structs.Slot, epoch structs.Epoch) ([]journal.Record, error) {
	group := k.groupOf(slot)
	if held, ok := k.heldEpoch(group); !ok || held != epoch {
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
	records, err := tail.Merge(stored, tail.EntriesAfter(index.StoredTo, own))
	return records, errors.Wrapf(err, "recover slot %d", slot)
}

// ownEntries returns the unstored entries of a slot in this process's own tail.
func (k *Keeper) ownEntries(slot structs.Slot) []tail.Entry {
	k.mu.Lock()
	defer k.mu.Unlock()
	g := k.groups[k.groupOf(slot)]
	if g.tail == nil {
		return nil
	}
	return slices.DeleteFunc(g.tail.UnstoredEntries(), func(e tail.Entry) bool { return e.Record.Slot != slot })
}
