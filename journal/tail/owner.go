package tail

import (
	"slices"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// OwnerLog is the tail of one group at its owner. Positions start at 1 in each
// epoch.
type OwnerLog struct {
	group   lease.Group
	epoch   structs.Epoch
	entries []Entry // those not stored
	last    uint64  // last position given
	stored  uint64
	carried uint64 // positions that stood under the epoch before
	acked   map[structs.Incarnation]uint64
}

// NewOwnerLog makes the empty tail of an epoch whose predecessors are stored.
func NewOwnerLog(g lease.Group, epoch structs.Epoch) *OwnerLog {
	return &OwnerLog{group: g, epoch: epoch, acked: make(map[structs.Incarnation]uint64)}
}

// Epoch returns the epoch under which entries are added.
func (o *OwnerLog) Epoch() structs.Epoch { return o.epoch }

// LastIndex returns the position of the last entry.
func (o *OwnerLog) LastIndex() uint64 { return o.last }

// StoredIndex returns the position up to which all entries are stored.
func (o *OwnerLog) StoredIndex() uint64 { return o.stored }

// Append adds records and returns the position of the last one.
func (o *OwnerLog) Append(records []journal.Record) uint64 {
	for _, r := range records {
		o.last++
		at := Position{Epoch: o.epoch, Index: o.last}
		o.entries = append(o.entries, Entry{Position: at, Origin: at, Record: r})
	}
	return o.last
}

// SizeOf returns what records take in a tail, in bytes.
func SizeOf(records []journal.Record) int64 {
	var n int64
	for _, r := range records {
		n += Entry{Record: r}.size()
	}
	return n
}

// Bytes returns the size of the entries not stored.
func (o *OwnerLog) Bytes() int64 { return sizeOf(o.entries) }

// CarryOver moves the tail to the next epoch of the same owner. Entries not stored
// get new positions and are sent again. It returns how a position under the
// old epoch maps to the new one: by subtracting the result.
func (o *OwnerLog) CarryOver(epoch structs.Epoch) uint64 {
	shift := o.stored
	o.epoch, o.stored, o.last = epoch, 0, 0
	o.entries = slices.Clone(o.entries) // batches on their way share the old ones
	for i := range o.entries {
		o.last++
		o.entries[i].Position = Position{Epoch: epoch, Index: o.last}
	}
	o.carried = o.last
	o.acked = make(map[structs.Incarnation]uint64)
	return shift
}

// Batch returns what a witness still lacks, at most max entries, and false
// when it lacks nothing.
func (o *OwnerLog) Batch(to structs.Incarnation, max int) (Batch, bool) {
	b := Batch{Group: o.group, Epoch: o.epoch, StoredIndex: o.stored, DropOlder: o.stored >= o.carried}
	from := o.acked[to]
	if from < o.stored {
		from = o.stored
	}
	at := int(from - o.stored)
	b.Entries = append([]Entry(nil), o.entries[at:min(at+max, len(o.entries))]...)
	return b, len(b.Entries) > 0
}

// RecordAck takes a witness's answer.
func (o *OwnerLog) RecordAck(from structs.Incarnation, ack Ack) {
	if ack.Epoch == o.epoch && !ack.IsFenced && ack.LastIndex <= o.last {
		o.acked[from] = max(o.acked[from], ack.LastIndex)
	}
}

// MarkStored takes that all positions up to the given one are stored.
func (o *OwnerLog) MarkStored(upto uint64) {
	if upto <= o.stored {
		return
	}
	o.entries = append([]Entry(nil), o.entries[upto-o.stored:]...)
	o.stored = upto
}

// UnstoredEntries returns the entries that are to be stored.
func (o *OwnerLog) UnstoredEntries() []Entry { return append([]Entry(nil), o.entries...) }

// DurableIndex returns the position up to which all entries are stored or held by a
// majority of each set.
func (o *OwnerLog) DurableIndex(sets [][]lease.Member) uint64 {
	durable := o.last
	for _, set := range sets {
		durable = min(durable, o.heldBy(set))
	}
	if len(sets) == 0 {
		durable = 0
	}
	return max(durable, o.stored)
}

// heldBy returns the highest position that a majority of the set holds.
func (o *OwnerLog) heldBy(set []lease.Member) uint64 {
	best := uint64(0)
	for _, candidate := range set {
		position := o.acked[candidate.Incarnation]
		n := 0
		for _, m := range set {
			if o.acked[m.Incarnation] >= position {
				n++
			}
		}
		if 2*n > len(set) {
			best = max(best, position)
		}
	}
	return best
}
