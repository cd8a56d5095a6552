// Package route chooses the target for a call. Policies are plug-ins
// registered under "route.<name>" as a Factory.
//
// A policy is a state machine without clock, goroutine or I/O.
package route

import (
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

// Target is one candidate as the scheduler sees it now.
type Target struct {
	ID       structs.TargetID
	Domain   structs.DomainID
	Near     bool // in the scheduler's own region
	InFlight int  // own dispatches that have not ended
	Limit    int  // most dispatches in flight
	// Reported load, and own dispatches since the report was taken.
	Running, Waiting int
	SinceReport      int
	ReportAge        int64 // ns; negative when there is no report
}

// Free reports whether the target is below its limit.
func (t Target) Free() bool { return t.InFlight < t.Limit }

// CacheEvent says that an engine has stored or dropped a prefix. Events are
// late and have gaps.
type CacheEvent struct {
	Target  structs.TargetID
	Prefix  uint64
	Tokens  int64
	Dropped bool
}

// Policy chooses targets. It is used from one goroutine.
type Policy interface {
	// Choose returns the target for the item among the candidates, or false
	// when none is free or the item is better held back for now.
	Choose(now structs.Instant, item queue.Item, candidates []Target) (structs.TargetID, bool)
	// Dispatched records that the item went to the target.
	Dispatched(now structs.Instant, item queue.Item, target structs.TargetID)
	// Finished records the end of a dispatch; cached is how many prompt
	// tokens the engine found cached.
	Finished(now structs.Instant, item queue.Item, target structs.TargetID, cached, output int64, ok bool)
	// Observe records a cache event.
	Observe(now structs.Instant, event CacheEvent)
	// Forget drops what is remembered of a target that has left.
	Forget(target structs.TargetID)
}

// Factory makes a policy.
type Factory func() Policy
