package edge

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/hop"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// maxConnectFailures bounds the number of attempts that fail before the
	// request is sent.
	maxConnectFailures = 6
	// maxSlotWaitFraction is the fraction of the remaining time that a request may
	// wait for a slot; it needs the remainder to run.
	maxSlotWaitFraction = 0.5
	// noFreeSlotRetryAfter is the retry delay when all slots of a service are in
	// use and nothing is known of its queue.
	noFreeSlotRetryAfter = 250 * time.Millisecond
	// noTargetRetryAfter is the retry delay when a service has no targets.
	noTargetRetryAfter = 700 * time.Millisecond
	// defaultMaxSends is used for routes that don't bound the number of sends.
	defaultMaxSends = 2
)

// attemptResult is the result of one attempt at a target.
type attemptResult struct {
	// isAnswered is set when the caller has received an answer.
	isAnswered bool
	// isRunUnknown reports that the target may or may not have run the request.
	isRunUnknown bool
	cause        error
}

// NotRunError reports that a target refused a request without running it.
type NotRunError struct {
	Target structs.TargetID
	Status int
}

// Error names the target and the status.
func (e *NotRunError) Error() string {
	return "target " + string(e.Target) + " refused with status " + http.StatusText(e.Status)
}

// dispatch sends the request to targets until one has answered it or no further
// attempt is allowed. It returns nil once the caller has been answered.
func (x *exchange) dispatch(ctx context.Context, body []byte) *structs.Refusal {
	tried := x.exclude
	var lastErr error
	connectFailures := 0
	for x.sends < x.maxSends() && connectFailures < maxConnectFailures {
		if x.server.paths.isLost() {
			refusal, isForwarded := x.forward(ctx, body, tried)
			if isForwarded {
				return refusal
			}
			if connectFailures > 0 {
				return x.refuseUnserved(structs.RefusedNoTarget, noTargetRetryAfter, "this VM reaches no target and no VM forwards: "+errorText(lastErr))
			}
		}
		g, err := x.acquireSlot(ctx, x.query(tried))
		if err != nil {
			return x.refuseWithoutSlot(ctx, err, lastErr)
		}
		sends := x.sends
		result := x.attempt(ctx, g, body)
		x.server.releaseGrant(g)
		if result.isAnswered {
			if result.cause != nil {
				x.out.Abort()
			}
			return nil
		}
		lastErr = result.cause
		tried = append(tried, g.target.ID)
		x.mayHaveRun = x.mayHaveRun || result.isRunUnknown
		if x.sends == sends {
			connectFailures++
		}
		if ctx.Err() != nil {
			return x.refuseTimedOut(result.cause)
		}
		if result.isRunUnknown && !x.maySendAgain() {
			return x.refuseFailed(result.cause)
		}
		if g.failedAt != 0 {
			x.server.paths.awaitVerdict(ctx, g.failedAt) // the next attempt takes the way that is left
		}
	}
	return x.refuseUnserved(structs.RefusedQueueFull, noFreeSlotRetryAfter, "no target took the request: "+errorText(lastErr))
}

// maySendAgain reports whether a request that may have run may be sent to another target.
func (x *exchange) maySendAgain() bool {
	return x.route.IsRepeatable() && x.refusedReservation() == nil && !x.isQuarantined()
}

func errorText(err error) string {
	if err == nil {
		return "none was tried"
	}
	return err.Error()
}

func (x *exchange) maxSends() int {
	if x.isTrial {
		return 1
	}
	if x.route.MaxAttempts > 0 {
		return x.route.MaxAttempts
	}
	return defaultMaxSends
}

func (x *exchange) acquireSlot(ctx context.Context, query placement.Query) (*grant, error) {
	request := x.admissionRequest()
	maxWait := time.Duration(float64(x.timeLeft()) * maxSlotWaitFraction)
	start := structs.Now()
	ctx, cancel := x.untilAbandoned(ctx)
	defer cancel()
	g, err := x.acquirePermitted(ctx, query, request, maxWait)
	x.slotWait += structs.Now().Sub(start)
	return g, err
}

// refuseWithoutSlot refuses a request that got no slot. lastErr is the error of the
// last target that was tried.
func (x *exchange) refuseWithoutSlot(ctx context.Context, err, lastErr error) *structs.Refusal {
	var noTarget *NoTargetError
	var noFreeSlot *NoFreeSlotError
	var limited *RateLimitedError
	var overloaded *OverloadedError
	reason := err.Error()
	if lastErr != nil {
		reason += " after " + lastErr.Error()
	}
	switch {
	case ctx.Err() != nil:
		return x.refuseTimedOut(err)
	case errors.As(err, &noTarget):
		return x.refuseUnserved(structs.RefusedNoTarget, x.noTargetRetryAfter(), reason)
	case errors.As(err, &limited):
		return x.refuseUnserved(structs.RefusedQueueFull, limited.Wait, reason)
	case errors.As(err, &overloaded):
		return x.refuseUnserved(structs.RefusedQueueFull, overloaded.RetryAfter, reason)
	case errors.As(err, &noFreeSlot):
		return x.refuseUnserved(structs.RefusedQueueFull, x.retryAfterNoSlot(noFreeSlot), reason)
	}
	return x.refuseTimedOut(err)
}

