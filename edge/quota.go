package edge

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/share"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
	"github.com/endivecourse/endivecourse/wire"
)

const (
	// maxUncoordinatedVMs is the largest number of VMs that each hold a bucket of
	// every account and, except under pressure, place their own requests. In a larger
	// fleet, one VM of each region does this for an account or a service.
	maxUncoordinatedVMs = fleet.MaxUncoordinatedVMs
	// membershipRetryAfter is the retry delay of a VM that does not know its peers
	// yet; the member table is read within 0.1 s of the start.
	membershipRetryAfter = 100 * time.Millisecond
	// holderTimeout bounds the call to an account's quota holder; a round trip
	// within a region takes 1 ms.
	holderTimeout = 150 * time.Millisecond
	// maxHolderAttempts bounds the number of VMs that are asked in turn until one
	// answers; holderRetryAfter is the retry delay if none does.
	maxHolderAttempts = 2
	holderRetryAfter  = 300 * time.Millisecond
)

// Peers provides the calls to other VMs that a Server needs.
type Peers interface {
	// PeerCount returns the number of other VMs that are known.
	PeerCount() int
	// IsMembershipKnown reports whether this VM has had time to learn of the other
	// VMs.
	IsMembershipKnown() bool
	// MembersChangedAt returns when a VM of this region last joined or was forgotten.
	MembersChangedAt() structs.Instant
	// Holder returns the VM of this region that holds the item with the given
	// name.
	Holder(name string) (vm structs.VMID, self bool)
	// OtherHolders returns the VMs that hold the item in the other regions.
	OtherHolders(name string) []structs.VMID
	// BorrowTokens asks a VM for quota tokens of an account and returns their
	// number.
	BorrowTokens(ctx context.Context, vm structs.VMID, account structs.AccountID) (int, error)
	// RequestAdmission asks an account's quota holder to admit a request.
	RequestAdmission(ctx context.Context, vm structs.VMID, req fleet.AdmissionRequest) (fleet.AdmissionReply, error)
	// Placer returns the VM of this region that places a service's requests.
	Placer(service structs.ServiceID) (vm structs.VMID, self bool)
	// PlacerReach returns from how many possible placers this VM has heard recently.
	PlacerReach() targetrate.Reach
	// RequestPlacement asks a service's placer for a target; Release ends the
	// grant.
	RequestPlacement(ctx context.Context, vm structs.VMID, p fleet.PlacementRequest) (fleet.PlacementReply, error)
	Release(ctx context.Context, vm structs.VMID, r fleet.Release) error
	// RegionSupport returns a VM's region, and whether the VM applies allowed regions and
	// evacuations to requests of peers.
	RegionSupport(vm structs.VMID) (region string, honorsRegions bool)
	// Forward asks a VM to send a request to a target. Its error is a
	// *wire.NotSentError if the VM has not received it.
	Forward(ctx context.Context, vm structs.VMID, req fleet.ForwardRequest) (fleet.ForwardStream, error)
}

// admitAccount takes a quota token from this VM's bucket or from the account's
// quota holder.
func (s *Server) admitAccount(account *routing.Account, startsProgram bool, maxWait time.Duration) share.Decision {
	if account.Rate <= 0 {
		return share.Decision{Admitted: true}
	}
	if !s.opts.Peers.IsMembershipKnown() {
		return share.Decision{Wait: membershipRetryAfter}
	}
	if s.opts.Peers.PeerCount() < maxUncoordinatedVMs {
		return s.admitLocally(account, startsProgram, maxWait, 0)
	}
	for range maxHolderAttempts {
		vm, self := s.opts.Peers.Holder(holderName(account.ID))
		if self {
			return s.admitLocally(account, startsProgram, maxWait, s.opts.Regions)
		}
		ctx, cancel := wire.WithReplyTimeout(context.Background(), holderTimeout)
		reply, err := s.opts.Peers.RequestAdmission(ctx, vm, fleet.AdmissionRequest{Account: account.ID, StartsProgram: startsProgram, MaxWait: maxWait})
		cancel()
		if err == nil {
			return share.Decision{Admitted: reply.IsAdmitted, Wait: reply.Wait, Tokens: reply.Tokens, Share: reply.Share}
		}
		s.log.Warn("quota holder does not answer", "account", string(account.ID), "holder", string(vm), "cause", err.Error())
	}
	return share.Decision{Wait: holderRetryAfter}
}

