// Package targetrate keeps the VMs of a fleet together within the request rate that a
// target in need names in its responses, and within the rate of a target that is cold.
//
// A target may name the number of requests per second that it takes from all VMs together,
// for as long as its responses name it. The VMs that choose targets for others, the
// placers, divide that rate among themselves by demand; each keeps to its share with a
// token bucket. It answers targets that slow down under a load that other targets could
// take. A target that has just started takes a rate that its service's configuration states,
// until its cold period ends; if both rates apply, the lower one binds. The package is a deterministic state machine without clock, goroutine or I/O.
package targetrate

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// evenPart is the part of a rate that is divided evenly among the placers, so that a
	// placer whose demand begins has tokens before the others know of it.
	evenPart = 0.2
	// takenTau is the time constant of the measured demand.
	takenTau = 2 * time.Second
	// burstTime is the time for which an unused share is saved up, at least to minBurst
	// tokens by a placer and to one by another VM. With a single token, the share is lost
	// while that token waits for a request.
	burstTime = 250 * time.Millisecond
	minBurst  = 2
	// minRate is the lowest rate that is used. A target that gets no requests could not
	// say that it takes more again.
	minRate = 0.2
	// peerFreshTime is how long a placer's reported demand counts in full, peerTTL how
	// long it counts at all.
	peerFreshTime = 1500 * time.Millisecond
	peerTTL       = 4 * time.Second
	// changeTTL is how long a change is reported to the peers, and how long after its last
	// response a target that names no rate any more is remembered.
	changeTTL = 5 * time.Second
	// minReportedDemand is the demand in requests per second below which it is not
	// reported.
	minReportedDemand = 0.05
)

// Observation is what the newest known response of a target says about its rate.
type Observation struct {
	// Rate is the named rate in requests per second, negative if the target names none.
	Rate float32 `msgpack:"r"`
	// Age is the time since the response.
	Age time.Duration `msgpack:"a"`
	// ColdFor is the time for which the target stays cold, ColdRate the requests per second
	// that it takes from all VMs meanwhile. ColdAge is the time since its entry was read
	// that says so, or that it is not cold any more; 0 if nothing is known of that. VMs of
	// releases before these fields ignore them.
	ColdFor  time.Duration `msgpack:"c,omitempty"`
	ColdRate float32       `msgpack:"k,omitempty"`
	ColdAge  time.Duration `msgpack:"g,omitempty"`
}

// None is the rate of a target that names none.
const None = -1

// Report is what a VM tells its peers of one target.
type Report struct {
	Observation Observation `msgpack:"o"`
	// Taken is the number of requests per second that the VM places at the target.
	Taken float32 `msgpack:"t,omitempty"`
}

// Limiter holds the named rates of targets and this VM's shares of them.
type Limiter struct {
	// ColdBounds bounds the requests that cold targets get in a second.
	ColdBounds ColdBounds
	// Phase, from 0 to 1, differs between the VMs. It spreads over time the requests that
	// VMs with small shares send to cold targets.
	Phase float64

	targets map[structs.TargetID]*targetState
	reach   reachState
}

type targetState struct {
	rate       float64 // requests per second of all VMs, None if the target names none
	observedAt structs.Instant
	changedAt  structs.Instant // by a response to this VM, 0 for never
	tokens     float64
	refilledAt structs.Instant
	lastShare  float64 // holds since the last refill
	maxTokens  float64
	taken      float64 // weighted average of this VM's requests per second
	decayedAt  structs.Instant
	peers      map[structs.VMID]peerDemand
	cold       *coldState // nil if the target was not cold recently
}

type peerDemand struct {
	taken      float64
	reportedAt structs.Instant
}

// New returns a limiter that knows no rates.
func New() *Limiter {
	return &Limiter{
		ColdBounds: ColdBounds{Overage: DefaultColdOverage, Slack: DefaultColdSlack},
		targets:    make(map[structs.TargetID]*targetState),
	}
}

