package storepath

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Breakers is a circuit breaker for each partition of the store. While a partition
// refuses calls, one call at a time is admitted to probe it and the others wait. Without
// that, when some partitions are unavailable or over their rate limit, the retries for
// them would use up the rate limit of the others. It is a state machine without clock,
// goroutines or I/O.
type Breakers struct {
	open map[string]*breaker // by partition; a partition without an entry takes all calls
}

// breaker is the open breaker of one partition: it admits the next call at retryAt.
type breaker struct {
	retryAt structs.Instant
	pause   time.Duration
}

const (
	// minBreakerPause is the first pause between two calls to a partition that refuses
	// calls; it doubles up to maxBreakerPause.
	minBreakerPause = 100 * time.Millisecond
	maxBreakerPause = 1600 * time.Millisecond
)

// NewBreakers returns breakers that admit all calls.
func NewBreakers() *Breakers { return &Breakers{open: make(map[string]*breaker)} }

// Admit returns how long a call to a partition has to wait before it asks again. 0
// admits the call; if the partition's breaker is open, further calls then wait for the
// call's outcome or the next pause.
func (b *Breakers) Admit(now structs.Instant, partition string) time.Duration {
	br := b.open[partition]
	if br == nil {
		return 0
	}
	if now < br.retryAt {
		return br.retryAt.Sub(now)
	}
	br.retryAt = now.Add(br.pause)
	return 0
}

// RecordServed records that a partition served a call, and closes its breaker.
func (b *Breakers) RecordServed(partition string) { delete(b.open, partition) }

// RecordRefused records that a partition refused a call, and opens its breaker, each
// time for twice as long.
func (b *Breakers) RecordRefused(now structs.Instant, partition string) {
	br := b.open[partition]
	if br == nil {
		br = &breaker{pause: minBreakerPause / 2}
		b.open[partition] = br
	} else if now < br.retryAt.Add(-br.pause/2) {
		return // the call was admitted before the breaker opened
	}
	br.pause = min(2*br.pause, maxBreakerPause)
	br.retryAt = now.Add(br.pause)
}
