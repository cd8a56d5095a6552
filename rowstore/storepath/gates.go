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
	closed map[string]*gate
}

type gate struct {
	until structs.Instant
	pause time.Duration
}

const (
	// firstGate is the first pause between two calls to a refusing partition;
	// it doubles up to lastGate.
	firstGate = 100 * time.Millisecond
	lastGate  = 1600 * time.Millisecond
)

// NewBreakers makes gates that are all open.
func NewBreakers() *Breakers { return &Breakers{closed: make(map[string]*gate)} }

// Admit returns how long a call to a partition has to wait; 0 lets it go, and
// closes the gate behind it until its outcome is known.
func (g *Breakers) Admit(now structs.Instant, partition string) time.Duration {
	closed := g.closed[partition]
	if closed == nil {
		return 0
	}
	if now < closed.until {
		return closed.until.Sub(now)
	}
	closed.until = now.Add(closed.pause)
	return 0
}

// RecordServed opens a partition's gate.
func (g *Breakers) RecordServed(partition string) { delete(g.closed, partition) }

// RecordRefused closes a partition's gate, each time for twice as long.
func (g *Breakers) RecordRefused(now structs.Instant, partition string) {
	closed := g.closed[partition]
	if closed == nil {
		closed = &gate{pause: firstGate / 2}
		g.closed[partition] = closed
	} else if now < closed.until.Add(-closed.pause/2) {
		return // the answer to a call that went before the gate closed
	}
	closed.pause = min(2*closed.pause, lastGate)
	closed.until = now.Add(closed.pause)
}
