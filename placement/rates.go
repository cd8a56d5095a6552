package placement

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// maxRateWait bounds the wait that RateWait returns.
const maxRateWait = time.Hour

// hasRateToken reports whether a target may be sent a request within the rate that it has
// named and the one of its cold period.
func (s *TargetSet) hasRateToken(now structs.Instant, id structs.TargetID, q Query) bool {
	return s.Rates.Tokens(now, id, q.RateFraction) >= 1
}

// HasRate reports whether a target of a service names a rate or is cold.
func (s *TargetSet) HasRate(now structs.Instant, service structs.ServiceID) bool {
	for id := range s.services[service] {
		if _, isNamed := s.Rates.Rate(id); isNamed {
			return true
		}
		if _, isCold := s.Rates.Cold(now, id); isCold {
			return true
		}
	}
	return false
}

// RateWait returns the least time until a request gets a slot that has ahead other
// requests before it in the queue. It reports false unless the rates of the targets bind:
// while a target that may be used has none, a slot can become free at any time. The wait
// ends at the latest when a target without a named rate ceases to be cold.
func (s *TargetSet) RateWait(now structs.Instant, q Query, ahead int) (time.Duration, bool) {
	group := s.services[q.Service]
	ejected := ejectedTargets(now, group)
	rate, tokens := 0.0, 0.0
	firstWarm := time.Duration(math.MaxInt64)
	for _, st := range group {
		if st.IsDraining || ejected[st.ID] || contains(q.Exclude, st.ID) {
			continue
		}
		share, isLimited := s.Rates.Share(now, st.ID, q.RateFraction)
		if !isLimited {
			return 0, false
		}
		if _, isNamed := s.Rates.Rate(st.ID); !isNamed {
			cold, _ := s.Rates.Cold(now, st.ID)
			firstWarm = min(firstWarm, cold.Left)
		}
		rate += share
		tokens += math.Max(s.Rates.Tokens(now, st.ID, q.RateFraction), 0)
	}
	missing := float64(ahead+1) - tokens
	if rate == 0 || missing <= 0 {
		return 0, false
	}
	seconds := math.Min(missing/rate, maxRateWait.Seconds())
	return min(time.Duration(seconds*float64(time.Second)), firstWarm), true
}
