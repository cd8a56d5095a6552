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
	group := s.permittedGroup(q)
	ejected := ejectedTargets(now, group)
	var supplies []tokenSupply
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
		if share > 0 {
			supplies = append(supplies, tokenSupply{math.Max(s.Rates.Tokens(now, st.ID, q.RateFraction), 0), share})
		}
	}
	seconds := timeUntilTokens(supplies, ahead+1)
	if len(supplies) == 0 || seconds <= 0 {
		return 0, false
	}
	seconds = math.Min(seconds, maxRateWait.Seconds())
	return min(time.Duration(seconds*float64(time.Second)), firstWarm), true
}

// tokenSupply is a target's tokens and how many it gets per second.
type tokenSupply struct{ tokens, perSecond float64 }

// wholeAfter returns the number of whole tokens after a time in seconds.
func (s tokenSupply) wholeAfter(seconds float64) float64 {
	const rounding = 1e-9
	return math.Floor(s.tokens + s.perSecond*seconds + rounding)
}

// timeUntilTokens returns the least time in seconds until the targets together have count
// whole tokens, 0 if they have. Parts of a token at different targets serve no request.
func timeUntilTokens(supplies []tokenSupply, count int) float64 {
	rate, tokens := 0.0, 0.0
	for _, s := range supplies {
		rate += s.perSecond
		tokens += s.tokens
	}
	seconds := 0.0
	if rate > 0 {
		seconds = math.Max((float64(count)-tokens)/rate, 0)
	}
	for range supplies { // each step completes a token of at least one target
		whole, next := 0.0, math.Inf(1)
		for _, s := range supplies {
			n := s.wholeAfter(seconds)
			whole += n
			next = math.Min(next, (n+1-s.tokens)/s.perSecond)
		}
		if whole >= float64(count) {
			break
		}
		seconds = next
	}
	return seconds
}
