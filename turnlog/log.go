package turnlog

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	table = "turns"
	// maxReads bounds the parallel reads of one chain.
	maxReads = 8
	// maxIDBytes bounds a turn's ID. Escaping makes it three times as long at most.
	maxIDBytes = 60
)

// NotFoundError says that the store holds no such turn of the account.
type NotFoundError struct{ Turn structs.RequestID }

// Error names the turn.
func (e *NotFoundError) Error() string { return fmt.Sprintf("turn %q does not exist", e.Turn) }

// TooLargeError says that a turn's input and output don't fit a transaction.
type TooLargeError struct{ Bytes, Max int }

// Error gives both sizes.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("turn of %d bytes is over the limit of %d", e.Bytes, e.Max)
}

// CorruptRecordError says that a row of a turn can't be read.
type CorruptRecordError struct {
	Turn  structs.RequestID
	Cause error
}

// Error names the turn.
func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("record of turn %q can't be read: %v", e.Turn, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptRecordError) Unwrap() error { return e.Cause }

// Options configures a Log.
type Options struct {
	Store rowstore.Store
	// Partition maps a program's name to the store's partition of the rows
	// of its turns; Partitions are all of them.
	Partition  func(program string) string
	Partitions []string
	// CacheBytes bounds the records in memory.
	CacheBytes int
	// RowBytes is the most a row's value may hold.
	RowBytes int
}

// MaxTurnBytes is the most input and output of one turn together: what fits a
// transaction of 1 MB in base64 beside its keys.
const MaxTurnBytes = 640 << 10

// Log appends and reads turns.
type Log struct {
	opts  Options
	cache *cache
}

// New makes a log.
func New(opts Options) *Log { return &Log{opts: opts, cache: newCache(opts.CacheBytes)} }

// Append stores a turn of a program. It returns once the store has it.
func (l *Log) Append(ctx context.Context, program string, id structs.RequestID, r *Record) error {
	tx, err := l.AppendTx(program, id, r)
	if err != nil {
		return err
	}
	if _, err := l.opts.Store.Commit(ctx, tx); err != nil {
		return err
	}
	l.AddToCache(id, r)
	return nil
}

// AppendTx returns the transaction that stores a turn of a program, for callers that
// add to it.
func (l *Log) AppendTx(program string, id structs.RequestID, r *Record) (rowstore.Tx, error) {
	if size := len(r.Input) + len(r.Output); size > MaxTurnBytes {
		return rowstore.Tx{}, &TooLargeError{Bytes: size, Max: MaxTurnBytes}
	}
	return l.transaction(l.opts.Partition(program), id, r)
}

// AddToCache keeps a turn that the store has in memory.
func (l *Log) AddToCache(id structs.RequestID, r *Record) { l.cache.put(id, r) }

// transaction splits a record that is longer than a row over several.
func (l *Log) transaction(partition string, id structs.RequestID, r *Record) (rowstore.Tx, error) {
	value, err := r.encode()
	if err != nil {
		return rowstore.Tx{}, errors.Wrap(err, "encode turn")
	}
	var tx rowstore.Tx
	for part := 0; part == 0 || len(value) > 0; part++ {
		piece := value[:min(len(value), l.pieceBytes())]
		value = value[len(piece):]
		key := keyOf(partition, id, part)
		tx.Expect = append(tx.Expect, rowstore.Expectation{Key: key})
		tx.Put = append(tx.Put, rowstore.Put{Key: key, Value: piece})
	}
	return tx, nil
}

// pieceBytes leaves room for base64.
func (l *Log) pieceBytes() int { return l.opts.RowBytes / 4 * 3 }

// keyOf names a part of a turn. The slash sorts all parts after the ID.
func keyOf(partition string, id structs.RequestID, part int) rowstore.Key {
	return rowstore.Key{Table: table, Partition: partition, Key: fmt.Sprintf("%s/%03d", escape(id), part)}
}

// escape keeps slashes out of an ID, so that no ID is the beginning of another's
// keys.
func escape(id structs.RequestID) string { return url.PathEscape(string(id)) }

