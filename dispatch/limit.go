package dispatch

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// limit bounds the calls in flight at one target. A learned one keeps the
// target's own queue short, since targets run calls in order of arrival: it
// shrinks when calls wait there for longer than a step, and grows while all of
// it is in use and few wait.
type limit struct {
	current   int
	maximum   int
	isLearned bool
	changedAt structs.Instant
}

const (
	initialLearnedLimit = 8 // calls
	minLearnedLimit     = 2 // calls
	// A target that runs n calls may let toleratedWaiting + n/toleratedShare
	// wait: calls that came since its last step wait only for the next one.
	toleratedWaiting = 1 // calls
	toleratedDivisor = 8
	// limitChangeInterval is the time between changes, so that each follows from
	// reports taken after the one before.
	limitChangeInterval = 2 * time.Second
)

func newLimit(maximum int, isLearned bool) limit {
	l := limit{maximum: maximum, current: maximum, isLearned: isLearned}
	if isLearned {
		l.current = min(maximum, initialLearnedLimit)
	}
	return l
}

func (l *limit) adjust(now structs.Instant, load Load, inFlight int) {
	if !l.isLearned || l.changedAt != 0 && now.Sub(l.changedAt) < limitChangeInterval {
		return
	}
	next := l.current
	switch {
	case load.Waiting > toleratedWaiting+load.Running/toleratedDivisor:
		next = min(l.current, max(load.Running, inFlight)-load.Waiting/2)
	case inFlight >= l.current:
		next = l.current + 1 + l.current/8
	}
	next = min(max(next, minLearnedLimit), l.maximum)
	if next != l.current {
		l.current = next
		l.changedAt = now
	}
}
