package keeper

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// sweepInterval is how often objects that no index lists are looked for. One
// that is found unlisted twice is deleted: no transaction that would list it
// takes that long.
const sweepInterval = 10 * time.Minute

// serveSweep deletes the objects that compaction has left behind. The owner of
// the first group does so for its failure domain.
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
			k.opts.Log.Warn("objects not swept", "error", err)
			continue
		}
		suspects = k.deleteUnlisted(ctx, suspects, unlisted)
	}
}

// unlistedObjects returns the domain's objects that no index lists. Objects are read
// first, so that one written meanwhile is not among them.
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
		return nil, errors.Wrap(err, "list journal indexes")
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

// deleteUnlisted deletes the objects that were suspects before and returns the others.
func (k *Keeper) deleteUnlisted(ctx context.Context, suspects map[string]bool, unlisted []string) map[string]bool {
	next := make(map[string]bool)
	for _, key := range unlisted {
		if !suspects[key] {
			next[key] = true
			continue
		}
		if err := k.opts.Objects.Delete(ctx, key); err != nil {
			k.opts.Log.Warn("object not deleted", "key", key, "error", err)
			next[key] = true
		}
	}
	return next
}
