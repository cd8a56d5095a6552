package scheduler

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// stats holds counters since the start of the process.
type stats struct {
	calls, violations, quarantined, released atomic.Int64
}

// State is the scheduler's part of the state dump.
type State struct {
	OwnedSlots        []structs.Slot                     `json:"owned_slots"`
	Counts            program.Counts                     `json:"counts"`
	Callers           int                                `json:"callers"`
	IsDraining        bool                               `json:"draining"`
	Calls             int64                              `json:"calls_total"`
	Violations        int64                              `json:"invariants_violated_total"`
	Quarantined       int64                              `json:"quarantined_total"`
	Released          int64                              `json:"released_total"`
	QuarantineEntries int                                `json:"quarantine_entries"`
	Services          map[structs.ServiceID]ServiceState `json:"services"`
	// Slowdowns lists the client accounts, the largest slowdown first.
	Slowdowns []AccountSlowdown `json:"account_slowdowns"`
}

// ServiceState describes one service in the state dump.
type ServiceState struct {
	Waiting int                              `json:"waiting"`
	Targets map[structs.TargetID]TargetState `json:"targets"`
}

// TargetState describes one target in the state dump.
type TargetState struct {
	InFlight  int  `json:"in_flight"`
	Limit     int  `json:"limit"`
	Running   int  `json:"reported_running"`
	Waiting   int  `json:"reported_waiting"`
	IsLeaving bool `json:"leaving"`
	IsDrained bool `json:"drained"`
	Down      bool `json:"down"`
}

// dumpTimeout limits the wait for the loop.
const dumpTimeout = time.Second

// DumpState returns a State, or an error text if the loop does not respond within
// dumpTimeout.
func (s *Scheduler) DumpState() any {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	state, err := queryLoop(ctx, s, (*loop).state)
	if err != nil {
		return err.Error()
	}
	return state
}

func (l *loop) state() State {
	stats := &l.s.stats
	state := State{
		OwnedSlots: l.ownedSlots(), Counts: l.core.Counts(), Callers: l.s.mailboxes.len(), IsDraining: l.s.isDraining.Load(),
		Calls: stats.calls.Load(), Violations: stats.violations.Load(), Quarantined: stats.quarantined.Load(),
		Released: stats.released.Load(), QuarantineEntries: l.quarantine.Len(),
		Services: make(map[structs.ServiceID]ServiceState),
	}
	state.Slowdowns = l.metrics.accounts.slowdowns(structs.Now())
	for id, d := range l.dispatchers {
		state.Services[id] = d.state(structs.Now())
	}
	return state
}

func (d *dispatcher) state(now structs.Instant) ServiceState {
	state := ServiceState{Waiting: d.Waiting(), Targets: make(map[structs.TargetID]TargetState)}
	for id, b := range d.targets {
		status := d.TargetStatus(now, id)
		state.Targets[id] = TargetState{
			InFlight: status.InFlight, Limit: status.Limit, Running: status.Running, Waiting: status.Waiting,
			IsLeaving: d.isLeaving(id), IsDrained: b.isDrained, Down: status.Down,
		}
	}
	return state
}
