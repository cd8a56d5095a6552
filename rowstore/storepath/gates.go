package storepath

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Breakers holds back the calls to partitions of the store that refuse them, so
// that one call at a time finds out whether a partition is back. It answers the
// load of a store with some partitions away or at their rate, where retries for
// these would take the rate from the others. It is a state machine without
// clock, goroutine or I/O.
type Breakers struct {
	open map[string]*breaker
}

type breaker struct {
	retryAt structs.Instant
	pause   time.Duration
}

const (
	// minBreakerPause is the first pause between two calls to a refusing partition;
	// it doubles up to lastGate.
	minBreakerPause = 100 * time.Millisecond
	maxBreakerPause = 1600 * time.Millisecond
)

// NewBreakers makes gates that are all open.
func NewBreakers() *Breakers { return &Breakers{open: make(map[string]*breaker)} }

// Admit returns how long a call to a partition has to wait; 0 lets it go, and
// closes the gate behind it until its outcome is known.
func (g *Breakers) Admit(now structs.Instant, partition string) time.Duration {
	closed := g.open[partition]
	if closed == nil {
		return 0
	}
	if now < closed.retryAt {
		return closed.retryAt.Sub(now)
	}
	closed.retryAt = now.Add(closed.pause)
	return 0
}

// RecordServed opens a partition's gate.
func (g *Breakers) RecordServed(partition string) { delete(g.open, partition) }

// RecordRefused closes a partition's gate, each time for twice as long.
func (g *Breakers) RecordRefused(now structs.Instant, partition string) {
	closed := g.open[partition]
	if closed == nil {
		closed = &breaker{pause: minBreakerPause / 2}
		g.open[partition] = closed
	} else if now < closed.retryAt.Add(-closed.pause/2) {
		return // the answer to a call that went before the gate closed
	}
	closed.pause = min(2*closed.pause, maxBreakerPause)
	closed.retryAt = now.Add(closed.pause)
}
