// Package share splits the rate and burst of each client account over the VMs that admit
// its requests. The shares of all VMs add up to the whole limit and follow demand.
//
// It handles accounts that send many times their rate through some VMs while other VMs
// get few requests, and load balancers that spread callers unevenly. It is a
// deterministic state machine without clock, goroutine or I/O.
package share

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// evenFraction of each rate is split evenly, so that a VM without recent demand can
	// admit requests of an account at once.
	evenFraction = 0.3
	// reservedFraction of each burst is reserved for running programs: admitting a
	// program is useful only if all its requests are admitted.
	reservedFraction = 0.35
	// loanFraction is the fraction of its spare tokens that a VM lends to one peer at a
	// time.
	loanFraction = 0.5
	// A VM whose own demand exceeds lenderReserveDemand, in requests per second, keeps
	// lenderReserve tokens instead of lending them.
	lenderReserve       = 1.0
	lenderReserveDemand = 0.5
	// maxLenders limits the VMs that are asked for tokens for one request.
	maxLenders = 3
	// demandTau is the time constant of the measured demand.
	demandTau = 0.7 // seconds
	// reportTTL is how long the last report of a peer counts. A VM that is cut off from
	// its peers continues with its share; network partitions commonly last 12 s.
	reportTTL = 20 * time.Second
	// growTau and shrinkTau are the time constants, in seconds, with which a share
	// follows demand. growTau is as long as a round of reports, so that VMs whose demand
	// starts at the same time don't all take the whole limit before they know of each
	// other.
	growTau   = 0.3
	shrinkTau = 0.1
	// For startupPeriod after its start, a VM assumes that there are at least
	// minStartupVMs VMs. The list of members is complete within a second.
	startupPeriod = 2 * time.Second
	minStartupVMs = 12
	// reportRounds is the number of rounds after which all peers have a report. Peers in
	// other regions get every second report.
	reportRounds = 1
	// surplusTau is the time constant, in seconds, with which tokens above a bucket's
	// capacity decay.
	surplusTau = 2.0
	// minDemand is the demand, in requests per second, below which an account is not
	// reported and may be dropped.
	minDemand = 0.05
	// settleTime is how long a VM that becomes a holder of an account waits before its
	// bucket starts to fill: requests to which the holder before gave tokens may still wait
	// for MaxTokenWait, and VMs learn of a change of the members within that time.
	settleTime = MaxTokenWait
	// spareReportTTL is how long a peer's report of its spare tokens counts.
	spareReportTTL = 2 * time.Second
)

// Limit is what an account may send through all VMs together.
type Limit struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// Demand is the demand of each account at one VM, in requests per second.
type Demand map[structs.AccountID]float64

// SpareTokens is the number of tokens that a VM can lend, by account.
type SpareTokens map[structs.AccountID]float64

// MaxTokenWait is the longest time that a request may be held until its token is
// available. For callers a wait is faster than a refusal and a retry that competes with
// all others; they give up a stream that sends nothing for 2 s.
const MaxTokenWait = time.Second

// Request is a request for one token.
type Request struct {
	Account structs.AccountID
	Limit   Limit
	// StartsProgram means that refusing the request loses no work of a program.
	StartsProgram bool
	// MaxWait is how long the request may be held, 0 for not at all.
	MaxWait time.Duration
	// HeldSince is since when this VM holds the account, if not all VMs do.
	HeldSince structs.Instant
}

// Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// Wait is how long an admitted request has to be held until the token that it took
	// is available. For a refused request, it is the time after which a new attempt gets
	// a token.
	Wait time.Duration
	// Lenders are the VMs to ask for tokens before the request is refused, best first.
	Lenders []structs.VMID
	// Tokens and Share are this VM's tokens and share of the account that decided, for
	// the log.
	Tokens, Share float64
}

// Limiter is one VM's part of the rate limits of all accounts.
//
// Invariant: tokens are moved between VMs, never copied, and all buckets start with an
// even share of the burst, so that their sum stays close to the limit.
type Limiter struct {
	started structs.Instant
	// slack is the number of requests by which all VMs together may exceed a limit.
	slack    float64
	accounts map[structs.AccountID]*account
	peers    map[structs.VMID]*peer
	// isStarting is true while the process may not know all its peers yet.
	isStarting bool
	// holders is the number of VMs that hold buckets of each account, 0 if all VMs do.
	// holdersChangedAt is when this changed, 0 if it did not.
	holders          int
	hasHolders       bool // holders is known
	holdersChangedAt structs.Instant
}

type account struct {
	limit     Limit
	demand    float64
	decayedAt structs.Instant
	// lastReported is the demand in the last reports, newest first. Neither the peers nor
	// this VM count more than these as this VM's demand.
	lastReported [reportRounds]float64
	share        float64 // this VM's share, 0 to 1
	tokens       float64
	refilledAt   structs.Instant
}

type peer struct {
	demand     Demand
	spare      SpareTokens
	isNear     bool
	reportedAt structs.Instant
}

