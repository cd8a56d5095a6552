package edge

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
	"github.com/endivecourse/endivecourse/wire"
)

// In a fleet of many VMs, each VM sends few requests to a target, and the loads
// that VMs report to one another are older than most requests. There, one VM of
// each region, the placement coordinator (the placer) of the service, picks the
// targets and keeps the queue for all VMs of the region. In a small fleet this is
// done only while the service is under pressure. If the placer does not answer, each
// VM decides from its own view.

const (
	// placerQueueWait is how long one request to the placer waits in its queue. It
	// is short so that a VM notices when the placer has failed together with its
	// queue.
	placerQueueWait = 100 * time.Millisecond
	// minPlacerWait is the shortest wait for which the placer is asked again. With the last
	// reply comes the retry delay, so that the last wait must not be used up on the way.
	minPlacerWait = 20 * time.Millisecond
	// placeTimeout is how long the placer's reply may take beyond the wait in its
	// queue; a round trip within a region takes 2 ms.
	placeTimeout = 120 * time.Millisecond
	// releaseTimeout bounds the call that releases a grant.
	releaseTimeout = time.Second
	// grantGrace is how long a grant of a peer that does not release it is kept
	// after the deadline of its request.
	grantGrace = time.Second
)

// grant is a slot of a target that a request holds.
type grant struct {
	target placement.Target
	// placer is the VM that counts the slot, empty for this VM; id identifies the
	// grant at the placer.
	placer structs.VMID
	id     uint64
	// request is the request that holds the slot if this VM counts it.
	request *admission.Request
	// result and latency are the outcome of the request at the target.
	result  placement.Result
	latency time.Duration
	// failedAt is when the connection to the target failed or broke, 0 if it did not.
	failedAt structs.Instant
}

// peerGrant is a grant that this VM counts for a peer.
type peerGrant struct {
	target  structs.TargetID
	until   structs.Instant
	service structs.ServiceID
	request *admission.Request
}

// acquireGrant returns a slot, from the service's placer or from this VM's own
// view. It waits for at most maxWait.
func (s *Server) acquireGrant(ctx context.Context, query placement.Query, request admission.Request, maxWait, timeLeft time.Duration) (*grant, error) {
	s.describeConnections(&query)
	s.isCoordinated.Store(s.opts.Peers.PeerCount() >= maxUncoordinatedVMs)
	start := structs.Now()
	request.Arrived, request.Ticket = start, newTicket()
	if s.needsPlacer(query.Service) {
		if vm, self := s.opts.Peers.Placer(query.Service); !self {
			g, err := s.acquireFromPlacer(ctx, vm, query, request, maxWait, timeLeft)
			if g != nil || err != nil {
				return g, err
			}
			// The placer's share of the named rates is not this VM's to use.
			query.RateFraction = 1 / float64(s.opts.Peers.PeerCount()+1)
			maxWait -= structs.Now().Sub(start)
		}
	}
	target, err := s.acquireTarget(ctx, query, &request, maxWait, maxWait)
	return &grant{target: target, request: &request}, err
}

// needsPlacer reports whether the targets of a service are picked by its placer: in a
// large fleet, under pressure, and while a target names a rate that all VMs share or is
// cold.
func (s *Server) needsPlacer(service structs.ServiceID) bool {
	if s.opts.Peers.PeerCount() >= maxUncoordinatedVMs {
		return true
	}
	now := structs.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets.HasRate(now, service) {
		return true
	}
	running, slots := s.targets.Load(now, service)
	return s.pressure.Update(now, service, running, slots)
}

