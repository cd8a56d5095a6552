package tail

import (
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// Place is a position in an epoch.
type Place struct {
	Epoch    structs.Epoch `msgpack:"e"`
	Position uint64        `msgpack:"p"`
}

// Entry is one record with its place, and the place where it was first added:
// the two differ once an owner has carried it into its next epoch.
type Entry struct {
	Place  Place          `msgpack:"p"`
	Origin Place          `msgpack:"o"`
	Record journal.Record `msgpack:"r"`
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
	Group   lease.Group   `msgpack:"g"`
	Epoch   structs.Epoch `msgpack:"e"`
	Stored  uint64        `msgpack:"s"`
	Entries []Entry       `msgpack:"t,omitempty"`
	// DropOlder says that nothing of earlier epochs is needed any more.
	DropOlder bool `msgpack:"d,omitempty"`
}

// Ack answers a Batch: the witness holds all positions up to Upto that are not
// in the store. Fenced and Full say why it holds no more.
type Ack struct {
	Group  lease.Group   `msgpack:"g"`
	Epoch  structs.Epoch `msgpack:"e"`
	Upto   uint64        `msgpack:"u"`
	Fenced bool          `msgpack:"f,omitempty"`
	Full   bool          `msgpack:"x,omitempty"`
}

// Witness keeps entries for the owners of all groups, up to a number of bytes.
type Witness struct {
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

// NewWitness makes an empty tail of at most max bytes.
func NewWitness(max int64) *Witness {
	return &Witness{max: max, groups: make(map[lease.Group]*kept)}
}

// Bytes returns the size of what is kept.
func (w *Witness) Bytes() int64 { return w.bytes }

func (w *Witness) group(g lease.Group) *kept {
	k := w.groups[g]
	if k == nil {
		k = &kept{epochs: make(map[structs.Epoch]*log)}
		w.groups[g] = k
	}
	return k
}

// Promise refuses entries of the epoch, and of earlier ones, from now on.
func (w *Witness) Promise(g lease.Group, epoch structs.Epoch) {
	k := w.group(g)
	k.promised = max(k.promised, epoch)
}

// Append takes what the batch holds and the witness lacks. A batch is kept
// whole or not at all.
func (w *Witness) Append(b Batch) Ack {
	k := w.group(b.Group)
	ack := Ack{Group: b.Group, Epoch: b.Epoch}
	if b.Epoch <= k.promised && !w.noFence {
		ack.Fenced = true
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
	w.trim(l, b.Stored)
	fresh := freshEntries(l.upto, b.Entries)
	need := sizeOf(fresh)
	ack.Upto = l.upto
	if w.bytes+need > w.max {
		ack.Full = true
		return ack
	}
	if len(fresh) > 0 {
		l.entries = append(l.entries, fresh...)
		l.upto = fresh[len(fresh)-1].Place.Position
		w.bytes += need
	}
	ack.Upto = l.upto
	return ack
}

// freshEntries returns the entries that follow position upto without a gap.
func freshEntries(upto uint64, entries []Entry) []Entry {
	for i, e := range entries {
		if e.Place.Position == upto+1 {
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
func (w *Witness) trim(l *log, stored uint64) {
	n := 0
	for n < len(l.entries) && l.entries[n].Place.Position <= stored {
		n++
	}
	w.bytes -= sizeOf(l.entries[:n])
	l.entries = append([]Entry(nil), l.entries[n:]...)
	l.upto = max(l.upto, stored)
}

// drop forgets all epochs before the given one.
func (w *Witness) drop(k *kept, epoch structs.Epoch) {
	for e, l := range k.epochs {
		if e < epoch {
			w.bytes -= sizeOf(l.entries)
			delete(k.epochs, e)
		}
	}
}

// Read returns every entry kept for a group, and false when the witness has
// not promised the epoch away: a reading before that would prove nothing.
func (w *Witness) Read(g lease.Group, epoch structs.Epoch) ([]Entry, bool) {
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
