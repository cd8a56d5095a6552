package tail

import (
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// Position is a position in an epoch.
type Position struct {
	Epoch structs.Epoch `msgpack:"e"`
	Index uint64        `msgpack:"p"`
}

// Entry is one record with its place, and the place where it was first added:
// the two differ once an owner has carried it into its next epoch.
type Entry struct {
	Position Position       `msgpack:"p"`
	Origin   Position       `msgpack:"o"`
	Record   journal.Record `msgpack:"r"`
}

// entryOverhead is what an entry takes besides its body and program ID, in
// bytes.
const entryOverhead = 64

func (e Entry) size() int64 {
	return entryOverhead + int64(len(e.Record.Body)) + int64(len(e.Record.Program))
}

// Batch carries consecutive entries of one group and epoch to a witness. All
// positions up to Stored are in the store.
type Batch struct {
	Group       lease.Group   `msgpack:"g"`
	Epoch       structs.Epoch `msgpack:"e"`
	StoredIndex uint64        `msgpack:"s"`
	Entries     []Entry       `msgpack:"t,omitempty"`
	// DropOlder says that nothing of earlier epochs is needed any more.
	DropOlder bool `msgpack:"d,omitempty"`
}

// Ack answers a Batch: the witness holds all positions up to Upto that are not
// in the store. Fenced and Full say why it holds no more.
type Ack struct {
	Group     lease.Group   `msgpack:"g"`
	Epoch     structs.Epoch `msgpack:"e"`
	LastIndex uint64        `msgpack:"u"`
	IsFenced  bool          `msgpack:"f,omitempty"`
	IsFull    bool          `msgpack:"x,omitempty"`
}

// WitnessLog keeps entries for the owners of all groups, up to a number of bytes.
type WitnessLog struct {
	max    int64
	bytes  int64
	groups map[lease.Group]*kept
	// noFence is set by tests only, to show that they see the fault.
	noFence bool
}

type kept struct {
	promised structs.Epoch
	epochs   map[structs.Epoch]*log
}

type log struct {
	entries []Entry // consecutive positions
	upto    uint64
}

// NewWitnessLog makes an empty tail of at most max bytes.
func NewWitnessLog(max int64) *WitnessLog {
	return &WitnessLog{max: max, groups: make(map[lease.Group]*kept)}
}

// Bytes returns the size of what is kept.
func (w *WitnessLog) Bytes() int64 { return w.bytes }

func (w *WitnessLog) group(g lease.Group) *kept {
	k := w.groups[g]
	if k == nil {
		k = &kept{epochs: make(map[structs.Epoch]*log)}
		w.groups[g] = k
	}
	return k
}

// Promise refuses entries of the epoch, and of earlier ones, from now on.
func (w *WitnessLog) Promise(g lease.Group, epoch structs.Epoch) {
	k := w.group(g)
	k.promised = max(k.promised, epoch)
}

// Append takes what the batch holds and the witness lacks. A batch is kept
// whole or not at all.
func (w *WitnessLog) Append(b Batch) Ack {
	k := w.group(b.Group)
	ack := Ack{Group: b.Group, Epoch: b.Epoch}
	if b.Epoch <= k.promised && !w.noFence {
		ack.IsFenced = true
		return ack
	}
	if b.DropOlder {
		w.drop(k, b.Epoch)
	}
	l := k.epochs[b.Epoch]
	if l == nil {
		l = &log{}
		k.epochs[b.Epoch] = l
	}
	w.trim(l, b.StoredIndex)
	fresh := freshEntries(l.upto, b.Entries)
	need := sizeOf(fresh)
	ack.LastIndex = l.upto
	if w.bytes+need > w.max {
		ack.IsFull = true
		return ack
	}
	if len(fresh) > 0 {
		l.entries = append(l.entries, fresh...)
		l.upto = fresh[len(fresh)-1].Position.Index
		w.bytes += need
	}
	ack.LastIndex = l.upto
	return ack
}

// freshEntries returns the entries that follow position upto without a gap.
func freshEntries(upto uint64, entries []Entry) []Entry {
	for i, e := range entries {
		if e.Position.Index == upto+1 {
			return entries[i:]
		}
	}
	return nil
}

func sizeOf(entries []Entry) int64 {
	var n int64
	for _, e := range entries {
		n += e.size()
	}
	return n
}

// trim drops the entries up to a position, which are stored.
func (w *WitnessLog) trim(l *log, stored uint64) {
	n := 0
	for n < len(l.entries) && l.entries[n].Position.Index <= stored {
		n++
	}
	w.bytes -= sizeOf(l.entries[:n])
	l.entries = append([]Entry(nil), l.entries[n:]...)
	l.upto = max(l.upto, stored)
}

// drop forgets all epochs before the given one.
func (w *WitnessLog) drop(k *kept, epoch structs.Epoch) {
	for e, l := range k.epochs {
		if e < epoch {
			w.bytes -= sizeOf(l.entries)
			delete(k.epochs, e)
		}
	}
}

// Read returns every entry kept for a group, and false when the witness has
// not promised the epoch away: a reading before that would prove nothing.
func (w *WitnessLog) Read(g lease.Group, epoch structs.Epoch) ([]Entry, bool) {
	k := w.group(g)
	if k.promised < epoch && !w.noFence {
		return nil, false
	}
	var out []Entry
	for e, l := range k.epochs {
		if e <= epoch {
			out = append(out, l.entries...)
		}
	}
	return out, true
}
