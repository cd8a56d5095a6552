// Package placement chooses the target of a request among those of a service.
//
// It answers loads in which some targets are slow, refuse connections, are full
// or lie in another region, while a conversation's prompt is cached on one of
// them. It is a state machine without clock, goroutine or I/O.
package placement

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Target is one back end as the platform lists it.
type Target struct {
	ID      structs.TargetID
	Service structs.ServiceID
	Address string // host:port
	Domain  structs.DomainID
	Region  string
	Slots   int
	// IsDraining targets get no new requests.
	IsDraining bool
	// Started is the start of the target's process in Unix milliseconds; a
	// target that restarted under its ID has a new one.
	Started int64
}

// Costs of a choice, in milliseconds of a caller's time.
const (
	domainCost = 1.0 // a round trip to another failure domain, and its price
	// regionCost covers two round trips between regions and the price of
	// the bytes.
	regionCost = 70.0
	// cacheCost is what reading a conversation's prompt again takes at a
	// target that has not got it, with the price of that.
	cacheCost = 35.0
	// loadCost is what one more running request costs the others in a batch.
	loadCost = 1.0
	// queueCost is added for each request beyond a target's slots.
	queueCost = 60.0
	// slowCost scales the excess of a target's latency over the service's.
	slowCost = 60.0
	// fullCost is added while a target says that it is full.
	fullCost = 200.0
)

const (
	minRest = 250 * time.Millisecond // first pause after a failed connection
	maxRest = 4 * time.Second
	// fullRest is how long a target's word that it is full counts.
	fullRest = 150 * time.Millisecond
	// latencySpan is the weight of the newest answer in the averages.
	latencySpan = 0.15
	// forgiveAfter is how long a slow target goes unasked before its average
	// is dropped and it is tried again.
	forgiveAfter = 3 * time.Second
	loadTTL      = 2 * time.Second // a peer's load report
)

type state struct {
	Target
	running  int
	remote   map[structs.VMID]remoteLoad
	failures int
	restTill structs.Instant
	fullTill structs.Instant
	latency  float64 // ms, weighted average; 0 while unknown
	measured structs.Instant
	outcomes outcomes
}

type remoteLoad struct {
	running  int
	reported structs.Instant
}

// TargetSet holds the targets and what is known of each.
type TargetSet struct {
	domain   structs.DomainID
	region   string
	targets  map[structs.TargetID]*state
	services map[structs.ServiceID]map[structs.TargetID]*state
}

// New makes an empty set as seen from a failure domain.
func New(domain structs.DomainID, region string) *TargetSet {
	return &TargetSet{
		domain:   domain,
		region:   region,
		targets:  make(map[structs.TargetID]*state),
		services: make(map[structs.ServiceID]map[structs.TargetID]*state),
	}
}

// Put adds or changes a target. A restarted one starts without history.
func (s *TargetSet) Put(t Target) {
	old := s.targets[t.ID]
	if old != nil && (old.Started != t.Started || old.Address != t.Address || old.Service != t.Service) {
		s.Remove(t.ID)
		old = nil
	}
	if old != nil {
		old.Target = t
		return
	}
	st := &state{Target: t, remote: make(map[structs.VMID]remoteLoad)}
	s.targets[t.ID] = st
	group := s.services[t.Service]
	if group == nil {
		group = make(map[structs.TargetID]*state)
		s.services[t.Service] = group
	}
	group[t.ID] = st
}

// Remove drops a target.
func (s *TargetSet) Remove(id structs.TargetID) {
	if st := s.targets[id]; st != nil {
		delete(s.targets, id)
		delete(s.services[st.Service], id)
	}
}

// Get returns a target.
func (s *TargetSet) Get(id structs.TargetID) (Target, bool) {
	if st := s.targets[id]; st != nil {
		return st.Target, true
	}
	return Target{}, false
}

// IDs returns all targets.
func (s *TargetSet) IDs() []structs.TargetID {
	ids := make([]structs.TargetID, 0, len(s.targets))
	for id := range s.targets {
		ids = append(ids, id)
	}
	return ids
}

// Query asks for a target.
type Query struct {
	Service structs.ServiceID
	// CacheTarget is the target that holds the conversation's prompt, if any.
	CacheTarget structs.TargetID
	// Exclude lists targets that the request was sent to already.
	Exclude []structs.TargetID
	// Domain is where the request is, if not in the set's own domain.
	Domain structs.DomainID
}

// Choice is a target and whether it has a free slot.
type Choice struct {
	Target      Target
	HasFreeSlot bool
}

