// Package leastloaded registers "route.leastloaded", the route policy that
// chooses the target with the fewest calls.
package leastloaded

import (
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/structs"
)

func init() {
	kernel.Register("route.leastloaded", route.Factory(func() route.Policy { return &Policy{} }))
}

// Policy chooses by load alone and remembers nothing.
type Policy struct{}

// Choose returns the free candidate with the least load; the first of equals.
func (*Policy) Choose(_ structs.Instant, _ queue.Item, candidates []route.Target) (structs.TargetID, bool) {
	best := -1
	for i, candidate := range candidates {
		if !candidate.HasRoom() {
			continue
		}
		if best < 0 || load(candidate) < load(candidates[best]) {
			best = i
		}
	}
	if best < 0 {
		return "", false
	}
	return candidates[best].ID, true
}

// load estimates the calls at a target: the report with what was sent since,
// but at least the own calls in flight.
func load(t route.Target) int {
	if t.ReportAge < 0 {
		return t.InFlight
	}
	return max(t.InFlight, t.Running+t.Waiting+t.SinceReport)
}

// RecordDispatch does nothing.
func (*Policy) RecordDispatch(structs.Instant, queue.Item, structs.TargetID) {}

// RecordFinish does nothing.
func (*Policy) RecordFinish(structs.Instant, queue.Item, structs.TargetID, int64, int64, bool) {}

// RecordCacheEvent does nothing.
func (*Policy) RecordCacheEvent(structs.Instant, route.CacheEvent) {}

// ForgetTarget does nothing.
func (*Policy) ForgetTarget(structs.TargetID) {}
