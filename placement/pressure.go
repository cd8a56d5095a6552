package placement

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// pressureLoad is the fraction of a service's slots in use at which its requests are
	// placed by one VM. Below it, each VM finds a free slot by its own view, although
	// the loads that its peers report are older than most requests.
	pressureLoad = 0.3
	// pressureHold is how long a service stays under pressure, since its load varies.
	pressureHold = 3 * time.Second
)

// Pressure decides for each service whether VMs must coordinate their placement. It
// answers bursts and losses of targets on fleets of few VMs: when most slots are in use,
// VMs that place by stale loads overfill some targets while others have free slots.
type Pressure struct {
	until map[structs.ServiceID]structs.Instant
}

// Update records the load of a service and reports whether it is under pressure.
func (p *Pressure) Update(now structs.Instant, service structs.ServiceID, running, slots int) bool {
	if p.until == nil {
		p.until = make(map[structs.ServiceID]structs.Instant)
	}
	if float64(running) >= pressureLoad*float64(slots) {
		p.until[service] = now.Add(pressureHold)
	}
	return now < p.until[service]
}

// Load returns the number of requests that are known to run at a service's targets, and
// the number of their slots. Draining targets and those of evacuated failure domains don't count.
func (s *TargetSet) Load(now structs.Instant, service structs.ServiceID) (running, slots int) {
	for _, st := range s.permittedGroup(Query{Service: service}) {
		if !st.IsDraining {
			running += st.load(now)
			slots += st.Slots
		}
	}
	return running, slots
}
