package storeonly

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// HeldEpoch returns the epoch under which this process owns the slot now.
func (s *Store) HeldEpoch(slot structs.Slot) (structs.Epoch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if structs.Now() >= s.until || s.giveUp[slot] {
		return 0, false
	}
	epoch, held := s.held[slot]
	return epoch, held
}

// OwnerAddr returns the address of the slot's owner in the last row read.
func (s *Store) OwnerAddr(slot structs.Slot) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if int(slot) >= len(s.row.Slots) {
		return ""
	}
	return s.row.Members[s.row.Slots[slot].Owner].Addr
}

// Changes delivers gains and losses.
func (s *Store) Changes() <-chan journal.SlotChange { return s.changes }

// StopAcquiring takes no further slots.
func (s *Store) StopAcquiring() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// Excess lists owned slots beyond this process's fair share.
func (s *Store) Excess() []structs.Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	excess := len(s.held) - s.row.fairShare(nil)
	if excess <= 0 {
		return nil
	}
	slots := make([]structs.Slot, 0, excess)
	for slot := len(s.row.Slots) - 1; slot >= 0 && len(slots) < excess; slot-- {
		if _, held := s.held[structs.Slot(slot)]; held && !s.giveUp[structs.Slot(slot)] {
			slots = append(slots, structs.Slot(slot))
		}
	}
	return slots
}

// releasePoll is the time between two looks at a slot being freed.
const releasePoll = 10 * time.Millisecond

// Release frees a slot in the table and returns once that is written.
func (s *Store) Release(ctx context.Context, slot structs.Slot) error {
	s.mu.Lock()
	if _, held := s.held[slot]; !held {
		s.mu.Unlock()
		return nil
	}
	s.giveUp[slot] = true
	s.mu.Unlock()
	ticker := time.NewTicker(releasePoll)
	defer ticker.Stop()
	for {
		select {
		case s.wake <- struct{}{}:
		default:
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		s.mu.Lock()
		_, held := s.held[slot]
		s.mu.Unlock()
		if !held {
			return nil
		}
	}
}

// State is the store's part of the state dump.
type State struct {
	Incarnation    structs.Incarnation `json:"incarnation"`
	HeldSlots      int                 `json:"held_slots"`
	Members        int                 `json:"members"`
	Renewals       int64               `json:"renewals_total"`
	Conflicts      int64               `json:"conflicts_total"`
	LeaseRemaining string              `json:"lease_left"`
	TailBytes      int64               `json:"tail_bytes"`
}

// DumpState returns a State.
func (s *Store) DumpState() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{
		Incarnation: s.opts.Incarnation, HeldSlots: len(s.held), Members: len(s.row.Members), Renewals: s.renewals,
		Conflicts: s.conflicts, LeaseRemaining: s.until.Sub(structs.Now()).String(), TailBytes: s.journal.size(),
	}
}
