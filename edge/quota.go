package edge

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/share"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// smallFleet is the most VMs that each hold a bucket of every account and
	// place their own requests. With more, one VM of each region does so for
	// an account or a service.
	smallFleet = 16
	// learnWait is when to come back to a VM that does not know its fleet yet;
	// the member table is read within 0.1 s of the start.
	learnWait = 100 * time.Millisecond
	// holderTimeout bounds the question to an account's holder; a round trip
	// within a region takes 1 ms.
	holderTimeout = 150 * time.Millisecond
	// maxHolders bounds the VMs that are asked, each after the one before did
	// not answer; holderWait is when to come back if none did.
	maxHolders = 2
	holderWait = 300 * time.Millisecond
)

// Peers is what the edge asks of the other VMs.
type Peers interface {
	// PeerCount is the number of other VMs that are known.
	PeerCount() int
	// IsMembershipKnown reports whether the other VMs are known.
	IsMembershipKnown() bool
	// Holder returns the VM of this region that holds something of that name.
	Holder(name string) (vm structs.VMID, self bool)
	// BorrowTokens asks a VM for quota tokens.
	BorrowTokens(ctx context.Context, vm structs.VMID, account structs.AccountID) (int, error)
	// RequestAdmission asks an account's holder to admit a request.
	RequestAdmission(ctx context.Context, vm structs.VMID, question fleet.AdmissionRequest) (fleet.AdmissionReply, error)
	// Placer returns the VM of this region that places a service's requests.
	Placer(service structs.ServiceID) (vm structs.VMID, self bool)
	// RequestPlacement asks a service's placer for a target, Release gives it back.
	RequestPlacement(ctx context.Context, vm structs.VMID, p fleet.PlacementRequest) (fleet.PlacementReply, error)
	Release(ctx context.Context, vm structs.VMID, r fleet.Release) error
}

// admitAccount takes a quota token, from this VM's bucket or the holder's. again
// says that the request has been counted before.
func (s *Server) admitAccount(account *routing.Account, starts, again bool) share.Decision {
	if account.Rate <= 0 {
		return share.Decision{Admitted: true}
	}
	if !s.opts.Peers.IsMembershipKnown() {
		return share.Decision{Wait: learnWait}
	}
	if s.opts.Peers.PeerCount() < smallFleet {
		return s.admitHere(account, starts, again, 0)
	}
	for range maxHolders {
		vm, self := s.opts.Peers.Holder("account/" + string(account.ID))
		if self {
			return s.admitHere(account, starts, again, s.opts.Regions)
		}
		ctx, cancel := context.WithTimeout(context.Background(), holderTimeout)
		verdict, err := s.opts.Peers.RequestAdmission(ctx, vm, fleet.AdmissionRequest{Account: account.ID, StartsProgram: starts, IsRetry: again})
		cancel()
		if err == nil {
			return share.Decision{Admitted: verdict.IsAdmitted, Wait: verdict.Wait}
		}
		s.log.Warn("account's holder does not answer", "account", string(account.ID), "holder", string(vm), "cause", err.Error())
	}
	return share.Decision{Wait: holderWait}
}

// AdmitForPeer answers a VM of this region for which this one is the holder.
func (s *Server) AdmitForPeer(question fleet.AdmissionRequest) fleet.AdmissionReply {
	table := s.opts.Config.Current()
	if table == nil || table.Accounts[question.Account] == nil {
		// The asking VM has a newer configuration; its account is new.
		return fleet.AdmissionReply{IsAdmitted: true}
	}
	verdict := s.admitHere(table.Accounts[question.Account], question.StartsProgram, question.IsRetry, s.opts.Regions)
	return fleet.AdmissionReply{IsAdmitted: verdict.Admitted, Wait: verdict.Wait}
}

// admitHere takes a token of this VM or, if there is none, one of a peer's.
func (s *Server) admitHere(account *routing.Account, starts, again bool, holders int) share.Decision {
	s.mu.Lock()
	s.shares.SetHolders(holders)
	if !again {
		s.shares.RecordRequest(structs.Now(), account.ID, limitOf(account))
	}
	s.mu.Unlock()
	verdict := s.takeToken(account, starts)
	for _, vm := range verdict.Lenders {
		if verdict.Admitted || !s.borrow(vm, account) {
			continue
		}
		verdict = s.takeToken(account, starts)
	}
	return verdict
}

func (s *Server) takeToken(account *routing.Account, starts bool) share.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shares.Admit(structs.Now(), account.ID, limitOf(account), starts)
}

// borrow asks a peer for tokens and reports whether it gave any.
func (s *Server) borrow(vm structs.VMID, account *routing.Account) bool {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	tokens, err := s.opts.Peers.BorrowTokens(ctx, vm, account.ID)
	if err != nil {
		s.log.Warn("no quota tokens borrowed", "account", string(account.ID), "from", string(vm), "cause", err.Error())
		tokens = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.AddBorrowed(structs.Now(), vm, account.ID, limitOf(account), tokens)
	return tokens > 0
}
