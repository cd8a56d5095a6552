// Package share splits the rate and burst of each client account over the VMs
// that admit its requests. The shares of all VMs sum to the whole and follow
// demand.
//
// It answers the load of an account that sends many times its rate through some
// VMs while others stay calm, and of balancers that spread callers unevenly. It
// is a state machine without clock, goroutine or I/O.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// evenPart of each rate is split evenly, so that a VM without recent
	// demand can admit a newcomer at once.
	evenPart = 0.3
	// startPart is the part of a bucket that is kept for programs under way:
	// a program is worth something only if all its requests are admitted.
	startPart = 0.35
	// loanPart is the part of its spare tokens that a VM lends at once.
	loanPart = 0.5
	// keptBack is what a VM with demand of its own does not lend, in tokens,
	// and keepAbove that demand in requests per second.
	keptBack  = 1.0
	keepAbove = 0.5
	// maxLenders bounds the VMs that one request asks for tokens.
	maxLenders = 3
	// demandSpan is the time constant of the measured demand.
	demandSpan = 0.7 // s
	// reportTTL is how long the last word of a silent VM counts. A VM that
	// is cut off goes on with its share; cuts of 12 s are usual.
	reportTTL = 20 * time.Second
	// growSpan and shrinkSpan are the time constants, in seconds, with which a
	// share follows demand. Growth takes as long as a round of reports, so
	// that VMs whose demand begins at once don't all take the whole before
	// they have heard of one another.
	growSpan   = 0.3
	shrinkSpan = 0.1
	// settleSpan is how long after its start a VM takes the fleet for startVMs
	// at least; members are known within a second.
	settleSpan = 2 * time.Second
	startVMs   = 12
	// toldRounds is how many rounds of reports it takes until all peers have
	// one; those of other regions get every other one.
	toldRounds = 1
	// surplusSpan is the time constant, in seconds, with which tokens above
	// a bucket's capacity wane.
	surplusSpan = 2.0
	// forgetBelow is the demand, in requests per second, that is not worth a
	// report.
	forgetBelow = 0.05
	// loanReportTTL is how old a peer's word on its spare tokens may be.
	loanReportTTL = 2 * time.Second
)

// Limit is what an account may send over all VMs together.
type Limit struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// Demand is the requests per second of each account at one VM.
type Demand map[structs.AccountID]float64

// SpareTokens is the tokens that a VM could lend, by account.
type SpareTokens map[structs.AccountID]float64

// MaxTokenWait is how long a request that is not admitted may be held until its token
// is there. Callers are served sooner so than by a refusal, which costs them
// another try.
const MaxTokenWait = 250 * time.Millisecond

// Decision is what Admit decides.
type Decision struct {
	Admitted bool
	// Wait is when a token of this VM's own will be there.
	Wait time.Duration
	// Lenders are VMs to ask for tokens before the request is refused, best
	// first.
	Lenders []structs.VMID
}

// Limiter is one VM's view.
//
// Invariant: tokens are moved between VMs, never copied, and all buckets start
// with an even part of the burst, so that their sum stays near the whole.
type Limiter struct {
	started structs.Instant
	// slack is the requests by which all VMs together may pass a limit.
	slack    float64
	accounts map[structs.AccountID]*account
	peers    map[structs.VMID]*peer
	// settling is true while the process has just started and may not know all
	// its peers.
	settling bool
	// holders is the number of VMs that hold each account's buckets, 0 while
	// all VMs do.
	holders int
}

type account struct {
	limit   Limit
	demand  float64
	counted structs.Instant
	// told is the demand in the last reports, the newest first. Peers count
	// with no more than these, and so does this VM.
	told   [toldRounds]float64
	part   float64 // this VM's share, 0 to 1
	tokens float64
	filled structs.Instant
}

type peer struct {
	demand   Demand
	spare    SpareTokens
	near     bool
	reported structs.Instant
}

// New makes a view without peers. slack is the number of requests by which all
// VMs together may pass a limit. Buckets fill from now on: a predecessor of
// this process may just have spent its burst.
func New(now structs.Instant, slack float64) *Limiter {
	return &Limiter{
		started:  now,
		settling: true,
		slack:    slack,
		accounts: make(map[structs.AccountID]*account),
		peers:    make(map[structs.VMID]*peer),
	}
}

// SetHolders says that only so many VMs hold the buckets of each account, or all
// VMs for 0. With many VMs a bucket of each would hold less than one token.
func (s *Limiter) SetHolders(holders int) { s.holders = holders }

