package admission

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// startDeviations and continueDeviations are the standard deviations of the rate of free
	// slots by which a request gets the benefit of the doubt. Requests that start a program
	// are refused first.
	startDeviations    = 1.0
	continueDeviations = 2.0
	// minRefusedPatience is the time below which an early refusal gains the caller nothing:
	// that of one request to a placer.
	minRefusedPatience = 100 * time.Millisecond
	// defaultRetryAfter is the retry delay while the rate of free slots is unknown.
	defaultRetryAfter = 250 * time.Millisecond
	// MaxRetryDivisor divides the time that the caller has left: the retry delay is at most
	// that part of it, so that the retry can still be served.
	MaxRetryDivisor = 3
	// minRetryAfter is the shortest retry delay; 0 would mean that none is stated.
	minRetryAfter = time.Millisecond
	// goldenRatio spreads retry delays over an interval: its multiples,
	// without their integer part, are evenly distributed.
	goldenRatio = 0.6180339887498949
)

// Estimate is the expected wait of a request.
type Estimate struct {
	Ahead     int     // waiting requests that get a slot before it
	PerSecond float64 // rate at which slots become free, 0 if unknown
	Wait      time.Duration
}

// IsHopeless reports whether a waiting request can't get a slot within patience, by the
// requests ahead of it and the rate at which slots became free in the last two seconds. A
// request waits while that rate is uncertain.
func (q *Queue) IsHopeless(now structs.Instant, r *Request, patience time.Duration) (Estimate, bool) {
	deviations := continueDeviations
	if r.StartsProgram {
		deviations = startDeviations
	}
	estimate := q.estimate(now, r, deviations)
	return estimate, patience >= minRefusedPatience && estimate.PerSecond > 0 && estimate.Wait > patience
}

// estimate returns the expected wait with a rate that is higher than measured by a number of
// standard deviations.
func (q *Queue) estimate(now structs.Instant, r *Request, deviations float64) Estimate {
	e := Estimate{Ahead: q.Ahead(now, r)}
	rate, isKnown := q.slotRate.perSecond(now, deviations)
	if !isKnown {
		return e
	}
	// Slots that were taken when the load was lower end later: the requests that run now
	// free theirs at this rate.
	if slotTime := q.slotRate.slotTime.Seconds(); slotTime > 0 {
		rate = math.Max(rate, float64(q.running)/slotTime)
	}
	e.PerSecond = rate
	e.Wait = seconds(float64(e.Ahead+1) / rate)
	return e
}

func seconds(s float64) time.Duration {
	return time.Duration(math.Min(s*float64(time.Second), float64(math.MaxInt64/2)))
}

// RetryAfter returns when the caller of a refused request should try again: when the
// requests ahead of it have been served, after the others of its rank or of more urgent ones
// that were refused, so that they return at the rate at which slots become free, and within
// a third of the time that the caller has left. The request may be waiting or not.
func (q *Queue) RetryAfter(now structs.Instant, r *Request) time.Duration {
	longest := longestRetryAfter(now, r)
	rate, isKnown := q.slotRate.perSecond(now, 0)
	if !isKnown {
		return q.spread(min(defaultRetryAfter/2, longest/2), min(defaultRetryAfter*3/2, longest))
	}
	wait := max(seconds(float64(q.aheadOfReturn(now, r))/rate), minRetryAfter)
	own := q.rank(r.Priority)
	for _, number := range q.order {
		if number <= r.Priority {
			wait = max(wait, q.ranks[number].returnAt.Sub(now)+seconds(1/rate))
		}
	}
	if wait > longest {
		return q.spread(longest/2, longest)
	}
	own.returnAt = now.Add(wait)
	return wait
}

func longestRetryAfter(now structs.Instant, r *Request) time.Duration {
	if r.Deadline == 0 {
		return math.MaxInt64 / 2
	}
	return max(r.Deadline.Sub(now)/MaxRetryDivisor, minRetryAfter)
}

// spread returns delays that are evenly distributed from shortest to longest.
func (q *Queue) spread(shortest, longest time.Duration) time.Duration {
	q.spreads++
	_, fraction := math.Modf(float64(q.spreads) * goldenRatio)
	return max(shortest+time.Duration(fraction*float64(longest-shortest)), minRetryAfter)
}

// aheadOfReturn returns the number of waiting requests that are served before r would be.
func (q *Queue) aheadOfReturn(now structs.Instant, r *Request) int {
	if r.isWaiting {
		return q.Ahead(now, r)
	}
	ahead := 0
	for _, number := range q.order {
		if number <= r.Priority {
			ahead += q.ranks[number].waiting
		}
	}
	return ahead
}
