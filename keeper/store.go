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

// indexRow is the table row that lists what the object store holds of a group.
// An object counts only once it is listed.
type indexRow struct {
	// Mark is the place up to which the store has had everything.
	Mark    tail.Position `msgpack:"m"`
	Objects []string      `msgpack:"o"`
	version uint64
}

// segment is the part of one group in an object.
type segment struct {
	Group   lease.Group      `msgpack:"g"`
	Records []journal.Record `msgpack:"r"`
}

func (k *Keeper) indexKey(g lease.Group) string {
	return fmt.Sprintf("journal/%s/%03d", k.opts.Domain, g)
}

// nextObject returns a key that no other process uses.
func (k *Keeper) nextObject() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.objects++
	return fmt.Sprintf("journal/%s/%s/%08d", k.opts.Domain, k.opts.Self.Incarnation, k.objects)
}

func decodeIndex(row backing.Row) (*indexRow, error) {
	index := &indexRow{version: row.Version}
	if row.Version == 0 {
		return index, nil
	}
	if err := msgpack.Unmarshal(row.Value, index); err != nil {
		return nil, errors.Wrap(err, "decode journal index")
	}
	return index, nil
}

func (k *Keeper) readIndex(ctx context.Context, g lease.Group) (*indexRow, error) {
	row, err := k.opts.Table.Get(ctx, k.indexKey(g))
	if err != nil {
		return nil, errors.Wrap(err, "read journal index")
	}
	return decodeIndex(row)
}

// readObjects returns the records of a group in the listed objects.
func (k *Keeper) readObjects(ctx context.Context, g lease.Group, keys []string) ([]journal.Record, error) {
	var out []journal.Record
	for _, key := range keys {
		data, err := k.opts.Objects.Get(ctx, key)
		if err != nil {
			return nil, errors.Wrap(err, "read journal object")
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

// addition is what one transaction adds to the index of one group. It holds
// only while the group's lease row has the version.
type addition struct {
	group        lease.Group
	leaseVersion uint64
	index        indexRow // as it is to be
}

// storeSegments puts one object and lists it for all groups in one transaction.
// It returns the new version of each index row.
func (k *Keeper) storeSegments(ctx context.Context, key string, segments []segment, additions []addition) ([]backing.Row, error) {
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
	return rows, errors.Wrap(err, "list journal object")
}
