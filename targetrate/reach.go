package targetrate

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// reachMemory is how long the size of the fleet counts after it was seen last. A part of a
// fleet that has come apart forgets the other VMs after 15 s, but they may go on sending.
const reachMemory = 10 * time.Minute

// Reach says from how many of the VMs that may be placers a VM has heard recently, and how
// many there are.
type Reach struct {
	// Placers of KnownPlacers in the VM's region, itself included if it may be one.
	Placers, KnownPlacers int
	// Regions of KnownRegions, its own included.
	Regions, KnownRegions int
	VMs                   int // of the fleet, as known
	// MayPlace means that this VM may be a placer. One that may not takes itself for the
	// placer if it reaches no other.
	MayPlace bool
}

// reachState is the newest reach and the largest numbers within reachMemory.
type reachState struct {
	current               Reach
	placers, regions, vms recentMax
}

// part returns the largest part of a cold rate that this VM may use as a placer. The parts
// of a fleet that has come apart sum to at most 1, by region and by the placers of a region.
func (r *reachState) part() float64 {
	if r.placers.value == 0 || r.regions.value == 0 || !r.current.MayPlace {
		return 0
	}
	return float64(r.current.Placers) / float64(r.placers.value) * float64(r.current.Regions) / float64(r.regions.value)
}

// recentMax is the largest value within reachMemory, or longer: a maximum that was seen
// again counts from then on.
type recentMax struct {
	value int
	at    structs.Instant
}

func (m *recentMax) add(now structs.Instant, value int) {
	if value >= m.value || now.Sub(m.at) > reachMemory {
		m.value, m.at = value, now
	}
}

// SetReach records this VM's reach. A VM that does not know its reach has no part of the
// rates of cold targets.
func (l *Limiter) SetReach(now structs.Instant, r Reach) {
	l.reach.current = r
	l.reach.placers.add(now, r.KnownPlacers)
	l.reach.regions.add(now, r.KnownRegions)
	l.reach.vms.add(now, r.VMs)
}

// ReachPart returns the largest part of a cold rate that this VM uses as a placer.
func (l *Limiter) ReachPart() float64 { return l.reach.part() }
