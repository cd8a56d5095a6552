package edge

import (
	"time"

	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
)

// recordDeparture records that a target has said in a response that it leaves.
func (s *Server) recordDeparture(target placement.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets.Depart(structs.Now(), target.ID, target.Incarnation()) {
		s.log.Info("target leaves", "target", string(target.ID), "source", "response", "listed_age_ms", s.listing.age(structs.Now()).Milliseconds())
	}
}

// departureAge returns the time since this VM has learned that a target leaves, 0 if it has
// not.
func (s *Server) departureAge(now structs.Instant, id structs.TargetID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	saidAt, isLeaving := s.targets.DepartedAt(id)
	if !isLeaving {
		return 0
	}
	return now.Sub(saidAt)
}
