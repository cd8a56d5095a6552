package placement

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// hasRateToken reports whether a target may be sent a request within its named rate.
func (s *TargetSet) hasRateToken(now structs.Instant, id structs.TargetID, q Query) bool {
	return s.Rates.Tokens(now, id, q.RateFraction) >= 1
}

// HasNamedRate reports whether a target of a service names a rate.
func (s *TargetSet) HasNamedRate(service structs.ServiceID) bool {
	for id := range s.services[service] {
		if _, isNamed := s.Rates.Rate(id); isNamed {
			return true
		}
	}
	return false
}

// RateWait returns the least time until a request gets a slot that has ahead other
// requests before it in the queue. It reports false unless the named rates of the targets
// bind: while a target that may be used names none, a slot can become free at any time.
func (s *TargetSet) RateWait(now structs.Instant, q Query, ahead int) (time.Duration, bool) {
	group := s.permittedGroup(q)
	ejected := ejectedTargets(now, group)
	rate, tokens := 0.0, 0.0
	for _, st := range group {
		if st.IsDraining || ejected[st.ID] || contains(q.Exclude, st.ID) {
			continue
		}
		share, isNamed := s.Rates.Share(now, st.ID, q.RateFraction)
		if !isNamed {
			return 0, false
		}
		rate += share
		tokens += math.Max(s.Rates.Tokens(now, st.ID, q.RateFraction), 0)
	}
	missing := float64(ahead+1) - tokens
	if rate == 0 || missing <= 0 {
		return 0, false
	}
	return time.Duration(missing / rate * float64(time.Second)), true
}
