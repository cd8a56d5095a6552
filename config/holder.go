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

// keptSnapshots bounds the snapshots that are kept to make patches from.
const keptSnapshots = 8

// Holder gives the snapshot in force in one process. Versions only ascend:
// whatever order they arrive in, Current never goes back. The zero value holds
// none.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu            sync.Mutex
	recent        []*Snapshot // the last in force, the current one included
	changed       chan struct{}
	confirmed     bool
	lastConfirmed structs.Instant
	violations    uint64
	lastViolation *structs.InvariantError
}

// Current returns the snapshot in force, or nil before the first.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Apply puts the snapshot in force and reports true if its version is above
// the one in force. A second document under the version in force is refused
// and counted as a violated invariant.
func (h *Holder) Apply(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.current.Load()
	if current != nil && s.version <= current.version {
		if s.version == current.version && !s.sameContent(current) {
			h.violate(s, current)
		}
		return false
	}
	h.current.Store(s)
	h.recent = append(h.recent, s)
	if len(h.recent) > keptSnapshots {
		h.recent = slices.Delete(h.recent, 0, 1)
	}
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// Recent returns the snapshot of a version that was in force lately, or nil.
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

func (h *Holder) violate(s, current *Snapshot) {
	h.violations++
	h.lastViolation = &structs.InvariantError{
		Package: "config",
		Name:    "one_document_per_version",
		Detail:  fmt.Sprintf("version %d by %q differs from the one in force by %q", s.version, s.author, current.author),
	}
}

// Violations returns how many snapshots contradicted the version in force, and
// the last contradiction.
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

// Confirm notes that at instant now no later version was known to the source
// that this process follows.
func (h *Holder) Confirm(now structs.Instant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.confirmed || h.lastConfirmed.Before(now) {
		h.confirmed, h.lastConfirmed = true, now
	}
}

// Age returns the time since the last confirmation; without one, the longest
// duration there is.
func (h *Holder) Age(now structs.Instant) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.confirmed {
		return math.MaxInt64
	}
	return now.Sub(h.lastConfirmed)
}
