package edge

import (
	"context"
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

// earlierPeers is the placer of a build that ignores the restrictions of a query.
type earlierPeers struct {
	*fakePeers
	requests int
}

func (p *earlierPeers) RequestPlacement(ctx context.Context, vm structs.VMID, q fleet.PlacementRequest) (fleet.PlacementReply, error) {
	p.requests++
	q.Regions, q.Evacuated = nil, nil
	return p.fakePeers.RequestPlacement(ctx, vm, q)
}

// newServersInRegions returns VMs with targets "near" and "far" in failure domains and regions
// of these names, and "other" in a second failure domain of the far region.
func newServersInRegions(vms int, placer *int) []*Server {
	isSilent := false
	servers := newServers(vms, 0, placer, &isSilent)
	for _, s := range servers {
		s.opts.Domains = map[structs.DomainID]string{"near": "near", "far": "far", "other": "far"}
		for domain, region := range s.opts.Domains {
			s.targets.Put(placement.Target{ID: structs.TargetID(domain), Service: "s", Domain: domain, Region: region, Slots: slotsPerTarget})
		}
	}
	return servers
}

func acquireFor(t *testing.T, s *Server, query placement.Query, wait time.Duration) (*grant, error) {
	ticket := admission.Request{ProgramDeadline: structs.Now().Add(time.Second)}
	return s.acquireGrant(t.Context(), query, ticket, wait, 2*time.Second)
}

// Guards against the grants of a placer of the previous build: the VM that asks gives back
// what it may not use, at the cost of one more round trip.
func TestGrantOfEarlierPlacerIsChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer := 0
		servers := newServersInRegions(20, &placer)
		earlier := &earlierPeers{fakePeers: servers[1].opts.Peers.(*fakePeers)}
		servers[1].opts.Peers = earlier
		servers[1].UpdateEvacuations([]EvacuationChange{{Domain: "far", Version: 1}}, true)
		for range slotsPerTarget {
			g, err := acquireFor(t, servers[1], placement.Query{Service: "s", Regions: []string{"far"}}, time.Second)
			assert.NilError(t, err)
			assert.Equal(t, g.target.ID, structs.TargetID("other"))
		}
		assert.Assert(t, earlier.requests <= 2*slotsPerTarget, "%d requests for %d grants", earlier.requests, slotsPerTarget)
		time.Sleep(time.Second)
		assert.Equal(t, len(servers[0].peerGrants), slotsPerTarget, "grants that are not used are given back")
		servers[1].UpdateEvacuations([]EvacuationChange{{Domain: "other", Version: 2}}, false)
		_, err := acquireFor(t, servers[1], placement.Query{Service: "s", Regions: []string{"far"}}, time.Second)
		assert.ErrorType(t, err, &NoTargetError{})
		time.Sleep(time.Second)
	})
}

// Guards against a placer that has not heard of an evacuation or of the regions.
func TestPlacerAppliesRestrictionsOfTheVMThatAsks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer := 0
		servers := newServersInRegions(20, &placer)
		servers[1].UpdateEvacuations([]EvacuationChange{{Domain: "far", Version: 1}}, true)
		g, err := acquireFor(t, servers[1], placement.Query{Service: "s", Regions: []string{"far"}}, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, g.target.ID, structs.TargetID("other"))
		assert.Equal(t, servers[1].stats.notPermitted.Get(), uint64(0))
		g, err = acquireFor(t, servers[2], placement.Query{Service: "s", Regions: []string{"far"}, CacheTarget: "far"}, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, g.target.ID, structs.TargetID("far"), "an evacuation that one VM tells of is not in force for others")
		time.Sleep(time.Second)
	})
}

// Guards against slots that stay free because the first waiting request may not use them.
func TestFullRegionHoldsUpNoOtherRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer := -1
		s := newServersInRegions(1, &placer)[0]
		near, far := placement.Query{Service: "s", Regions: []string{"near"}}, placement.Query{Service: "s", Regions: []string{"far"}}
		for range slotsPerTarget {
			_, err := acquireFor(t, s, near, time.Second)
			assert.NilError(t, err)
		}
		waited := make(chan error, 1)
		go func() {
			_, err := s.acquireTarget(t.Context(), near, &admission.Request{}, time.Second, time.Second)
			waited <- err
		}()
		synctest.Wait()
		start := structs.Now()
		_, err := s.acquireTarget(t.Context(), far, &admission.Request{Priority: 1}, time.Second, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, structs.Now(), start, "waited for a request that uses other targets")
		s.mu.Lock()
		s.recordEnd("near", placement.ResultAnswered, time.Millisecond)
		s.mu.Unlock()
		assert.NilError(t, <-waited)
	})
}

// Guards against requests that wait for slots of targets which nobody may use any more.
func TestEvacuationEndsTheWaitOfRequestsWithoutTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer := -1
		s := newServersInRegions(1, &placer)[0]
		near := placement.Query{Service: "s", Regions: []string{"near"}}
		for range slotsPerTarget {
			_, err := acquireFor(t, s, near, time.Second)
			assert.NilError(t, err)
		}
		waited := make(chan error, 1)
		go func() {
			_, err := acquireFor(t, s, near, time.Second)
			waited <- err
		}()
		synctest.Wait()
		start := structs.Now()
		s.UpdateEvacuations([]EvacuationChange{{Domain: "near", Version: 1}}, false)
		assert.ErrorType(t, <-waited, &NoTargetError{})
		assert.Equal(t, structs.Now(), start)
		assert.Equal(t, len(s.waiters), 0)
		assert.Equal(t, s.queue("s").Len(), 0)
	})
}

