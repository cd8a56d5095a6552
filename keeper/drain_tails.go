package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/journal/tail"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	maxObjectBytes = 4 << 20
	maxObjects     = 64 // of one group; compaction rewrites them as one
)

// serveDrain periodically stores the tails of all owned groups. One object holds the
// records of many programs.
func (k *Keeper) serveDrain(ctx context.Context) {
	interval := DrainInterval(k.opts.StoreWriteRate, k.opts.Daemons)
	for {
		select {
		case <-time.After(interval):
		case <-k.drainNow:
		case <-ctx.Done():
			return
		}
		if err := k.drain(ctx); err != nil {
			drainErrors.Inc()
			k.opts.Log.Warn("journal tail not stored", "error", err)
		}
		k.mu.Lock()
		k.flushTails()
		k.mu.Unlock()
	}
}

// drainPart holds the entries of one group that a drain stores.
type drainPart struct {
	group   *groupState
	epoch   structs.Epoch
	version uint64
	entries []tail.Entry
	index   *indexRow
}

// lastPosition returns the position up to which all entries are stored after the drain.
func (p *drainPart) lastPosition() tail.Position {
	return p.entries[len(p.entries)-1].Position
}

// drain stores all entries that are not stored yet.
func (k *Keeper) drain(ctx context.Context) error {
	select {
	case k.drainSem <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-k.drainSem }()
	parts := k.unstoredParts()
	if len(parts) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	key := k.nextObjectKey()
	var segments []segment
	var additions []indexUpdate
	hasCompacted := false
	for i := range parts {
		p := &parts[i]
		if err := k.loadIndex(ctx, p); err != nil {
			return err
		}
		next := *p.index
		next.StoredTo = p.lastPosition()
		records := recordsOf(p.entries)
		if len(next.Objects) >= maxObjects && !hasCompacted {
			hasCompacted = true // at most one group per drain, to stay within the timeout
			records, next.Objects = k.compact(ctx, p.group.id, next.Objects, records)
		}
		next.Objects = append(slices.Clone(next.Objects), key)
		segments = append(segments, segment{Group: p.group.id, Records: records})
		additions = append(additions, indexUpdate{group: p.group.id, leaseVersion: p.version, index: next})
	}
	rows, err := k.storeSegments(ctx, key, segments, additions)
	k.cacheIndexes(parts, additions, rows)
	if err != nil && !k.isListed(ctx, key, parts) {
		return err
	}
	k.markStored(parts)
	drainsTotal.Inc()
	return nil
}

// unstoredParts returns the unstored entries of the owned groups, up to
// maxObjectBytes. It skips groups whose row, as last read, is under revocation.
func (k *Keeper) unstoredParts() []drainPart {
	k.mu.Lock()
	defer k.mu.Unlock()
	var parts []drainPart
	size := int64(0)
	for _, g := range k.groups {
		row, _ := k.node.Row(g.id)
		if g.tail == nil || g.tail.LastIndex() == g.tail.StoredIndex() || row.Revocation != nil || row.Epoch != g.tail.Epoch() {
			continue
		}
		if size += g.tail.Bytes(); size > maxObjectBytes && len(parts) > 0 {
			signal(k.drainNow)
			break
		}
		parts = append(parts, drainPart{group: g, epoch: g.tail.Epoch(), version: k.node.RowVersion(g.id), entries: g.tail.UnstoredEntries(), index: g.index})
	}
	return parts
}

// loadIndex reads the index of a part's group from the table unless this process has
// cached it. It is not cached after a transaction of unknown outcome.
func (k *Keeper) loadIndex(ctx context.Context, p *drainPart) error {
	if p.index != nil {
		return nil
	}
	index, err := k.readIndex(ctx, p.group.id)
	p.index = index
	return err
}

// cacheIndexes caches the indexes just written, or clears the cached ones when rows
// is nil.
func (k *Keeper) cacheIndexes(parts []drainPart, additions []indexUpdate, rows []backing.Row) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, p := range parts {
		p.group.index = nil
		if len(rows) == len(parts) && p.group.tail != nil {
			additions[i].index.version = rows[i].Version
			p.group.index = &additions[i].index
		}
	}
}

// isListed reads the indexes to find out whether a transaction of unknown outcome
// took effect.
func (k *Keeper) isListed(ctx context.Context, key string, parts []drainPart) bool {
	for _, p := range parts {
		index, err := k.readIndex(ctx, p.group.id)
		if err != nil || !slices.Contains(index.Objects, key) {
			return false
		}
	}
	return true
}

func (k *Keeper) markStored(parts []drainPart) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range parts {
		if p.group.tail == nil || p.group.tail.Epoch() != p.epoch {
			continue
		}
		p.group.tail.MarkStored(p.lastPosition().Index)
		k.appendToOwnWitness(p.group)
		k.completeAppends(p.group)
	}
}

// compact reads a group's objects and returns the records of live programs, including
// the fresh ones, and an empty list of objects. If that fails, it returns fresh and
// objects unchanged, because storing the tail must not depend on compaction.
func (k *Keeper) compact(ctx context.Context, g lease.Group, objects []string, fresh []journal.Record) ([]journal.Record, []string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	stored, err := k.readObjects(ctx, g, objects)
	if err == nil {
		stored, err = tail.Merge(append(stored, fresh...))
	}
	if err != nil {
		k.opts.Log.Warn("journal objects not compacted", "group", g, "error", err)
		return fresh, objects
	}
	return stored, nil
}

func recordsOf(entries []tail.Entry) []journal.Record {
	out := make([]journal.Record, len(entries))
	for i, e := range entries {
		out[i] = e.Record
	}
	return out
}
