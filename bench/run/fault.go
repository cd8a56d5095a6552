package run

import (
	"fmt"
	"time"
)

// Fault names what fails in a run.
type Fault string

// Faults. Each begins at Options.FaultAt and lasts FaultLasts.
const (
	FaultNone Fault = ""
	// FaultKill crashes a target; it comes back with an empty cache.
	FaultKill Fault = "kill"
	// FaultSlow slows a target to a fifth.
	FaultSlow Fault = "slow"
	// FaultFreeze repeats every target's last load report.
	FaultFreeze Fault = "freeze"
	// FaultPartition parts a failure domain from the others; half of its callers
	// are on the other side.
	FaultPartition Fault = "cut"
	// FaultReconnect keeps all callers of a failure domain out; they come
	// back at one instant.
	FaultReconnect Fault = "reconnect"
)

// Faults lists all faults.
var Faults = []Fault{FaultKill, FaultSlow, FaultFreeze, FaultPartition, FaultReconnect}

// FaultDuration is how long a fault is there.
const FaultDuration = 30 * time.Second

const slowFactor = 5

// UnknownFaultError names a fault that does not exist.
type UnknownFaultError struct{ Name string }

// Error names the fault and those that exist.
func (e *UnknownFaultError) Error() string {
	return fmt.Sprintf("fault %q does not exist; known: %v", e.Name, Faults)
}

// ParseFault reads the name of a fault; "" means none.
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

// faultyTarget and faultyDomain are the indices that faults hit.
const (
	faultyTarget = 1
	faultyDomain = 1
)

func (s *sim) scheduleFault() {
	if s.opts.Fault == FaultNone {
		return
	}
	s.line.after(s.opts.FaultAt, func() {
		s.faulty = true
		s.beginFault()
	})
	s.line.after(s.opts.FaultAt+FaultDuration, func() {
		s.faulty = false
		s.endFault()
	})
}

func (s *sim) beginFault() {
	e := s.engines[faultyTarget]
	switch s.opts.Fault {
	case FaultKill:
		s.crash(e)
	case FaultSlow:
		e.engine.SetSlowdown(slowFactor)
	case FaultFreeze:
		for _, e := range s.engines {
			e.frozen = true
		}
	}
}

func (s *sim) endFault() {
	e := s.engines[faultyTarget]
	switch s.opts.Fault {
	case FaultKill:
		e.dead = false
	case FaultSlow:
		e.engine.SetSlowdown(1)
	case FaultFreeze:
		for _, e := range s.engines {
			e.frozen = false
		}
	}
	blocked := s.blocked
	s.blocked = nil
	for _, resume := range blocked {
		resume()
	}
}

// isBlocked reports whether the callers of a program cannot reach its domain.
func (s *sim) isBlocked(r *programRun) bool {
	if !s.faulty || r.program.DomainIndex != faultyDomain {
		return false
	}
	return s.opts.Fault == FaultReconnect || s.opts.Fault == FaultPartition && r.index%2 == 0
}

// isCut reports whether two failure domains are parted.
func (s *sim) isCut(a, b int) bool {
	return s.faulty && s.opts.Fault == FaultPartition && a != b && (a == faultyDomain || b == faultyDomain)
}
