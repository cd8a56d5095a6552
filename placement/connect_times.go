package placement

import (
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// connectWindow is the period whose shortest connect time counts. Longer ones contain
	// the wait for a processor on either side.
	connectWindow = 30 * time.Second
	// connectRiseWeight is the weight of a window's shortest connect time if it is above
	// the estimate. A shorter one replaces the estimate at once.
	connectRiseWeight = 0.5
)

// ConnectTimes estimates the round trip to targets of each failure domain from the times
// that this VM's new connections took. It is a state machine without clock.
type ConnectTimes struct {
	domains map[structs.DomainID]*connectTime
}

type connectTime struct {
	estimate    time.Duration
	shortest    time.Duration // in the current window
	windowStart structs.Instant
}

// Record records the time that a new connection to a target of a failure domain took.
func (c *ConnectTimes) Record(now structs.Instant, domain structs.DomainID, took time.Duration) {
	if took <= 0 {
		return
	}
	if c.domains == nil {
		c.domains = make(map[structs.DomainID]*connectTime)
	}
	known := c.domains[domain]
	if known == nil {
		c.domains[domain] = &connectTime{estimate: took, shortest: took, windowStart: now}
		return
	}
	if now.Sub(known.windowStart) >= connectWindow {
		if rise := known.shortest - known.estimate; rise > 0 {
			known.estimate += time.Duration(connectRiseWeight * float64(rise))
		}
		known.shortest, known.windowStart = took, now
	}
	known.shortest = min(known.shortest, took)
	known.estimate = min(known.estimate, took)
}

// ByDomain returns the estimated round trip by failure domain.
func (c *ConnectTimes) ByDomain() map[structs.DomainID]time.Duration {
	times := make(map[structs.DomainID]time.Duration, len(c.domains))
	for domain, known := range c.domains {
		times[domain] = known.estimate
	}
	return times
}

// DomainDelay returns the mean additional round trip to the other failure domains that are
// listed, 0 while none is known. own is this VM's failure domain.
func (c *ConnectTimes) DomainDelay(own structs.DomainID, others []structs.DomainID) time.Duration {
	base := time.Duration(0)
	if known := c.domains[own]; known != nil {
		base = known.estimate
	}
	sum, count := time.Duration(0), time.Duration(0)
	for _, domain := range others {
		if known := c.domains[domain]; known != nil && domain != own {
			sum += max(known.estimate-base, 0)
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / count
}

// DomainsInRegion returns the failure domains of this region that have targets.
func (s *TargetSet) DomainsInRegion() []structs.DomainID {
	seen := make(map[structs.DomainID]bool)
	var domains []structs.DomainID
	for _, st := range s.targets {
		if st.Region == s.region && !seen[st.Domain] {
			seen[st.Domain] = true
			domains = append(domains, st.Domain)
		}
	}
	return domains
}
