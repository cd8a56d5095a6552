package config

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// maxRecentSnapshots is the number of snapshots kept as bases for patches.
const maxRecentSnapshots = 8

// Holder holds the snapshot in force in one process. The version only
// increases: in whatever order versions arrive, Current never returns to an
// earlier one. The zero value holds no snapshot. A Holder is safe for
// concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu            sync.Mutex
	recent        []*Snapshot // the last ones in force, including the current one
	changed       chan struct{}
	confirmed     bool
	lastConfirmed structs.Instant
	violations    uint64
	lastViolation *structs.InvariantError
}

// Current returns the snapshot in force, or nil if none was applied yet.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Apply puts the snapshot in force if its version is later than the one in
// force, and reports whether it did. A different document under the version in
// force is rejected and counted as an invariant violation.
func (h *Holder) Apply(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.current.Load()
	if current != nil && s.version <= current.version {
		if s.version == current.version && !s.sameContent(current) {
			h.recordViolation(s, current)
		}
		return false
	}
	h.current.Store(s)
	h.recent = append(h.recent, s)
	if len(h.recent) > maxRecentSnapshots {
		h.recent = slices.Delete(h.recent, 0, 1)
	}
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// Recent returns the snapshot of a version that was in force recently, or nil.
func (h *Holder) Recent(version uint64) *Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.recent {
		if s.version == version {
			return s
		}
	}
	return nil
}

func (h *Holder) recordViolation(s, current *Snapshot) {
	h.violations++
	h.lastViolation = &structs.InvariantError{
		Package: "config",
		Name:    "one_document_per_version",
		Detail:  fmt.Sprintf("version %d by %q differs from the one in force by %q", s.version, s.author, current.author),
	}
}

// Violations returns how many snapshots had the version in force but a different
// document or author, and the last such violation.
func (h *Holder) Violations() (uint64, *structs.InvariantError) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.violations, h.lastViolation
}

// Changed returns a channel that is closed when the next snapshot is applied.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// Confirm records that at instant now the source that this process follows knew
// no later version.
func (h *Holder) Confirm(now structs.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.confirmed || h.lastConfirmed.Before(now) {
		h.confirmed, h.lastConfirmed = true, now
	}
}

// Age returns the time since the last confirmation, or the maximum duration if
// there was none.
func (h *Holder) Age(now structs.Instant) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.confirmed {
		return math.MaxInt64
	}
	return now.Sub(h.lastConfirmed)
}
