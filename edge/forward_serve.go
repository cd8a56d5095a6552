package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// forwardPieceBytes bounds the data in one reply, of which 64 may be under way to a peer
	// that reads slowly.
	forwardPieceBytes = 8 << 10
	// maxForwarding bounds the requests of peers that a VM forwards at a time.
	maxForwarding = 256
	// forwardedPollPeriod is how often AwaitForwarded looks.
	forwardedPollPeriod = 20 * time.Millisecond
)

// ForwardForPeer sends a peer's request to a target and passes the response to send.
func (s *Server) ForwardForPeer(ctx context.Context, req fleet.ForwardRequest, send func(fleet.ForwardReply) error) error {
	if !s.knowsEvacuations() || !s.paths.beginForwarding() {
		return send(fleet.ForwardReply{IsUnavailable: true})
	}
	defer s.paths.endForwarding()
	if !s.requestBodies.Take(len(req.Body)) {
		return send(fleet.ForwardReply{IsUnavailable: true})
	}
	defer s.requestBodies.Give(len(req.Body))
	s.mu.Lock()
	s.learnDepartures(structs.Now(), req.Departures, "request of a peer")
	s.mu.Unlock()
	out := &forwardResponder{send: send}
	x := s.newForwardedExchange(req, out)
	out.exchange = x
	ctx, cancel := context.WithTimeout(ctx, req.TimeLeft)
	defer cancel()
	ctx, release := s.untilStop(ctx)
	defer release()
	refusal := x.dispatch(ctx, req.Body)
	if refusal == nil {
		return out.err
	}
	s.recordOutcome(x, refusal)
	isUnavailable := x.sends == 0 && s.paths.isLost()
	return send(fleet.ForwardReply{Refusal: refusal, IsUnavailable: isUnavailable, Sends: x.sends})
}

func (p *targetPaths) beginForwarding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.health.IsLost() || p.isDraining || p.forwarding >= maxForwarding {
		return false
	}
	p.forwarding++
	return true
}

func (p *targetPaths) endForwarding() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwarding--
}

// StopForwarding makes this VM take no more requests of peers.
func (s *Server) StopForwarding() {
	s.paths.mu.Lock()
	defer s.paths.mu.Unlock()
	s.paths.isDraining = true
}

// AwaitForwarded waits until the requests of peers that are in progress have ended, or ctx
// has.
func (s *Server) AwaitForwarded(ctx context.Context) error {
	for {
		s.paths.mu.Lock()
		forwarding := s.paths.forwarding
		s.paths.mu.Unlock()
		if forwarding == 0 {
			return nil
		}
		select {
		case <-time.After(forwardedPollPeriod):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// newForwardedExchange returns the exchange of a peer's request. The peer has admitted it
// and keeps its turn, so here it is a request that is only sent.
func (s *Server) newForwardedExchange(req fleet.ForwardRequest, out Responder) *exchange {
	now := structs.Now()
	x := &exchange{
		Request: &Request{
			ID: req.ID, Method: req.Method, Host: req.Host, URI: req.URI, Header: req.Header, Body: req.Body, LastEvent: req.LastEvent,
			Arrived: now, Deadline: now.Add(req.TimeLeft), Program: req.Program, ProgramDeadline: now.Add(req.DueIn),
		},
		server: s, out: out,
		route:        &routing.Route{Name: req.Route, Kind: req.Kind, MaxAttempts: req.MaxSends, Priority: req.Priority},
		service:      &routing.Service{ID: req.Service},
		deadline:     now.Add(req.TimeLeft),
		fingerprint:  req.Fingerprint,
		forwardedFor: req.From, exclude: req.Exclude, cached: req.Cached,
		forwardRegions: req.Regions, forwardEvacuated: req.Evacuated,
	}
	if req.Account != "" {
		x.account = &routing.Account{ID: req.Account}
	}
	return x
}

// forwardResponder implements Responder for a peer that asked to forward a request.
type forwardResponder struct {
	exchange *exchange
	send     func(fleet.ForwardReply) error
	err      error // of the first part that the peer did not take
}

func (r *forwardResponder) pass(reply fleet.ForwardReply) error {
	if r.err == nil {
		r.err = r.send(reply)
	}
	return r.err
}

// SendResponse implements Responder.
func (r *forwardResponder) SendResponse(status int, header http.Header, body []byte) {
	r.BeginStream(status, header)
	if r.SendData(body) == nil {
		r.EndStream()
	}
}

// BeginStream implements Responder.
func (r *forwardResponder) BeginStream(status int, header http.Header) {
	target := r.exchange.grant.target
	head := &fleet.ForwardHead{Target: target.ID, Incarnation: target.Incarnation(), Status: status, Header: header}
	// A failure shows in the next part.
	_ = r.pass(fleet.ForwardReply{Head: head, Sends: r.exchange.sends})
}

// SendData implements Responder.
func (r *forwardResponder) SendData(part []byte) error {
	for len(part) > 0 {
		n := min(len(part), forwardPieceBytes)
		if err := r.pass(fleet.ForwardReply{Data: part[:n]}); err != nil {
			return err
		}
		part = part[n:]
	}
	return r.err
}

// EndStream implements Responder.
func (r *forwardResponder) EndStream() { _ = r.pass(fleet.ForwardReply{IsEnd: true}) }

// Refuse implements Responder. ForwardForPeer sends refusals itself.
func (r *forwardResponder) Refuse(*structs.Refusal) {}

// Abort implements Responder: the reply ends without its end.
func (r *forwardResponder) Abort() {}
