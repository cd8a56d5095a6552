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
	maxObjects     = 64 // of one group before they are rewritten as one
)

// serveDrain stores the tails of all owned groups, many programs an object.
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
			k.opts.Log.Warn("tail not stored", "error", err)
		}
		k.mu.Lock()
		k.flushTails()
		k.mu.Unlock()
	}
}

// part is what one drain takes of one group.
type part struct {
	group   *groupState
	epoch   structs.Epoch
	version uint64
	entries []tail.Entry
	index   *indexRow
}

// mark is the place up to which the store has everything after the drain.
func (p *part) mark() tail.Position {
	return p.entries[len(p.entries)-1].Position
}

// drain stores what is unstored now.
func (k *Keeper) drain(ctx context.Context) error {
	select {
	case k.draining <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-k.draining }()
	parts := k.takeParts()
	if len(parts) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*requestTimeout)
	defer cancel()
	key := k.nextObject()
	var segments []segment
	var additions []addition
	compacted := false
	for i := range parts {
		p := &parts[i]
		if err := k.loadIndex(ctx, p); err != nil {
			return err
		}
		next := *p.index
		next.Mark = p.mark()
		records := recordsOf(p.entries)
		if len(next.Objects) >= maxObjects && !compacted {
			compacted = true // one a drain, so that it ends in time
			records, next.Objects = k.compact(ctx, p.group.id, next.Objects, records)
		}
		next.Objects = append(slices.Clone(next.Objects), key)
		segments = append(segments, segment{Group: p.group.id, Records: records})
		additions = append(additions, addition{group: p.group.id, leaseVersion: p.version, index: next})
	}
	rows, err := k.storeSegments(ctx, key, segments, additions)
	k.keepIndexes(parts, additions, rows)
	if err != nil && !k.listed(ctx, key, parts) {
		return err
	}
	k.markStored(parts)
	drainsTotal.Inc()
	return nil
}

// takeParts returns the unstored entries of the groups whose epoch is unmarked
// as far as known.
func (k *Keeper) takeParts() []part {
	k.mu.Lock()
	defer k.mu.Unlock()
	var parts []part
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
		parts = append(parts, part{group: g, epoch: g.tail.Epoch(), version: k.node.RowVersion(g.id), entries: g.tail.UnstoredEntries(), index: g.index})
	}
	return parts
}

// loadIndex takes the index as this process wrote it last. After a transaction
// of unknown outcome it is read anew.
func (k *Keeper) loadIndex(ctx context.Context, p *part) error {
	if p.index != nil {
		return nil
	}
	index, err := k.readIndex(ctx, p.group.id)
	p.index = index
	return err
}

// keepIndexes keeps the indexes just written, or forgets them when rows is nil.
func (k *Keeper) keepIndexes(parts []part, additions []addition, rows []backing.Row) {
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

// listed reads back whether a transaction whose answer was lost took effect.
func (k *Keeper) listed(ctx context.Context, key string, parts []part) bool {
	for _, p := range parts {
		index, err := k.readIndex(ctx, p.group.id)
		if err != nil || !slices.Contains(index.Objects, key) {
			return false
		}
	}
	return true
}

func (k *Keeper) markStored(parts []part) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range parts {
		if p.group.tail == nil || p.group.tail.Epoch() != p.epoch {
			continue
		}
		p.group.tail.MarkStored(p.mark().Index)
		k.appendLocally(p.group)
		k.settle(p.group)
	}
}

// compact reads a group's objects and returns the records of live programs, the
// new ones included, and no objects. When that fails, it returns both as they
// are: storing the tail comes first.
func (k *Keeper) compact(ctx context.Context, g lease.Group, objects []string, fresh []journal.Record) ([]journal.Record, []string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	stored, err := k.readObjects(ctx, g, objects)
	if err == nil {
		stored, err = tail.Merge(append(stored, fresh...))
	}
	if err != nil {
		k.opts.Log.Warn("journal objects not rewritten", "group", g, "error", err)
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
