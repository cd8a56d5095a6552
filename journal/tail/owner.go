package tail

import (
	"slices"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// OwnerLog is the tail of one group at its owner. Indexes start at 1 in each epoch.
type OwnerLog struct {
	group        lease.Group
	epoch        structs.Epoch
	entries      []Entry // not yet stored
	lastIndex    uint64  // index of the last entry
	storedIndex  uint64
	carriedIndex uint64 // last index carried over from the epoch before
	acked        map[structs.Incarnation]uint64
}

// NewOwnerLog returns the empty tail of an epoch whose earlier epochs are all stored.
func NewOwnerLog(g lease.Group, epoch structs.Epoch) *OwnerLog {
	return &OwnerLog{group: g, epoch: epoch, acked: make(map[structs.Incarnation]uint64)}
}

// Epoch returns the epoch under which entries are added.
func (o *OwnerLog) Epoch() structs.Epoch { return o.epoch }

// LastIndex returns the index of the last entry.
func (o *OwnerLog) LastIndex() uint64 { return o.lastIndex }

// StoredIndex returns the index up to which all entries are stored.
func (o *OwnerLog) StoredIndex() uint64 { return o.storedIndex }

// Append adds records and returns the index of the last one.
func (o *OwnerLog) Append(records []journal.Record) uint64 {
	for _, r := range records {
		o.lastIndex++
		position := Position{Epoch: o.epoch, Index: o.lastIndex}
		o.entries = append(o.entries, Entry{Position: position, Origin: position, Record: r})
	}
	return o.lastIndex
}

// SizeOf returns the size of records in a tail, in bytes.
func SizeOf(records []journal.Record) int64 {
	var n int64
	for _, r := range records {
		n += Entry{Record: r}.size()
	}
	return n
}

// Bytes returns the size of the entries that are not stored.
func (o *OwnerLog) Bytes() int64 { return sizeOf(o.entries) }

// CarryOver moves the tail to the next epoch of the same owner. Entries that are not
// stored get new positions and are sent again. An index of the old epoch minus the
// result is the index in the new one.
func (o *OwnerLog) CarryOver(epoch structs.Epoch) uint64 {
	shift := o.storedIndex
	o.epoch, o.storedIndex, o.lastIndex = epoch, 0, 0
	o.entries = slices.Clone(o.entries) // batches being sent share the old slice
	for i := range o.entries {
		o.lastIndex++
		o.entries[i].Position = Position{Epoch: epoch, Index: o.lastIndex}
	}
	o.carriedIndex = o.lastIndex
	o.acked = make(map[structs.Incarnation]uint64)
	return shift
}

// Batch returns the next entries that a witness lacks, at most maxEntries, and false if
// it lacks none.
func (o *OwnerLog) Batch(to structs.Incarnation, maxEntries int) (Batch, bool) {
	b := Batch{Group: o.group, Epoch: o.epoch, StoredIndex: o.storedIndex, DropOlder: o.storedIndex >= o.carriedIndex}
	from := o.acked[to]
	if from < o.storedIndex {
		from = o.storedIndex
	}
	start := int(from - o.storedIndex)
	b.Entries = append([]Entry(nil), o.entries[start:min(start+maxEntries, len(o.entries))]...)
	return b, len(b.Entries) > 0
}

// RecordAck records a witness's answer to a batch.
func (o *OwnerLog) RecordAck(from structs.Incarnation, ack Ack) {
	if ack.Epoch == o.epoch && !ack.IsFenced && ack.LastIndex <= o.lastIndex {
		o.acked[from] = max(o.acked[from], ack.LastIndex)
	}
}

// MarkStored records that all entries up to the index are stored.
func (o *OwnerLog) MarkStored(index uint64) {
	if index <= o.storedIndex {
		return
	}
	o.entries = append([]Entry(nil), o.entries[index-o.storedIndex:]...)
	o.storedIndex = index
}

// UnstoredEntries returns the entries that are not stored.
func (o *OwnerLog) UnstoredEntries() []Entry { return append([]Entry(nil), o.entries...) }

// DurableIndex returns the index up to which all entries are stored or held by a
// majority of each set.
func (o *OwnerLog) DurableIndex(sets [][]lease.Member) uint64 {
	durable := o.lastIndex
	for _, set := range sets {
		durable = min(durable, o.majorityIndex(set))
	}
	if len(sets) == 0 {
		durable = 0
	}
	return max(durable, o.storedIndex)
}

// majorityIndex returns the highest index that a majority of the set has acknowledged.
func (o *OwnerLog) majorityIndex(set []lease.Member) uint64 {
	best := uint64(0)
	for _, candidate := range set {
		index := o.acked[candidate.Incarnation]
		n := 0
		for _, m := range set {
			if o.acked[m.Incarnation] >= index {
				n++
			}
		}
		if 2*n > len(set) {
			best = max(best, index)
		}
	}
	return best
}
