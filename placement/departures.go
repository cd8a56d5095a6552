package placement

import (
	"maps"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// departureTTL is how long a departure is remembered after the target was listed last: its
// entry may come back after an outage of the store.
const departureTTL = 2 * time.Minute

// departureReportTTL is how long peers are told of a departure that the list of targets
// confirms: one of them may be cut off from the store.
const departureReportTTL = 5 * time.Second

// Incarnation identifies one start of a target.
type Incarnation struct {
	Started int64  `msgpack:"s"` // Unix milliseconds
	Address string `msgpack:"a"` // tells starts apart whose time is not stated
}

// departures holds the incarnations of targets that have said in a response that they
// leave. Nothing that the list of targets says of the same incarnation undoes that.
type departures map[structs.TargetID]departure

type departure struct {
	Incarnation
	saidAt   structs.Instant // when this VM learned it
	listedAt structs.Instant // when the target was listed last, or saidAt
}

// Incarnation returns the target's incarnation.
func (t *Target) Incarnation() Incarnation {
	return Incarnation{Started: t.Started, Address: t.Address}
}

// Depart records that an incarnation of a target has said that it leaves, also if the
// target is not listed. It reports whether this is new.
func (s *TargetSet) Depart(now structs.Instant, id structs.TargetID, i Incarnation) bool {
	if known, isKnown := s.departures[id]; isKnown && (known.Incarnation == i || known.Started > i.Started) {
		return false
	}
	st := s.targets[id]
	if st != nil && st.Incarnation() != i && st.Started >= i.Started {
		return false // a later start, which has not said so
	}
	if s.departures == nil {
		s.departures = make(departures)
	}
	s.departures[id] = departure{Incarnation: i, saidAt: now, listedAt: now}
	if st != nil && st.Incarnation() == i {
		st.IsDraining = true
	}
	return true
}

// DepartedAt returns when this VM learned from a response that a listed target leaves.
func (s *TargetSet) DepartedAt(id structs.TargetID) (structs.Instant, bool) {
	st, known := s.targets[id], s.departures[id]
	if st == nil || known.saidAt == 0 || known.Incarnation != st.Incarnation() {
		return 0, false
	}
	return known.saidAt, true
}

// Departures returns the departures that peers may not know: those that the list of targets
// does not confirm, and recent ones.
func (s *TargetSet) Departures(now structs.Instant) map[structs.TargetID]Incarnation {
	var report map[structs.TargetID]Incarnation
	for id, known := range s.departures {
		st := s.targets[id]
		isUnconfirmed := st != nil && !st.isListedDraining && st.Incarnation() == known.Incarnation
		if !isUnconfirmed && now.Sub(known.saidAt) > departureReportTTL {
			continue
		}
		if report == nil {
			report = make(map[structs.TargetID]Incarnation)
		}
		report[id] = known.Incarnation
	}
	return report
}

// hasDeparted reports whether an incarnation of a target has said that it leaves.
func (s *TargetSet) hasDeparted(id structs.TargetID, i Incarnation) bool {
	known, isKnown := s.departures[id]
	return isKnown && known.Incarnation == i
}

// SweepDepartures forgets the departures of targets that have not been listed for
// departureTTL.
func (s *TargetSet) SweepDepartures(now structs.Instant) {
	for id, known := range s.departures {
		if s.targets[id] != nil {
			known.listedAt = now
			s.departures[id] = known
		}
	}
	maps.DeleteFunc(s.departures, func(_ structs.TargetID, known departure) bool { return now.Sub(known.listedAt) > departureTTL })
}
