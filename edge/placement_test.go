package edge

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
	"github.com/endivecourse/endivecourse/wire"
)

// fakePeers connects servers in memory. While isSilent is set, the placer does not
// answer.
type fakePeers struct {
	self                int
	servers             []*Server
	isMembershipUnknown bool // no member list has been read yet
	placer              *int // index of the placer, -1 for none
	isSilent            *bool
	staysPlacer         bool         // also after it did not answer
	holder              structs.VMID // of all accounts, empty for this VM
	reach               *targetrate.Reach
}

func (p *fakePeers) IsMembershipKnown() bool { return !p.isMembershipUnknown }

func (p *fakePeers) PeerCount() int { return len(p.servers) - 1 }

func (p *fakePeers) RosterSize() int { return len(p.servers) }

func (p *fakePeers) IsCutOff() bool { return false }

func (p *fakePeers) QuotaHolders(string) (near, far []structs.VMID) {
	if p.holder == "" {
		return []structs.VMID{p.servers[p.self].opts.VM}, nil
	}
	return []structs.VMID{p.holder}, nil
}

func (p *fakePeers) HoldsQuotaSince(string) (structs.Instant, bool) { return 0, p.holder == "" }

func (p *fakePeers) Placer(structs.ServiceID) (structs.VMID, bool) {
	if *p.placer < 0 {
		return "", true
	}
	return structs.VMID(fmt.Sprint(*p.placer)), *p.placer == p.self
}

func (p *fakePeers) PlacerReach() targetrate.Reach {
	if p.reach != nil {
		return *p.reach
	}
	return targetrate.Reach{Placers: 1, KnownPlacers: 1, Regions: 1, KnownRegions: 1, VMs: len(p.servers), MayPlace: true}
}

func (p *fakePeers) BorrowTokens(context.Context, structs.VMID, structs.AccountID) (int, error) {
	return 0, nil
}

func (p *fakePeers) RequestAdmission(context.Context, structs.VMID, fleet.AdmissionRequest) (fleet.AdmissionReply, error) {
	return fleet.AdmissionReply{}, nil
}

func (p *fakePeers) RequestPlacement(ctx context.Context, _ structs.VMID, q fleet.PlacementRequest) (fleet.PlacementReply, error) {
	if *p.isSilent {
		<-ctx.Done()
		if p.staysPlacer {
			return fleet.PlacementReply{}, ctx.Err()
		}
		*p.placer = -1 // a VM that failed a call is not a placer for a while
		return fleet.PlacementReply{}, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	return p.servers[*p.placer].PlaceForPeer(ctx, q), nil
}

func (p *fakePeers) Release(_ context.Context, _ structs.VMID, r fleet.Release) error {
	time.Sleep(time.Millisecond)
	p.servers[0].ReleaseForPeer(r)
	return nil
}

func (p *fakePeers) RegionSupport(structs.VMID) (string, bool) { return "r", true }

func (p *fakePeers) Forward(context.Context, structs.VMID, fleet.ForwardRequest) (fleet.ForwardStream, error) {
	return nil, &wire.NotSentError{}
}

const slotsPerTarget = 6

// advanceClock moves the test's virtual time past the start of the process, since
// instants count from that start.
func advanceClock() { time.Sleep(time.Until(time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC))) }

// newServers returns VMs that know the same targets.
func newServers(vms, targets int, placer *int, isSilent *bool) []*Server {
	servers := make([]*Server, vms)
	for i := range servers {
		servers[i] = New(Options{
			VM: structs.VMID(fmt.Sprint(i)), Domain: "d", Region: "r",
			Peers: &fakePeers{self: i, servers: servers, placer: placer, isSilent: isSilent},
			Log:   slog.New(slog.DiscardHandler),
		})
		for n := range targets {
			servers[i].targets.Put(placement.Target{
				ID: structs.TargetID(fmt.Sprint("t", n)), Service: "s", Domain: "d", Region: "r", Slots: slotsPerTarget,
			})
		}
	}
	return servers
}

// exchangeLoads reports the loads of each VM to all others, every 1.6 s as in a
// large fleet.
func exchangeLoads(servers []*Server, rounds int) {
	for range rounds {
		time.Sleep(1600 * time.Millisecond)
		for i, from := range servers {
			for j, to := range servers {
				if i == j {
					continue
				}
				from.mu.Lock()
				loads := from.targets.LoadReport()
				from.mu.Unlock()
				to.mu.Lock()
				to.targets.Report(structs.Now(), structs.VMID(fmt.Sprint(i)), loads)
				to.mu.Unlock()
			}
		}
	}
}