// Report takes a peer's demand and what it could lend. near says that asking it
// is quick.
func (s *Limiter) Report(now structs.Instant, vm structs.VMID, near bool, demand Demand, spare SpareTokens) {
	s.peers[vm] = &peer{demand: demand, spare: spare, near: near, reported: now}
}

// Forget drops a VM that has left for good.
func (s *Limiter) Forget(vm structs.VMID) { delete(s.peers, vm) }

// Demand returns this VM's own demand, to be reported to the peers.
func (s *Limiter) Demand(now structs.Instant) Demand {
	demand := make(Demand)
	for id, a := range s.accounts {
		a.decay(now)
		copy(a.told[1:], a.told[:])
		a.told[0] = a.demand
		if a.demand >= forgetBelow {
			demand[id] = a.demand
		}
	}
	return demand
}

// SpareTokens returns what this VM could lend, to be reported to the peers. An account
// that is left out has its even part of the burst.
func (s *Limiter) SpareTokens(now structs.Instant) SpareTokens {
	spare := make(SpareTokens, len(s.accounts))
	for id, a := range s.accounts {
		if a.limit.Rate > 0 {
			s.fill(now, id, a)
			spare[id] = a.spare()
		}
	}
	return spare
}

// RecordRequest counts a request towards the demand of its account.
func (s *Limiter) RecordRequest(now structs.Instant, id structs.AccountID, limit Limit) {
	a := s.account(now, id, limit)
	a.decay(now)
	a.demand += 1 / demandSpan
}

