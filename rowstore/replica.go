package rowstore

import (
	"slices"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// maxTombstones bounds the deleted rows that a replica remembers.
const maxTombstones = 1024

// Replica is a copy of the rows of one table, from which other readers of the table are
// served. It is a state machine without clock, goroutines or I/O.
//
// Invariant: each change after version horizon and up to version is in rows or in deleted, so
// that a reader which has all changes up to a version from horizon on needs no other rows.
type Replica struct {
	rows    map[string]Row
	deleted map[string]Row
	horizon uint64
	version uint64
	// confirmedAt is when the store had no change after version, 0 before the first update.
	confirmedAt structs.Instant
}

// NewReplica returns a replica that knows nothing of its table.
func NewReplica() *Replica {
	return &Replica{rows: make(map[string]Row), deleted: make(map[string]Row)}
}

// Apply applies an update that was read at the given instant.
func (r *Replica) Apply(now structs.Instant, update TableUpdate) {
	if update.Version < r.version {
		return
	}
	if update.IsFull {
		clear(r.rows)
		clear(r.deleted)
		r.horizon = update.Version
	}
	for _, row := range update.Rows {
		if row.Version == 0 {
			row.Version = update.Version // of an entry that can't be read
		}
		if row.IsDeleted {
			delete(r.rows, row.Key.Key)
			r.deleted[row.Key.Key] = row
			continue
		}
		delete(r.deleted, row.Key.Key)
		r.rows[row.Key.Key] = row
	}
	if len(r.deleted) > maxTombstones {
		clear(r.deleted)
		r.horizon = update.Version
	}
	r.version = update.Version
	r.confirmedAt = now - structs.Instant(update.Age)
}

// IsKnown reports whether the replica has the rows of its table.
func (r *Replica) IsKnown() bool { return r.confirmedAt != 0 }

// Version returns the store's version up to which the replica has all changes.
func (r *Replica) Version() uint64 { return r.version }

// Age returns the time since the store had no change that the replica lacks.
func (r *Replica) Age(now structs.Instant) time.Duration { return now.Sub(r.confirmedAt) }

// ChangesAfter returns the changes after a version, in the order of their keys; all rows for
// version 0, or if the replica doesn't know which rows were deleted since.
func (r *Replica) ChangesAfter(now structs.Instant, after uint64) TableUpdate {
	update := TableUpdate{Version: r.version, Age: r.Age(now), IsFull: after == 0 || after < r.horizon}
	for _, row := range r.rows {
		if update.IsFull || row.Version > after {
			update.Rows = append(update.Rows, row)
		}
	}
	for _, row := range r.deleted {
		if !update.IsFull && row.Version > after {
			update.Rows = append(update.Rows, row)
		}
	}
	slices.SortFunc(update.Rows, func(a, b Row) int { return strings.Compare(a.Key.Key, b.Key.Key) })
	return update
}
