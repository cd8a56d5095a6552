// Package targetpath tells the loss of a VM's own paths to targets from targets that fail,
// and picks the VMs through which requests are forwarded meanwhile.
//
// A failed connection alone says neither. It is a question that connections to some other
// targets answer: if one of them is made, the target failed, else the VM's paths are lost.
// The package is a deterministic state machine without clock, goroutine or I/O.
package targetpath

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// silenceLimit is the time without a byte from any target, while requests run, after
	// which the paths are checked: open connections may have gone silent.
	silenceLimit = 300 * time.Millisecond
	// silenceCheckPeriod is the least time between two checks for silence.
	silenceCheckPeriod = time.Second
	// suspectCheckPeriod is the least time between two checks after failures.
	suspectCheckPeriod = 100 * time.Millisecond
	// lostCheckPeriod is the time between two checks while the paths are lost.
	lostCheckPeriod = 400 * time.Millisecond
	// minRestoreChecks successful checks in a row restore lost paths. If the paths are lost
	// again within flapSpan, twice as many are needed, maxRestoreChecks at most.
	minRestoreChecks = 2
	maxRestoreChecks = 16
	flapSpan         = 10 * time.Second
)

// Verdict says what a failure was due to.
type Verdict uint8

// Verdicts.
const (
	Undecided Verdict = iota
	TargetFailed
	PathLost
)

// Transition is a change of the state that a check brought about.
type Transition uint8

// Transitions.
const (
	NoChange Transition = iota
	Lost
	Restored
)

// Health is the state of a VM's paths to all targets. The zero value counts as up.
type Health struct {
	isLost       bool
	lostAt       structs.Instant
	restoredAt   structs.Instant // 0 for never
	suspectSince structs.Instant // first failure after the last new connection, 0 for none
	connectedAt  structs.Instant // last new connection to any target
	heardAt      structs.Instant // last byte of a response
	running      int             // requests at targets
	runningSince structs.Instant // when running was last 0
	isChecking   bool
	checkedAt    structs.Instant // start of the last check, 0 for never
	successes    int             // successful checks in a row while the paths are lost
	needed       int             // successful checks that restore the paths
}

// IsLost reports whether the VM reaches no target.
func (h *Health) IsLost() bool { return h.isLost }

// IsSuspect reports whether it is open if a failure is due to the VM's paths.
func (h *Health) IsSuspect() bool { return h.suspectSince != 0 }

// SilentFor returns the time since bytes of a response arrived.
func (h *Health) SilentFor(now structs.Instant) time.Duration { return now.Sub(h.heardAt) }

// AreConnectionsSilent reports whether open connections are silent too, and not only new
// ones impossible.
func (h *Health) AreConnectionsSilent(now structs.Instant) bool {
	return h.SilentFor(now) >= silenceLimit
}

// RequestBegan records that a request was sent to a target.
func (h *Health) RequestBegan(now structs.Instant) {
	if h.running == 0 {
		h.runningSince = now
	}
	h.running++
}

// RequestEnded records the end of a request counted by RequestBegan.
func (h *Health) RequestEnded() { h.running-- }

// Heard records that bytes of a response arrived.
func (h *Health) Heard(now structs.Instant) { h.heardAt = now }

// Connected records a new connection to a target.
func (h *Health) Connected(now structs.Instant) {
	h.connectedAt = now
	h.suspectSince = 0
}

// Failed records that a connection to a target failed or broke.
func (h *Health) Failed(now structs.Instant) {
	if h.suspectSince == 0 && !h.isLost {
		h.suspectSince = now
	}
}

// Judge returns what a failure at the given time was due to. Failures while the paths are
// lost never count against a target.
func (h *Health) Judge(failedAt structs.Instant) Verdict {
	switch {
	case h.isLost, h.restoredAt != 0 && failedAt <= h.restoredAt && failedAt >= h.lostAt:
		return PathLost
	case h.connectedAt >= failedAt:
		return TargetFailed
	}
	return Undecided
}

// LostSince reports whether the paths were lost at any time from since on.
func (h *Health) LostSince(since structs.Instant) bool {
	return h.isLost || h.restoredAt != 0 && h.restoredAt >= since
}

// IsCheckDue reports whether connections to some targets have to be tried now.
func (h *Health) IsCheckDue(now structs.Instant) bool {
	age := now.Sub(h.checkedAt)
	switch {
	case h.isChecking:
		return false
	case h.isLost:
		return age >= lostCheckPeriod
	case h.suspectSince != 0:
		return age >= suspectCheckPeriod
	}
	quietSince := max(h.heardAt, h.connectedAt, h.runningSince)
	return h.running > 0 && now.Sub(quietSince) >= silenceLimit && age >= silenceCheckPeriod
}

// BeginCheck records the start of a check.
func (h *Health) BeginCheck(now structs.Instant) { h.isChecking, h.checkedAt = true, now }

// EndCheck records the result of a check: whether any connection was made, out of tried.
func (h *Health) EndCheck(now structs.Instant, isConnected bool, tried int) Transition {
	h.isChecking = false
	switch {
	case tried == 0:
		h.suspectSince = 0
		return NoChange
	case isConnected:
		h.Connected(now)
		return h.countSuccess(now)
	case h.isLost:
		h.successes = 0
		return NoChange
	}
	h.lose(now)
	return Lost
}

func (h *Health) countSuccess(now structs.Instant) Transition {
	if !h.isLost {
		return NoChange
	}
	h.successes++
	if h.successes < h.needed {
		return NoChange
	}
	h.isLost, h.restoredAt = false, now
	return Restored
}

func (h *Health) lose(now structs.Instant) {
	isFlapping := h.restoredAt != 0 && now.Sub(h.restoredAt) < flapSpan
	if isFlapping {
		h.needed = min(2*h.needed, maxRestoreChecks)
	} else {
		h.needed = minRestoreChecks
	}
	h.isLost, h.lostAt, h.successes = true, now, 0
	if h.suspectSince != 0 {
		h.lostAt = h.suspectSince
	}
	h.suspectSince = 0
}
