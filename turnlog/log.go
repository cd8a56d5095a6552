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
	// maxParallelReads bounds the parallel reads of one chain.
	maxParallelReads = 8
	// partSuffixBytes is the length of a slash and the number of a turn's part, which
	// follow the ID in the key of a row.
	partSuffixBytes = 4
	maxEscapedID    = rowstore.MaxKeyBytes - partSuffixBytes
)

// TurnID returns the ID under which a turn is stored and accounted for: the ID of its
// request, or a hash of it if the key of a row has no room for that.
func TurnID(request structs.RequestID) structs.RequestID {
	if len(escapeID(request)) <= maxEscapedID {
		return request
	}
	return structs.RequestID(rowstore.HashKey(string(request)))
}

// NotFoundError reports that the store holds no such turn of the account.
type NotFoundError struct{ Turn structs.RequestID }

// Error includes the turn.
func (e *NotFoundError) Error() string { return fmt.Sprintf("turn %q does not exist", e.Turn) }

// TooLargeError reports that a turn's input and output don't fit into a transaction.
type TooLargeError struct{ Bytes, Max int }

// Error includes the size and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("turn of %d bytes is over the limit of %d", e.Bytes, e.Max)
}

// CorruptRecordError reports that the stored rows of a turn can't be decoded.
type CorruptRecordError struct {
	Turn  structs.RequestID
	Cause error
}

// Error includes the turn and the cause.
func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("record of turn %q can't be read: %v", e.Turn, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptRecordError) Unwrap() error { return e.Cause }

// Options configures a Log.
type Options struct {
	Store rowstore.Store
	// Partition maps a program's name to the store partition that holds its turns;
	// Partitions lists all partitions.
	Partition  func(program string) string
	Partitions []string
	// CacheBytes bounds the total size of the cached records.
	CacheBytes int
	// RowBytes is the maximum size of a row's value.
	RowBytes int
}

// MaxTurnBytes bounds the input and output of one turn together. In base64 and with
// its keys, a turn of this size fits into a transaction of 1 MB.
const MaxTurnBytes = 640 << 10

// MaxInputBytes bounds the input of a turn, so that there is room for its output. A turn with
// a longer input must not run.
const MaxInputBytes = MaxTurnBytes - 16<<10

// Log appends and reads turns.
type Log struct {
	opts  Options
	cache *cache
}

// New returns a log with an empty cache.
func New(opts Options) *Log { return &Log{opts: opts, cache: newCache(opts.CacheBytes)} }

// Append stores a turn of a program and returns once the store has committed it.
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
// add further changes to it.
func (l *Log) AppendTx(program string, id structs.RequestID, r *Record) (rowstore.Tx, error) {
	if size := len(r.Input) + len(r.Output); size > MaxTurnBytes {
		return rowstore.Tx{}, &TooLargeError{Bytes: size, Max: MaxTurnBytes}
	}
	return l.buildTx(l.opts.Partition(program), TurnID(id), r)
}

// AddToCache caches a turn that the store already holds.
func (l *Log) AddToCache(id structs.RequestID, r *Record) { l.cache.put(TurnID(id), r) }

// buildTx returns the transaction that inserts a record; a record longer than a row is
// split over several rows.
func (l *Log) buildTx(partition string, id structs.RequestID, r *Record) (rowstore.Tx, error) {
	value, err := r.encode()
	if err != nil {
		return rowstore.Tx{}, errors.Wrap(err, "encode turn")
	}
	var tx rowstore.Tx
	for part := 0; part == 0 || len(value) > 0; part++ {
		chunk := value[:min(len(value), l.chunkBytes())]
		value = value[len(chunk):]
		key := rowKey(partition, id, part)
		tx.Expect = append(tx.Expect, rowstore.Expectation{Key: key})
		tx.Put = append(tx.Put, rowstore.Put{Key: key, Value: chunk})
	}
	return tx, nil
}

// chunkBytes is the number of bytes whose base64 encoding fits into a row.
func (l *Log) chunkBytes() int { return l.opts.RowBytes / 4 * 3 }

// rowKey returns the key of one part of a turn. The slash separates the ID from the
// part's number, so that one range of keys holds all parts.
func rowKey(partition string, id structs.RequestID, part int) rowstore.Key {
	return rowstore.Key{Table: table, Partition: partition, Key: fmt.Sprintf("%s/%03d", escapeID(id), part)}
}

// escapeID escapes the slashes in an ID, so that no key of a turn starts with another
// turn's ID and a slash.
func escapeID(id structs.RequestID) string { return url.PathEscape(string(id)) }

// FindFunc returns the records of turns in the order of ids, or *NotFoundError.
type FindFunc func(ctx context.Context, ids []structs.RequestID) ([]*Record, error)

// Chain returns a turn of the account and all turns that precede it. It calls find for
// the turns that are not cached.
func (l *Log) Chain(ctx context.Context, account structs.AccountID, id structs.RequestID, find FindFunc) (*Chain, error) {
	id = TurnID(id)
	last, err := l.load(ctx, []structs.RequestID{id}, find)
	if err != nil {
		return nil, err
	}
	if last[0].Account != account {
		return nil, &NotFoundError{Turn: id}
	}
	chain := &Chain{IDs: append(slices.Clone(last[0].Ancestors), id)}
	if chain.Records, err = l.load(ctx, last[0].Ancestors, find); err != nil {
		return nil, err
	}
	chain.Records = append(chain.Records, last[0])
	return chain, nil
}

// load returns turns from the cache and calls find for the others.
func (l *Log) load(ctx context.Context, ids []structs.RequestID, find FindFunc) ([]*Record, error) {
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

// Find returns turns from the cache or the store. It reads the partition of the given
// program first. It returns *NotFoundError only when the store has answered for all
// partitions.
func (l *Log) Find(ctx context.Context, program string, ids []structs.RequestID) ([]*Record, error) {
	records := make([]*Record, len(ids))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for i, id := range ids {
		group.Go(func() error {
			record, err := l.findTurn(ctx, l.opts.Partition(program), TurnID(id))
			records[i] = record
			return err
		})
	}
	return records, group.Wait()
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
	var found atomic.Pointer[Record]
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for _, partition := range l.opts.Partitions {
		if partition == expected {
			continue
		}
		group.Go(func() error {
			r, err := l.readTurn(ctx, partition, id)
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

// readTurn reads a turn from a partition; it returns nil when the turn is not there.
func (l *Log) readTurn(ctx context.Context, partition string, id structs.RequestID) (*Record, error) {
	rows, _, err := rowstore.ScanAll(ctx, l.opts.Store, rowstore.Range{
		Table: table, Partition: partition, From: escapeID(id) + "/", To: escapeID(id) + "0",
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

// NewRecord returns the record of a turn that continues the chain, without its output;
// chain is nil for a first turn.
func NewRecord(account structs.AccountID, chain *Chain, input []byte) *Record {
	r := &Record{Account: account, Input: input, CreatedAt: time.Now().UnixMilli()}
	if chain != nil {
		r.Ancestors = chain.IDs
		r.Previous = chain.IDs[len(chain.IDs)-1]
	}
	return r
}

// CacheStats returns the number of cached records and their total size.
func (l *Log) CacheStats() (count, bytes int) { return l.cache.stats() }
