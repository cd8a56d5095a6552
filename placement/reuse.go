package placement

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// reuseTau is the time constant of a VM's request rate: long enough for some tens of
	// requests in fleets where connections are not reused.
	reuseTau = 4 * time.Second
	// sparseBelow and denseAbove are the requests to each target within an idle timeout
	// below which connections count as not reused, and above which they count as reused
	// again. At 1, 0.37 of the requests that come at random find their connection closed,
	// at 2, 0.14. The gap keeps a service from switching with every burst.
	sparseBelow = 1.0
	denseAbove  = 2.0
)

// Reuse decides for each service whether this VM sends so few requests to each target that
// connections expire between two of them. It is a state machine without clock.
type Reuse struct {
	services map[structs.ServiceID]*reuseState
}

type reuseState struct {
	count     float64 // requests, decayed with reuseTau
	decayedAt structs.Instant
	firstAt   structs.Instant
	isSparse  bool
}

// ReuseChange tells whether the state of a service has changed, with what it follows from.
type ReuseChange struct {
	IsSparse  bool
	IsChanged bool
	// PerIdleTimeout is the number of requests that this VM sends to each target within an
	// idle timeout, were they spread evenly.
	PerIdleTimeout float64
	Rate           float64 // requests per second of this VM
}

// Update records a request. targets is the number of targets that share the requests, idle
// the time for which their connections stay open. A service starts as startsSparse says.
func (r *Reuse) Update(now structs.Instant, service structs.ServiceID, targets int, idle time.Duration, startsSparse bool) ReuseChange {
	st := r.services[service]
	if st == nil {
		if r.services == nil {
			r.services = make(map[structs.ServiceID]*reuseState)
		}
		st = &reuseState{isSparse: startsSparse, decayedAt: now, firstAt: now}
		r.services[service] = st
	}
	st.count *= math.Exp(-now.Sub(st.decayedAt).Seconds() / reuseTau.Seconds())
	st.count++
	st.decayedAt = now
	rate := st.count / reuseTau.Seconds()
	change := ReuseChange{Rate: rate, PerIdleTimeout: rate * idle.Seconds() / float64(max(targets, 1))}
	was := st.isSparse
	switch {
	case change.PerIdleTimeout > denseAbove || idle <= 0: // no connection stays open
		st.isSparse = false
	case change.PerIdleTimeout < sparseBelow && now.Sub(st.firstAt) >= 2*reuseTau:
		st.isSparse = true // before, the count does not cover the time constant
	}
	change.IsSparse, change.IsChanged = st.isSparse, st.isSparse != was
	return change
}

// IsSparse reports whether connections to a service's targets are not reused by chance.
func (r *Reuse) IsSparse(service structs.ServiceID) bool {
	st := r.services[service]
	return st != nil && st.isSparse
}

// SparseCount returns the number of services whose connections are not reused by chance.
func (r *Reuse) SparseCount() int {
	count := 0
	for _, st := range r.services {
		if st.isSparse {
			count++
		}
	}
	return count
}