// New returns a Limiter without peers. slack is the number of requests by which all VMs
// together may exceed a limit. Buckets start to fill at now, since a previous process of
// this VM may just have spent its burst.
func New(now structs.Instant, slack float64) *Limiter {
	return &Limiter{
		started:    now,
		isStarting: true,
		slack:      slack,
		accounts:   make(map[structs.AccountID]*account),
		peers:      make(map[structs.VMID]*peer),
	}
}

// SetHolders sets the number of VMs that hold buckets of each account; 0 means all VMs.
// If many VMs shared an account, each bucket would hold less than one token. The share of a
// holder is fixed, so that the shares never add up to more than the limit, whichever holders
// hear of each other; callers that find no token at one ask the others.
func (s *Limiter) SetHolders(now structs.Instant, holders int) {
	if s.hasHolders && s.holders != holders {
		s.holdersChangedAt = now
	}
	s.holders, s.hasHolders = holders, true
}

// Report replaces what is known of a peer's demand and spare tokens. isNear means that
// the peer can be asked for tokens quickly.
func (s *Limiter) Report(now structs.Instant, vm structs.VMID, isNear bool, demand Demand, spare SpareTokens) {
	s.peers[vm] = &peer{demand: demand, spare: spare, isNear: isNear, reportedAt: now}
}

// Forget removes a VM that has left permanently.
func (s *Limiter) Forget(vm structs.VMID) { delete(s.peers, vm) }

// Demand returns this VM's own demand, to be reported to the peers.
func (s *Limiter) Demand(now structs.Instant) Demand {
	demand := make(Demand)
	for id, a := range s.accounts {
		a.decayDemand(now)
		copy(a.lastReported[1:], a.lastReported[:])
		a.lastReported[0] = a.demand
		if a.demand >= minDemand {
			demand[id] = a.demand
		}
	}
	return demand
}

// SpareTokens returns what this VM can lend, to be reported to the peers. An account that
// is not in the result has an even share of its burst.
func (s *Limiter) SpareTokens(now structs.Instant) SpareTokens {
	spare := make(SpareTokens, len(s.accounts))
	for id, a := range s.accounts {
		if a.limit.Rate > 0 {
			s.refill(now, id, a)
			spare[id] = a.spareTokens()
		}
	}
	return spare
}

// RecordRequest adds a request to the demand of its account.
func (s *Limiter) RecordRequest(now structs.Instant, r Request) {
	a := s.account(now, r)
	a.decayDemand(now)
	a.demand += 1 / demandTau
}

// Admit takes a token for one request. If there is none, the request may take the next
// one that no other request has taken and wait for it, so that requests that arrive
// together get their tokens one after the other instead of all coming back at once. A
// request that starts a program is admitted only while the buckets of all VMs hold more
// than is reserved for running programs.
func (s *Limiter) Admit(now structs.Instant, r Request) Decision {
	if r.Limit.Rate <= 0 {
		return Decision{Admitted: true}
	}
	a := s.account(now, r)
	s.refill(now, r.Account, a)
	decision := Decision{Tokens: a.tokens, Share: a.share}
	if missing, rate := s.missingForStart(now, r, a); r.StartsProgram && missing > 0 {
		decision.Wait = seconds(missing / rate)
		return decision
	}
	if a.tokens < 1 {
		decision.Wait = s.settlesIn(now) + seconds((1-a.tokens)/(a.share*r.Limit.Rate))
	}
	if decision.Wait <= r.MaxWait {
		a.tokens--
		decision.Admitted = true
		return decision
	}
	if s.holders == 0 { // else callers ask the other holders themselves
		decision.Lenders = s.lenders(now, r.Account, a)
	}
	return decision
}

