package edge

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
)

// In fleets of many VMs, each sends a target little, and the loads that they tell
// one another are older than most requests. There, one VM of each region, the
// placer of the service, picks the targets and keeps the line for all of them.
// When it does not answer, each VM acts by what it knows itself.

const (
	// placeWait is how long one question waits in the placer's line, so that a
	// placer that dies with the line is noticed.
	placeWait = 100 * time.Millisecond
	// placeTimeout is how long the answer may take beside that; a round trip
	// within a region takes 2 ms.
	placeTimeout = 120 * time.Millisecond
	// releaseTimeout bounds the word that a request has ended.
	releaseTimeout = time.Second
	// grantSlack is how long after its request's end a grant whose VM is
	// silent is kept.
	grantSlack = time.Second
)

// grant is a target's slot that a request holds.
type grant struct {
	target placement.Target
	// placer is the VM that counts the slot, empty for this one; number names
	// the grant there.
	placer structs.VMID
	number uint64
	// result and latency are what the target did with the request.
	result  placement.Result
	latency time.Duration
}

// lentGrant is a grant that this VM counts for a peer.
type lentGrant struct {
	target structs.TargetID
	until  structs.Instant
}

// place returns a slot, from the service's placer or by this VM's own view. It
// waits in line for at most hold.
func (s *Server) place(ctx context.Context, query placement.Query, ticket admission.Request, hold, left time.Duration) (*grant, error) {
	if s.opts.Peers.PeerCount() >= smallFleet {
		g, err := s.placeAtPeer(ctx, query, ticket, hold, left)
		if g != nil || err != nil {
			return g, err
		}
	}
	target, err := s.acquire(ctx, query, ticket, hold)
	return &grant{target: target}, err
}

// placeAtPeer asks the placer, again while all targets are full. It returns
// neither a grant nor an error if this VM has to act itself.
func (s *Server) placeAtPeer(ctx context.Context, query placement.Query, ticket admission.Request, hold, left time.Duration) (*grant, error) {
	start := structs.Now()
	for {
		vm, self := s.opts.Peers.Placer(query.Service)
		if self {
			return nil, nil
		}
		now := structs.Now()
		wait := min(placeWait, hold-now.Sub(start))
		if wait <= 0 {
			return nil, &NoFreeSlotError{Service: query.Service, Waited: hold}
		}
		placed, err := s.askPlacer(ctx, vm, fleet.PlacementRequest{
			Service: query.Service, Cached: query.CacheTarget, Exclude: query.Exclude, Domain: s.opts.Domain,
			Priority: ticket.Priority, DueIn: ticket.ProgramDeadline.Sub(now), Wait: wait, TimeLeft: left,
		})
		switch {
		case ctx.Err() != nil:
			return nil, ctx.Err()
		case err != nil:
			s.log.Warn("placer does not answer", "service", string(query.Service), "placer", string(vm), "cause", err.Error())
			return nil, nil
		case placed.HasNoTarget:
			return nil, &NoTargetError{Service: query.Service}
		case placed.Target != "":
			return s.granted(vm, placed), nil
		}
	}
}

func (s *Server) askPlacer(ctx context.Context, vm structs.VMID, p fleet.PlacementRequest) (fleet.PlacementReply, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Wait+placeTimeout)
	defer cancel()
	return s.opts.Peers.RequestPlacement(ctx, vm, p)
}

// granted makes a grant of the placer's answer, nil if this VM does not know the
// target yet.
func (s *Server) granted(vm structs.VMID, placed fleet.PlacementReply) *grant {
	s.mu.Lock()
	target, known := s.targets.Get(placed.Target)
	s.mu.Unlock()
	g := &grant{target: target, placer: vm, number: placed.GrantID}
	if !known {
		s.release(g)
		return nil
	}
	return g
}

// release ends a grant and records what the target did with the request.
func (s *Server) release(g *grant) {
	if g.placer == "" {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.finish(g.target.ID, g.result, g.latency)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		r := fleet.Release{GrantID: g.number, Result: g.result, Latency: g.latency}
		if err := s.opts.Peers.Release(ctx, g.placer, r); err != nil {
			s.log.Info("slot not given back, it expires at the placer", "placer", string(g.placer),
				"target", string(g.target.ID), "cause", err.Error())
		}
	}()
}

// finish counts the end of a request at a target. The caller holds the lock.
func (s *Server) finish(id structs.TargetID, result placement.Result, latency time.Duration) {
	s.targets.RecordResult(structs.Now(), id, result, latency)
	if target, known := s.targets.Get(id); known {
		s.serveLine(target.Service)
	}
}

// PlaceForPeer picks a target for a peer's request.
func (s *Server) PlaceForPeer(ctx context.Context, p fleet.PlacementRequest) fleet.PlacementReply {
	query := placement.Query{Service: p.Service, CacheTarget: p.Cached, Exclude: p.Exclude, Domain: p.Domain}
	now := structs.Now()
	ticket := admission.Request{Priority: p.Priority, ProgramDeadline: now.Add(p.DueIn)}
	target, err := s.acquire(ctx, query, ticket, p.Wait)
	var none *NoTargetError
	if errors.As(err, &none) {
		return fleet.PlacementReply{HasNoTarget: true}
	}
	if err != nil {
		return fleet.PlacementReply{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil { // nobody takes it
		s.finish(target.ID, placement.ResultNone, 0)
		return fleet.PlacementReply{}
	}
	s.lastGrant++
	s.lent[s.lastGrant] = lentGrant{target: target.ID, until: now.Add(p.TimeLeft + grantSlack)}
	return fleet.PlacementReply{Target: target.ID, GrantID: s.lastGrant}
}

// ReleaseForPeer ends a grant that this VM gave a peer.
func (s *Server) ReleaseForPeer(r fleet.Release) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lent, open := s.lent[r.GrantID]; open {
		delete(s.lent, r.GrantID)
		s.finish(lent.target, r.Result, r.Latency)
	}
}

// expireGrants ends the grants of peers that are gone. The caller holds the lock.
func (s *Server) expireGrants(now structs.Instant) {
	for number, lent := range s.lent {
		if now > lent.until {
			delete(s.lent, number)
			s.finish(lent.target, placement.ResultNone, 0)
		}
	}
}
