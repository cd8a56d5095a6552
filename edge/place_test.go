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
)

// peers joins servers in memory. A silent one answers nobody.
type peers struct {
	self    int
	servers []*Server
	alone   bool // the fleet is not known yet
	placer  *int // index of the placer, -1 for none
	silent  *bool
}

func (p *peers) IsMembershipKnown() bool { return !p.alone }

func (p *peers) PeerCount() int { return len(p.servers) - 1 }

func (p *peers) Holder(string) (structs.VMID, bool) { return "", true }

func (p *peers) Placer(structs.ServiceID) (structs.VMID, bool) {
	if *p.placer < 0 {
		return "", true
	}
	return structs.VMID(fmt.Sprint(*p.placer)), *p.placer == p.self
}

func (p *peers) BorrowTokens(context.Context, structs.VMID, structs.AccountID) (int, error) {
	return 0, nil
}

func (p *peers) RequestAdmission(context.Context, structs.VMID, fleet.AdmissionRequest) (fleet.AdmissionReply, error) {
	return fleet.AdmissionReply{}, nil
}

func (p *peers) RequestPlacement(ctx context.Context, _ structs.VMID, q fleet.PlacementRequest) (fleet.PlacementReply, error) {
	if *p.silent {
		<-ctx.Done()
		*p.placer = -1 // a failed call makes it no placer for a while
		return fleet.PlacementReply{}, ctx.Err()
	}
	time.Sleep(2 * time.Millisecond)
	return p.servers[*p.placer].PlaceForPeer(ctx, q), nil
}

func (p *peers) Release(_ context.Context, _ structs.VMID, r fleet.Release) error {
	time.Sleep(time.Millisecond)
	p.servers[0].ReleaseForPeer(r)
	return nil
}

const slotsEach = 6

// startClock moves a test's own time past the start of the process, which instants
// count from.
func startClock() { time.Sleep(time.Until(time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC))) }

// newServers makes VMs that know the same targets.
func newServers(vms, targets int, placer *int, silent *bool) []*Server {
	servers := make([]*Server, vms)
	for i := range servers {
		servers[i] = New(Options{
			VM: structs.VMID(fmt.Sprint(i)), Domain: "d", Region: "r",
			Peers: &peers{self: i, servers: servers, placer: placer, silent: silent},
			Log:   slog.New(slog.DiscardHandler),
		})
		for n := range targets {
			servers[i].targets.Put(placement.Target{
				ID: structs.TargetID(fmt.Sprint("t", n)), Service: "s", Domain: "d", Region: "r", Slots: slotsEach,
			})
		}
	}
	return servers
}

// tellLoads lets each VM tell its loads as seldom as a fleet of many does.
func tellLoads(servers []*Server, rounds int) {
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

// overloads plays requests of 200 ms at 70% of the targets' slots and returns the
// part that found its target over them.
func overloads(placer int) float64 {
	const vms, targets, requests = 20, 10, 2000
	silent := false
	servers := newServers(vms, targets, &placer, &silent)
	var mu sync.Mutex
	running := make(map[structs.TargetID]int)
	over := 0
	go tellLoads(servers, 8)
	var all sync.WaitGroup
	rng := rand.New(rand.NewPCG(3, 4))
	for n := range requests {
		all.Go(func() {
			ticket := admission.Request{ProgramDeadline: structs.Now().Add(time.Second)}
			s := servers[n%vms]
			g, err := s.place(context.Background(), placement.Query{Service: "s"}, ticket, time.Second, 2*time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			running[g.target.ID]++
			if running[g.target.ID] > slotsEach {
				over++
			}
			mu.Unlock()
			time.Sleep(200 * time.Millisecond)
			mu.Lock()
			running[g.target.ID]--
			mu.Unlock()
			g.result = placement.ResultAnswered
			s.release(g)
		})
		time.Sleep(time.Duration(rng.IntN(9600)) * time.Microsecond)
	}
	all.Wait()
	time.Sleep(15 * time.Second)
	return float64(over) / requests
}

// Twenty VMs whose word on their loads is older than the requests overload some
// targets while others idle; a placer knows them all.
func TestPlacerSpreadsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startClock()
		alone, placed := overloads(-1), overloads(0)
		t.Logf("over the slots: %.1f%% alone, %.1f%% placed", 100*alone, 100*placed)
		assert.Assert(t, placed < 0.01, "%.3f of the requests met a target over its slots", placed)
		assert.Assert(t, placed < alone/10, "%.3f, %.3f without a placer", placed, alone)
	})
}

// A placer that falls silent costs a request little, and the grants of a VM that
// is gone end.
func TestPlacerMayFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		startClock()
		placer, silent := 0, false
		servers := newServers(20, 1, &placer, &silent)
		ticket := admission.Request{ProgramDeadline: structs.Now().Add(time.Second)}
		query := placement.Query{Service: "s"}
		for range slotsEach {
			g, err := servers[1].place(t.Context(), query, ticket, time.Second, 2*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, g.placer, structs.VMID("0"))
		}
		_, err := servers[2].place(t.Context(), query, ticket, 500*time.Millisecond, 2*time.Second)
		assert.ErrorType(t, err, &NoFreeSlotError{})
		time.Sleep(3100 * time.Millisecond) // the VM that holds the slots is gone
		servers[0].mu.Lock()
		servers[0].expireGrants(structs.Now())
		servers[0].mu.Unlock()
		g, err := servers[2].place(t.Context(), query, ticket, 500*time.Millisecond, 2*time.Second)
		assert.NilError(t, err)
		servers[2].release(g)
		silent = true
		start := structs.Now()
		g, err = servers[2].place(t.Context(), query, ticket, time.Second, 2*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, g.placer, structs.VMID(""))
		assert.Assert(t, structs.Now().Sub(start) <= placeWait+placeTimeout)
		time.Sleep(time.Second)
	})
}

// A VM that has just started does not count quota by itself before it knows the
// fleet: many such VMs would each admit some requests of an account.
func TestQuotaWaitsForTheFleet(t *testing.T) {
	p := &peers{alone: true}
	s := New(Options{VM: "1", Domain: "d", Region: "r", Peers: p, QuotaSlack: 20, Regions: 2, Log: slog.New(slog.DiscardHandler)})
	account := &routing.Account{ID: "account", Rate: 10, Burst: 20}
	verdict := s.admitAccount(account, false, false)
	assert.Assert(t, !verdict.Admitted && verdict.Wait == learnWait)
	p.alone = false
	assert.Assert(t, s.admitAccount(account, false, true).Admitted)
}
