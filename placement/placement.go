// Package placement chooses the target of a request among the targets of a service.
//
// It handles targets that are slow, refuse connections, are full, have named a rate or are
// in another region, and prefers the target that has a conversation's prompt in its cache. It is a
// deterministic state machine without clock, goroutine or I/O.
package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
)

// Target is a back end in the platform's list.
type Target struct {
	ID      structs.TargetID
	Service structs.ServiceID
	Address string // host:port
	Domain  structs.DomainID
	Region  string
	Slots   int
	// IsDraining means that the target gets no new requests: its entry or one of its
	// responses says that it leaves.
	IsDraining bool
	// Started is the start time of the target's process in Unix milliseconds. It tells a
	// restarted target from an earlier one with the same ID.
	Started int64
	// ColdFor is the time for which the target stays cold, from when its entry was read.
	ColdFor time.Duration
}

// Costs of a choice, in milliseconds of a caller's time.
const (
	// domainCost is the least cost of another failure domain: a round trip, and its price.
	domainCost = 1.0
	// regionCost covers two round trips between regions and the price of the traffic.
	regionCost = 70.0
	// cacheCost is the time to process a conversation's prompt again at a target that
	// does not have it cached, and the price of that.
	cacheCost = 35.0
	// loadCost is the delay that one more running request causes to the others in its
	// batch.
	loadCost = 1.0
	// queueCost is added for each request beyond a target's slots.
	queueCost = 60.0
	// slowCost scales the excess of a target's latency over the lowest latency in the
	// service.
	slowCost = 60.0
	// fullCost is added while a target reports that it is full.
	fullCost = 200.0
)

const (
	minBackoff = 250 * time.Millisecond // first backoff after a failed connection
	maxBackoff = 4 * time.Second
	// fullTTL is how long a target counts as full after it refused a request.
	fullTTL = 150 * time.Millisecond
	// latencyWeight is the weight of the newest response in the average latency.
	latencyWeight = 0.15
	// latencyTTL is how long an average latency counts after the last response. Then a
	// slow target is tried again.
	latencyTTL = 3 * time.Second
	loadTTL    = 2 * time.Second // of a peer's load report
)

type targetState struct {
	Target
	isListedDraining bool // IsDraining as listed, without what the target's responses say
	running          int
	remote           map[structs.VMID]remoteLoad
	connectFailures  int
	backoffUntil     structs.Instant
	fullUntil        structs.Instant
	latency          float64 // weighted average in ms; 0 while unknown
	latencyVariance  float64 // in ms squared
	measuredAt       structs.Instant
	outcomes         outcomeHistory
	hash             uint64 // of the ID
}

type remoteLoad struct {
	running    int
	reportedAt structs.Instant
}

// TargetSet holds the targets of all services, with their load and health.
type TargetSet struct {
	// Rates holds the rates that targets have named.
	Rates *targetrate.Limiter

	domain     structs.DomainID
	region     string
	departures departures
	evacuated  map[structs.DomainID]bool
	permitted  permittedTargets
	targets    map[structs.TargetID]*targetState
	services   map[structs.ServiceID]map[structs.TargetID]*targetState
}

// New returns an empty set for a VM in the given failure domain and region.
func New(domain structs.DomainID, region string) *TargetSet {
	return &TargetSet{
		Rates:    targetrate.New(),
		domain:   domain,
		region:   region,
		targets:  make(map[structs.TargetID]*targetState),
		services: make(map[structs.ServiceID]map[structs.TargetID]*targetState),
	}
}

// Put adds or updates a target. The history of a target that has restarted is dropped.
func (s *TargetSet) Put(t Target) {
	s.permitted = nil
	old := s.targets[t.ID]
	if old != nil && (old.Started != t.Started || old.Address != t.Address || old.Service != t.Service) {
		s.Remove(t.ID)
		old = nil
	}
	isListedDraining := t.IsDraining
	t.IsDraining = t.IsDraining || s.hasDeparted(t.ID, t.Incarnation())
	if old != nil {
		old.Target, old.isListedDraining = t, isListedDraining
		return
	}
	st := &targetState{Target: t, isListedDraining: isListedDraining, remote: make(map[structs.VMID]remoteLoad), hash: xxhash.Sum64String(string(t.ID))}
	s.targets[t.ID] = st
	group := s.services[t.Service]
	if group == nil {
		group = make(map[structs.TargetID]*targetState)
		s.services[t.Service] = group
	}
	group[t.ID] = st
}

