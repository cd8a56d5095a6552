package keeper

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/journal/tail"
	"github.com/endivecourse/endivecourse/lease"
)

// indexRow is the table row that lists the journal objects of a group. An object
// that is not listed is not part of the journal.
type indexRow struct {
	// StoredTo is the position up to which all entries have been stored.
	StoredTo tail.Position `msgpack:"m"`
	Objects  []string      `msgpack:"o"`
	version  uint64
}

// segment holds the records of one group in a journal object.
type segment struct {
	Group   lease.Group      `msgpack:"g"`
	Records []journal.Record `msgpack:"r"`
}

func (k *Keeper) indexKey(g lease.Group) string {
	return fmt.Sprintf("journal/%s/%03d", k.opts.Domain, g)
}

// nextObjectKey returns a new object key. It contains the incarnation, so that no
// other process uses it.
func (k *Keeper) nextObjectKey() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastObject++
	return fmt.Sprintf("journal/%s/%s/%08d", k.opts.Domain, k.opts.Self.Incarnation, k.lastObject)
}

func decodeIndex(row backing.Row) (*indexRow, error) {
	index := &indexRow{version: row.Version}
	if row.Version == 0 {
		return index, nil
	}
	if err := msgpack.Unmarshal(row.Value, index); err != nil {
		return nil, errors.Wrap(err, "decode index row of the journal")
	}
	return index, nil
}

func (k *Keeper) readIndex(ctx context.Context, g lease.Group) (*indexRow, error) {
	row, err := k.opts.Table.Get(ctx, k.indexKey(g))
	if err != nil {
		return nil, errors.Wrap(err, "read index row of the journal")
	}
	return decodeIndex(row)
}

// readObjects returns the records of a group in the objects with the given keys.
func (k *Keeper) readObjects(ctx context.Context, g lease.Group, keys []string) ([]journal.Record, error) {
	var out []journal.Record
	for _, key := range keys {
		data, err := k.opts.Objects.Get(ctx, key)
		if err != nil {
			return nil, errors.Wrap(err, "read a journal object")
		}
		var segments []segment
		if err := msgpack.Unmarshal(data, &segments); err != nil {
			return nil, errors.Wrapf(err, "decode journal object %s", key)
		}
		for _, s := range segments {
			if s.Group == g {
				out = append(out, s.Records...)
			}
		}
	}
	return out, nil
}

// indexUpdate is the new index of one group in a transaction. The transaction
// fails unless the group's lease row still has leaseVersion.
type indexUpdate struct {
	group        lease.Group
	leaseVersion uint64
	index        indexRow // new content, with the version of the old one
}

// storeSegments writes one object, then adds it to the indexes of all groups in one
// transaction. It returns the index rows with their new versions.
func (k *Keeper) storeSegments(ctx context.Context, key string, segments []segment, additions []indexUpdate) ([]backing.Row, error) {
	if len(segments) > 0 {
		data, err := msgpack.Marshal(segments)
		if err != nil {
			return nil, errors.Wrap(err, "encode journal object")
		}
		if err := k.opts.Objects.Put(ctx, key, data); err != nil {
			return nil, errors.Wrap(err, "write journal object")
		}
	}
	var txn backing.Txn
	for _, a := range additions {
		value, err := msgpack.Marshal(&a.index)
		if err != nil {
			return nil, errors.Wrap(err, "encode journal index")
		}
		txn.Require = append(txn.Require,
			backing.Condition{Key: k.leaseKey(a.group), Version: a.leaseVersion},
			backing.Condition{Key: k.indexKey(a.group), Version: a.index.version})
		txn.Writes = append(txn.Writes, backing.Write{Key: k.indexKey(a.group), Value: value})
	}
	rows, err := k.opts.Table.Commit(ctx, txn)
	return rows, errors.Wrap(err, "add a journal object to the indexes")
}
