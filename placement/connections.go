package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
)

// This file makes a VM use few targets where it sends few requests to each: a request goes
// to a target to which its VM has an idle connection, and a new connection goes to one of a
// group of targets that a hash assigns to the VM. It applies to queries that name a group.
// Free slots come first, so that no request waits for a connection while a slot is free.

// Costs of a new connection, in milliseconds of a caller's time, beyond its round trip.
const (
	// connectSetupCost covers the target's setup and the slot that a new connection may
	// hold for a moment. It is more than the load of a target that has a free slot
	// (loadCost times 5 with 6 slots): otherwise the least loaded target wins,
	// which is connected only by chance.
	connectSetupCost = 8.0
	// outsideGroupCost makes a new connection go to the group while it has a free slot. It
	// is below the delay between failure domains that are far apart.
	outsideGroupCost = 4.0
)

const (
	// minGroupTargets and groupDivisor set the size of a VM's group: a third of the targets
	// of its failure domain, and at least 4, so that some may fail or be full.
	minGroupTargets = 4
	groupDivisor    = 3
)

// group is the set of targets to which a VM opens new connections.
type group struct {
	vm        uint64 // hash of the VM, 0 for no group
	domain    structs.DomainID
	region    string
	threshold uint64 // the lowest rank in the group
}

// newGroup returns the group of a query's VM among the targets of a service, or an empty
// one. It holds the targets of the VM's failure domain with the highest rendezvous hashes,
// then others of the region: a target that comes or goes changes one place of a group.
func (s *TargetSet) newGroup(q Query, targets map[structs.TargetID]*targetState) group {
	if q.Group == "" {
		return group{}
	}
	g := group{vm: xxhash.Sum64String(string(q.Group)) | 1, domain: requestDomain(q.Domain, s.domain), region: s.region}
	ranks := make([]uint64, 0, len(targets))
	near := 0
	for _, st := range targets {
		if st.IsDraining || st.Region != s.region {
			continue
		}
		if st.Domain == g.domain {
			near++
		}
		ranks = append(ranks, g.rank(st))
	}
	size := max((near+groupDivisor-1)/groupDivisor, minGroupTargets)
	if size < len(ranks) {
		slices.Sort(ranks)
		g.threshold = ranks[len(ranks)-size]
	}
	return g
}

// rank returns the rendezvous hash of the VM and a target. The targets of the VM's failure
// domain rank above all others.
func (g *group) rank(st *targetState) uint64 {
	rank := mix(g.vm^st.hash) >> 1
	if st.Domain == g.domain {
		rank |= 1 << 63
	}
	return rank
}

func (g *group) contains(st *targetState) bool {
	return st.Region == g.region && g.rank(st) >= g.threshold
}

// mix is the finalizer of SplitMix64: each bit of the result depends on all bits of x.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// connectCost returns the cost of a new connection to a target, 0 if the query's VM has an
// idle one or names no group. distance is the cost of the target's region or failure domain.
func (s *TargetSet) connectCost(st *targetState, q Query, g *group, distance float64) float64 {
	if g.vm == 0 || q.Connected[st.ID] {
		return 0
	}
	if st.Region != s.region {
		distance /= 2 // regionCost is two round trips
	}
	cost := connectSetupCost + distance
	if st.ID != q.CacheTarget && !g.contains(st) { // a conversation comes back
		cost += outsideGroupCost
	}
	return cost
}

// distanceCost returns the cost of the region and failure domain of a target.
func (s *TargetSet) distanceCost(st *targetState, q Query) float64 {
	switch {
	case st.Region != s.region:
		return regionCost
	case st.Domain != requestDomain(q.Domain, s.domain):
		delay := float64(q.DomainDelay) / float64(time.Millisecond)
		return min(max(delay, domainCost), regionCost)
	}
	return 0
}

// TargetsInReach returns the number of targets of a service that requests of this region
// usually go to.
func (s *TargetSet) TargetsInReach(service structs.ServiceID) int {
	count := 0
	for _, st := range s.services[service] {
		if st.Region == s.region && !st.IsDraining {
			count++
		}
	}
	return count
}

// Connected returns the targets of a service whose address isConnected accepts.
func (s *TargetSet) Connected(service structs.ServiceID, isConnected func(address string) bool) map[structs.TargetID]bool {
	connected := make(map[structs.TargetID]bool)
	for id, st := range s.services[service] {
		if isConnected(st.Address) {
			connected[id] = true
		}
	}
	return connected
}

// latencyErrorFactor turns the spread of a target's latencies into the error of their
// weighted average.
var latencyErrorFactor = math.Sqrt(latencyWeight / (2 - latencyWeight))

// referenceLatency returns the latency by which a query's targets are judged slow.
func referenceLatency(now structs.Instant, q Query, targets map[structs.TargetID]*targetState) float64 {
	if q.Group == "" {
		return lowestLatency(now, targets)
	}
	return quartileLatency(now, targets)
}

// latencyFor returns the latency that is compared with the reference.
func (st *targetState) latencyFor(now structs.Instant, q Query) float64 {
	if q.Group == "" {
		return st.currentLatency(now)
	}
	return st.leastLatency(now)
}

// quartileLatency returns the lower quartile of the known latencies of a service's targets,
// 0 if none is known. It replaces the lowest latency where connections count: the lowest of
// many averages is low by chance, so that others of the same speed count as slow, and
// requests leave the targets to which their VM is connected.
func quartileLatency(now structs.Instant, targets map[structs.TargetID]*targetState) float64 {
	known := make([]float64, 0, len(targets))
	for _, st := range targets {
		if latency := st.currentLatency(now); latency > 0 {
			known = append(known, latency)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[(len(known)-1)/4]
}

// recordSpread updates the variance of a target's latencies before ms is added to their
// average.
func (st *targetState) recordSpread(ms float64) {
	excess := ms - st.latency
	st.latencyVariance = (1 - latencyWeight) * (st.latencyVariance + latencyWeight*excess*excess)
}

// leastLatency returns the average latency less its error, 0 while unknown.
func (st *targetState) leastLatency(now structs.Instant) float64 {
	return max(st.currentLatency(now)-latencyErrorFactor*math.Sqrt(st.latencyVariance), 0)
}
