package run

import (
	"fmt"
	"time"
)

// Fault is the kind of failure that a run injects.
type Fault string

// Kinds of fault. A fault begins at Options.FaultAt and lasts FaultDuration.
const (
	FaultNone Fault = ""
	// FaultKill crashes a target, which restarts with an empty cache.
	FaultKill Fault = "kill"
	// FaultSlow reduces a target to a fifth of its speed.
	FaultSlow Fault = "slow"
	// FaultFreeze makes every target repeat its last load report.
	FaultFreeze Fault = "freeze"
	// FaultPartition separates a failure domain from the others. Half of the callers
	// of its programs are on the other side of the partition and cannot reach it.
	FaultPartition Fault = "cut"
	// FaultReconnect disconnects all callers of a failure domain, which reconnect at
	// the same instant.
	FaultReconnect Fault = "reconnect"
)

// Faults lists all faults but FaultNone.
var Faults = []Fault{FaultKill, FaultSlow, FaultFreeze, FaultPartition, FaultReconnect}

// FaultDuration is the time between the start and the end of a fault.
const FaultDuration = 30 * time.Second

const slowdownFactor = 5

// UnknownFaultError reports a name that is not in Faults.
type UnknownFaultError struct{ Name string }

// Error returns a message with the name and the known faults.
func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("fault %q does not exist; known: %v", e.Name, Faults)
}

// ParseFault returns the fault of that name, and FaultNone for the empty name.
func ParseFault(name string) (Fault, error) {
	for _, f := range Faults {
		if name == string(f) {
			return f, nil
		}
	}
	if name != "" {
		return FaultNone, &UnknownFaultError{Name: name}
	}
	return FaultNone, nil
}

// faultyTarget and faultyDomain are the indices of the target and the failure domain that
// a fault affects.
const (
	faultyTarget = 1
	faultyDomain = 1
)

func (s *sim) scheduleFault() {
	if s.opts.Fault == FaultNone {
		return
	}
	s.loop.after(s.opts.FaultAt, func() {
		s.isFaultActive = true
		s.beginFault()
	})
	s.loop.after(s.opts.FaultAt+FaultDuration, func() {
		s.isFaultActive = false
		s.endFault()
	})
}

func (s *sim) beginFault() {
	e := s.engines[faultyTarget]
	switch s.opts.Fault {
	case FaultKill:
		s.crash(e)
	case FaultSlow:
		e.engine.SetSlowdown(slowdownFactor)
	case FaultFreeze:
		for _, e := range s.engines {
			e.isFrozen = true
		}
	}
}

func (s *sim) endFault() {
	e := s.engines[faultyTarget]
	switch s.opts.Fault {
	case FaultKill:
		e.isDown = false
	case FaultSlow:
		e.engine.SetSlowdown(1)
	case FaultFreeze:
		for _, e := range s.engines {
			e.isFrozen = false
		}
	}
	blocked := s.blocked
	s.blocked = nil
	for _, retry := range blocked {
		retry()
	}
}

// isBlocked reports whether the caller of a program cannot reach the program's failure
// domain.
func (s *sim) isBlocked(r *programRun) bool {
	if !s.isFaultActive || r.program.DomainIndex != faultyDomain {
		return false
	}
	return s.opts.Fault == FaultReconnect || s.opts.Fault == FaultPartition && r.index%2 == 0
}

// isPartitioned reports whether a partition separates two failure domains.
func (s *sim) isPartitioned(a, b int) bool {
	return s.isFaultActive && s.opts.Fault == FaultPartition && a != b && (a == faultyDomain || b == faultyDomain)
}