// acquireFromPlacer asks the placer for a slot, again and again while all targets
// are full or the placer grants one that it should not by what this VM knows. It
// returns neither a grant nor an error if this VM has to pick the target itself.
func (s *Server) acquireFromPlacer(ctx context.Context, vm structs.VMID, query placement.Query, request admission.Request, maxWait, timeLeft time.Duration) (*grant, error) {
	start := structs.Now()
	var rates map[structs.TargetID]targetrate.Observation
	var departures map[structs.TargetID]placement.Incarnation
	limits := s.regionLimits()
	var cold coldGrants
	for {
		if s.regionLimits() != limits {
			return nil, &RegionsChangedError{Service: query.Service}
		}
		now := structs.Now()
		wait := placerWait(maxWait - now.Sub(start))
		if wait <= 0 {
			return nil, &NoFreeSlotError{Service: query.Service, Waited: maxWait}
		}
		reply, err := s.callPlacer(ctx, vm, fleet.PlacementRequest{
			Service: query.Service, Cached: query.CacheTarget, Exclude: query.Exclude, Domain: s.opts.Domain,
			Priority: request.Priority, DueIn: request.ProgramDeadline.Sub(now), Wait: wait, TimeLeft: timeLeft - now.Sub(start),
			Patience: maxWait - now.Sub(start), Rates: rates, Departures: departures,
			VM: query.Group, Connected: reportedConnections(query), DomainDelay: query.DomainDelay,
			Regions: query.Regions, Evacuated: append(s.Evacuated(), query.Evacuated...),
			Account: request.Account, StartsProgram: request.StartsProgram, Weight: request.Weight,
			Ticket: request.Ticket, Waited: now.Sub(request.Arrived), WorthlessIn: worthlessIn(now, request),
		})
		switch {
		case ctx.Err() != nil:
			if err == nil && reply.Target != "" {
				s.releaseGrant(&grant{placer: vm, id: reply.GrantID}) // the caller has left
			}
			return nil, ctx.Err()
		case err != nil:
			s.log.Warn("placer does not answer", "service", string(query.Service), "placer", string(vm), "cause", err.Error())
			return nil, nil
		case reply.HasNoTarget:
			return nil, cold.noTarget(s, query.Service)
		case reply.RateWait > 0:
			return nil, &RateLimitedError{Service: query.Service, Wait: reply.RateWait}
		case reply.RetryAfter > 0:
			return nil, placerRefusal(query.Service, now.Sub(start), maxWait, reply.RetryAfter)
		case reply.Target != "":
			g := s.newPlacerGrant(vm, reply)
			if g == nil {
				return nil, nil
			}
			rate, isMissed := s.rateMissedBy(reply)
			_, isSent := rates[reply.Target]
			switch {
			case !s.isPermitted(g.target, query):
				s.excludeForbidden(&query, vm, reply.Target)
			case g.target.IsDraining:
				query.Exclude = append(slices.Clone(query.Exclude), reply.Target)
				departures = s.knownDepartures()
			case isMissed && !isSent:
				if rates == nil {
					rates = make(map[structs.TargetID]targetrate.Observation)
				}
				rates[reply.Target] = rate
			case isMissed && !cold.mayUse(s, reply.Target):
				query.Exclude = append(slices.Clone(query.Exclude), reply.Target)
			default:
				return g, nil
			}
			s.releaseGrant(g)
		}
		s.refreshConnections(&query)
		var self bool
		if vm, self = s.opts.Peers.Placer(query.Service); self {
			return nil, nil
		}
	}
}

// placerWait returns how long the next request to the placer waits in its queue.
func placerWait(left time.Duration) time.Duration {
	if left < placerQueueWait+minPlacerWait {
		return left
	}
	return placerQueueWait
}

func (s *Server) callPlacer(ctx context.Context, vm structs.VMID, p fleet.PlacementRequest) (fleet.PlacementReply, error) {
	ctx, cancel := wire.WithReplyTimeout(ctx, p.Wait+placeTimeout)
	defer cancel()
	return s.opts.Peers.RequestPlacement(ctx, vm, p)
}

// newPlacerGrant returns the grant in the placer's reply, or nil if this VM does
// not know the target yet.
func (s *Server) newPlacerGrant(vm structs.VMID, reply fleet.PlacementReply) *grant {
	s.mu.Lock()
	target, known := s.targets.Get(reply.Target)
	s.mu.Unlock()
	g := &grant{target: target, placer: vm, id: reply.GrantID}
	if !known {
		s.releaseGrant(g)
		return nil
	}
	return g
}

// rateMissedBy applies what a placer's reply says of the target's named rate and cold
// period, and returns what this VM knows of them if the placer does not.
func (s *Server) rateMissedBy(reply fleet.PlacementReply) (targetrate.Observation, bool) {
	now := structs.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply.Rate != nil {
		s.learnRate(now, reply.Target, *reply.Rate, "placer")
	}
	known, _ := s.targets.Rates.Get(now, reply.Target)
	return known, missesRate(known, reply)
}

