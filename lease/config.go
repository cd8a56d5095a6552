package lease

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Config holds the parameters of the rule. They are the same in every process
// of a domain.
type Config struct {
	Groups        int
	Duration      time.Duration // L: how long a counted renewal lasts
	RenewInterval time.Duration // interval between renewals and of Tick
	// ClockDrift bounds the relative error of a process's clock rate.
	ClockDrift float64
	// SuspectTimeout is how long a witness hears nothing from an owner before it
	// starts to revoke or is ready to promise.
	SuspectTimeout time.Duration
	// ExitGrace bounds how long a process may still acknowledge after there
	// was evidence of its end.
	ExitGrace time.Duration
}

// wait returns how long a successor waits, by its own clock, so that the lease
// has run out by the owner's clock.
func (c Config) wait() time.Duration {
	return time.Duration(float64(c.Duration)*(1+c.ClockDrift)/(1-c.ClockDrift)) + 1
}

// maxAge bounds the age that a witness reports. It exceeds every wait.
func (c Config) maxAge() time.Duration { return 4 * c.Duration }

// acknowledgedBy returns the latest instant by this process's clock at which a
// witness can have acknowledged that reported the age in a message received now.
func (c Config) acknowledgedBy(now structs.Instant, age time.Duration) structs.Instant {
	return now.Add(-time.Duration(float64(age) * (1 - c.ClockDrift) / (1 + c.ClockDrift)))
}

func (c Config) grace() time.Duration {
	return time.Duration(float64(c.ExitGrace)*(1+c.ClockDrift)) + 1
}

const (
	smallDomain  = 3 // witnesses of a domain of 3 or 4 schedulers
	maxWitnesses = 5
)

// witnessCount returns the size of a witness set for a number of schedulers.
func witnessCount(live int) int {
	switch {
	case live >= maxWitnesses:
		return maxWitnesses
	case live >= smallDomain:
		return smallDomain
	}
	return max(live, 1)
}

// rules switches parts of the rule off. Only tests set them, to show that the
// randomised runs see the fault.
type rules struct {
	storeAloneRevokes  bool // no promises are needed
	renewFromReceipt   bool // a renewal lasts from when it was counted
	promiseForgotten   bool // witnesses keep no promise
	noWait             bool // a successor doesn't wait
	answerForAnother   bool // an incarnation answers for its predecessor
	oldSetAlone        bool // a change of the witness set is not counted jointly
	goneWithoutGrace   bool // evidence of an end counts at once
	markedRowIsRenewed bool // the store counts renewals of a marked row
	ageOfFirst         bool // a witness reports the age of its first acknowledgement
	storeReadsIgnored  bool // a successor overlooks that reads of the row renew
	rowAgeIgnored      bool // a successor counts with its promises alone
}

func violation(name, detail string) error {
	return &structs.InvariantError{Package: "lease", Name: name, Detail: detail}
}
