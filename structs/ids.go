package structs

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Identifiers. Each is an opaque string that is compared byte by byte.
type (
	// AccountID names a client account of the operators' document.
	AccountID string
	// DomainID names a failure domain.
	DomainID string
	// VMID names one virtual machine; a replaced VM has a new ID.
	VMID string
	// Incarnation names one start of one daemon. It is never reused.
	Incarnation string
	// ServiceID names a service: a group of equivalent targets.
	ServiceID string
	// TargetID names one target of a service.
	TargetID string
	// ProgramID names one run of a program; see NewProgramID.
	ProgramID string
	// RequestID names one request of a caller, for logs and answers.
	RequestID string
)

// Slot is the unit of ownership: each program hashes to one slot of its home
// failure domain, and one scheduler at a time owns a slot.
type Slot uint16

// Epoch numbers the successive owners of a slot. It only grows.
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

// NewProgramID joins the home failure domain and a random part that the
// caller of this function draws. The random part must not contain a slash.
func NewProgramID(home DomainID, random string) ProgramID {
	return ProgramID(string(home) + "/" + random)
}

// HomeDomain returns the failure domain that owns the program, or "" when the ID
// has no domain part.
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