// refuseUnserved refuses a request that no target answered. The caller may retry it
// unless an earlier send may have run it.
func (x *exchange) refuseUnserved(kind structs.RefusalKind, after time.Duration, reason string) *structs.Refusal {
	if x.mayHaveRun {
		return structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "%s", reason)
	}
	return retryableRefusal(kind, after, reason)
}

// refuseFailed refuses a request that a target may have run.
func (x *exchange) refuseFailed(cause error) *structs.Refusal {
	return structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "target %s: %s", x.target, errorText(cause))
}

// refuseTimedOut refuses a request whose time is over.
func (x *exchange) refuseTimedOut(cause error) *structs.Refusal {
	run := structs.RunNo
	if x.mayHaveRun {
		run = structs.RunUnknown
	}
	return structs.Refuse(structs.RefusedTimeout, run, "no answer in time: %s", errorText(cause))
}

// attempt sends the request to one target.
func (x *exchange) attempt(ctx context.Context, g *grant, body []byte) attemptResult {
	x.grant, x.forwardedBy = g, ""
	target := g.target
	conn, err := x.connect(ctx, g)
	if err != nil {
		return attemptResult{cause: err}
	}
	if err := x.checkPermitted(target); err != nil {
		x.server.pool.Put(conn)
		return attemptResult{cause: err}
	}
	sendCtx, abandon := context.WithCancel(ctx)
	defer abandon()
	answered, end := x.server.paths.begin(x.abandonIfRepeatable(abandon))
	defer end()
	x.sends++
	x.target = target.ID
	x.sentAt = structs.Now()
	x.grantedBy, x.targetsAge = g.placer, x.server.targetsAge(x.sentAt)
	x.departedFor = x.server.departureAge(x.sentAt, target.ID)
	resp, stop, err := conn.RoundTrip(sendCtx, x.targetRequest(target), body, hop.Expected{
		IDHeader: x.server.opts.Dialect.IDHeader(), ID: string(x.ID), IsRepeatable: x.route.IsRepeatable(),
	})
	if err != nil {
		conn.Close()
		if ctx.Err() == nil && sendCtx.Err() != nil {
			return attemptResult{isRunUnknown: true, cause: &PathLostError{Target: target.ID}}
		}
		if hop.IsWrongResponse(err) && ctx.Err() == nil {
			go x.server.checkCrash(x.fingerprint, x.ID, target)
			return x.rejectResponse(target, err)
		}
		x.recordIncompleteResponse(ctx, target, err)
		return attemptResult{isRunUnknown: true, cause: err}
	}
	if !answered() {
		stop()
		conn.Close()
		return attemptResult{isRunUnknown: true, cause: &PathLostError{Target: target.ID}}
	}
	resp.Body = &heardBody{ReadCloser: resp.Body, paths: x.server.paths}
	g.result, g.latency = placement.ResultAnswered, structs.Now().Sub(x.sentAt)
	result := x.relay(ctx, target, resp)
	if !stop() || !result.isAnswered || result.cause != nil {
		conn.Close()
		return result
	}
	x.server.keepConnection(target, conn)
	return result
}

// connect returns a connection to a grant's target.
func (x *exchange) connect(ctx context.Context, g *grant) (*hop.Conn, error) {
	s := x.server
	conn, err := s.pool.GetInOrder(ctx, g.target.Address, s.connectionOrder(g.target.Service))
	if err == nil {
		s.recordConnection(g.target, conn)
		x.connectTime = 0
		if !conn.IsReused() {
			x.connectTime = conn.ConnectTime()
		}
		return conn, nil
	}
	if s.isUnreachable(g.target, err) {
		g.result, g.failedAt = placement.ResultUnreachable, structs.Now()
		s.recordPathFailure(g.failedAt)
	}
	return nil, err
}

// abandonIfRepeatable returns abandon if the request may be sent again, else nil.
func (x *exchange) abandonIfRepeatable(abandon context.CancelFunc) context.CancelFunc {
	if x.route.IsRepeatable() {
		return abandon
	}
	return nil
}

// PathLostError reports that a request was given up because this VM's paths to all targets
// are lost.
type PathLostError struct{ Target structs.TargetID }

// Error names the target.
func (e *PathLostError) Error() string { return "path to target " + string(e.Target) + " is lost" }

func (x *exchange) targetRequest(target placement.Target) *http.Request {
	header := x.server.opts.Dialect.RequestHeader(x.Request, ForwardInfo{
		Target:         target.ID,
		Account:        x.accountID(),
		TimeLeftMillis: max(x.timeLeft().Milliseconds(), 1),
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

func isStream(x *exchange, resp *http.Response) bool {
	return x.route.Kind == routing.Streaming && isSuccess(resp.StatusCode)
}
