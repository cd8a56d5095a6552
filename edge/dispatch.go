package edge

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/hop"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// maxConnects bounds the targets that are tried without a connection.
	maxConnects = 6
	// holdPart is the part of the time left that a request may wait for a
	// slot; the rest is needed to run.
	holdPart = 0.5
	// fullRetry is when a full service may have room again.
	fullRetry = 250 * time.Millisecond
	// noTargetRetry is when a service without targets may have one again.
	noTargetRetry = 700 * time.Millisecond
	// defaultSends is used for routes that don't bound the sends.
	defaultSends = 2
)

// verdict is what one attempt at a target came to.
type verdict struct {
	// done says that the caller has been answered.
	done bool
	// sent says that the target may have run the request.
	sent  bool
	cause error
}

// NotRunError says that a target refused a request without running it.
type NotRunError struct {
	Target structs.TargetID
	Status int
}

// Error names the target.
func (e *NotRunError) Error() string {
	return "target " + string(e.Target) + " refused with status " + http.StatusText(e.Status)
}

// dispatch sends the request to targets until one has answered it or no further
// try is allowed. It returns nil once the caller has been answered.
func (x *exchange) dispatch(ctx context.Context, body []byte) *structs.Refusal {
	var tried []structs.TargetID
	var last error
	connects := 0
	for x.sends < x.maxSends() && connects < maxConnects {
		query := placement.Query{Service: x.service.ID, CacheTarget: x.cachedAt(), Exclude: tried}
		g, err := x.slot(ctx, query)
		if err != nil {
			return x.noSlot(ctx, err, last)
		}
		sends := x.sends
		v := x.attempt(ctx, g, body)
		x.server.release(g)
		if v.done {
			if v.cause != nil {
				x.out.Abort()
			}
			return nil
		}
		last = v.cause
		tried = append(tried, g.target.ID)
		x.mayHaveRun = x.mayHaveRun || v.sent
		if x.sends == sends {
			connects++
		}
		if ctx.Err() != nil {
			return x.ended(v.cause)
		}
		if v.sent && !x.route.IsRepeatable() {
			return x.failed(v.cause)
		}
	}
	return x.unserved(structs.RefusedQueueFull, fullRetry, "no target took the request: "+text(last))
}

func text(err error) string {
	if err == nil {
		return "none was tried"
	}
	return err.Error()
}

func (x *exchange) maxSends() int {
	if x.route.MaxAttempts > 0 {
		return x.route.MaxAttempts
	}
	return defaultSends
}

func (x *exchange) slot(ctx context.Context, query placement.Query) (*grant, error) {
	ticket := admission.Request{Priority: x.priority(), ProgramDeadline: x.ProgramDeadline}
	if ticket.ProgramDeadline == 0 {
		ticket.ProgramDeadline = x.deadline
	}
	hold := time.Duration(float64(x.left()) * holdPart)
	start := structs.Now()
	g, err := x.server.place(ctx, query, ticket, hold, x.left())
	x.waited += structs.Now().Sub(start)
	return g, err
}

// noSlot refuses a request for which no target was found. last is what the
// targets that were tried came to.
func (x *exchange) noSlot(ctx context.Context, err, last error) *structs.Refusal {
	var none *NoTargetError
	var full *NoFreeSlotError
	reason := err.Error()
	if last != nil {
		reason += " after " + last.Error()
	}
	switch {
	case ctx.Err() != nil:
		return x.ended(err)
	case errors.As(err, &none):
		return x.unserved(structs.RefusedNoTarget, noTargetRetry, reason)
	case errors.As(err, &full):
		return x.unserved(structs.RefusedQueueFull, fullRetry, reason)
	}
	return x.ended(err)
}

// unserved refuses a request that no target answered. It may be tried again
// unless an earlier send may have run it.
func (x *exchange) unserved(kind structs.RefusalKind, after time.Duration, reason string) *structs.Refusal {
	if x.mayHaveRun {
		return structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "%s", reason)
	}
	return retryable(kind, after, reason)
}

// failed refuses a request that a target may have run.
func (x *exchange) failed(cause error) *structs.Refusal {
	return structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "target %s: %s", x.target, text(cause))
}

