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
	// result and latency are the outcome of the request at the target.
	result  placement.Result
	latency time.Duration
}

// peerGrant is a grant that this VM counts for a peer.
type peerGrant struct {
	target structs.TargetID
	until  structs.Instant
}

// acquireGrant returns a slot, from the service's placer or from this VM's own
// view. It waits for at most maxWait.
func (s *Server) acquireGrant(ctx context.Context, query placement.Query, request admission.Request, maxWait, timeLeft time.Duration) (*grant, error) {
	if s.needsPlacer(query.Service) {
		g, err := s.acquireFromPlacer(ctx, query, request, maxWait, timeLeft)
		if g != nil || err != nil {
			return g, err
		}
	}
	target, err := s.acquireTarget(ctx, query, request, maxWait)
	return &grant{target: target}, err
}

func (s *Server) needsPlacer(service structs.ServiceID) bool {
	if s.opts.Peers.PeerCount() >= maxUncoordinatedVMs {
		return true
	}
	now := structs.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	running, slots := s.targets.Load(now, service)
	return s.pressure.Update(now, service, running, slots)
}

// acquireFromPlacer asks the placer for a slot, again and again while all targets
// are full or the placer grants one that this VM knows to be leaving. It returns
// neither a grant nor an error if this VM has to pick the target itself.
func (s *Server) acquireFromPlacer(ctx context.Context, query placement.Query, request admission.Request, maxWait, timeLeft time.Duration) (*grant, error) {
	start := structs.Now()
	for {
		vm, self := s.opts.Peers.Placer(query.Service)
		if self {
			return nil, nil
		}
		now := structs.Now()
		wait := min(placerQueueWait, maxWait-now.Sub(start))
		if wait <= 0 {
			return nil, &NoFreeSlotError{Service: query.Service, Waited: maxWait}
		}
		reply, err := s.callPlacer(ctx, vm, fleet.PlacementRequest{
			Service: query.Service, Cached: query.CacheTarget, Exclude: query.Exclude, Domain: s.opts.Domain,
			Priority: request.Priority, DueIn: request.ProgramDeadline.Sub(now), Wait: wait, TimeLeft: timeLeft,
		})
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil:
			s.log.Warn("placer does not answer", "service", string(query.Service), "placer", string(vm), "cause", err.Error())
			return nil, nil
		case reply.HasNoTarget:
			return nil, &NoTargetError{Service: query.Service}
		case reply.Target != "":
			g := s.newPlacerGrant(vm, reply)
			if g == nil || !g.target.IsDraining {
				return g, nil
			}
			s.releaseGrant(g)
			query.Exclude = append(slices.Clone(query.Exclude), g.target.ID)
		}
	}
}

func (s *Server) callPlacer(ctx context.Context, vm structs.VMID, p fleet.PlacementRequest) (fleet.PlacementReply, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Wait+placeTimeout)
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

// releaseGrant ends a grant and records the outcome of the request at the target.
func (s *Server) releaseGrant(g *grant) {
	if g.placer == "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordEnd(g.target.ID, g.result, g.latency)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		r := fleet.Release{GrantID: g.id, Result: g.result, Latency: g.latency}
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
	query := placement.Query{Service: p.Service, CacheTarget: p.Cached, Exclude: p.Exclude, Domain: p.Domain}
	now := structs.Now()
	request := admission.Request{Priority: p.Priority, ProgramDeadline: now.Add(p.DueIn)}
	target, err := s.acquireTarget(ctx, query, request, p.Wait)
	var noTarget *NoTargetError
	if errors.As(err, &noTarget) {
		return fleet.PlacementReply{HasNoTarget: true}
	}
	if err != nil {
		return fleet.PlacementReply{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil { // the peer no longer waits for the grant
		s.recordEnd(target.ID, placement.ResultNone, 0)
		return fleet.PlacementReply{}
	}
	s.lastGrantID++
	s.peerGrants[s.lastGrantID] = peerGrant{target: target.ID, until: now.Add(p.TimeLeft + grantGrace)}
	return fleet.PlacementReply{Target: target.ID, GrantID: s.lastGrantID}
}

// ReleaseForPeer ends a grant that this VM gave a peer.
func (s *Server) ReleaseForPeer(r fleet.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g, isOpen := s.peerGrants[r.GrantID]; isOpen {
		delete(s.peerGrants, r.GrantID)
		s.recordEnd(g.target, r.Result, r.Latency)
	}
}

// expireGrants ends the grants that peers have not released in time. The caller
// holds the lock.
func (s *Server) expireGrants(now structs.Instant) {
	for id, g := range s.peerGrants {
		if now > g.until {
			delete(s.peerGrants, id)
			s.recordEnd(g.target, placement.ResultNone, 0)
		}
	}
}
