package placement

import (
	"slices"
	"strings"

	"github.com/endivecourse/endivecourse/structs"
)

// maxPermittedGroups bounds the cached groups of permitted targets. A configuration has few
// different lists of regions; the lists of requests of peers are not limited by it.
const maxPermittedGroups = 256

// permittedTargets caches the targets of a service that queries with the same restrictions
// may use. A change of a target or of the evacuated failure domains clears it.
type permittedTargets map[string]map[structs.TargetID]*targetState

// SetEvacuated replaces the failure domains whose targets get no further requests.
func (s *TargetSet) SetEvacuated(domains []structs.DomainID) {
	s.permitted = nil
	s.evacuated = make(map[structs.DomainID]bool, len(domains))
	for _, domain := range domains {
		s.evacuated[domain] = true
	}
}

// IsPermitted reports whether a query may use a target: its region is allowed, and its
// failure domain is not evacuated.
func (s *TargetSet) IsPermitted(t Target, q Query) bool {
	return isAllowedRegion(t.Region, q) && !s.isEvacuated(t.Domain, q)
}

func isAllowedRegion(region string, q Query) bool {
	return q.Regions == nil || slices.Contains(q.Regions, region)
}

func (s *TargetSet) isEvacuated(domain structs.DomainID, q Query) bool {
	return s.evacuated[domain] || slices.Contains(q.Evacuated, domain)
}

// permittedGroup returns the targets of a query's service that the query may use. Rules on a
// part of a service's targets, such as the limit of ejected ones, apply to this group, so
// that targets which the query cannot use don't count.
func (s *TargetSet) permittedGroup(q Query) map[structs.TargetID]*targetState {
	group := s.services[q.Service]
	if q.Regions == nil && len(q.Evacuated) == 0 && len(s.evacuated) == 0 {
		return group
	}
	key := permittedKey(q)
	if permitted, isCached := s.permitted[key]; isCached {
		return permitted
	}
	permitted := make(map[structs.TargetID]*targetState, len(group))
	for id, st := range group {
		if s.IsPermitted(st.Target, q) {
			permitted[id] = st
		}
	}
	if s.permitted == nil || len(s.permitted) >= maxPermittedGroups {
		s.permitted = make(permittedTargets)
	}
	s.permitted[key] = permitted
	return permitted
}

// permittedKey returns a string that is the same for queries with the same service and
// restrictions.
func permittedKey(q Query) string {
	var key strings.Builder
	key.WriteString(string(q.Service))
	if q.Regions != nil {
		key.WriteString("\x00r")
	}
	for _, region := range q.Regions {
		key.WriteString("\x00")
		key.WriteString(region)
	}
	key.WriteString("\x01")
	for _, domain := range q.Evacuated {
		key.WriteString("\x00")
		key.WriteString(string(domain))
	}
	return key.String()
}

// Restriction says why a query may use no target.
type Restriction uint8

// Restrictions.
const (
	// Unrestricted queries may use a target, or their service has none in any region.
	Unrestricted Restriction = iota
	// OutsideRegions means that the service has no target in the allowed regions.
	OutsideRegions
	// AllEvacuated means that all targets in the allowed regions are in evacuated domains.
	AllEvacuated
)

// Restriction returns why the restrictions of a query leave no target of its service.
func (s *TargetSet) Restriction(q Query) Restriction {
	group := s.services[q.Service]
	if len(group) == 0 || len(s.permittedGroup(q)) > 0 {
		return Unrestricted
	}
	for _, st := range group {
		if isAllowedRegion(st.Region, q) {
			return AllEvacuated
		}
	}
	return OutsideRegions
}

// Forbidden returns the targets of a query's service that the query may not use.
func (s *TargetSet) Forbidden(q Query) []structs.TargetID {
	var ids []structs.TargetID
	for id, st := range s.services[q.Service] {
		if !s.IsPermitted(st.Target, q) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
