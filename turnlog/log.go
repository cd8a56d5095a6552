package turnlog

import (
	"context"
	"fmt"
	"net/url"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	table = "turns"
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
	// ReadsPerSecond returns the reading calls that this VM may make in a second, 0 or nil for no
	// limit.
	ReadsPerSecond func() float64
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
	reads *sharedReads
}

// New returns a log with an empty cache.
func New(opts Options) *Log {
	if opts.ReadsPerSecond == nil {
		opts.ReadsPerSecond = func() float64 { return 0 }
	}
	return &Log{opts: opts, cache: newCache(opts.CacheBytes), reads: newSharedReads(opts.ReadsPerSecond)}
}

// Append stores a turn of a program and returns once the store has committed it.
func (l *Log) Append(ctx context.Context, program string, id structs.RequestID, r *Record) error {
	return l.AppendSegment(ctx, program, id, r, nil)
}

// AppendSegment is Append for a turn that ends a segment, see SegmentBefore.
func (l *Log) AppendSegment(ctx context.Context, program string, id structs.RequestID, r *Record, before []*Record) error {
	tx, err := l.AppendTx(program, id, r, before)
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
// add further changes to it. before is the result of SegmentBefore; a segment that does not fit
// into the transaction is left out.
func (l *Log) AppendTx(program string, id structs.RequestID, r *Record, before []*Record) (rowstore.Tx, error) {
	size := len(r.Input) + len(r.Output)
	if size > MaxTurnBytes {
		return rowstore.Tx{}, &TooLargeError{Bytes: size, Max: MaxTurnBytes}
	}
	l.Locate(program, r)
	value, err := r.encode()
	if err != nil {
		return rowstore.Tx{}, errors.Wrap(err, "encode turn")
	}
	var tx rowstore.Tx
	l.addRows(&tx, rowstore.Key{Table: table, Partition: r.Partition}, TurnID(id), value)
	if len(before) == 0 {
		return tx, nil
	}
	value, err = encodeSegment(before, r)
	if err != nil {
		return rowstore.Tx{}, errors.Wrap(err, "encode segment")
	}
	if size+len(value) <= MaxTurnBytes {
		l.addRows(&tx, rowstore.Key{Table: segmentTable, Partition: r.Partition}, TurnID(id), value)
	}
	return tx, nil
}

// Locate sets the partition of a program's new record.
func (l *Log) Locate(program string, r *Record) {
	if partition := l.opts.Partition(program); r.Partition != partition {
		r.Partition = partition
	}
}

// AddToCache caches a turn that the store already holds.
func (l *Log) AddToCache(id structs.RequestID, r *Record) { l.cache.put(TurnID(id), r) }

// addRows adds the insertion of a value to a transaction; one longer than a row is split over
// several rows.
func (l *Log) addRows(tx *rowstore.Tx, at rowstore.Key, id structs.RequestID, value []byte) {
	for part := 0; part == 0 || len(value) > 0; part++ {
		chunk := value[:min(len(value), l.chunkBytes())]
		value = value[len(chunk):]
		key := rowKey(at, id, part)
		tx.Expect = append(tx.Expect, rowstore.Expectation{Key: key})
		tx.Put = append(tx.Put, rowstore.Put{Key: key, Value: chunk})
	}
}

// chunkBytes is the number of bytes whose base64 encoding fits into a row.
func (l *Log) chunkBytes() int { return l.opts.RowBytes / 4 * 3 }

// rowKey returns the key of one part of a turn or segment in a table and partition. The slash separates the ID from the
// part's number, so that one range of keys holds all parts.
func rowKey(at rowstore.Key, id structs.RequestID, part int) rowstore.Key {
	at.Key = fmt.Sprintf("%s/%03d", escapeID(id), part)
	return at
}

// escapeID escapes the slashes in an ID, so that no key of a turn starts with another
// turn's ID and a slash.
func escapeID(id structs.RequestID) string { return url.PathEscape(string(id)) }

// Query asks for the records of turns.
type Query struct {
	IDs []structs.RequestID
	// Of is the turn of which IDs are ancestors, nil if they need not have anything in common. Only
	// its ancestors and the partitions count.
	Of *Record
}

// FindFunc returns the records of turns in the order of the query's IDs, or *NotFoundError.
type FindFunc func(ctx context.Context, q Query) ([]*Record, error)

// Chain returns a turn of the account and all turns that precede it. It calls find for
// the turns that are not cached.
func (l *Log) Chain(ctx context.Context, account structs.AccountID, id structs.RequestID, find FindFunc) (*Chain, error) {
	id = TurnID(id)
	last, err := l.load(ctx, Query{IDs: []structs.RequestID{id}}, find)
	if err != nil {
		return nil, err
	}
	if last[0].Account != account {
		return nil, &NotFoundError{Turn: id}
	}
	chain := &Chain{IDs: append(slices.Clone(last[0].Ancestors), id)}
	if chain.Records, err = l.load(ctx, Query{IDs: last[0].Ancestors, Of: last[0].withoutContent()}, find); err != nil {
		return nil, err
	}
	chain.Records = append(chain.Records, last[0])
	return chain, nil
}

// load returns turns from the cache and calls find for the others.
func (l *Log) load(ctx context.Context, q Query, find FindFunc) ([]*Record, error) {
	records, missing := l.Cached(q.IDs)
	if len(missing) == 0 {
		return records, nil
	}
	found, err := find(ctx, Query{IDs: missing, Of: q.Of})
	if err != nil {
		return nil, err
	}
	if len(found) != len(missing) {
		return nil, &NotFoundError{Turn: missing[0]}
	}
	for i, id := range q.IDs {
		if records[i] == nil {
			records[i], found = found[0], found[1:]
			l.cache.put(id, records[i])
		}
	}
	return records, nil
}

// Cached returns the records that the cache holds, nil for the others, and the IDs of those.
func (l *Log) Cached(ids []structs.RequestID) (records []*Record, missing []structs.RequestID) {
	records = make([]*Record, len(ids))
	for i, id := range ids {
		if records[i] = l.cache.get(TurnID(id)); records[i] == nil {
			missing = append(missing, id)
		}
	}
	return records, missing
}

// NewRecord returns the record of a turn that continues the chain, without its output;
// chain is nil for a first turn.
func NewRecord(account structs.AccountID, chain *Chain, input []byte) *Record {
	r := &Record{Account: account, Input: input, CreatedAt: time.Now().UnixMilli()}
	if chain != nil {
		r.Ancestors = chain.IDs
		r.AncestorPartitions = partitionRuns(chain.Records)
		r.Previous = chain.IDs[len(chain.IDs)-1]
	}
	return r
}

// CacheStats returns the number of cached records and their total size.
func (l *Log) CacheStats() (count, bytes int) { return l.cache.stats() }
