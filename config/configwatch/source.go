package configwatch

import (
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// suspectPeriod is how long a peer is not used after a failure.
const suspectPeriod = 5 * time.Second

// fanOut is the maximum number of schedulers that follow one scheduler.
const fanOut = 8

// sourceSelector chooses the source from which a scheduler gets versions. The
// schedulers, ordered by address, form a tree with up to fanOut children per
// node; the root polls the store. A scheduler follows only peers with a lower
// address than its own, so that there is no cycle.
type sourceSelector struct {
	self     string
	suspects map[string]structs.Instant // the time until which a peer is not used
}

func newSourceSelector(self string) *sourceSelector {
	return &sourceSelector{self: self, suspects: make(map[string]structs.Instant)}
}

// pick returns the peer to follow, or "" to poll the store.
func (s *sourceSelector) pick(now structs.Instant, peers []string) string {
	var lower []string
	for _, peer := range peers {
		if peer < s.self && !s.isSuspect(now, peer) {
			lower = append(lower, peer)
		}
	}
	if len(lower) == 0 {
		return ""
	}
	slices.Sort(lower)
	lower = slices.Compact(lower)
	return lower[(len(lower)-1)/fanOut]
}

// markSuspect excludes a peer for suspectPeriod.
func (s *sourceSelector) markSuspect(now structs.Instant, peer string) {
	s.suspects[peer] = now.Add(suspectPeriod)
}

func (s *sourceSelector) isSuspect(now structs.Instant, peer string) bool {
	until, found := s.suspects[peer]
	if found && !now.Before(until) {
		delete(s.suspects, peer)
		return false
	}
	return found
}