// Observe records what a response to this VM says. It reports whether the target begins or
// ceases to name a rate. A change is reported to the peers for changeTTL.
func (l *Limiter) Observe(now structs.Instant, id structs.TargetID, o Observation) bool {
	before, _ := l.Rate(id)
	isSwitch := l.Learn(now, id, o)
	if after, _ := l.Rate(id); isSwitch || after != before {
		l.targets[id].changedAt = now
	}
	return isSwitch
}

// Learn records an observation that another VM reports, which is not passed on. An
// observation that is older than the known one is ignored.
func (l *Limiter) Learn(now structs.Instant, id structs.TargetID, o Observation) bool {
	if o.ColdFor > 0 || o.ColdAge > 0 {
		l.learnCold(now, id, o, "peer")
	}
	st := l.targets[id]
	if st == nil && o.Rate < 0 {
		return false // the usual case
	}
	at := now.Add(-o.Age)
	if st == nil {
		st = &targetState{rate: None, observedAt: at, refilledAt: now, decayedAt: now, peers: make(map[structs.VMID]peerDemand)}
		l.targets[id] = st
	}
	if at < st.observedAt {
		return false
	}
	st.observedAt = at
	rate := float64(None)
	if o.Rate >= 0 {
		rate = math.Max(float64(o.Rate), minRate)
	}
	if rate == st.rate {
		return false
	}
	st.refill(now, st.lastShare)
	isSwitch := (rate < 0) != (st.rate < 0)
	st.rate = rate
	return isSwitch
}

// Remove forgets a target.
func (l *Limiter) Remove(id structs.TargetID) { delete(l.targets, id) }

// Get returns the newest observation of a target. It reports false if neither a response
// that named a rate nor a cold period is known.
func (l *Limiter) Get(now structs.Instant, id structs.TargetID) (Observation, bool) {
	st := l.targets[id]
	if st == nil {
		return Observation{Rate: None}, false
	}
	o := Observation{Rate: float32(st.rate), Age: now.Sub(st.observedAt)}
	st.coldObservation(now, &o)
	return o, true
}

// Rate returns a target's named rate in requests per second, and false if it names none.
func (l *Limiter) Rate(id structs.TargetID) (float64, bool) {
	st := l.targets[id]
	if st == nil || st.rate < 0 {
		return 0, false
	}
	return st.rate, true
}

// Count returns the number of targets that name a rate.
func (l *Limiter) Count() int {
	count := 0
	for _, st := range l.targets {
		if st.rate >= 0 {
			count++
		}
	}
	return count
}

// Share returns the part of a target's rate that this VM may use, in requests per second.
// fraction is the fixed part of a VM that is no placer, 0 for a placer. It returns false if
// the target names no rate and is not cold.
func (l *Limiter) Share(now structs.Instant, id structs.TargetID, fraction float64) (float64, bool) {
	st := l.targets[id]
	if !st.isLimited(now) {
		return 0, false
	}
	share := math.Inf(1)
	if st.rate >= 0 {
		share = st.share(now, fraction)
	}
	if st.cold.isCold(now) {
		share = math.Min(share, l.coldShare(now, st, fraction))
	}
	return share, true
}

// isLimited reports whether the target names a rate or is cold.
func (st *targetState) isLimited(now structs.Instant) bool {
	return st != nil && (st.rate >= 0 || st.cold.isCold(now))
}

// Tokens returns the number of requests that may be sent to a target now, +Inf if it names
// no rate and is not cold.
func (l *Limiter) Tokens(now structs.Instant, id structs.TargetID, fraction float64) float64 {
	st := l.targets[id]
	if !st.isLimited(now) {
		return math.Inf(1)
	}
	tokens := math.Inf(1)
	if st.rate >= 0 {
		tokens = st.namedTokens(now, fraction)
	}
	if st.cold.isCold(now) {
		tokens = math.Min(tokens, l.coldTokens(now, st, fraction))
	}
	return tokens
}

func (st *targetState) namedTokens(now structs.Instant, fraction float64) float64 {
	st.maxTokens = minBurst
	if fraction > 0 {
		st.maxTokens = 1
	}
	st.refill(now, st.share(now, fraction))
	return st.tokens
}

