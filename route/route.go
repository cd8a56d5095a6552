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
	ID         structs.TargetID
	Domain     structs.DomainID
	SameRegion bool // in the scheduler's own region
	InFlight   int  // own dispatches that have not ended
	Limit      int  // most dispatches in flight
	// Reported load, and own dispatches since the report was taken.
	Running, Waiting int
	SinceReport      int
	ReportAge        int64 // ns; negative when there is no report
}

// HasRoom reports whether the target is below its limit.
func (t Target) HasRoom() bool { return t.InFlight < t.Limit }

// CacheEvent says that an engine has stored or dropped a prefix. Events are
// late and have gaps.
type CacheEvent struct {
	Target  structs.TargetID
	Prefix  uint64
	Tokens  int64
	Evicted bool
}

// Policy chooses targets. It is used from one goroutine.
type Policy interface {
	// Choose returns the target for the item among the candidates, or false
	// when none is free or the item is better held back for now.
	Choose(now structs.Instant, item queue.Item, candidates []Target) (structs.TargetID, bool)
	// RecordDispatch records that the item went to the target.
	RecordDispatch(now structs.Instant, item queue.Item, target structs.TargetID)
	// RecordFinish records the end of a dispatch; cached is how many prompt
	// tokens the engine found cached.
	RecordFinish(now structs.Instant, item queue.Item, target structs.TargetID, cached, output int64, ok bool)
	// RecordCacheEvent records a cache event.
	RecordCacheEvent(now structs.Instant, event CacheEvent)
	// ForgetTarget drops what is remembered of a target that has left.
	ForgetTarget(target structs.TargetID)
}

// Factory makes a policy.
type Factory func() Policy
