package configwatch

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// suspectFor is how long a peer that failed is passed over.
const suspectFor = 5 * time.Second

// sources chooses where a scheduler gets versions from. A scheduler follows
// only peers with a lower address than its own, so that no two follow each
// other.
type sources struct {
	self     string
	suspects map[string]structs.Instant // until when
}

func newSources(self string) *sources {
	return &sources{self: self, suspects: make(map[string]structs.Instant)}
}

// next returns the peer to follow, or "" to poll the store.
func (s *sources) next(now structs.Instant, peers []string) string {
	lowest := s.self
	for _, peer := range peers {
		if peer < lowest && !s.suspected(now, peer) {
			lowest = peer
		}
	}
	if lowest == s.self {
		return ""
	}
	return lowest
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
