package keeper

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// sweepInterval is the interval between searches for objects that no index lists. An
// object that two searches in a row find unlisted is deleted: a transaction that
// would list it can't take that long.
const sweepInterval = 10 * time.Minute

// serveSweep deletes the objects that compaction has replaced. The owner of group 0
// does this for its failure domain.
func (k *Keeper) serveSweep(ctx context.Context) {
	suspects := make(map[string]bool)
	for {
		select {
		case <-time.After(sweepInterval):
		case <-ctx.Done():
			return
		}
		if _, held := k.heldEpoch(0); !held {
			clear(suspects)
			continue
		}
		unlisted, err := k.unlistedObjects(ctx)
		if err != nil {
			k.opts.Log.Warn("unlisted journal objects not searched", "error", err)
			continue
		}
		suspects = k.deleteUnlisted(ctx, suspects, unlisted)
	}
}

// unlistedObjects returns the keys of the domain's objects that no index lists. The
// objects are listed before the indexes are read, so that an object written and
// added to an index in between is not returned.
func (k *Keeper) unlistedObjects(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	prefix := fmt.Sprintf("journal/%s/", k.opts.Domain)
	keys, err := k.opts.Objects.List(ctx, prefix)
	if err != nil {
		return nil, errors.Wrap(err, "list journal objects")
	}
	rows, err := k.opts.Table.List(ctx, prefix)
	if err != nil {
		return nil, errors.Wrap(err, "list index rows of the journal")
	}
	listed := make(map[string]bool)
	for _, row := range rows {
		index, err := decodeIndex(row)
		if err != nil {
			return nil, err
		}
		for _, key := range index.Objects {
			listed[key] = true
		}
	}
	var out []string
	for _, key := range keys {
		if !listed[key] {
			out = append(out, key)
		}
	}
	return out, nil
}

// deleteUnlisted deletes the unlisted objects that are among the suspects and returns
// the others, and those that could not be deleted, as the next suspects.
func (k *Keeper) deleteUnlisted(ctx context.Context, suspects map[string]bool, unlisted []string) map[string]bool {
	next := make(map[string]bool)
	for _, key := range unlisted {
		if !suspects[key] {
			next[key] = true
			continue
		}
		if err := k.opts.Objects.Delete(ctx, key); err != nil {
			k.opts.Log.Warn("unlisted journal object not deleted", "key", key, "error", err)
			next[key] = true
		}
	}
	return next
}
