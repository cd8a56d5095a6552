package routing

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// maxKnownVersions bounds the versions that a lag keeps. It keeps the oldest ones, which say
// since when the VM lags.
const maxKnownVersions = 64

// lag tracks the versions that are in force at other VMs and not yet at this one. It is a
// state machine without clock, goroutines or I/O.
//
// Invariant: versions and times of known ascend, and all versions are newer than the one in
// force.
type lag struct {
	known   []knownVersion
	heardAt structs.Instant // of the last report of a newer version than the one in force
}

type knownVersion struct {
	version uint64
	since   structs.Instant
	source  string // address of the VM that was the first to report it
}

// note records that another VM has a version in force, and reports whether this is new.
func (l *lag) note(now structs.Instant, version uint64, source string) bool {
	l.heardAt = now
	if last := len(l.known); last == maxKnownVersions || last > 0 && l.known[last-1].version >= version {
		return false
	}
	l.known = append(l.known, knownVersion{version: version, since: now, source: source})
	return true
}

// apply records the version in force.
func (l *lag) apply(version uint64) {
	for len(l.known) > 0 && l.known[0].version <= version {
		l.known = l.known[1:]
	}
}

// Lag says how far the configuration in force is behind that of other VMs.
type Lag struct {
	// Version is the newest version that is known, Source the VM that reported the oldest
	// one that is not in force.
	Version uint64
	Source  string
	// For is the time since that report, 0 if no newer version is known.
	For time.Duration
	// HeardAgo is the time since the last report of a newer version by any VM.
	HeardAgo time.Duration
}

func (l *lag) state(now structs.Instant) Lag {
	if len(l.known) == 0 {
		return Lag{}
	}
	oldest := l.known[0]
	return Lag{Version: l.known[len(l.known)-1].version, Source: oldest.source, For: max(now.Sub(oldest.since), 1), HeardAgo: now.Sub(l.heardAt)}
}