// ended refuses a request whose time is over.
func (x *exchange) ended(cause error) *structs.Refusal {
	run := structs.RunNo
	if x.mayHaveRun {
		run = structs.RunUnknown
	}
	return structs.Refuse(structs.RefusedTimeout, run, "no answer in time: %s", text(cause))
}

// attempt sends the request to one target.
func (x *exchange) attempt(ctx context.Context, g *grant, body []byte) verdict {
	x.grant = g
	target := g.target
	conn, err := x.server.pool.Get(ctx, target.Address)
	if err != nil {
		if x.server.isUnreachable(target, err) {
			g.result = placement.ResultUnreachable
		}
		return verdict{cause: err}
	}
	x.sends++
	x.target = target.ID
	x.sentAt = structs.Now()
	resp, stop, err := conn.RoundTrip(ctx, x.outgoing(target), body, string(x.ID), x.server.opts.Dialect.IDHeader())
	if err != nil {
		conn.Close()
		x.answerBroke(ctx, target, err)
		return verdict{sent: true, cause: err}
	}
	g.result, g.latency = placement.ResultAnswered, structs.Now().Sub(x.sentAt)
	v := x.relay(ctx, target, conn, resp)
	if !stop() || !v.done || v.cause != nil {
		conn.Close()
		return v
	}
	x.server.pool.Put(conn)
	return v
}

func (x *exchange) outgoing(target placement.Target) *http.Request {
	header := x.server.opts.Dialect.RequestHeader(x.Request, ForwardInfo{
		Target:         target.ID,
		Account:        x.accountID(),
		TimeLeftMillis: max(x.left().Milliseconds(), 1),
	})
	path, query, found := strings.Cut(x.URI, "?")
	return &http.Request{
		Method:     x.Method,
		Host:       x.Host,
		URL:        &url.URL{Opaque: path, RawQuery: query, ForceQuery: found && query == ""},
		Header:     header,
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}
}

// isUnreachable reports whether an error is that of a target that could not be
// connected to, and logs it.
func (s *Server) isUnreachable(target placement.Target, err error) bool {
	var dial *hop.DialError
	if !errors.As(err, &dial) {
		return false // the request's own end
	}
	s.log.Warn("target is unreachable", "target", string(target.ID), "address", target.Address, "cause", err.Error())
	return true
}

// answerBroke records an answer that broke off and finds out whether the target
// has crashed with it.
func (x *exchange) answerBroke(ctx context.Context, target placement.Target, err error) {
	if ctx.Err() != nil { // broken off by this side
		if x.left() <= 0 && structs.Now().Sub(x.sentAt) > muteSpan {
			x.grant.result = placement.ResultFailed
		}
		return
	}
	x.grant.result = placement.ResultFailed
	x.server.log.Warn("answer broke off", "request", string(x.ID), "target", string(target.ID), "cause", err.Error())
	go x.server.checkCrash(x.fingerprint, x.ID, target)
}

// checkCrash connects to a target whose answer broke off. If that fails, the
// request counts as one that may have crashed it.
func (s *Server) checkCrash(fingerprint uint64, id structs.RequestID, target placement.Target) {
	s.pool.CloseIdle(target.Address)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := s.pool.Get(ctx, target.Address)
	if err == nil {
		conn.Close()
		return
	}
	s.isUnreachable(target, err)
	s.mu.Lock()
	s.targets.RecordUnreachable(structs.Now(), target.ID)
	quarantined := s.quarantine.RecordCrash(structs.Now(), fingerprint, target.ID)
	s.mu.Unlock()
	s.log.Warn("target crashed while it ran a request", "request", string(id), "target", string(target.ID), "quarantined", quarantined)
}

// muteSpan is how long a target must have had a request for its silence at the
// deadline to count against it; all calls of the users end sooner.
const muteSpan = 800 * time.Millisecond

// crashCheckTimeout bounds the connection that tells a crash from a broken
// answer.
const crashCheckTimeout = 500 * time.Millisecond

func isStream(x *exchange, resp *http.Response) bool {
	return x.route.Kind == routing.Streaming && resp.StatusCode == http.StatusOK
}
