package admission

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// rateWindow is the time over which the rate of free slots is measured.
	rateWindow = 2 * time.Second
	// rateBucket is the resolution of the measurement.
	rateBucket = 100 * time.Millisecond
	// rateBuckets is the number of buckets that cover the window.
	rateBuckets = int(rateWindow / rateBucket)
	// minSamples is the number of slots in the window below which the rate is unknown. Its
	// standard deviation is a third of it there.
	minSamples = 10
)

// slotRate counts the slots that became free in the last two seconds, but not those before
// requests began to wait: these say how much was asked for, not how much can be served.
type slotRate struct {
	since    structs.Instant // when requests began to wait
	buckets  [rateBuckets]int
	newest   int64         // number of the newest bucket
	slotTime time.Duration // smoothed, of ended requests
}

// begin starts a measurement.
func (s *slotRate) begin(now structs.Instant) {
	s.since, s.buckets, s.newest = now, [rateBuckets]int{}, bucketOf(now)
}

func bucketOf(now structs.Instant) int64 { return int64(now) / int64(rateBucket) }

func bucketIndex(number int64) int64 {
	return ((number % int64(rateBuckets)) + int64(rateBuckets)) % int64(rateBuckets)
}

// advance empties the buckets that have left the window.
func (s *slotRate) advance(now structs.Instant) {
	number := bucketOf(now)
	for n := max(s.newest+1, number-int64(rateBuckets)+1); n <= number; n++ {
		s.buckets[bucketIndex(n)] = 0
	}
	s.newest = max(s.newest, number)
}

// add counts a slot.
func (s *slotRate) add(now structs.Instant) {
	s.advance(now)
	s.buckets[bucketIndex(s.newest)]++
}

// measure returns the number of slots counted and the time over which they were.
func (s *slotRate) measure(now structs.Instant) (int, time.Duration) {
	s.advance(now)
	n := 0
	for _, count := range s.buckets {
		n += count
	}
	// The newest bucket is incomplete.
	covered := rateWindow - rateBucket + time.Duration(int64(now)-s.newest*int64(rateBucket))
	return n, min(now.Sub(s.since), covered)
}

// perSecond returns the rate at which slots become free, plus the given number of its
// standard deviations. It reports false if too few were counted.
func (s *slotRate) perSecond(now structs.Instant, deviations float64) (float64, bool) {
	n, covered := s.measure(now)
	if n < minSamples || covered <= 0 {
		return 0, false
	}
	return (float64(n) + deviations*math.Sqrt(float64(n))) / covered.Seconds(), true
}
