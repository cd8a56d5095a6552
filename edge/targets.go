package edge

import (
	"time"

	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
)

// relistGrace is how long after the store's return an entry that expired during the
// outage may still be written again.
const relistGrace = 2200 * time.Millisecond

// listing tracks changes of the platform's list of targets. Targets whose entries
// expired while the store was unreachable are kept until their entries could have
// been written again.
type listing struct {
	// unlisted maps the targets that are no longer listed to the instant at which
	// they are dropped.
	unlisted map[structs.TargetID]structs.Instant
	readAt   structs.Instant // when the list was last read, 0 for never
}

// age returns the time since the list was last read.
func (l *listing) age(now structs.Instant) time.Duration { return now.Sub(l.readAt) }

// targetsAge returns the time since the platform's list of targets was last read.
func (s *Server) targetsAge(now structs.Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listing.age(now)
}

// TargetChange is a change of one target in the platform's list; a nil Target means
// that it is no longer listed.
type TargetChange struct {
	ID     structs.TargetID
	Target *placement.Target
}

// UpdateTargets applies changes to the list of targets. If full is set, changes is
// the whole list.
func (s *Server) UpdateTargets(changes []TargetChange, full bool) {
	now := structs.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listing.readAt = now
	listed := make(map[structs.TargetID]bool, len(changes))
	for _, change := range changes {
		listed[change.ID] = change.Target != nil
		if change.Target == nil {
			s.removeUnlisted(now, change.ID)
			continue
		}
		s.addTarget(*change.Target)
	}
	if full {
		for _, id := range s.targets.IDs() {
			if !listed[id] {
				s.removeUnlisted(now, id)
			}
		}
	}
	s.grantAllFreeSlots()
}

func (s *Server) addTarget(t placement.Target) {
	if _, unlisted := s.listing.unlisted[t.ID]; unlisted {
		delete(s.listing.unlisted, t.ID)
		s.log.Info("target is listed again", "target", string(t.ID))
	}
	old, known := s.targets.Get(t.ID)
	s.targets.Put(t)
	s.learnColdEntry(structs.Now(), t)
	switch {
	case !known:
		s.log.Info("target listed", "target", string(t.ID), "service", string(t.Service), "address", t.Address, "domain", string(t.Domain), "draining", t.IsDraining)
	case old.IsDraining != t.IsDraining:
		s.log.Info("target changed", "target", string(t.ID), "draining", t.IsDraining)
	case old.Address != t.Address || old.Started != t.Started:
		s.log.Info("target restarted", "target", string(t.ID), "address", t.Address)
	}
}

// removeUnlisted drops a target that is no longer listed. If the store has been away
// recently and the target is not draining, the target is kept until relistGrace has
// passed.
func (s *Server) removeUnlisted(now structs.Instant, id structs.TargetID) {
	target, known := s.targets.Get(id)
	if !known {
		return
	}
	lastOutage := s.opts.Store.LastOutage()
	isStable := lastOutage == 0 || now.Sub(lastOutage) > relistGrace
	if isStable || target.IsDraining {
		s.dropTarget(target, "no longer listed")
		return
	}
	if _, unlisted := s.listing.unlisted[id]; !unlisted {
		s.listing.unlisted[id] = lastOutage.Add(relistGrace)
		s.log.Info("target lapsed while the store was away, kept for now", "target", string(id), "outage_age_ms", now.Sub(lastOutage).Milliseconds())
	}
}

func (s *Server) dropTarget(target placement.Target, reason string) {
	s.targets.Remove(target.ID)
	delete(s.listing.unlisted, target.ID)
	s.log.Info("target dropped", "target", string(target.ID), "service", string(target.Service), "reason", reason)
	go s.pool.CloseIdle(target.Address)
}

// dropUnlisted drops the unlisted targets whose time is over, once the store has been
// back for relistGrace. The caller holds the lock.
func (s *Server) dropUnlisted(now structs.Instant) {
	if len(s.listing.unlisted) == 0 {
		return
	}
	// The store may have been away again after the target was unlisted.
	stableAt := s.opts.Store.LastOutage().Add(relistGrace)
	for id, until := range s.listing.unlisted {
		until = max(until, stableAt)
		if now < until {
			continue
		}
		delete(s.listing.unlisted, id)
		if target, known := s.targets.Get(id); known {
			s.dropTarget(target, "still missing after the store's return")
		}
	}
}