// holderName is the name by which an account's quota holder is picked.
func holderName(account structs.AccountID) string { return "account/" + string(account) }

// holdsQuota reports whether this VM counts the quota of an account.
func (s *Server) holdsQuota(account structs.AccountID) bool {
	if s.opts.Peers.PeerCount() < maxUncoordinatedVMs {
		return true
	}
	_, self := s.opts.Peers.Holder(holderName(account))
	return self
}

// dropUnheldQuota drops the buckets of accounts that other VMs hold now. Their tokens
// would be lent beside those of the present holders.
func (s *Server) dropUnheldQuota() {
	s.mu.Lock()
	accounts := s.limiter.Accounts()
	s.mu.Unlock()
	for _, account := range accounts {
		if s.holdsQuota(account) {
			continue
		}
		s.mu.Lock()
		s.limiter.Drop(account)
		s.mu.Unlock()
		s.log.Info("quota is held by another VM now", "account", string(account))
	}
}

// returnToken gives back the token of a request that reached no target.
func (s *Server) returnToken(account structs.AccountID) {
	if s.opts.Peers.PeerCount() >= maxUncoordinatedVMs {
		if vm, self := s.opts.Peers.Holder(holderName(account)); !self {
			go s.returnTokenTo(vm, account)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.ReturnToken(account)
}

func (s *Server) returnTokenTo(vm structs.VMID, account structs.AccountID) {
	ctx, cancel := wire.WithReplyTimeout(context.Background(), holderTimeout)
	defer cancel()
	if _, err := s.opts.Peers.RequestAdmission(ctx, vm, fleet.AdmissionRequest{Account: account, Returns: true}); err != nil {
		s.log.Info("quota token of a refused request is lost", "account", string(account), "holder", string(vm), "cause", err.Error())
	}
}

// AdmitForPeer answers a VM of this region for which this VM is the quota holder.
func (s *Server) AdmitForPeer(req fleet.AdmissionRequest) fleet.AdmissionReply {
	if req.Returns {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.limiter.ReturnToken(req.Account)
		return fleet.AdmissionReply{}
	}
	table := s.opts.Config.Current()
	if table == nil || table.Accounts[req.Account] == nil {
		// The asking VM has a newer configuration, in which the account is new.
		return fleet.AdmissionReply{IsAdmitted: true}
	}
	decision := s.admitLocally(table.Accounts[req.Account], req.StartsProgram, req.MaxWait, s.opts.Regions)
	return fleet.AdmissionReply{IsAdmitted: decision.Admitted, Wait: decision.Wait, Tokens: decision.Tokens, Share: decision.Share}
}

// admitLocally takes a token from this VM's bucket. If there is none, it borrows
// tokens from peers, and if they have none either, the request takes the next token
// that becomes available within maxWait.
func (s *Server) admitLocally(account *routing.Account, startsProgram bool, maxWait time.Duration, holders int) share.Decision {
	request := share.Request{Account: account.ID, Limit: limitOf(account), StartsProgram: startsProgram}
	s.mu.Lock()
	s.limiter.SetHolders(holders, s.opts.Peers.MembersChangedAt())
	s.limiter.RecordRequest(structs.Now(), account.ID, request.Limit)
	decision := s.limiter.Admit(structs.Now(), request)
	s.mu.Unlock()
	lenders := decision.Lenders
	if len(lenders) == 0 && decision.MayBorrow {
		lenders = s.opts.Peers.OtherHolders(holderName(account.ID))
	}
	for _, vm := range lenders {
		if decision.Admitted || !s.borrowTokens(vm, account) {
			continue
		}
		decision = s.takeToken(request)
	}
	if !decision.Admitted && maxWait > 0 {
		request.MaxWait = maxWait
		decision = s.takeToken(request)
	}
	return decision
}

func (s *Server) takeToken(request share.Request) share.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Admit(structs.Now(), request)
}

// borrowTokens asks a peer for quota tokens and reports whether it gave any.
func (s *Server) borrowTokens(vm structs.VMID, account *routing.Account) bool {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	tokens, err := s.opts.Peers.BorrowTokens(ctx, vm, account.ID)
	if err != nil {
		s.log.Warn("no quota tokens borrowed", "account", string(account.ID), "from", string(vm), "cause", err.Error())
		tokens = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.AddBorrowed(structs.Now(), vm, account.ID, limitOf(account), tokens)
	return tokens > 0
}
