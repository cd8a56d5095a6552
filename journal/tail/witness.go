package tail

import (
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// Position is the place of an entry in the tail of a group.
type Position struct {
	Epoch structs.Epoch `msgpack:"e"`
	Index uint64        `msgpack:"p"`
}

// Entry is one record with its position, and the position where it was first added. The
// two differ after an owner has carried the entry over into its next epoch.
type Entry struct {
	Position Position       `msgpack:"p"`
	Origin   Position       `msgpack:"o"`
	Record   journal.Record `msgpack:"r"`
}

// entryOverhead is the size of an entry without its body and program ID, in bytes.
const entryOverhead = 64

func (e Entry) size() int64 {
	return entryOverhead + int64(len(e.Record.Body)) + int64(len(e.Record.Program))
}

// Batch carries consecutive entries of one group and epoch to a witness. All entries up
// to StoredIndex are in the store.
type Batch struct {
	Group       lease.Group   `msgpack:"g"`
	Epoch       structs.Epoch `msgpack:"e"`
	StoredIndex uint64        `msgpack:"s"`
	Entries     []Entry       `msgpack:"t,omitempty"`
	// DropOlder is set if no entries of earlier epochs are needed any more.
	DropOlder bool `msgpack:"d,omitempty"`
}

// Ack answers a Batch. The witness holds all entries up to LastIndex that are not in the
// store. IsFenced and IsFull tell why it holds no more.
type Ack struct {
	Group     lease.Group   `msgpack:"g"`
	Epoch     structs.Epoch `msgpack:"e"`
	LastIndex uint64        `msgpack:"u"`
	IsFenced  bool          `msgpack:"f,omitempty"`
	IsFull    bool          `msgpack:"x,omitempty"`
}

// WitnessLog keeps entries for the owners of all groups, up to maxBytes.
type WitnessLog struct {
	maxBytes int64
	bytes    int64
	groups   map[lease.Group]*groupLog
	// disableFencing is set only by tests, to show that they detect the missing check.
	disableFencing bool
}

type groupLog struct {
	promised structs.Epoch
	epochs   map[structs.Epoch]*epochLog
}

type epochLog struct {
	entries   []Entry // consecutive indexes
	lastIndex uint64
}

// NewWitnessLog returns an empty log of at most maxBytes.
func NewWitnessLog(maxBytes int64) *WitnessLog {
	return &WitnessLog{maxBytes: maxBytes, groups: make(map[lease.Group]*groupLog)}
}

// Bytes returns the size of all entries held.
func (w *WitnessLog) Bytes() int64 { return w.bytes }

func (w *WitnessLog) group(g lease.Group) *groupLog {
	gl := w.groups[g]
	if gl == nil {
		gl = &groupLog{epochs: make(map[structs.Epoch]*epochLog)}
		w.groups[g] = gl
	}
	return gl
}

// Promise makes the witness refuse entries of the epoch and of earlier ones from now on.
func (w *WitnessLog) Promise(g lease.Group, epoch structs.Epoch) {
	gl := w.group(g)
	gl.promised = max(gl.promised, epoch)
}

// Append adds the entries of the batch that the witness lacks, either all or none.
func (w *WitnessLog) Append(b Batch) Ack {
	gl := w.group(b.Group)
	ack := Ack{Group: b.Group, Epoch: b.Epoch}
	if b.Epoch <= gl.promised && !w.disableFencing {
		ack.IsFenced = true
		return ack
	}
	if b.DropOlder {
		w.dropOlderEpochs(gl, b.Epoch)
	}
	l := gl.epochs[b.Epoch]
	if l == nil {
		l = &epochLog{}
		gl.epochs[b.Epoch] = l
	}
	w.dropStored(l, b.StoredIndex)
	fresh := freshEntries(l.lastIndex, b.Entries)
	size := sizeOf(fresh)
	ack.LastIndex = l.lastIndex
	if w.bytes+size > w.maxBytes {
		ack.IsFull = true
		return ack
	}
	if len(fresh) > 0 {
		l.entries = append(l.entries, fresh...)
		l.lastIndex = fresh[len(fresh)-1].Position.Index
		w.bytes += size
	}
	ack.LastIndex = l.lastIndex
	return ack
}

// freshEntries returns the entries that follow index lastIndex without a gap.
func freshEntries(lastIndex uint64, entries []Entry) []Entry {
	for i, e := range entries {
		if e.Position.Index == lastIndex+1 {
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

// dropStored removes the entries up to an index, which are in the store.
func (w *WitnessLog) dropStored(l *epochLog, storedIndex uint64) {
	n := 0
	for n < len(l.entries) && l.entries[n].Position.Index <= storedIndex {
		n++
	}
	w.bytes -= sizeOf(l.entries[:n])
	l.entries = append([]Entry(nil), l.entries[n:]...)
	l.lastIndex = max(l.lastIndex, storedIndex)
}

// dropOlderEpochs removes all epochs before the given one.
func (w *WitnessLog) dropOlderEpochs(gl *groupLog, epoch structs.Epoch) {
	for e, l := range gl.epochs {
		if e < epoch {
			w.bytes -= sizeOf(l.entries)
			delete(gl.epochs, e)
		}
	}
}

// Read returns every entry held for a group up to the epoch, and false if the witness
// has not promised to refuse the epoch: it might still accept entries after the read.
func (w *WitnessLog) Read(g lease.Group, epoch structs.Epoch) ([]Entry, bool) {
	gl := w.group(g)
	if gl.promised < epoch && !w.disableFencing {
		return nil, false
	}
	var out []Entry
	for e, l := range gl.epochs {
		if e <= epoch {
			out = append(out, l.entries...)
		}
	}
	return out, true
}
