package edge

import (
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// evacuations is what this VM knows of the failure domains whose targets get no further
// requests, as the operators' table last said. A VM that cannot read the table applies the
// last known state.
type evacuations struct {
	domains map[structs.DomainID]evacuation
	// ignored are the evacuated failure domains that the deployment does not have.
	ignored map[structs.DomainID]bool
	readAt  structs.Instant // when the table was last read, 0 for never
}

type evacuation struct {
	since   structs.Instant // when this VM learned of it
	version uint64          // of the row
}

// EvacuationChange is a change of one row that asks to evacuate a failure domain.
type EvacuationChange struct {
	Domain  structs.DomainID
	Version uint64 // of the row
	IsEnded bool   // the row was deleted
}

// UpdateEvacuations applies changes of the evacuated failure domains. If full is set, changes
// lists all of them. It is called after each read of the operators' table.
func (s *Server) UpdateEvacuations(changes []EvacuationChange, full bool) {
	now := structs.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations.readAt = now
	hasChanged := false
	listed := make(map[structs.DomainID]bool, len(changes))
	for _, change := range changes {
		listed[change.Domain] = !change.IsEnded
		if change.IsEnded {
			hasChanged = s.endEvacuation(now, change.Domain, change.Version, "row deleted") || hasChanged
		} else {
			hasChanged = s.beginEvacuation(now, change) || hasChanged
		}
	}
	if full {
		for domain, known := range s.evacuations.domains {
			if !listed[domain] {
				hasChanged = s.endEvacuation(now, domain, known.version, "row no longer listed") || hasChanged
			}
		}
	}
	if hasChanged {
		s.targets.SetEvacuated(s.evacuatedDomains())
		s.refuseUnplaceable(now)
		s.grantAllFreeSlots()
	}
}

// beginEvacuation records that a failure domain is evacuated and reports whether this is
// new. The caller holds the lock.
func (s *Server) beginEvacuation(now structs.Instant, change EvacuationChange) bool {
	e := &s.evacuations
	if _, exists := s.opts.Domains[change.Domain]; !exists {
		if !e.ignored[change.Domain] {
			s.log.Warn("evacuation of an unknown failure domain is ignored", "domain", string(change.Domain), "row_version", change.Version)
		}
		if e.ignored == nil {
			e.ignored = make(map[structs.DomainID]bool)
		}
		e.ignored[change.Domain] = true
		return false
	}
	known, isKnown := e.domains[change.Domain]
	if isKnown {
		known.version = max(known.version, change.Version)
		e.domains[change.Domain] = known
		return false
	}
	if e.domains == nil {
		e.domains = make(map[structs.DomainID]evacuation)
	}
	e.domains[change.Domain] = evacuation{since: now, version: change.Version}
	s.stats.evacuationChanges.Inc()
	s.log.Warn("failure domain evacuated", "domain", string(change.Domain), "cause", "row of the operators", "row_version", change.Version,
		"evacuated", len(e.domains), "waiting", len(s.waiters))
	return true
}

// endEvacuation records that a failure domain is no longer evacuated and reports whether it
// was. The end of an older row than the known one is ignored. The caller holds the lock.
func (s *Server) endEvacuation(now structs.Instant, domain structs.DomainID, version uint64, cause string) bool {
	delete(s.evacuations.ignored, domain)
	known, isKnown := s.evacuations.domains[domain]
	if !isKnown || version < known.version {
		return false
	}
	delete(s.evacuations.domains, domain)
	s.stats.evacuationChanges.Inc()
	s.log.Info("evacuation has ended", "domain", string(domain), "cause", cause, "row_version", version,
		"lasted_ms", now.Sub(known.since).Milliseconds(), "evacuated", len(s.evacuations.domains))
	return true
}

// evacuatedDomains returns the evacuated failure domains, sorted. The caller holds the lock.
func (s *Server) evacuatedDomains() []structs.DomainID {
	if len(s.evacuations.domains) == 0 {
		return nil
	}
	domains := make([]structs.DomainID, 0, len(s.evacuations.domains))
	for domain := range s.evacuations.domains {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	return domains
}

// Evacuated returns the evacuated failure domains, sorted.
func (s *Server) Evacuated() []structs.DomainID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuatedDomains()
}

// knowsEvacuations reports whether the operators' table has been read. Before that, a VM
// would send requests to evacuated targets.
func (s *Server) knowsEvacuations() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuations.readAt != 0
}

// evacuationsAge returns the time since the operators' table was last read, 0 if it never
// was.
func (s *Server) evacuationsAge(now structs.Instant) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuations.readAt == 0 {
		return 0
	}
	return now.Sub(s.evacuations.readAt)
}

// dumpEvacuations returns the evacuations for the state dump. The caller holds the lock.
func (s *Server) dumpEvacuations(now structs.Instant) map[string]any {
	domains := make(map[structs.DomainID]any, len(s.evacuations.domains))
	for domain, e := range s.evacuations.domains {
		domains[domain] = map[string]any{"for": now.Sub(e.since).String(), "row_version": e.version}
	}
	dump := map[string]any{"domains": domains, "is_known": s.evacuations.readAt != 0}
	if s.evacuations.readAt != 0 {
		dump["age"] = now.Sub(s.evacuations.readAt).String()
	}
	return dump
}

// registerEvacuationGauges adds the gauges of the evacuations to the metrics.
func registerEvacuationGauges(s *Server, newGauge func(name string, value func() float64)) {
	newGauge("endive_domains_evacuated", func() float64 { return float64(len(s.Evacuated())) })
	newGauge("endive_evacuations_age_seconds", func() float64 { return s.evacuationsAge(structs.Now()).Seconds() })
	for domain := range s.opts.Domains {
		newGauge(`endive_domain_evacuated{domain="`+string(domain)+`"}`, func() float64 {
			if slices.Contains(s.Evacuated(), domain) {
				return 1
			}
			return 0
		})
	}
}
