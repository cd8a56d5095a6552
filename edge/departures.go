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
	s.learnDeparture(structs.Now(), target.ID, target.Incarnation(), "response")
}

// learnDeparture records a departure that a response or another VM tells of. The caller
// holds the lock.
func (s *Server) learnDeparture(now structs.Instant, id structs.TargetID, i placement.Incarnation, source string) {
	if !s.targets.Depart(now, id, i) {
		return
	}
	s.log.Info("target leaves", "target", string(id), "source", source, "listed_age_ms", s.listing.age(now).Milliseconds())
}

// learnDepartures records the departures that another VM knows. The caller holds the lock.
func (s *Server) learnDepartures(now structs.Instant, departures map[structs.TargetID]placement.Incarnation, source string) {
	for id, incarnation := range departures {
		s.learnDeparture(now, id, incarnation, source)
	}
}

// knownDepartures returns the departures that another VM may not know.
func (s *Server) knownDepartures() map[structs.TargetID]placement.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets.Departures(structs.Now())
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
