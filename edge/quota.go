package edge

import (
	"context"
	"slices"
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
	// fleet, a few VMs of each region do this for an account, and one for a service.
	maxUncoordinatedVMs = fleet.MaxUncoordinatedVMs
	// membershipRetryAfter is the retry delay of a VM that does not know its peers
	// yet; the member table is read within 0.1 s of the start.
	membershipRetryAfter = 100 * time.Millisecond
	// holderTimeout bounds the call to one of an account's quota holders; a round trip
	// within a region takes 1 ms, one to another region 25 ms.
	holderTimeout = 150 * time.Millisecond
	// holderRetryAfter is the retry delay if no holder answers.
	holderRetryAfter = 300 * time.Millisecond
	// cutOffFraction is the part of its quota that a cut-off VM uses. The others may have
	// given it to another holder meanwhile; less than half of the holders can be cut off
	// from the rest, so together they exceed a limit by less than a tenth.
	cutOffFraction = 0.2
)

// Peers provides the calls to other VMs that a Server needs.
type Peers interface {
	// PeerCount returns the number of other VMs that are known.
	PeerCount() int
	// IsMembershipKnown reports whether this VM has had time to learn of the other
	// VMs.
	IsMembershipKnown() bool
	// RosterSize returns the number of VMs over which quotas are divided.
	RosterSize() int
	// QuotaHolders returns the VMs that each hold a part of a named account's quota, of this
	// region and of the others, nearest first.
	QuotaHolders(name string) (near, far []structs.VMID)
	// HoldsQuotaSince reports whether this VM is one of them, and since when.
	HoldsQuotaSince(name string) (since structs.Instant, holds bool)
	// IsCutOff reports whether the others may have given this VM's quota to another one.
	IsCutOff() bool
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

// hasQuotaHolders reports whether a few VMs of each region hold the quota of each account,
// rather than all VMs.
func (s *Server) hasQuotaHolders() bool { return s.opts.Peers.RosterSize() > maxUncoordinatedVMs }

// admitAccount takes a quota token from this VM's bucket or from one of the account's quota
// holders. It returns the holder, empty for this VM.
func (s *Server) admitAccount(account *routing.Account, startsProgram bool, maxWait time.Duration) (share.Decision, structs.VMID) {
	if account.Rate <= 0 {
		return share.Decision{Admitted: true}, ""
	}
	if !s.opts.Peers.IsMembershipKnown() {
		return share.Decision{Wait: membershipRetryAfter}, ""
	}
	request := share.Request{Account: account.ID, Limit: limitOf(account), StartsProgram: startsProgram}
	if s.hasQuotaHolders() {
		return s.admitByHolders(request, maxWait)
	}
	request.MaxWait = maxWait
	return s.admitHere(request), ""
}

// admitByHolders asks the account's holders for a token, one after the other: those of this
// region first, then those of the others, since callers may all be in one region. If none has
// a token, the request takes the next one that becomes available within maxWait.
func (s *Server) admitByHolders(request share.Request, maxWait time.Duration) (share.Decision, structs.VMID) {
	near, far := s.opts.Peers.QuotaHolders(holderName(request.Account))
	holders := slices.Concat(near, far)
	var asked []structs.VMID
	for {
		s.mu.Lock()
		vm, isFound := s.selector.Next(structs.Now(), request, holders, asked)
		s.mu.Unlock()
		if !isFound {
			break
		}
		if decision := s.askHolder(vm, request); decision.Admitted {
			return decision, vm
		}
		asked = append(asked, vm)
	}
	s.mu.Lock()
	vm, wait, isKnown := s.selector.NextToken(structs.Now(), request, holders)
	s.mu.Unlock()
	if !isKnown {
		return share.Decision{Wait: holderRetryAfter}, ""
	}
	if wait <= maxWait && maxWait > 0 {
		request.MaxWait = maxWait
		return s.askHolder(vm, request), vm
	}
	return share.Decision{Wait: wait}, vm
}

// askHolder asks one holder, which may be this VM.
func (s *Server) askHolder(vm structs.VMID, request share.Request) share.Decision {
	req := fleet.AdmissionRequest{
		Account: request.Account, StartsProgram: request.StartsProgram, MaxWait: request.MaxWait, Limit: request.Limit,
	}
	var reply fleet.AdmissionReply
	if vm == s.opts.VM {
		reply = s.AdmitForPeer(req)
	} else {
		ctx, cancel := wire.WithReplyTimeout(context.Background(), holderTimeout)
		var err error
		reply, err = s.opts.Peers.RequestAdmission(ctx, vm, req)
		cancel()
		if err != nil {
			s.log.Warn("quota holder does not answer", "account", string(request.Account), "holder", string(vm), "cause", err.Error())
			s.mu.Lock()
			defer s.mu.Unlock()
			s.selector.RecordFailure(structs.Now(), vm)
			return share.Decision{Wait: holderRetryAfter}
		}
	}
	decision := share.Decision{Admitted: reply.IsAdmitted, Wait: reply.Wait, Tokens: reply.Tokens, Share: reply.Share}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.selector.RecordReply(structs.Now(), vm, request, decision)
	return decision
}

// holderName is the name by which an account's quota holders are picked.
func holderName(account structs.AccountID) string { return "account/" + string(account) }

// holdsQuotaSince reports whether this VM counts a part of an account's quota, and since when.
func (s *Server) holdsQuotaSince(account structs.AccountID) (structs.Instant, bool) {
	if !s.hasQuotaHolders() {
		return 0, true
	}
	return s.opts.Peers.HoldsQuotaSince(holderName(account))
}

// sweepQuota drops the buckets of accounts that other VMs hold now, and what is outdated.
// Their tokens would be lent beside those of the present holders.
func (s *Server) sweepQuota() {
	s.followQuotaHolders("")
	s.mu.Lock()
	s.selector.Sweep(structs.Now())
	accounts := s.limiter.Accounts()
	s.mu.Unlock()
	for _, account := range accounts {
		if _, holds := s.holdsQuotaSince(account); holds {
			continue
		}
		s.mu.Lock()
		s.limiter.Drop(account)
		s.mu.Unlock()
		s.log.Info("quota is held by other VMs now", "account", string(account))
	}
}

// followQuotaHolders tells the limiter by how many VMs the quota of an account is held.
func (s *Server) followQuotaHolders(account structs.AccountID) {
	if !s.opts.Peers.IsMembershipKnown() {
		return
	}
	holders := 0
	if s.hasQuotaHolders() {
		near, _ := s.opts.Peers.QuotaHolders(holderName(account))
		holders = max(len(near), 1) * s.opts.Regions
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.SetHolders(structs.Now(), holders)
}

// returnToken gives back the token of a request that reached no target.
func (s *Server) returnToken(account structs.AccountID, holder structs.VMID) {
	if holder != "" && holder != s.opts.VM {
		go s.returnTokenTo(holder, account)
		return
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

// AdmitForPeer answers a VM for which this VM is a quota holder. It gives out no tokens of
// an account of which it holds nothing by what it knows itself.
func (s *Server) AdmitForPeer(req fleet.AdmissionRequest) fleet.AdmissionReply {
	if req.Returns {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.limiter.ReturnToken(req.Account)
		return fleet.AdmissionReply{}
	}
	if !s.opts.Peers.IsMembershipKnown() {
		return fleet.AdmissionReply{Wait: membershipRetryAfter}
	}
	since, holds := s.holdsQuotaSince(req.Account)
	if !holds {
		return fleet.AdmissionReply{Wait: holderRetryAfter}
	}
	request := share.Request{
		Account: req.Account, Limit: req.Limit, StartsProgram: req.StartsProgram, MaxWait: req.MaxWait, HeldSince: since,
	}
	if table := s.opts.Config.Current(); table != nil && table.Accounts[req.Account] != nil {
		request.Limit = limitOf(table.Accounts[req.Account])
	}
	if request.Limit.Rate <= 0 {
		// The account has no limit, or the asking VM is of a build that does not send it.
		return fleet.AdmissionReply{IsAdmitted: true}
	}
	decision := s.admitHere(request)
	return fleet.AdmissionReply{IsAdmitted: decision.Admitted, Wait: decision.Wait, Tokens: decision.Tokens, Share: decision.Share}
}

// admitHere takes a token from this VM's bucket. If there is none, it borrows tokens from
// peers where each VM has a bucket, and if they have none either, the request takes the next
// token that becomes available in its time.
func (s *Server) admitHere(request share.Request) share.Decision {
	s.followQuotaHolders(request.Account)
	if s.hasQuotaHolders() && s.opts.Peers.IsCutOff() {
		request.Limit.Rate *= cutOffFraction
		request.Limit.Burst *= cutOffFraction
	}
	maxWait := request.MaxWait
	request.MaxWait = 0
	s.mu.Lock()
	s.limiter.RecordRequest(structs.Now(), request)
	decision := s.limiter.Admit(structs.Now(), request)
	s.mu.Unlock()
	for _, vm := range decision.Lenders {
		if decision.Admitted || !s.borrowTokens(vm, request) {
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
func (s *Server) borrowTokens(vm structs.VMID, request share.Request) bool {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	tokens, err := s.opts.Peers.BorrowTokens(ctx, vm, request.Account)
	if err != nil {
		s.log.Warn("no quota tokens borrowed", "account", string(request.Account), "from", string(vm), "cause", err.Error())
		tokens = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.AddBorrowed(structs.Now(), vm, request, tokens)
	return tokens > 0
}
