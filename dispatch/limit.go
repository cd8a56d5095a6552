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
	value   int
	most    int
	learned bool
	changed structs.Instant
}

const (
	firstLearnedLimit = 8 // calls
	leastLearnedLimit = 2 // calls
	// A target that runs n calls may let toleratedWaiting + n/toleratedShare
	// wait: calls that came since its last step wait only for the next one.
	toleratedWaiting = 1 // calls
	toleratedShare   = 8
	// limitSettles is the time between changes, so that each follows from
	// reports taken after the one before.
	limitSettles = 2 * time.Second
)

func newLimit(most int, learned bool) limit {
	l := limit{most: most, value: most, learned: learned}
	if learned {
		l.value = min(most, firstLearnedLimit)
	}
	return l
}

func (l *limit) report(now structs.Instant, load Load, inFlight int) {
	if !l.learned || l.changed != 0 && now.Sub(l.changed) < limitSettles {
		return
	}
	next := l.value
	switch {
	case load.Waiting > toleratedWaiting+load.Running/toleratedShare:
		next = min(l.value, max(load.Running, inFlight)-load.Waiting/2)
	case inFlight >= l.value:
		next = l.value + 1 + l.value/8
	}
	next = min(max(next, leastLearnedLimit), l.most)
	if next != l.value {
		l.value = next
		l.changed = now
	}
}
