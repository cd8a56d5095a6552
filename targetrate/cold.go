package targetrate

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// alonePart is the part of a cold rate that all VMs together use which pick targets
	// themselves, since their placer does not answer. It is small because the placers
	// keep using their shares meanwhile.
	alonePart = 0.2
	// settleTime is the time from the beginning of a cold period in which a placer that
	// has heard of no other's demand keeps to the even part of its region: placers of
	// other regions report their demand within 1.2 s, and may begin at the same time.
	settleTime = 1500 * time.Millisecond
	// MaxColdFor bounds the cold period that an entry or a peer states.
	MaxColdFor = 10 * time.Minute
	// coldMemory is how long the end of a cold period is remembered, so that older
	// statements of peers don't begin it again.
	coldMemory = 5 * time.Second
	// unobservedAge is the age of the observation of a target of which no response is
	// known. Every real observation is newer.
	unobservedAge = 24 * time.Hour
	// DefaultColdOverage and DefaultColdSlack are used if the settings state no bounds.
	DefaultColdOverage = 1.5
	DefaultColdSlack   = 5
)

// ColdBounds is what all VMs together may send a cold target in any one second: Overage
// times its rate, and Slack requests.
type ColdBounds struct{ Overage, Slack float64 }

// coldState is a rate with an expiry: what a target takes while it is cold.
type coldState struct {
	rate   float64 // requests per second of all VMs
	since  structs.Instant
	until  structs.Instant
	saidAt structs.Instant // when the entry was read that says so
	source string

	// tokens are used by shares that are large enough to save up a burst.
	tokens     float64
	refilledAt structs.Instant
	// slotAt begins the next slot of a share that is too small for that: one request may
	// be sent in each slot. Unlike a token, an unused slot is lost, so that many VMs with
	// small shares can't send all at once.
	slotAt structs.Instant
	period time.Duration // between the slots, 0 before the first
}

func (c *coldState) isCold(now structs.Instant) bool { return c != nil && now < c.until }

// SetCold records what an entry of a target says that this VM has just read: the target is
// cold for the given time and takes rate requests per second meanwhile. A time or rate of 0
// means that it is not cold.
func (l *Limiter) SetCold(now structs.Instant, id structs.TargetID, rate float64, left time.Duration) {
	l.learnCold(now, id, Observation{ColdFor: left, ColdRate: float32(rate)}, "entry")
}

// learnCold records a statement about a cold period, of an entry or of a peer. An older one
// than the known one is ignored.
func (l *Limiter) learnCold(now structs.Instant, id structs.TargetID, o Observation, source string) {
	left := min(o.ColdFor, MaxColdFor)
	rate := float64(o.ColdRate)
	isCold := left > 0 && rate > 0 && !math.IsInf(rate, 0)
	st := l.targets[id]
	if !isCold && (st == nil || st.cold == nil) {
		return // the usual case
	}
	if st == nil {
		st = &targetState{rate: None, observedAt: now.Add(-unobservedAge), refilledAt: now, decayedAt: now, peers: make(map[structs.VMID]peerDemand)}
		l.targets[id] = st
	}
	saidAt := now.Add(-max(o.ColdAge, 0))
	c := st.cold
	switch {
	case c != nil && saidAt < c.saidAt:
	case !isCold && c.isCold(now):
		c.until, c.saidAt = now, saidAt
	case !isCold:
	case c.isCold(now):
		c.rate, c.until, c.saidAt = rate, now.Add(left), saidAt
	default:
		st.cold = &coldState{rate: rate, since: now, until: now.Add(left), saidAt: saidAt, source: source, refilledAt: now}
	}
}

// coldObservation adds what is known of the cold period to an observation.
func (st *targetState) coldObservation(now structs.Instant, o *Observation) {
	if st.cold == nil {
		return
	}
	o.ColdAge = max(now.Sub(st.cold.saidAt), 1)
	if st.cold.isCold(now) {
		o.ColdFor, o.ColdRate = st.cold.until.Sub(now), float32(st.cold.rate)
	}
}

// Cold describes a target's cold period.
type Cold struct {
	Rate   float64 // requests per second of all VMs
	Left   time.Duration
	Source string // from where this VM learned of it first
}

// Cold returns a target's cold period, and false if it is not cold.
func (l *Limiter) Cold(now structs.Instant, id structs.TargetID) (Cold, bool) {
	st := l.targets[id]
	if st == nil || !st.cold.isCold(now) {
		return Cold{}, false
	}
	return Cold{Rate: st.cold.rate, Left: st.cold.until.Sub(now), Source: st.cold.source}, true
}

// ColdTargets returns the targets that are cold.
func (l *Limiter) ColdTargets(now structs.Instant) []structs.TargetID {
	var ids []structs.TargetID
	for id, st := range l.targets {
		if st.cold.isCold(now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// coldShare returns this VM's part of a cold target's rate. Invariant: the shares of all
// placers sum to at most the rate while each hears from the others, and those of the parts
// of a fleet that has come apart too.
func (l *Limiter) coldShare(now structs.Instant, st *targetState, fraction float64) float64 {
	rate := st.cold.rate
	switch {
	case l.reach.current.VMs == 0:
		return 0
	case fraction > 0 || !l.reach.current.MayPlace:
		return rate * alonePart / float64(l.reach.vms.value)
	}
	part, hasPeers := st.demandPart(now)
	bound := l.reach.part()
	if !hasPeers && now.Sub(st.cold.since) < settleTime {
		bound = math.Min(bound, 1/float64(max(l.reach.regions.value, 1)))
	}
	return rate * math.Min(part, bound)
}

// coldTokens returns the number of requests that may be sent to a cold target now.
func (l *Limiter) coldTokens(now structs.Instant, st *targetState, fraction float64) float64 {
	c, share := st.cold, l.coldShare(now, st, fraction)
	burst := share * burstTime.Seconds()
	if most := (l.ColdBounds.Overage-1)*c.rate + l.ColdBounds.Slack; burst*c.rate > most*share {
		burst = most * share / c.rate
	}
	if burst < 1 {
		c.tokens, c.refilledAt = 0, now
		return c.slot(now, share, l.Phase)
	}
	c.tokens = math.Min(c.tokens+share*now.Sub(c.refilledAt).Seconds(), burst)
	c.refilledAt, c.period = now, 0
	return c.tokens
}

// slot returns 1 in a slot that was not used yet, else 0. phase, from 0 to 1, is the part of
// the period after which the first slot begins.
func (c *coldState) slot(now structs.Instant, share, phase float64) float64 {
	if share <= 0 {
		return 0
	}
	period := time.Duration(math.Min(1/share, MaxColdFor.Seconds()) * float64(time.Second))
	switch {
	case c.period == 0:
		c.slotAt = now.Add(time.Duration(phase * float64(period)))
	case period < c.period && now < c.slotAt: // a larger share shortens the time to the next slot
		c.slotAt = now.Add(time.Duration(float64(c.slotAt.Sub(now)) * float64(period) / float64(c.period)))
	}
	c.period = period
	length := min(period, burstTime)
	if late := now.Sub(c.slotAt.Add(length)); late >= 0 {
		c.slotAt = c.slotAt.Add(period * (1 + late/period))
	}
	if now < c.slotAt {
		return 0
	}
	return 1
}

func (c *coldState) take() {
	c.tokens--
	if c.period > 0 {
		c.tokens = 0
		c.slotAt = c.slotAt.Add(c.period)
	}
}
