package turnlog

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// maxParallelProbes bounds the partitions that are searched for one turn at the same time.
const maxParallelProbes = 8

// Find returns turns from the cache or the store. It expects them in the partitions that their
// records name, and those of which nothing is known in that of the given program. It returns
// *NotFoundError only when the store has answered for all partitions.
func (l *Log) Find(ctx context.Context, program string, q Query) ([]*Record, error) {
	records, missing := l.Cached(q.IDs)
	if len(missing) == 0 {
		return records, nil
	}
	found, err := l.readAll(ctx, l.planReads(program, Query{IDs: missing, Of: q.Of}), q.Of)
	if err != nil {
		return nil, err
	}
	for i, id := range q.IDs {
		if records[i] == nil {
			records[i] = found[TurnID(id)]
		}
		if records[i] == nil {
			return nil, &NotFoundError{Turn: id}
		}
	}
	return records, nil
}

// planReads plans the reads of a query.
func (l *Log) planReads(program string, q Query) []plannedRead {
	expected := l.opts.Partition(program)
	missing := make(map[structs.RequestID]bool, len(q.IDs))
	for _, id := range q.IDs {
		missing[TurnID(id)] = true
	}
	var reads []plannedRead
	if q.Of != nil {
		reads = planAncestors(q.Of, func(id structs.RequestID) bool { return missing[id] })
		expected = q.Of.Partition
	}
	for i, read := range reads {
		for _, id := range q.Of.Ancestors[read.from:read.to] {
			delete(missing, id)
		}
		if read.partition == "" {
			reads[i].partition = expected
		}
	}
	for id := range missing {
		reads = append(reads, plannedRead{turn: id, partition: expected})
	}
	return reads
}

// readAll makes the reads and returns the records by their turns.
func (l *Log) readAll(ctx context.Context, reads []plannedRead, of *Record) (map[structs.RequestID]*Record, error) {
	found := make(map[structs.RequestID]*Record)
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	for _, read := range reads {
		group.Go(func() error {
			records, err := l.readShared(ctx, read, of)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			for i, r := range records {
				found[read.idAt(i, of)] = r
			}
			return nil
		})
	}
	return found, group.Wait()
}

// idAt returns the ID of the turn with an index among those that are read.
func (p plannedRead) idAt(i int, of *Record) structs.RequestID {
	if p.isSegment {
		return of.Ancestors[p.from+i]
	}
	return p.turn
}

// readShared makes a read that all callers of this VM share, and caches its records.
func (l *Log) readShared(ctx context.Context, read plannedRead, of *Record) ([]*Record, error) {
	key := fmt.Sprint(read.turn, "\x00", read.isSegment, rowstore.RelayRegions(ctx))
	return l.reads.do(ctx, key, func(ctx context.Context) ([]*Record, error) {
		if !read.isSegment {
			r, err := l.findTurn(ctx, read.partition, read.turn)
			return []*Record{r}, err
		}
		records, err := l.readSegment(ctx, read, of)
		if err != nil {
			return nil, err
		}
		for i, r := range records {
			l.cache.put(read.idAt(i, of), r)
		}
		return records, nil
	})
}

// findTurn returns a turn from the cache, from the expected partition or, if it is not
// there, from any other partition.
func (l *Log) findTurn(ctx context.Context, expected string, id structs.RequestID) (*Record, error) {
	if r := l.cache.get(id); r != nil {
		return r, nil
	}
	r, err := l.readTurn(ctx, expected, id)
	if r != nil || err != nil {
		return r, err
	}
	return l.searchTurn(ctx, expected, id)
}

// searchTurn looks for a turn in all partitions but one.
func (l *Log) searchTurn(ctx context.Context, except string, id structs.RequestID) (*Record, error) {
	var found atomic.Pointer[Record]
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelProbes)
	for _, partition := range l.opts.Partitions {
		if partition == except {
			continue
		}
		group.Go(func() error {
			if found.Load() != nil {
				return nil
			}
			r, err := l.readTurn(ctx, partition, id)
			if r != nil {
				found.Store(r)
			}
			return err
		})
	}
	err := group.Wait()
	if r := found.Load(); r != nil {
		return r, nil
	}
	if err != nil {
		return nil, err
	}
	return nil, &NotFoundError{Turn: id}
}

// readTurn reads a turn from a partition; it returns nil when the turn is not there.
func (l *Log) readTurn(ctx context.Context, partition string, id structs.RequestID) (*Record, error) {
	value, err := l.readRows(ctx, rowstore.Key{Table: table, Partition: partition}, id)
	if err != nil || len(value) == 0 {
		return nil, err
	}
	r, err := decodeRecord(value)
	if err != nil {
		return nil, &CorruptRecordError{Turn: id, Cause: err}
	}
	r.Partition = partition
	l.cache.put(id, r)
	return r, nil
}

// readSegment reads a segment, or its turns one by one if there is none.
func (l *Log) readSegment(ctx context.Context, read plannedRead, of *Record) ([]*Record, error) {
	value, err := l.readRows(ctx, rowstore.Key{Table: segmentTable, Partition: read.partition}, read.turn)
	if err != nil {
		return nil, err
	}
	if len(value) > 0 {
		return decodeSegment(value, of, read)
	}
	records := make([]*Record, read.to-read.from)
	group, ctx := errgroup.WithContext(ctx)
	for i := range records {
		group.Go(func() error {
			partition := of.partitionOfAncestor(read.from + i)
			if partition == "" {
				partition = read.partition
			}
			r, err := l.findTurn(ctx, partition, read.idAt(i, of))
			records[i] = r
			return err
		})
	}
	return records, group.Wait()
}

// readRows returns the value of the rows of a turn or segment, empty if there are none.
func (l *Log) readRows(ctx context.Context, at rowstore.Key, id structs.RequestID) ([]byte, error) {
	if err := l.reads.awaitRate(ctx); err != nil {
		return nil, err
	}
	rows, _, err := rowstore.ScanAll(ctx, l.opts.Store, rowstore.Range{
		Table: at.Table, Partition: at.Partition, From: escapeID(id) + "/", To: escapeID(id) + "0",
	})
	if err != nil {
		return nil, err
	}
	var value []byte
	for _, row := range rows {
		value = append(value, row.Value...)
	}
	return value, nil
}