// Remove removes a target.
func (s *TargetSet) Remove(id structs.TargetID) {
	if st := s.targets[id]; st != nil {
		s.permitted = nil
		delete(s.targets, id)
		delete(s.services[st.Service], id)
		s.Rates.Remove(id)
	}
}

// Get returns the target with the given ID.
func (s *TargetSet) Get(id structs.TargetID) (Target, bool) {
	if st := s.targets[id]; st != nil {
		return st.Target, true
	}
	return Target{}, false
}

// IDs returns the IDs of all targets.
func (s *TargetSet) IDs() []structs.TargetID {
	ids := make([]structs.TargetID, 0, len(s.targets))
	for id := range s.targets {
		ids = append(ids, id)
	}
	return ids
}

// Query describes the request that needs a target.
type Query struct {
	Service structs.ServiceID
	// CacheTarget is the target that has the conversation's prompt cached, if any.
	CacheTarget structs.TargetID
	// Exclude lists the targets that the request was already sent to.
	Exclude []structs.TargetID
	// Domain is the failure domain of the request if it differs from that of the set.
	Domain structs.DomainID
	// RateFraction is the part of a target's named rate that may be used, 0 for the share
	// of a placer, which follows demand.
	RateFraction float64
	// Group is the VM whose connections count, empty if they don't. Connected holds the
	// targets to which it has an idle connection.
	Group     structs.VMID
	Connected map[structs.TargetID]bool
	// DomainDelay is the additional round trip to another failure domain of the region, as
	// measured by the requesting VM; 0 while it is not known.
	DomainDelay time.Duration
	// Regions are the regions whose targets may be used, nil for all.
	Regions []string
	// Evacuated are failure domains whose targets may not be used, in addition to those of
	// SetEvacuated.
	Evacuated []structs.DomainID
}

// Choice is the chosen target.
type Choice struct {
	Target      Target
	HasFreeSlot bool
}

// Choose returns the target with the lowest cost; targets with a free slot come first. It
// reports false if the service has no usable target.
func (s *TargetSet) Choose(now structs.Instant, q Query) (Choice, bool) {
	group := s.permittedGroup(q)
	lowest := referenceLatency(now, q, group)
	ejected := ejectedTargets(now, group)
	preferred := s.newGroup(q, group)
	var best, backingOff, leastFailing *targetState
	bestCost, soonest := math.Inf(1), structs.Instant(math.MaxInt64)
	bestHasSlot := false
	for _, st := range group {
		if st.IsDraining || contains(q.Exclude, st.ID) {
			continue
		}
		if ejected[st.ID] {
			if leastFailing == nil || st.failsLessThan(now, leastFailing) {
				leastFailing = st
			}
			continue
		}
		if now < st.backoffUntil {
			if st.backoffUntil < soonest {
				backingOff, soonest = st, st.backoffUntil
			}
			continue
		}
		hasFreeSlot := st.load(now) < st.Slots && now >= st.fullUntil && s.hasRateToken(now, st.ID, q)
		if bestHasSlot && !hasFreeSlot {
			continue
		}
		cost := s.cost(now, st, q, lowest, &preferred)
		better := cost < bestCost || cost == bestCost && st.ID < best.ID
		if better || hasFreeSlot && !bestHasSlot {
			best, bestCost, bestHasSlot = st, cost, hasFreeSlot
		}
	}
	if best == nil {
		// All targets are backing off or ejected. A service must not become unavailable for
		// this reason, nor a request that the others have failed already.
		best = backingOff
	}
	if best == nil {
		best = leastFailing
	}
	if best == nil {
		return Choice{}, false
	}
	isRetry := (best == backingOff || best == leastFailing && best.load(now) < best.Slots) && s.hasRateToken(now, best.ID, q)
	return Choice{Target: best.Target, HasFreeSlot: bestHasSlot || isRetry}, true
}

// failsLessThan reports whether a target fails a smaller part of its requests than another.
func (st *targetState) failsLessThan(now structs.Instant, other *targetState) bool {
	rate, otherRate := st.outcomes.failureRate(now), other.outcomes.failureRate(now)
	return rate < otherRate || rate == otherRate && st.ID < other.ID
}