// releaseGrant ends a grant and records the outcome of the request at the target.
func (s *Server) releaseGrant(g *grant) {
	if g.placer == "" {
		result := g.result
		if g.failedAt != 0 && s.paths.lostSince(g.failedAt) {
			result = placement.ResultNone
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endSlot(g.target.Service, g.request)
		s.recordEnd(g.target.ID, result, g.latency)
		return
	}
	go func() {
		r := fleet.Release{GrantID: g.id, Result: s.resultOf(g), Latency: g.latency}
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		if err := s.opts.Peers.Release(ctx, g.placer, r); err != nil {
			s.log.Info("slot not given back, it expires at the placer", "placer", string(g.placer),
				"target", string(g.target.ID), "cause", err.Error())
		}
	}()
}

// recordEnd records that a request at a target has ended. The caller holds the
// lock.
func (s *Server) recordEnd(id structs.TargetID, result placement.Result, latency time.Duration) {
	s.targets.RecordResult(structs.Now(), id, result, latency)
	if target, known := s.targets.Get(id); known {
		s.grantFreeSlots(target.Service)
	}
}

// PlaceForPeer picks a target for a peer's request.
func (s *Server) PlaceForPeer(ctx context.Context, p fleet.PlacementRequest) fleet.PlacementReply {
	query := placement.Query{
		Service: p.Service, CacheTarget: p.Cached, Exclude: p.Exclude, Domain: p.Domain,
		Group: p.VM, Connected: connectedSet(p.Connected), DomainDelay: p.DomainDelay,
		Regions: p.Regions, Evacuated: p.Evacuated,
	}
	s.isCoordinated.Store(s.opts.Peers.PeerCount() >= maxUncoordinatedVMs)
	now := structs.Now()
	request := peerRequest(now, p)
	s.learnRates(now, p.Rates)
	s.mu.Lock()
	s.learnDepartures(now, p.Departures, "request of a peer")
	s.mu.Unlock()
	target, err := s.acquireTarget(ctx, query, request, p.Wait, max(p.Wait, p.Patience))
	var noTarget *NoTargetError
	var limited *RateLimitedError
	var noFreeSlot *NoFreeSlotError
	var overloaded *OverloadedError
	switch {
	case errors.As(err, &noTarget):
		return fleet.PlacementReply{HasNoTarget: true}
	case errors.As(err, &limited):
		return fleet.PlacementReply{RateWait: limited.Wait}
	case errors.As(err, &overloaded):
		return fleet.PlacementReply{RetryAfter: overloaded.RetryAfter}
	case errors.As(err, &noFreeSlot):
		return fleet.PlacementReply{RetryAfter: noFreeSlot.RetryAfter}
	case err != nil:
		return fleet.PlacementReply{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil { // the peer no longer waits for the grant
		s.endSlot(p.Service, request)
		s.recordEnd(target.ID, placement.ResultNone, 0)
		return fleet.PlacementReply{}
	}
	s.lastGrantID++
	s.peerGrants[s.lastGrantID] = peerGrant{
		target: target.ID, until: now.Add(p.TimeLeft + grantGrace), service: p.Service, request: request,
	}
	reply := fleet.PlacementReply{Target: target.ID, GrantID: s.lastGrantID}
	if rate, isKnown := s.targets.Rates.Get(structs.Now(), target.ID); isKnown {
		reply.Rate = &rate
	}
	return reply
}

// ReleaseForPeer ends a grant that this VM gave a peer.
func (s *Server) ReleaseForPeer(r fleet.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, isOpen := s.peerGrants[r.GrantID]; isOpen {
		delete(s.peerGrants, r.GrantID)
		s.endSlot(g.service, g.request)
		s.recordEnd(g.target, r.Result, r.Latency)
	}
}

// expireGrants ends the grants that peers have not released in time. The caller
// holds the lock.
func (s *Server) expireGrants(now structs.Instant) {
	for id, g := range s.peerGrants {
		if now > g.until {
			delete(s.peerGrants, id)
			s.endSlot(g.service, g.request)
			s.recordEnd(g.target, placement.ResultNone, 0)
		}
	}
}