// Take counts a request that is sent to a target.
func (l *Limiter) Take(now structs.Instant, id structs.TargetID) {
	st := l.targets[id]
	if !st.isLimited(now) {
		return
	}
	if st.rate >= 0 {
		st.tokens--
	}
	if st.cold.isCold(now) {
		st.cold.take()
	}
	st.decay(now)
	st.taken += 1 / takenTau.Seconds()
}

// Report returns the targets at which this VM places requests and those whose rate has
// changed recently.
func (l *Limiter) Report(now structs.Instant) map[structs.TargetID]Report {
	var reports map[structs.TargetID]Report
	for id, st := range l.targets {
		st.decay(now)
		isChanged := st.changedAt != 0 && now.Sub(st.changedAt) < changeTTL
		isRecentlyCold := st.cold != nil && now.Sub(st.cold.until) < coldMemory
		if st.rate < 0 && now.Sub(st.observedAt) >= changeTTL && !isRecentlyCold {
			delete(l.targets, id)
			continue
		}
		if !isChanged && st.taken < minReportedDemand {
			continue
		}
		if reports == nil {
			reports = make(map[structs.TargetID]Report)
		}
		o, _ := l.Get(now, id)
		reports[id] = Report{Observation: o, Taken: float32(st.taken)}
	}
	return reports
}

// ApplyReport records a peer's report and returns the targets that begin or cease to name
// a rate by it.
func (l *Limiter) ApplyReport(now structs.Instant, vm structs.VMID, reports map[structs.TargetID]Report) []structs.TargetID {
	var changed []structs.TargetID
	for id, report := range reports {
		if l.Learn(now, id, report.Observation) {
			changed = append(changed, id)
		}
		if st := l.targets[id]; st != nil && report.Taken >= minReportedDemand {
			st.peers[vm] = peerDemand{taken: float64(report.Taken), reportedAt: now}
		}
	}
	for id, st := range l.targets {
		if reports[id].Taken < minReportedDemand {
			delete(st.peers, vm)
		}
	}
	return changed
}

// share returns this VM's part of the rate. Invariant: while all placers know one
// another's demand, their shares sum to the rate.
func (st *targetState) share(now structs.Instant, fraction float64) float64 {
	if st.rate < 0 {
		return 0
	}
	if fraction > 0 {
		return st.rate * fraction
	}
	part, _ := st.demandPart(now)
	return st.rate * part
}

// demandPart returns this VM's part of the target's rate as a placer, and whether other
// placers have reported demand.
func (st *targetState) demandPart(now structs.Instant) (part float64, hasPeers bool) {
	st.decay(now)
	total, placers := st.taken, 1.0
	for vm, peer := range st.peers {
		weight := peerWeight(now.Sub(peer.reportedAt))
		if weight == 0 {
			delete(st.peers, vm)
			continue
		}
		total += weight * peer.taken
		placers += weight
	}
	hasPeers = placers > 1
	if total == 0 || !hasPeers {
		return 1 / placers, hasPeers
	}
	return (1-evenPart)*st.taken/total + evenPart/placers, true
}

// peerWeight returns the weight of a demand that was reported the given time ago. The
// share of a placer that is gone passes to the others gradually.
func peerWeight(age time.Duration) float64 {
	fading := float64(peerTTL-age) / float64(peerTTL-peerFreshTime)
	return math.Min(math.Max(fading, 0), 1)
}

func (st *targetState) decay(now structs.Instant) {
	st.taken *= math.Exp(-now.Sub(st.decayedAt).Seconds() / takenTau.Seconds())
	st.decayedAt = now
}

// refill adds the tokens since the last refill. The share holds until the next one.
func (st *targetState) refill(now structs.Instant, share float64) {
	st.tokens += share * now.Sub(st.refilledAt).Seconds()
	st.tokens = math.Min(st.tokens, math.Max(st.maxTokens, share*burstTime.Seconds()))
	st.refilledAt, st.lastShare = now, share
}