// Admit takes the token of one request. A request that starts a program is
// admitted only while all buckets together hold what programs under way may
// need.
func (s *Limiter) Admit(now structs.Instant, id structs.AccountID, limit Limit, starts bool) Decision {
	if limit.Rate <= 0 {
		return Decision{Admitted: true}
	}
	a := s.account(now, id, limit)
	s.fill(now, id, a)
	if missing := startPart*limit.Burst - s.pooled(now, id, a); starts && missing > 0 {
		return Decision{Wait: seconds(missing / limit.Rate)}
	}
	if a.tokens >= 1 {
		a.tokens--
		return Decision{Admitted: true}
	}
	return Decision{Wait: seconds((1 - a.tokens) / (a.part * limit.Rate)), Lenders: s.lenders(now, id, a)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// pooled estimates the tokens of all VMs together.
func (s *Limiter) pooled(now structs.Instant, id structs.AccountID, a *account) float64 {
	tokens := a.tokens
	for _, p := range s.peers {
		tokens += s.spareOf(now, p, id, a)
	}
	return tokens
}

// spareOf estimates what a peer can lend: its last word and what has come in
// since. A peer that does not know the account has an even part of its burst.
func (s *Limiter) spareOf(now structs.Instant, p *peer, id structs.AccountID, a *account) float64 {
	age := now.Sub(p.reported)
	if age > loanReportTTL {
		return 0
	}
	spare, known := p.spare[id]
	if !known && s.holders > 0 {
		return 0 // not a holder
	}
	if !known {
		return math.Floor(s.even() * a.limit.Burst)
	}
	part := evenPart * s.even()
	if total := s.total(now, id, a); total > 0 {
		part += (1 - evenPart) * p.demand[id] / total
	}
	return spare + part*a.limit.Rate*age.Seconds()
}

// total is the account's demand over all VMs, with no more of this VM's than
// its peers know of.
func (s *Limiter) total(now structs.Instant, id structs.AccountID, a *account) float64 {
	total := a.known()
	for _, p := range s.peers {
		if now.Sub(p.reported) < reportTTL {
			total += p.demand[id]
		}
	}
	return total
}

// known is the demand that all peers have been told.
func (a *account) known() float64 {
	known := a.demand
	for _, told := range a.told {
		known = math.Min(known, told)
	}
	return known
}

func (a *account) spare() float64 {
	spare := a.tokens
	if a.demand > keepAbove {
		spare -= keptBack
	}
	return math.Max(0, math.Floor(spare))
}

// lenders returns the peers that have tokens to spare, near ones first and the
// richest among these.
func (s *Limiter) lenders(now structs.Instant, id structs.AccountID, a *account) []structs.VMID {
	var vms []structs.VMID
	for vm, p := range s.peers {
		if s.spareOf(now, p, id, a) >= 1 {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(x, y structs.VMID) int {
		px, py := s.peers[x], s.peers[y]
		if px.near != py.near {
			if px.near {
				return -1
			}
			return 1
		}
		richer := cmp.Compare(s.spareOf(now, py, id, a), s.spareOf(now, px, id, a))
		if richer != 0 {
			return richer
		}
		return cmp.Compare(x, y)
	})
	return vms[:min(len(vms), maxLenders)]
}

// Lend takes tokens out of this VM's bucket for a peer and returns how many.
// Tokens that get lost on the way are lost; none is ever made.
func (s *Limiter) Lend(now structs.Instant, id structs.AccountID, limit Limit) int {
	if limit.Rate <= 0 {
		return 0
	}
	a := s.account(now, id, limit)
	s.fill(now, id, a)
	loan := math.Ceil(a.spare() * loanPart)
	a.tokens -= loan
	return int(loan)
}

// AddBorrowed adds tokens that a peer has lent; none means that it had none left.
func (s *Limiter) AddBorrowed(now structs.Instant, from structs.VMID, id structs.AccountID, limit Limit, tokens int) {
	a := s.account(now, id, limit)
	a.tokens += float64(tokens)
	p := s.peers[from]
	if p == nil {
		return
	}
	if p.spare == nil {
		p.spare = make(SpareTokens)
	}
	if _, known := p.spare[id]; !known {
		p.spare[id] = math.Floor(s.even() * limit.Burst)
	}
	// The word on the spare tokens is as old as the report, and may turn
	// negative until the next one.
	p.spare[id] -= math.Max(float64(tokens), 1)
}

// ReturnToken gives back a token whose request reached no target.
func (s *Limiter) ReturnToken(id structs.AccountID) {
	if a := s.accounts[id]; a != nil {
		a.tokens++
	}
}

// floor is the least size of a bucket. All floors together stay within the
// slack; a bucket below one token would never admit.
func (s *Limiter) floor() float64 {
	return math.Max(1, s.slack*s.even()/2)
}

// even is the part of a VM when all are alike.
func (s *Limiter) even() float64 {
	if s.holders > 0 {
		return 1 / float64(s.holders)
	}
	vms := len(s.peers) + 1
	if s.settling {
		vms = max(vms, startVMs)
	}
	return 1 / float64(vms)
}

func (s *Limiter) account(now structs.Instant, id structs.AccountID, limit Limit) *account {
	s.settling = s.settling && now.Sub(s.started) < settleSpan
	a := s.accounts[id]
	if a == nil {
		even := s.even()
		grown := even * limit.Rate * now.Sub(s.started).Seconds()
		if s.holders > 0 {
			grown = 0 // another VM may just have held this bucket
		}
		a = &account{
			limit: limit, counted: now, filled: now, part: even,
			tokens: math.Min(s.floor()+grown, math.Max(even*limit.Burst, s.floor())),
		}
		s.accounts[id] = a
	}
	if a.limit != limit {
		a.limit = limit
		a.tokens = math.Min(a.tokens, s.capacity(a))
	}
	return a
}

func (s *Limiter) capacity(a *account) float64 { return math.Max(a.part*a.limit.Burst, s.floor()) }

// target returns the part of the account that this VM's demand speaks for.
func (s *Limiter) target(now structs.Instant, id structs.AccountID, a *account) float64 {
	total, even := s.total(now, id, a), s.even()
	if total <= 0 || s.settling {
		return even
	}
	return evenPart*even + (1-evenPart)*a.known()/total
}

func (a *account) decay(now structs.Instant) {
	elapsed := now.Sub(a.counted).Seconds()
	a.demand *= math.Exp(-elapsed / demandSpan)
	a.counted = now
}

func approach(part, target, elapsed float64) float64 {
	span := growSpan
	if target < part {
		span = shrinkSpan
	}
	return part + (target-part)*math.Min(1, elapsed/span)
}

// fill adds the tokens of the time that has passed. Tokens above the capacity
// wane.
func (s *Limiter) fill(now structs.Instant, id structs.AccountID, a *account) {
	elapsed := now.Sub(a.filled).Seconds()
	a.filled = now
	a.decay(now)
	a.part = approach(a.part, s.target(now, id, a), elapsed)
	capacity := s.capacity(a)
	if a.tokens > capacity {
		a.tokens -= (a.tokens - capacity) * math.Min(1, elapsed/surplusSpan)
		return
	}
	a.tokens = math.Min(a.tokens+a.part*a.limit.Rate*elapsed, capacity)
}

// Sweep forgets accounts without demand whose buckets are full again.
func (s *Limiter) Sweep(now structs.Instant) {
	for id, a := range s.accounts {
		s.fill(now, id, a)
		if a.demand < forgetBelow && a.tokens >= s.even()*a.limit.Burst {
			delete(s.accounts, id)
		}
	}
}