// Choose returns the target of least cost, one with a free slot if there is any.
// It reports false when the service has no target that may be used.
func (s *TargetSet) Choose(now structs.Instant, q Query) (Choice, bool) {
	group := s.services[q.Service]
	typical := typicalLatency(now, group)
	avoid := shunned(now, group)
	var best, resting *state
	bestCost, soonest := math.Inf(1), structs.Instant(math.MaxInt64)
	bestFree := false
	for _, st := range group {
		if st.IsDraining || avoid[st.ID] || contains(q.Exclude, st.ID) {
			continue
		}
		if now < st.restTill {
			if st.restTill < soonest {
				resting, soonest = st, st.restTill
			}
			continue
		}
		free := st.load(now) < st.Slots && now >= st.fullTill
		if bestFree && !free {
			continue
		}
		cost := s.cost(now, st, q, typical)
		better := cost < bestCost || cost == bestCost && st.ID < best.ID
		if better || free && !bestFree {
			best, bestCost, bestFree = st, cost, free
		}
	}
	if best == nil {
		// All rest: the whole service is never given up.
		best = resting
	}
	if best == nil {
		return Choice{}, false
	}
	return Choice{Target: best.Target, HasFreeSlot: bestFree || best == resting}, true
}

func (s *TargetSet) cost(now structs.Instant, st *state, q Query, typical float64) float64 {
	cost := 0.0
	switch {
	case st.Region != s.region:
		cost += regionCost
	case st.Domain != domainOf(q.Domain, s.domain):
		cost += domainCost
	}
	if q.CacheTarget != "" && q.CacheTarget != st.ID {
		cost += cacheCost
	}
	load := st.load(now)
	cost += loadCost * float64(load)
	if over := load + 1 - st.Slots; over > 0 {
		cost += queueCost * float64(over)
	}
	if now < st.fullTill {
		cost += fullCost
	}
	if latency := st.currentLatency(now); latency > 1.5*typical && typical > 0 {
		cost += slowCost * (latency/typical - 1)
	}
	failing := st.outcomes.failing(now)
	return cost + failCost*failing*failing
}

func domainOf(asked, own structs.DomainID) structs.DomainID {
	if asked != "" {
		return asked
	}
	return own
}

// typicalLatency is the least latency of a service's targets.
func typicalLatency(now structs.Instant, group map[structs.TargetID]*state) float64 {
	low := math.Inf(1)
	for _, st := range group {
		if l := st.currentLatency(now); l > 0 {
			low = math.Min(low, l)
		}
	}
	if math.IsInf(low, 1) {
		return 0
	}
	return low
}

func (st *state) currentLatency(now structs.Instant) float64 {
	if now.Sub(st.measured) > forgiveAfter {
		return 0
	}
	return st.latency
}

func (st *state) load(now structs.Instant) int {
	load := st.running
	for _, r := range st.remote {
		if now.Sub(r.reported) < loadTTL {
			load += r.running
		}
	}
	return load
}

// BeginRequest counts a request that is sent to a target.
func (s *TargetSet) BeginRequest(id structs.TargetID) {
	if st := s.targets[id]; st != nil {
		st.running++
	}
}

// EndRequest uncounts a request.
func (s *TargetSet) EndRequest(id structs.TargetID) {
	if st := s.targets[id]; st != nil && st.running > 0 {
		st.running--
	}
}

// RecordAnswer records a target's answer after the time it took to begin.
func (s *TargetSet) RecordAnswer(now structs.Instant, id structs.TargetID, latency time.Duration) {
	st := s.targets[id]
	if st == nil {
		return
	}
	st.failures = 0
	st.restTill = 0
	st.outcomes.decay(now)
	st.outcomes.good++
	ms := float64(latency) / float64(time.Millisecond)
	if st.currentLatency(now) == 0 {
		st.latency = ms
	} else {
		st.latency += latencySpan * (ms - st.latency)
	}
	st.measured = now
}

// RecordUnreachable records that no connection to a target could be made. The target
// rests, each time for twice as long.
func (s *TargetSet) RecordUnreachable(now structs.Instant, id structs.TargetID) {
	st := s.targets[id]
	if st == nil {
		return
	}
	st.failures++
	rest := minRest << min(st.failures-1, 4)
	st.restTill = now.Add(min(rest, maxRest))
}

// RecordFailure records that a target failed a request: its answer broke off, never
// came, or was an error.
func (s *TargetSet) RecordFailure(now structs.Instant, id structs.TargetID) {
	if st := s.targets[id]; st != nil {
		st.outcomes.decay(now)
		st.outcomes.bad++
	}
}

// RecordFull records that a target refused a request for lack of room.
func (s *TargetSet) RecordFull(now structs.Instant, id structs.TargetID) {
	if st := s.targets[id]; st != nil {
		st.fullTill = now.Add(fullRest)
	}
}

// LoadReport returns this VM's running requests by target, to be reported to peers.
func (s *TargetSet) LoadReport() map[structs.TargetID]int {
	loads := make(map[structs.TargetID]int)
	for id, st := range s.targets {
		if st.running > 0 {
			loads[id] = st.running
		}
	}
	return loads
}

// Report takes a peer's running requests.
func (s *TargetSet) Report(now structs.Instant, vm structs.VMID, loads map[structs.TargetID]int) {
	for id, st := range s.targets {
		running := loads[id]
		if running == 0 {
			delete(st.remote, vm)
			continue
		}
		st.remote[vm] = remoteLoad{running: running, reported: now}
	}
}

func contains(ids []structs.TargetID, id structs.TargetID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}
