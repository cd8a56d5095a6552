// Package connlimit bounds what a server keeps for the connections of clients that it does
// not control: their number, the heads and bodies that have not arrived whole, and the time
// that each may take. When there are too many, it closes the oldest of those on which no
// request has been accepted, so that new clients are served also beside a crowd that stays.
package connlimit

import (
	"container/list"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// state is what a connection waits for.
type state uint8

const (
	stateNew    state = iota // the first byte of its first request
	stateHead                // the rest of a request's head
	stateBody                // the rest of a request's body
	stateRefuse              // its peer, to take the answer to a request that was refused
	stateIdle                // the next request
	stateActive              // the end of a request that was accepted
	numStates
)

// evictionOrder are the states in which a connection may be closed in favour of a new one. It
// does not include those with an accepted request.
var evictionOrder = [...]state{stateHead, stateNew, stateRefuse, stateBody, stateIdle}

// registry decides which connections are kept. It is a state machine without clock, goroutines
// or I/O.
//
// Invariant: each connection is in the list of its state, oldest first.
type registry struct {
	bounds Bounds
	conns  map[*Conn]*entry
	lists  [numStates]*list.List // of *Conn, by the time at which the state began
}

type entry struct {
	state     state
	since     structs.Instant
	isOverdue bool // when Overdue was last called
	element   *list.Element
}

// Bounds are the numbers of connections that are kept; 0 means no bound.
type Bounds struct {
	Conns      int // in all
	HeadMemory int // bytes, for those whose head has not arrived whole
	Bodies     int // whose body has not arrived whole
	// EvictsActive means that connections with a request in progress are closed too.
	EvictsActive bool
}

func newRegistry(bounds Bounds) *registry {
	r := &registry{bounds: bounds, conns: make(map[*Conn]*entry)}
	for i := range r.lists {
		r.lists[i] = list.New()
	}
	return r
}

// open adds a connection. It returns the connection to close instead, nil if none has to be,
// and false if the new one can't be kept.
func (r *registry) open(now structs.Instant, c *Conn) (victim *Conn, isKept bool) {
	if r.bounds.Conns > 0 && len(r.conns) >= r.bounds.Conns {
		victim = r.oldestEvictable()
		if victim == nil {
			return nil, false
		}
		r.remove(victim)
	}
	r.conns[c] = &entry{state: stateNew, since: now, element: r.lists[stateNew].PushBack(c)}
	return victim, true
}

func (r *registry) oldestEvictable() *Conn {
	for _, s := range evictionOrder {
		if front := r.lists[s].Front(); front != nil {
			return front.Value.(*Conn)
		}
	}
	if front := r.lists[stateActive].Front(); front != nil && r.bounds.EvictsActive {
		return front.Value.(*Conn)
	}
	return nil
}

// minHeads is the number of heads that may be incomplete at a time at least.
const minHeads = 4

// maxHeads returns how many heads may be incomplete at a time. Of a head of many short fields,
// net/http keeps up to headFactor times its bytes.
func (r *registry) maxHeads(limits Limits) int {
	const headFactor, baseBytes = 24, 64 << 10
	if r.bounds.HeadMemory == 0 {
		return 0
	}
	return max(r.bounds.HeadMemory/(baseBytes+headFactor*limits.MaxHeadBytes), minHeads)
}

// set changes the state of a connection. It returns the connection to close since too many
// are in that state, nil if none has to be.
func (r *registry) set(now structs.Instant, c *Conn, s state, limits Limits) (victim *Conn) {
	e := r.conns[c]
	if e == nil || e.state == s {
		return nil
	}
	r.lists[e.state].Remove(e.element)
	*e = entry{state: s, since: now, element: r.lists[s].PushBack(c)}
	bound := 0
	switch s {
	case stateHead:
		bound = r.maxHeads(limits)
	case stateBody:
		bound = r.bounds.Bodies
	}
	if bound == 0 || r.lists[s].Len() <= bound {
		return nil
	}
	victim = r.lists[s].Front().Value.(*Conn)
	r.remove(victim)
	return victim
}

// remove removes a connection that is closed.
func (r *registry) remove(c *Conn) {
	if e := r.conns[c]; e != nil {
		r.lists[e.state].Remove(e.element)
		delete(r.conns, c)
	}
}

// overdue removes and returns the connections whose state has lasted longer than allowed at
// two calls in a row: what arrives while the process is frozen is read between the two.
func (r *registry) overdue(now structs.Instant, limits Limits) []*Conn {
	var closed []*Conn
	allowed := [numStates]time.Duration{
		stateNew: limits.IdleTimeout, stateHead: limits.HeadTimeout, stateIdle: limits.IdleTimeout, stateRefuse: refusalTimeout,
	}
	for s, timeout := range allowed {
		if timeout <= 0 {
			continue
		}
		for element := r.lists[s].Front(); element != nil; {
			c := element.Value.(*Conn)
			element = element.Next()
			e := r.conns[c]
			if now.Sub(e.since) <= timeout {
				break // the others are younger
			}
			if e.isOverdue {
				r.remove(c)
				closed = append(closed, c)
			}
			e.isOverdue = true
		}
	}
	return closed
}

// counts returns the number of connections by state.
func (r *registry) counts() (counts [numStates]int) {
	for s, l := range r.lists {
		counts[s] = l.Len()
	}
	return counts
}
