package dispatch

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// limit is the maximum number of calls in flight at one target. A learned limit
// keeps the target's own queue short, because targets run calls in order of
// arrival: it shrinks when calls wait there for longer than one engine step, and
// grows while it is used up and few calls wait.
type limit struct {
	current   int
	maximum   int
	isLearned bool
	changedAt structs.Instant
}

const (
	initialLearnedLimit = 8 // calls
	minLearnedLimit     = 2 // calls
	// At a target that runs n calls, up to toleratedWaiting + n/toleratedDivisor
	// calls may wait without a reduction of the limit: calls that arrived since the
	// engine's last step wait only for its next one.
	toleratedWaiting = 1 // calls
	toleratedDivisor = 8
	// limitChangeInterval is the minimum time between changes, so that each
	// change is based on reports taken after the previous one.
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
