package edge

import (
	"net/http"

	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
)

// newForwardedExchange returns the exchange of a peer's request. The peer has admitted it
// and keeps its turn, so here it is a request that is only sent.
func (s *Server) newForwardedExchange(req fleet.ForwardRequest, out Responder) *exchange {
	now := structs.Now()
	x := &exchange{
		Request: &Request{
			ID: req.ID, Method: req.Method, Host: req.Host, URI: req.URI, Header: req.Header, Body: req.Body,
			Arrived: now, Deadline: now.Add(req.TimeLeft), Program: req.Program, ProgramDeadline: now.Add(req.DueIn),
		},
		server: s, out: out,
		route:        &routing.Route{Name: req.Route, Kind: req.Kind, MaxAttempts: req.MaxSends, Priority: req.Priority},
		service:      &routing.Service{ID: req.Service},
		deadline:     now.Add(req.TimeLeft),
		fingerprint:  req.Fingerprint,
		forwardedFor: req.From, exclude: req.Exclude, cached: req.Cached,
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
	head := &fleet.ForwardHead{Target: r.exchange.target, Status: status, Header: header}
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
