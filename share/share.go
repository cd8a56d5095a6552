// Package share splits the rate and burst of each client account over the VMs
// that admit its requests. The shares of all VMs sum to the whole and follow
// demand.
//
// It answers the load of an account that sends many times its rate through some
// VMs while others stay calm, and of balancers that spread callers unevenly. It
// is a state machine without clock, goroutine or I/O.
package share

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// evenPart of each rate is split evenly, so that a VM without recent
	// demand can admit a newcomer at once.
	evenPart = 0.2
	// demandSpan is the time constant of the measured demand.
	demandSpan = 1.0 // s
	// reportTTL is how long the last word of a silent VM counts. A VM that
	// is cut off goes on with its share; cuts of 12 s are usual.
	reportTTL = 20 * time.Second
	// forgetBelow is the demand, in requests per second, that is not worth a
	// report.
	forgetBelow = 0.05
)

// Limit is what an account may send over all VMs together.
type Limit struct {
	Rate  float64 // requests per second
	Burst float64 // requests
}

// Demand is the requests per second of each account at one VM.
type Demand map[structs.AccountID]float64

// Shares is one VM's view.
type Shares struct {
	// spare is what this VM may admit beyond its share at once, its part of
	// the slack that the quota allows.
	slack    float64
	accounts map[structs.AccountID]*account
	peers    map[structs.VMID]*peer
}

type account struct {
	demand  float64
	counted structs.Instant
	tokens  float64
	filled  structs.Instant
}

type peer struct {
	demand   Demand
	reported structs.Instant
}

// New makes a view without peers. slack is the number of requests by which all
// VMs together may pass a limit.
func New(slack float64) *Shares {
	return &Shares{
		slack:    slack,
		accounts: make(map[structs.AccountID]*account),
		peers:    make(map[structs.VMID]*peer),
	}
}

// Report takes a peer's demand.
func (s *Shares) Report(now structs.Instant, vm structs.VMID, demand Demand) {
	s.peers[vm] = &peer{demand: demand, reported: now}
}

// Forget drops a VM that has left for good.
func (s *Shares) Forget(vm structs.VMID) { delete(s.peers, vm) }

// Demand returns this VM's own demand, to be reported to the peers.
func (s *Shares) Demand(now structs.Instant) Demand {
	demand := make(Demand)
	for id, a := range s.accounts {
		a.decay(now)
		if a.demand >= forgetBelow {
			demand[id] = a.demand
		}
	}
	return demand
}

// Admit takes one request of an account. When the share is spent it returns
// how long the next token takes.
func (s *Shares) Admit(now structs.Instant, id structs.AccountID, limit Limit) (bool, time.Duration) {
	a := s.account(now, id)
	a.decay(now)
	a.demand += 1 / demandSpan
	if limit.Rate <= 0 {
		return true, 0
	}
	part := s.part(now, id, a)
	a.fill(now, part*limit.Rate, math.Max(part*limit.Burst, s.floor()))
	if a.tokens >= 1 {
		a.tokens--
		return true, 0
	}
	missing := (1 - a.tokens) / (part * limit.Rate)
	return false, time.Duration(missing * float64(time.Second))
}

// Return gives back a token whose request reached no target.
func (s *Shares) Return(id structs.AccountID) {
	if a := s.accounts[id]; a != nil {
		a.tokens++
	}
}

// floor is the least size of a bucket. All floors together stay within the
// slack; a bucket below one token would never admit.
func (s *Shares) floor() float64 {
	return math.Max(1, s.slack/float64(2*(len(s.peers)+1)))
}

func (s *Shares) account(now structs.Instant, id structs.AccountID) *account {
	a := s.accounts[id]
	if a == nil {
		// A bucket starts nearly empty: the VM's predecessor may just have
		// spent its burst.
		a = &account{counted: now, filled: now, tokens: s.floor()}
		s.accounts[id] = a
	}
	return a
}

// part returns this VM's share of the account, 0 to 1.
func (s *Shares) part(now structs.Instant, id structs.AccountID, a *account) float64 {
	total := a.demand
	for _, p := range s.peers {
		if now.Sub(p.reported) < reportTTL {
			total += p.demand[id]
		}
	}
	even := 1 / float64(len(s.peers)+1)
	if total <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*a.demand/total
}

func (a *account) decay(now structs.Instant) {
	elapsed := now.Sub(a.counted).Seconds()
	a.demand *= math.Exp(-elapsed / demandSpan)
	a.counted = now
}

func (a *account) fill(now structs.Instant, rate, capacity float64) {
	a.tokens += rate * now.Sub(a.filled).Seconds()
	a.tokens = math.Min(a.tokens, capacity)
	a.filled = now
}