// missingForStart returns how many tokens are missing until a program may start, and the
// rate at which they come, in tokens per second. A holder reserves a part of its own bucket:
// it does not know which VMs hold the others, and callers ask those too.
func (s *Limiter) missingForStart(now structs.Instant, r Request, a *account) (missing, rate float64) {
	if s.holders > 0 {
		return reservedFraction*a.share*r.Limit.Burst - a.tokens, a.share * r.Limit.Rate
	}
	return reservedFraction*r.Limit.Burst - s.totalTokens(now, r.Account, a), r.Limit.Rate
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// totalDemand returns the account's demand over all VMs. This VM's own demand counts only
// as far as its peers know of it.
func (s *Limiter) totalDemand(now structs.Instant, id structs.AccountID, a *account) float64 {
	total := a.reportedDemand()
	for _, p := range s.peers {
		if now.Sub(p.reportedAt) < reportTTL {
			total += p.demand[id]
		}
	}
	return total
}

// reportedDemand returns the demand of this VM that all peers know of.
func (a *account) reportedDemand() float64 {
	demand := a.demand
	for _, reported := range a.lastReported {
		demand = math.Min(demand, reported)
	}
	return demand
}

// ReturnToken returns the token of a request that reached no target.
func (s *Limiter) ReturnToken(id structs.AccountID) {
	if a := s.accounts[id]; a != nil {
		a.tokens = math.Max(a.tokens, math.Min(a.tokens+1, s.capacity(a)))
	}
}

// minCapacity returns the smallest capacity of a bucket. The minimum capacities of all
// VMs together stay within the slack. A bucket below one token would never admit a
// request.
func (s *Limiter) minCapacity() float64 {
	return math.Max(1, s.slack*s.evenShare()/2)
}

// evenShare returns the share of each VM when all have the same demand.
func (s *Limiter) evenShare() float64 {
	if s.holders > 0 {
		return 1 / float64(s.holders)
	}
	vms := len(s.peers) + 1
	if s.isStarting {
		vms = max(vms, minStartupVMs)
	}
	return 1 / float64(vms)
}

func (s *Limiter) account(now structs.Instant, r Request) *account {
	s.isStarting = s.isStarting && now.Sub(s.started) < startupPeriod
	a := s.accounts[r.Account]
	if a == nil {
		even := s.evenShare()
		refilled := even * r.Limit.Rate * math.Max(0, now.Sub(s.fillsSince(r)).Seconds())
		a = &account{
			limit: r.Limit, decayedAt: now, refilledAt: now, share: even,
			tokens: math.Min(s.minCapacity()+refilled, math.Max(even*r.Limit.Burst, s.minCapacity())),
		}
		s.accounts[r.Account] = a
	}
	if a.limit != r.Limit {
		a.limit = r.Limit
		a.tokens = math.Min(a.tokens, s.capacity(a))
	}
	return a
}

// fillsSince returns since when a bucket that does not exist yet has been filling. Before,
// its tokens may have been given out by another VM or by the process before.
func (s *Limiter) fillsSince(r Request) structs.Instant {
	since := s.started
	if s.holders > 0 {
		since = max(since.Add(settleTime), r.HeldSince.Add(settleTime))
	}
	if s.holdersChangedAt > 0 {
		since = max(since, s.holdersChangedAt.Add(settleTime))
	}
	return since
}

// settlesIn returns the time until buckets fill again after a change of the holders: until
// then, VMs that have not noticed it use the tokens.
func (s *Limiter) settlesIn(now structs.Instant) time.Duration {
	if s.holdersChangedAt == 0 {
		return 0
	}
	return max(0, s.holdersChangedAt.Add(settleTime).Sub(now))
}

func (s *Limiter) capacity(a *account) float64 {
	return math.Max(a.share*a.limit.Burst, s.minCapacity())
}

// targetShare returns the share of the account's limit that matches this VM's demand.
func (s *Limiter) targetShare(now structs.Instant, id structs.AccountID, a *account) float64 {
	total, even := s.totalDemand(now, id, a), s.evenShare()
	if total <= 0 || s.isStarting || s.holders > 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*a.reportedDemand()/total
}

func (a *account) decayDemand(now structs.Instant) {
	elapsed := now.Sub(a.decayedAt).Seconds()
	a.demand *= math.Exp(-elapsed / demandTau)
	a.decayedAt = now
}

func adjustShare(share, want, elapsed float64) float64 {
	tau := growTau
	if want < share {
		tau = shrinkTau
	}
	return share + (want-share)*math.Min(1, elapsed/tau)
}

// refill adds the tokens for the time since the last refill. Tokens above the capacity
// decay.
func (s *Limiter) refill(now structs.Instant, id structs.AccountID, a *account) {
	if s.settlesIn(now) > 0 {
		a.refilledAt = now
		a.decayDemand(now)
		return
	}
	if s.holdersChangedAt > 0 {
		a.refilledAt = max(a.refilledAt, s.holdersChangedAt.Add(settleTime))
	}
	elapsed := now.Sub(a.refilledAt).Seconds()
	a.refilledAt = now
	a.decayDemand(now)
	a.share = adjustShare(a.share, s.targetShare(now, id, a), elapsed)
	capacity := s.capacity(a)
	if a.tokens > capacity {
		a.tokens -= (a.tokens - capacity) * math.Min(1, elapsed/surplusTau)
		return
	}
	a.tokens = math.Min(a.tokens+a.share*a.limit.Rate*elapsed, capacity)
}

// Accounts returns the accounts of which this VM has a bucket.
func (s *Limiter) Accounts() []structs.AccountID {
	return slices.Collect(maps.Keys(s.accounts))
}

// Drop removes the bucket of an account that another VM holds. Its tokens are lost.
func (s *Limiter) Drop(id structs.AccountID) { delete(s.accounts, id) }

// Sweep drops accounts without demand whose buckets are full.
func (s *Limiter) Sweep(now structs.Instant) {
	for id, a := range s.accounts {
		s.refill(now, id, a)
		if a.demand < minDemand && a.tokens >= s.evenShare()*a.limit.Burst {
			delete(s.accounts, id)
		}
	}
}
