package edge

import (
	"context"
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
)

const (
	testColdRate   = 24
	coldAllowed    = testColdRate*3/2 + 5 // in any second, from all VMs
	testColdPeriod = 3 * time.Second
)

// useColdRate gives the servers a configuration whose service "s" has cold targets.
func useColdRate(t *testing.T, servers []*Server) {
	config := routing.NewConfig(func([]byte) (*routing.Table, error) {
		return routing.NewTable(routing.TableContents{Version: 1, Services: []*routing.Service{{ID: "s", ColdRate: testColdRate, ColdStart: testColdPeriod}}}), nil
	})
	_, err := config.UpdateIfNewer(nil)
	assert.NilError(t, err)
	for _, s := range servers {
		s.opts.Config = config
		s.updateReach()
	}
}

// listCold updates a server's entry of a target.
func listCold(s *Server, id structs.TargetID, left time.Duration) {
	target, _ := s.targets.Get(id)
	target.ColdFor = left
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addTarget(target)
}

// grantTimes collects when requests were granted a target.
type grantTimes struct {
	mu    sync.Mutex
	times []structs.Instant
}

// send sends requests to a server for a time, one each period.
func (g *grantTimes) send(t *testing.T, s *Server, id structs.TargetID, period, d time.Duration) {
	for until := structs.Now().Add(d); structs.Now() < until; time.Sleep(period) {
		ticket := admission.Request{ProgramDeadline: structs.Now().Add(time.Second)}
		granted, err := s.acquireGrant(t.Context(), placement.Query{Service: "s"}, ticket, time.Second, 2*time.Second)
		if err != nil {
			assert.Check(t, err)
			return
		}
		if granted.target.ID == id {
			g.mu.Lock()
			g.times = append(g.times, structs.Now())
			g.mu.Unlock()
		}
		granted.result, granted.latency = placement.ResultAnswered, time.Millisecond
		s.releaseGrant(granted)
	}
}

func (g *grantTimes) mostInOneSecond() int {
	most, first := 0, 0
	for i, at := range g.times {
		for at.Sub(g.times[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a placer that reads a target's entry later than the VM that asks.
func TestPlacerLearnsOfAColdTargetFromTheVMThatAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := 0, false
		servers := newServers(20, 2, &placer, &isSilent)
		useColdRate(t, servers)
		listCold(servers[1], "t0", testColdPeriod)
		var got grantTimes
		got.send(t, servers[1], "t0", 5*time.Millisecond, testColdPeriod-100*time.Millisecond)
		assert.Assert(t, got.mostInOneSecond() <= coldAllowed, "%d requests in a second", got.mostInOneSecond())
		assert.Assert(t, len(got.times) >= testColdRate, "%d requests in the cold period", len(got.times))
		_, isCold := servers[0].targets.Rates.Cold(structs.Now(), "t0")
		assert.Assert(t, isCold)
		time.Sleep(time.Second)
	})
}

// Guards against a placer of the release before cold rates, which grants a cold target at
// any rate: here, one that forgets what it is told.
func TestGrantsOfAPlacerThatKnowsNoColdTargetsAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := 0, false
		servers := newServers(20, 2, &placer, &isSilent)
		useColdRate(t, servers)
		for _, s := range servers[1:] {
			s.opts.Peers = forgetfulPlacer{s.opts.Peers.(*fakePeers)}
			listCold(s, "t0", testColdPeriod)
		}
		var got grantTimes
		var wg sync.WaitGroup
		for _, s := range servers[1:] {
			wg.Go(func() { got.send(t, s, "t0", 50*time.Millisecond, testColdPeriod-300*time.Millisecond) })
		}
		wg.Wait()
		assert.Assert(t, got.mostInOneSecond() <= coldAllowed, "%d requests in a second", got.mostInOneSecond())
		time.Sleep(time.Second)
	})
}

func TestColdRateHoldsWhilePlacerIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := 0, true
		servers := newServers(20, 2, &placer, &isSilent)
		useColdRate(t, servers)
		var got grantTimes
		var wg sync.WaitGroup
		for _, s := range servers[1:] {
			s.opts.Peers.(*fakePeers).staysPlacer = true
			listCold(s, "t0", testColdPeriod)
			wg.Go(func() { got.send(t, s, "t0", 5*time.Millisecond, testColdPeriod-300*time.Millisecond) })
		}
		wg.Wait()
		assert.Assert(t, got.mostInOneSecond() <= coldAllowed, "%d requests in a second", got.mostInOneSecond())
		time.Sleep(time.Second)
	})
}

// Guards against requests that wait in vain while a failure domain comes back and all
// targets are cold: they are refused at once, with a wait that does not exceed the period.
func TestRequestsBeyondAllColdRatesAreRefusedAtOnceWithTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := -1, false
		s := newServers(1, 3, &placer, &isSilent)[0]
		useColdRate(t, []*Server{s})
		for _, id := range []structs.TargetID{"t0", "t1", "t2"} {
			listCold(s, id, testColdPeriod)
		}
		granted, refused := 0, 0
		var mu sync.Mutex
		var wg sync.WaitGroup
		for range 200 {
			wg.Go(func() {
				start := structs.Now()
				target, err := s.acquireTarget(t.Context(), placement.Query{Service: "s"}, &admission.Request{}, 500*time.Millisecond, 500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					granted++
					s.mu.Lock()
					s.recordEnd(target.ID, placement.ResultAnswered, time.Millisecond)
					s.mu.Unlock()
					return
				}
				refused++
				assert.ErrorType(t, err, &RateLimitedError{})
				wait := err.(*RateLimitedError).Wait
				assert.Equal(t, structs.Now(), start)
				assert.Assert(t, wait > 500*time.Millisecond && wait <= testColdPeriod+retryPeriod, "told to wait %s", wait)
			})
		}
		for range 20 {
			time.Sleep(retryPeriod)
			s.retryWaiting(t.Context(), time.Now())
		}
		wg.Wait()
		assert.Assert(t, granted > 0 && granted <= 3*coldAllowed, "%d granted", granted)
		assert.Equal(t, granted+refused, 200)
	})
}

// Guards against entries that are read before the first configuration.
func TestColdEntryCountsOnceTheConfigurationArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer, isSilent := -1, false
		s := newServers(1, 1, &placer, &isSilent)[0]
		listCold(s, "t0", testColdPeriod)
		useColdRate(t, []*Server{s})
		_, err := s.acquireTarget(t.Context(), placement.Query{Service: "s"}, &admission.Request{}, time.Millisecond, time.Millisecond)
		assert.Assert(t, err != nil, "no token yet")
		cold, isCold := s.targets.Rates.Cold(structs.Now(), "t0")
		assert.Assert(t, isCold && cold.Rate == testColdRate)
	})
}

// A VM that does not know its peers has no part of the rate.
func TestVMWithoutPeersUsesNoColdRate(t *testing.T) {
	s := New(Options{Peers: &fakePeers{isMembershipUnknown: true}})
	s.updateReach()
	assert.Equal(t, s.targets.Rates.ReachPart(), 0.0)
	s.targets.Rates.SetCold(structs.Now(), "t0", testColdRate, testColdPeriod)
	for _, fraction := range []float64{0, 0.5} {
		share, isLimited := s.targets.Rates.Share(structs.Now(), "t0", fraction)
		assert.Assert(t, isLimited && share == 0)
	}
	s.opts.Peers = &fakePeers{reach: &targetrate.Reach{Placers: 1, KnownPlacers: 12, Regions: 1, KnownRegions: 2, VMs: 76, MayPlace: true}}
	s.updateReach()
	assert.Equal(t, s.targets.Rates.ReachPart(), 1.0/24)
}

// forgetfulPlacer passes on placement requests and replies without cold periods.
type forgetfulPlacer struct{ *fakePeers }

func (p forgetfulPlacer) RequestPlacement(ctx context.Context, vm structs.VMID, q fleet.PlacementRequest) (fleet.PlacementReply, error) {
	q.Rates = nil
	reply, err := p.fakePeers.RequestPlacement(ctx, vm, q)
	reply.Rate = nil
	return reply, err
}
