package lease

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Config holds the parameters of the lease protocol. They are the same in every
// process of a failure domain.
type Config struct {
	Groups        int
	Duration      time.Duration // L: how long a lease lasts after a counted renewal was sent
	RenewInterval time.Duration // interval between renewals and between Tick events
	// ClockDrift bounds the relative error of a process's clock rate.
	ClockDrift float64
	// SuspectTimeout is how long a witness goes without a renewal from an owner before
	// it starts a revocation or grants a promise.
	SuspectTimeout time.Duration
	// ExitGrace bounds how long a process may still acknowledge renewals after the first
	// evidence that it has exited.
	ExitGrace time.Duration
}

// successionWait returns how long a successor waits by its own clock so that the
// lease has expired by the owner's clock.
func (c Config) successionWait() time.Duration {
	return time.Duration(float64(c.Duration)*(1+c.ClockDrift)/(1-c.ClockDrift)) + 1
}

// maxAckAge bounds the age that a witness reports. It is longer than every wait.
func (c Config) maxAckAge() time.Duration { return 4 * c.Duration }

// latestAckTime returns the latest instant, by this process's clock, at which a
// witness can have acknowledged a renewal if it reported age in a message received now.
func (c Config) latestAckTime(now structs.Instant, age time.Duration) structs.Instant {
	return now.Add(-time.Duration(float64(age) * (1 - c.ClockDrift) / (1 + c.ClockDrift)))
}

func (c Config) exitWait() time.Duration {
	return time.Duration(float64(c.ExitGrace)*(1+c.ClockDrift)) + 1
}

const (
	smallWitnessSet = 3 // size of the witness set with 3 or 4 schedulers
	maxWitnesses    = 5
)

// witnessCount returns the size of a witness set for a number of live schedulers.
func witnessCount(live int) int {
	switch {
	case live >= maxWitnesses:
		return maxWitnesses
	case live >= smallWitnessSet:
		return smallWitnessSet
	}
	return max(live, 1)
}

// mutations disables single parts of the protocol. Only tests set it, to show that
// the randomised simulation detects the missing part.
type mutations struct {
	skipPromises         bool // a successor needs no promises
	renewFromReceipt     bool // a renewal counts from when it was received, not sent
	forgetPromises       bool // a witness does not keep its promises
	skipWait             bool // a successor does not wait for the lease to expire
	answerForPredecessor bool // a process answers for an earlier incarnation
	ignorePendingSet     bool // renewals need a majority of the current witness set only
	skipExitWait         bool // an exited witness counts as promised at once
	renewRevokedRow      bool // the store counts renewals of a row under revocation
	reportFirstAckAge    bool // a witness reports the age of its first acknowledgement
	ignoreReadRenewals   bool // a successor ignores that reads of the row renew the lease
	ignoreRowAge         bool // a successor relies on the promises alone
}

func violation(name, detail string) error {
	return &structs.InvariantError{Package: "lease", Name: name, Detail: detail}
}