func (s *TargetSet) cost(now structs.Instant, st *targetState, q Query, lowest float64, preferred *group) float64 {
	cost := s.distanceCost(st, q)
	cost += s.connectCost(st, q, preferred, cost)
	if q.CacheTarget != "" && q.CacheTarget != st.ID {
		cost += cacheCost
	}
	load := st.load(now)
	cost += loadCost * float64(load)
	if excess := load + 1 - st.Slots; excess > 0 {
		cost += queueCost * float64(excess)
	}
	if now < st.fullUntil {
		cost += fullCost
	}
	if latency := st.latencyFor(now, q); latency > 1.5*lowest && lowest > 0 {
		cost += slowCost * (latency/lowest - 1)
	}
	rate := st.outcomes.failureRate(now)
	return cost + failureCost*rate*rate
}

func requestDomain(requested, own structs.DomainID) structs.DomainID {
	if requested != "" {
		return requested
	}
	return own
}

// lowestLatency returns the lowest known latency among a service's targets, 0 if none is
// known.
func lowestLatency(now structs.Instant, group map[structs.TargetID]*targetState) float64 {
	lowest := math.Inf(1)
	for _, st := range group {
		if latency := st.currentLatency(now); latency > 0 {
			lowest = math.Min(lowest, latency)
		}
	}
	if math.IsInf(lowest, 1) {
		return 0
	}
	return lowest
}

func (st *targetState) currentLatency(now structs.Instant) float64 {
	if now.Sub(st.measuredAt) > latencyTTL {
		return 0
	}
	return st.latency
}

func (st *targetState) load(now structs.Instant) int {
	load := st.running
	for _, r := range st.remote {
		if now.Sub(r.reportedAt) < loadTTL {
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

// EndRequest undoes the count of BeginRequest.
func (s *TargetSet) EndRequest(id structs.TargetID) {
	if st := s.targets[id]; st != nil && st.running > 0 {
		st.running--
	}
}

// RecordAnswer records that a target's response began after the given latency.
func (s *TargetSet) RecordAnswer(now structs.Instant, id structs.TargetID, latency time.Duration) {
	st := s.targets[id]
	if st == nil {
		return
	}
	st.connectFailures = 0
	st.backoffUntil = 0
	st.outcomes.decay(now)
	st.outcomes.successes++
	ms := float64(latency) / float64(time.Millisecond)
	if st.currentLatency(now) == 0 {
		st.latency, st.latencyVariance = ms, 0
	} else {
		st.recordSpread(ms)
		st.latency += latencyWeight * (ms - st.latency)
	}
	st.measuredAt = now
}

// RecordUnreachable records that no connection to a target could be made. The target is
// not used during a backoff that doubles with each failure.
func (s *TargetSet) RecordUnreachable(now structs.Instant, id structs.TargetID) {
	st := s.targets[id]
	if st == nil {
		return
	}
	st.connectFailures++
	backoff := minBackoff << min(st.connectFailures-1, 4)
	st.backoffUntil = now.Add(min(backoff, maxBackoff))
}

// IsBackingOff reports whether a target is not used because connections to it failed.
func (s *TargetSet) IsBackingOff(now structs.Instant, id structs.TargetID) bool {
	st := s.targets[id]
	return st != nil && now < st.backoffUntil
}

// RecordFailure records that a target failed a request: its response was incomplete,
// never arrived, or was an error.
func (s *TargetSet) RecordFailure(now structs.Instant, id structs.TargetID) {
	if st := s.targets[id]; st != nil {
		st.outcomes.decay(now)
		st.outcomes.failures++
	}
}

// RecordFull records that a target refused a request because it has no capacity.
func (s *TargetSet) RecordFull(now structs.Instant, id structs.TargetID) {
	if st := s.targets[id]; st != nil {
		st.fullUntil = now.Add(fullTTL)
	}
}

// LoadReport returns the number of this VM's running requests by target, to be reported
// to the peers.
func (s *TargetSet) LoadReport() map[structs.TargetID]int {
	loads := make(map[structs.TargetID]int)
	for id, st := range s.targets {
		if st.running > 0 {
			loads[id] = st.running
		}
	}
	return loads
}

// Report stores the number of a peer's running requests by target.
func (s *TargetSet) Report(now structs.Instant, vm structs.VMID, loads map[structs.TargetID]int) {
	for id, st := range s.targets {
		running := loads[id]
		if running == 0 {
			delete(st.remote, vm)
			continue
		}
		st.remote[vm] = remoteLoad{running: running, reportedAt: now}
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