// FindFunc returns the records of turns in the order asked for, or *NotFoundError.
type FindFunc func(ctx context.Context, ids []structs.RequestID) ([]*Record, error)

// Chain returns a turn of the account with all that precede it. Turns that are
// not in memory are asked of find.
func (l *Log) Chain(ctx context.Context, account structs.AccountID, id structs.RequestID, find FindFunc) (*Chain, error) {
	last, err := l.recall(ctx, []structs.RequestID{id}, find)
	if err != nil {
		return nil, err
	}
	if last[0].Account != account {
		return nil, &NotFoundError{Turn: id}
	}
	chain := &Chain{IDs: append(slices.Clone(last[0].Ancestors), id)}
	if chain.Records, err = l.recall(ctx, last[0].Ancestors, find); err != nil {
		return nil, err
	}
	chain.Records = append(chain.Records, last[0])
	return chain, nil
}

// recall returns turns from memory and asks for the others.
func (l *Log) recall(ctx context.Context, ids []structs.RequestID, find FindFunc) ([]*Record, error) {
	records := make([]*Record, len(ids))
	var missing []structs.RequestID
	for i, id := range ids {
		if records[i] = l.cache.get(id); records[i] == nil {
			missing = append(missing, id)
		}
	}
	if len(missing) == 0 {
		return records, nil
	}
	found, err := find(ctx, missing)
	if err != nil {
		return nil, err
	}
	if len(found) != len(missing) {
		return nil, &NotFoundError{Turn: missing[0]}
	}
	for i, id := range ids {
		if records[i] == nil {
			records[i], found = found[0], found[1:]
			l.cache.put(id, records[i])
		}
	}
	return records, nil
}

// Find returns turns from memory or the store. It looks first where turns of the
// given program are kept. It returns *NotFoundError only when the store says so.
func (l *Log) Find(ctx context.Context, program string, ids []structs.RequestID) ([]*Record, error) {
	records := make([]*Record, len(ids))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxReads)
	for i, id := range ids {
		group.Go(func() error {
			if len(id) > maxIDBytes {
				return &NotFoundError{Turn: id}
			}
			record, err := l.find(ctx, l.opts.Partition(program), id)
			records[i] = record
			return err
		})
	}
	return records, group.Wait()
}

// find reads a turn from the partition where it is expected, else from any.
func (l *Log) find(ctx context.Context, expected string, id structs.RequestID) (*Record, error) {
	if r := l.cache.get(id); r != nil {
		return r, nil
	}
	r, err := l.read(ctx, expected, id)
	if r != nil || err != nil {
		return r, err
	}
	var found atomic.Pointer[Record]
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxReads)
	for _, partition := range l.opts.Partitions {
		if partition == expected {
			continue
		}
		group.Go(func() error {
			r, err := l.read(ctx, partition, id)
			if r != nil {
				found.Store(r)
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	if r := found.Load(); r != nil {
		return r, nil
	}
	return nil, &NotFoundError{Turn: id}
}

// read returns a turn of a partition, nil when it is not there.
func (l *Log) read(ctx context.Context, partition string, id structs.RequestID) (*Record, error) {
	rows, _, err := rowstore.ScanAll(ctx, l.opts.Store, rowstore.Range{
		Table: table, Partition: partition, From: escape(id) + "/", To: escape(id) + "0",
	})
	if err != nil || len(rows) == 0 {
		return nil, err
	}
	var value []byte
	for _, row := range rows {
		value = append(value, row.Value...)
	}
	r, err := decodeRecord(value)
	if err != nil {
		return nil, &CorruptRecordError{Turn: id, Cause: err}
	}
	l.cache.put(id, r)
	return r, nil
}

// NewRecord starts the record of a turn that continues the chain; chain is nil for a
// first turn.
func NewRecord(account structs.AccountID, chain *Chain, input []byte) *Record {
	r := &Record{Account: account, Input: input, CreatedAt: time.Now().UnixMilli()}
	if chain != nil {
		r.Ancestors = chain.IDs
		r.Previous = chain.IDs[len(chain.IDs)-1]
	}
	return r
}

// CacheStats returns the number of records in memory and their bytes.
func (l *Log) CacheStats() (count, bytes int) { return l.cache.state() }