// overloadedShare runs requests of 200 ms each at 70% of the targets' slots and
// returns the fraction that met a target with more requests than slots.
func overloadedShare(placer int) float64 {
	const vms, targets, requests = 20, 10, 2000
	isSilent := false
	servers := newServers(vms, targets, &placer, &isSilent)
	var mu sync.Mutex
	running := make(map[structs.TargetID]int)
	over := 0
	go exchangeLoads(servers, 8)
	var wg sync.WaitGroup
	rng := rand.New(rand.NewPCG(3, 4))
	for n := range requests {
		wg.Go(func() {
			ticket := admission.Request{ProgramDeadline: structs.Now().Add(time.Second)}
			s := servers[n%vms]
			g, err := s.acquireGrant(context.Background(), placement.Query{Service: "s"}, ticket, time.Second, 2*time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			running[g.target.ID]++
			if running[g.target.ID] > slotsPerTarget {
				over++
			}
			mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			mu.Lock()
			running[g.target.ID]--
			mu.Unlock()
			g.result = placement.ResultAnswered
			s.releaseGrant(g)
		})
		time.Sleep(time.Duration(rng.IntN(9600)) * time.Microsecond)
	}
	wg.Wait()
	time.Sleep(15 * time.Second)
	return float64(over) / requests
}

// Twenty VMs whose load reports are older than the requests overload some targets
// while others idle. A placer knows the current load of all targets.
func TestPlacerAvoidsOverloadedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		withoutPlacer, withPlacer := overloadedShare(-1), overloadedShare(0)
		t.Logf("requests at overloaded targets: %.1f%% without a placer, %.1f%% with one", 100*withoutPlacer, 100*withPlacer)
		assert.Assert(t, withPlacer < 0.01, "%.3f of the requests met a target with more requests than slots", withPlacer)
		assert.Assert(t, withPlacer < withoutPlacer/10, "fraction at overloaded targets: %.3f with a placer, %.3f without", withPlacer, withoutPlacer)
	})
}

// A placer that stops answering delays a request by at most one timeout, and the
// grants of a VM that has failed expire.
func TestSilentPlacerIsBypassedAndLostGrantsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := 0, false
		servers := newServers(20, 1, &placer, &isSilent)
		ticket := admission.Request{ProgramDeadline: structs.Now().Add(time.Second)}
		query := placement.Query{Service: "s"}
		for range slotsPerTarget {
			g, err := servers[1].acquireGrant(t.Context(), query, ticket, time.Second, 2*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, g.placer, structs.VMID("0"))
		}
		_, err := servers[2].acquireGrant(t.Context(), query, ticket, 500*time.Millisecond, 2*time.Second)
		assert.ErrorType(t, err, &NoFreeSlotError{})
		time.Sleep(3100 * time.Millisecond) // the VM that holds the slots has failed
		servers[0].mu.Lock()
		servers[0].expireGrants(structs.Now())
		servers[0].mu.Unlock()
		g, err := servers[2].acquireGrant(t.Context(), query, ticket, 500*time.Millisecond, 2*time.Second)
		assert.NilError(t, err)
		servers[2].releaseGrant(g)
		isSilent = true
		start := structs.Now()
		g, err = servers[2].acquireGrant(t.Context(), query, ticket, time.Second, 2*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, g.placer, structs.VMID(""))
		assert.Assert(t, structs.Now().Sub(start) <= placerQueueWait+placeTimeout)
		time.Sleep(time.Second)
	})
}

// A VM that has just started does not admit requests by its own quota before it
// knows its peers: many such VMs would each admit some requests of an account, and
// together exceed its limit.
func TestQuotaIsRefusedUntilMembershipIsKnown(t *testing.T) {
	p := &fakePeers{isMembershipUnknown: true}
	s := New(Options{VM: "1", Domain: "d", Region: "r", Peers: p, QuotaSlack: 20, Regions: 2, Log: slog.New(slog.DiscardHandler)})
	account := &routing.Account{ID: "account", Rate: 10, Burst: 20}
	verdict, _ := s.admitAccount(account, false, 0)
	assert.Assert(t, !verdict.Admitted && verdict.Wait == membershipRetryAfter)
	p.isMembershipUnknown = false
	verdict, _ = s.admitAccount(account, false, 0)
	assert.Assert(t, verdict.Admitted)
}

// Guards against a slot that is given away twice: a late call to give back a grant of the
// placer's earlier process must not end a grant of its present one.
func TestLateReleaseEndsNoGrantOfALaterProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		isSilent := false
		grantAll := func() (placer *Server, grants []*grant) {
			servers := newServers(20, 1, new(int), &isSilent)
			for range slotsPerTarget {
				ticket := admission.Request{ProgramDeadline: structs.Now().Add(time.Second)}
				g, err := servers[1].acquireGrant(t.Context(), placement.Query{Service: "s"}, ticket, time.Second, 2*time.Second)
				assert.NilError(t, err)
				grants = append(grants, g)
			}
			return servers[0], grants
		}
		_, earlier := grantAll()
		restarted, _ := grantAll()
		for _, g := range earlier {
			restarted.ReleaseForPeer(fleet.Release{GrantID: g.id})
		}
		restarted.mu.Lock()
		defer restarted.mu.Unlock()
		assert.Equal(t, len(restarted.peerGrants), slotsPerTarget)
	})
}
