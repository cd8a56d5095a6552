package configwatch

import (
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// suspectFor is how long a peer that failed is passed over.
const suspectFor = 5 * time.Second

// fanOut bounds the schedulers that follow one scheduler.
const fanOut = 8

// sources chooses where a scheduler gets versions from. The schedulers in the
// order of their addresses form a tree with fanOut children a node; the first
// one polls the store. A scheduler follows only peers with a lower address than
// its own, so that no two follow each other.
type sources struct {
	self     string
	suspects map[string]structs.Instant // until when
}

func newSources(self string) *sources {
	return &sources{self: self, suspects: make(map[string]structs.Instant)}
}

// next returns the peer to follow, or "" to poll the store.
func (s *sources) next(now structs.Instant, peers []string) string {
	var lower []string
	for _, peer := range peers {
		if peer < s.self && !s.suspected(now, peer) {
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

// suspect passes a peer over for a while.
func (s *sources) suspect(now structs.Instant, peer string) {
	s.suspects[peer] = now.Add(suspectFor)
}

func (s *sources) suspected(now structs.Instant, peer string) bool {
	until, found := s.suspects[peer]
	if found && !now.Before(until) {
		delete(s.suspects, peer)
		return false
	}
	return found
}
