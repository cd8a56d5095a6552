// Package route defines the policies that choose the target for a call.
// Policies are plug-ins registered under "route.<name>" as a Factory.
//
// A policy is a deterministic state machine without clock, goroutine or I/O.
package route

import (
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

// Target is the scheduler's current view of one candidate.
type Target struct {
	ID         structs.TargetID
	Domain     structs.DomainID
	SameRegion bool // in the scheduler's region
	InFlight   int  // the scheduler's own dispatches that have not ended
	Limit      int  // maximum of InFlight
	// Running and Waiting are the load in the target's last report. SinceReport
	// counts the scheduler's own dispatches since that report.
	Running, Waiting int
	SinceReport      int
	ReportAge        int64 // ns; negative when there is no report
}

// HasRoom reports whether the target is below its limit.
func (t Target) HasRoom() bool { return t.InFlight < t.Limit }

// CacheEvent reports that an engine has stored or evicted a prefix. Events
// arrive late and some are lost.
type CacheEvent struct {
	Target  structs.TargetID
	Prefix  uint64
	Tokens  int64
	Evicted bool
}

// Policy chooses targets. It must be used from one goroutine.
type Policy interface {
	// Choose returns the target for the item among the candidates, or false
	// when none has room or the item should wait for now.
	Choose(now structs.Instant, item queue.Item, candidates []Target) (structs.TargetID, bool)
	// RecordDispatch records that the item was dispatched to the target.
	RecordDispatch(now structs.Instant, item queue.Item, target structs.TargetID)
	// RecordFinish records the end of a dispatch. cached is the number of prompt
	// tokens that the engine found in its cache.
	RecordFinish(now structs.Instant, item queue.Item, target structs.TargetID, cached, output int64, ok bool)
	// RecordCacheEvent records a cache event.
	RecordCacheEvent(now structs.Instant, event CacheEvent)
	// ForgetTarget removes what is remembered of a target that has left.
	ForgetTarget(target structs.TargetID)
}

// Factory returns a new policy.
type Factory func() Policy
