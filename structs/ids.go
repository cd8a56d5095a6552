package structs

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Identifiers. Each is an opaque string and is compared byte by byte.
type (
	// AccountID names a client account of the operators' configuration.
	AccountID string
	// DomainID names a failure domain.
	DomainID string
	// VMID names one virtual machine; its replacement has a new ID.
	VMID string
	// Incarnation identifies one start of one daemon. It is never reused.
	Incarnation string
	// ServiceID names a service: a group of equivalent targets.
	ServiceID string
	// TargetID names one target of a service.
	TargetID string
	// ProgramID identifies one run of a program; see NewProgramID.
	ProgramID string
	// RequestID identifies one request of a caller in logs and answers.
	RequestID string
)

// Slot is the unit of ownership: each program hashes to one slot of its home
// failure domain, and a slot has at most one owning scheduler at a time.
type Slot uint16

// Epoch numbers the successive owners of a slot. It never decreases.
type Epoch uint64

// Instant is a reading of one process's monotonic clock in nanoseconds since
// an arbitrary origin. Instants of two processes are not comparable and never
// cross the wire.
type Instant int64

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool { return i < j }

// NewProgramID joins the home failure domain and a random part, which the
// caller of the function generates and which must not contain a slash.
func NewProgramID(home DomainID, random string) ProgramID {
	return ProgramID(string(home) + "/" + random)
}

// HomeDomain returns the failure domain that owns the program, or "" when the
// ID has no domain part.
func (p ProgramID) HomeDomain() DomainID {
	home, _, found := strings.Cut(string(p), "/")
	if !found {
		return ""
	}
	return DomainID(home)
}

// SlotOf returns the slot of a key (a program ID or an account ID) among the
// given number of slots. The mapping is the same in every process.
func SlotOf(key string, slots int) Slot {
	return Slot(xxhash.Sum64String(key) % uint64(slots))
}
