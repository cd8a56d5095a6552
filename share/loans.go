package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/endivecourse/endivecourse/structs"
)

// totalTokens estimates the tokens in the buckets of all VMs.
func (s *Limiter) totalTokens(now structs.Instant, id structs.AccountID, a *account) float64 {
	tokens := a.tokens
	for _, p := range s.peers {
		tokens += s.peerSpareTokens(now, p, id, a)
	}
	return tokens
}

// peerSpareTokens estimates what a peer can lend: the tokens it reported and those its
// bucket has received since. A peer that does not know the account has an even share of
// its burst.
func (s *Limiter) peerSpareTokens(now structs.Instant, p *peer, id structs.AccountID, a *account) float64 {
	age := now.Sub(p.reportedAt)
	if age > spareReportTTL {
		return 0
	}
	spare, isKnown := p.spare[id]
	if !isKnown {
		return math.Floor(s.evenShare() * a.limit.Burst)
	}
	share := evenFraction * s.evenShare()
	if total := s.totalDemand(now, id, a); total > 0 {
		share += (1 - evenFraction) * p.demand[id] / total
	}
	return spare + share*a.limit.Rate*age.Seconds()
}

func (a *account) spareTokens() float64 {
	spare := a.tokens
	if a.demand > lenderReserveDemand {
		spare -= lenderReserve
	}
	return math.Max(0, math.Floor(spare))
}

// lenders returns the peers that have spare tokens: those of the same region first, then
// by the number of tokens.
func (s *Limiter) lenders(now structs.Instant, id structs.AccountID, a *account) []structs.VMID {
	var vms []structs.VMID
	for vm, p := range s.peers {
		if s.peerSpareTokens(now, p, id, a) >= 1 {
			vms = append(vms, vm)
		}
	}
	slices.SortFunc(vms, func(x, y structs.VMID) int {
		px, py := s.peers[x], s.peers[y]
		if px.isNear != py.isNear {
			if px.isNear {
				return -1
			}
			return 1
		}
		order := cmp.Compare(s.peerSpareTokens(now, py, id, a), s.peerSpareTokens(now, px, id, a))
		if order != 0 {
			return order
		}
		return cmp.Compare(x, y)
	})
	return vms[:min(len(vms), maxLenders)]
}

// Lend takes tokens out of this VM's bucket for a peer and returns their number. Tokens
// that don't reach the peer are lost; lending never creates tokens.
func (s *Limiter) Lend(now structs.Instant, r Request) int {
	if r.Limit.Rate <= 0 {
		return 0
	}
	a := s.account(now, r)
	s.refill(now, r.Account, a)
	loan := math.Ceil(a.spareTokens() * loanFraction)
	a.tokens -= loan
	return int(loan)
}

// AddBorrowed adds tokens that a peer has lent. 0 tokens means that the peer had none to
// spare, or did not answer.
func (s *Limiter) AddBorrowed(now structs.Instant, from structs.VMID, r Request, tokens int) {
	a := s.account(now, r)
	a.tokens += float64(tokens)
	id, limit := r.Account, r.Limit
	p := s.peers[from]
	if p == nil {
		return
	}
	if p.spare == nil {
		p.spare = make(SpareTokens)
	}
	if _, isKnown := p.spare[id]; !isKnown {
		p.spare[id] = math.Floor(s.evenShare() * limit.Burst)
	}
	// The peer's spare tokens are as old as its last report, and may become negative
	// until the next one.
	p.spare[id] -= math.Max(float64(tokens), 1)
}