// Guards against waiting requests that keep to the regions of an older configuration.
func TestWaitingRequestFollowsNewRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		placer := -1
		s := newServersInRegions(1, &placer)[0]
		version := uint64(0)
		s.opts.Config = routing.NewConfig(func(raw []byte) (*routing.Table, error) {
			version++
			route := &routing.Route{Host: "h", Prefix: "/", AllowedRegions: []string{string(raw)}}
			return routing.NewTable(routing.TableContents{Version: version, Routes: []*routing.Route{route}}), nil
		})
		_, err := s.opts.Config.UpdateIfNewer([]byte("near"))
		assert.NilError(t, err)
		s.retryWaiting(t.Context(), time.Now())
		table := s.opts.Config.Current()
		x := &exchange{
			Request: &Request{Host: "h", Path: "/"}, server: s, table: table, route: table.Match("h", "/"),
			service: &routing.Service{ID: "s"}, deadline: structs.Now().Add(2 * time.Second),
		}
		for range slotsPerTarget {
			_, err := acquireFor(t, s, x.query(nil), time.Second)
			assert.NilError(t, err)
		}
		waited := make(chan *grant, 1)
		go func() {
			g, err := x.acquireSlot(t.Context(), x.query(nil))
			assert.Check(t, err)
			waited <- g
		}()
		synctest.Wait()
		_, err = s.opts.Config.UpdateIfNewer([]byte("far"))
		assert.NilError(t, err)
		s.retryWaiting(t.Context(), time.Now())
		assert.Equal(t, (<-waited).target.Region, "far")
		near, _ := s.targets.Get("near")
		assert.ErrorType(t, x.checkPermitted(near), &NotPermittedError{})
	})
}

// regionPeers are peers in different regions and of different builds.
type regionPeers struct {
	*fakePeers
	regions map[structs.VMID]string
	earlier map[structs.VMID]bool
}

func (p *regionPeers) RegionSupport(vm structs.VMID) (string, bool) {
	return p.regions[vm], !p.earlier[vm]
}

// Guards against bodies that are forwarded to VMs which may not hold them, or which would
// send them anywhere.
func TestRequestIsForwardedOnlyThroughVMsThatMayHoldIt(t *testing.T) {
	placer := -1
	s := newServersInRegions(1, &placer)[0]
	p := &regionPeers{
		fakePeers: s.opts.Peers.(*fakePeers),
		regions:   map[structs.VMID]string{"own": "r", "own-earlier": "r", "near": "near", "far": "far"},
		earlier:   map[structs.VMID]bool{"own-earlier": true},
	}
	s.opts.Peers = p
	pickAll := func(regions []string) map[structs.VMID]bool {
		for vm, region := range p.regions {
			s.ReportReach(fleet.Member{VM: vm, Region: region}, true)
		}
		table := routing.NewTable(routing.TableContents{Version: 1})
		s.opts.Config = routing.NewConfig(func([]byte) (*routing.Table, error) { return table, nil })
		_, err := s.opts.Config.UpdateIfNewer(nil)
		assert.NilError(t, err)
		x := &exchange{Request: &Request{}, server: s, table: table, route: &routing.Route{AllowedRegions: regions}}
		picked := make(map[structs.VMID]bool)
		var asked []structs.VMID
		for vm, isFound := x.pickRelay(asked); isFound; vm, isFound = x.pickRelay(asked) {
			asked, picked[vm] = append(asked, vm), true
		}
		return picked
	}
	assert.DeepEqual(t, pickAll([]string{"near"}), map[structs.VMID]bool{"own": true, "near": true})
	assert.Equal(t, len(pickAll(nil)), 4, "without restrictions any VM forwards")
	s.UpdateEvacuations([]EvacuationChange{{Domain: "far", Version: 1}}, true)
	assert.DeepEqual(t, pickAll(nil), map[structs.VMID]bool{"own": true, "near": true, "far": true})
}

// Guards against evacuations that an old row ends, unknown domains, and requests that a VM
// serves before it knows the evacuations.
func TestEvacuationsFollowTheirRows(t *testing.T) {
	placer := -1
	s := newServersInRegions(1, &placer)[0]
	assert.Assert(t, !s.knowsEvacuations() && !s.ReachesTargets())
	s.UpdateEvacuations(nil, true)
	assert.Assert(t, s.knowsEvacuations() && s.ReachesTargets())
	s.UpdateEvacuations([]EvacuationChange{{Domain: "near", Version: 5}, {Domain: "nowhere", Version: 6}}, false)
	s.UpdateEvacuations([]EvacuationChange{{Domain: "near", Version: 4, IsEnded: true}}, false)
	assert.DeepEqual(t, s.Evacuated(), []structs.DomainID{"near"})
	s.UpdateEvacuations(nil, false)
	assert.DeepEqual(t, s.Evacuated(), []structs.DomainID{"near"})
	s.UpdateEvacuations([]EvacuationChange{{Domain: "far", Version: 9}}, true)
	assert.DeepEqual(t, s.Evacuated(), []structs.DomainID{"far"})
	s.UpdateEvacuations([]EvacuationChange{{Domain: "far", Version: 10, IsEnded: true}}, false)
	assert.Equal(t, len(s.Evacuated()), 0)
}
