package edge

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/internal/httpgrammar"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// A VM that has lost its paths to all targets stays reachable for its callers, the store and
// its peers. It admits requests and keeps their turns as before, and lets another VM send
// them: that VM picks the target, sends the request as one of its own, and passes the
// response back.

// maxRelays bounds the VMs that are asked in turn to forward one request.
const maxRelays = 4

// forward lets other VMs send the request to a target. It reports false if none does, and
// the request was not sent or may be sent again.
func (x *exchange) forward(ctx context.Context, body []byte, tried []structs.TargetID) (*structs.Refusal, bool) {
	if x.forwardedFor != "" {
		return nil, false
	}
	var asked []structs.VMID
	for len(asked) < maxRelays && x.sends < x.maxSends() && ctx.Err() == nil {
		vm, isFound := x.pickRelay(asked)
		if !isFound {
			break
		}
		asked = append(asked, vm)
		result, refusal := x.forwardThrough(ctx, vm, body, tried)
		var unavailable *RelayUnavailableError
		isUnavailable := errors.As(result.cause, &unavailable)
		hasFailed := isUnavailable || result.isRunUnknown
		x.server.paths.endRelay(vm, hasFailed && ctx.Err() == nil) // the end of the request says nothing about the VM
		switch {
		case refusal != nil:
			return x.mergeRefusal(refusal), true
		case result.isAnswered:
			if result.cause != nil {
				x.out.Abort()
			}
			return nil, true
		case ctx.Err() != nil:
			x.mayHaveRun = x.mayHaveRun || result.isRunUnknown
			return x.refuseTimedOut(result.cause), true
		}
		x.server.log.Warn("request not forwarded", "request", string(x.ID), "through", string(vm), "cause", errorText(result.cause))
		x.mayHaveRun = x.mayHaveRun || result.isRunUnknown
		if result.isRunUnknown {
			x.sends++
			if !x.maySendAgain() {
				return x.refuseFailed(result.cause), true
			}
		}
	}
	return nil, false
}

// RelayUnavailableError reports that a VM does not forward requests and has not sent this
// one to any target.
type RelayUnavailableError struct {
	VM    structs.VMID
	Cause error // nil if the VM said so
}

// Error names the VM.
func (e *RelayUnavailableError) Error() string {
	return "VM " + string(e.VM) + " does not forward: " + errorText(e.Cause)
}

// Unwrap returns the cause.
func (e *RelayUnavailableError) Unwrap() error { return e.Cause }

// forwardThrough lets one VM send the request. The refusal is that VM's.
func (x *exchange) forwardThrough(ctx context.Context, vm structs.VMID, body []byte, tried []structs.TargetID) (attemptResult, *structs.Refusal) {
	stream, err := x.server.opts.Peers.Forward(ctx, vm, x.forwardRequest(body, tried))
	var notSent *wire.NotSentError
	if errors.As(err, &notSent) {
		return attemptResult{cause: &RelayUnavailableError{VM: vm, Cause: err}}, nil
	}
	if err != nil {
		return attemptResult{isRunUnknown: true, cause: err}, nil
	}
	defer stream.Close()
	x.sentAt, x.forwardedBy, x.grantedBy = structs.Now(), vm, ""
	var first fleet.ForwardReply
	if err := stream.Recv(&first); err != nil {
		return failedForward(vm, err), nil
	}
	x.sends += first.Sends
	switch {
	case first.IsUnavailable:
		return attemptResult{cause: &RelayUnavailableError{VM: vm}}, nil
	case first.Refusal != nil:
		return attemptResult{}, first.Refusal
	case first.Head == nil:
		return attemptResult{isRunUnknown: true, cause: &HeadlessReplyError{VM: vm}}, nil
	}
	return x.relayForwarded(ctx, stream, first.Head), nil
}

// failedForward returns the result of a request to which a VM sent no reply.
func failedForward(vm structs.VMID, err error) attemptResult {
	var refusal *structs.Refusal
	if errors.As(err, &refusal) && refusal.Run == structs.RunNo { // the process is stopping
		return attemptResult{cause: &RelayUnavailableError{VM: vm, Cause: err}}
	}
	return attemptResult{isRunUnknown: true, cause: errors.Wrap(err, "read forwarded answer")}
}

// HeadlessReplyError reports that a VM forwarded a response without its head.
type HeadlessReplyError struct{ VM structs.VMID }

// Error names the VM.
func (e *HeadlessReplyError) Error() string {
	return "VM " + string(e.VM) + " forwarded a response without its head"
}

// relayForwarded passes a response that another VM forwards to the caller.
func (x *exchange) relayForwarded(ctx context.Context, stream fleet.ForwardStream, head *fleet.ForwardHead) attemptResult {
	target := placement.Target{ID: head.Target, Started: head.Incarnation.Started, Address: head.Incarnation.Address}
	g := &grant{target: target}
	x.grant, x.target = g, head.Target
	if err := checkForwardedHead(head); err != nil {
		return x.rejectResponse(target, err)
	}
	resp := &http.Response{StatusCode: head.Status, Header: head.Header, Body: &forwardedBody{stream: stream}}
	return x.relay(ctx, target, resp)
}

// checkForwardedHead checks a head that another VM forwards: that of an earlier build passes on
// more than the grammar allows. Its error is an *httpgrammar.Error.
func checkForwardedHead(head *fleet.ForwardHead) error {
	if err := httpgrammar.CheckStatus(head.Status); err != nil {
		return err
	}
	return httpgrammar.CheckHeader(httpgrammar.PartHead, head.Header)
}

func (x *exchange) forwardRequest(body []byte, tried []structs.TargetID) fleet.ForwardRequest {
	dueIn := x.timeLeft()
	if x.ProgramDeadline != 0 {
		dueIn = x.ProgramDeadline.Sub(structs.Now())
	}
	return fleet.ForwardRequest{
		From: x.server.opts.VM, ID: x.ID, Method: x.Method, Host: x.Host, URI: x.URI, Header: x.Header, Body: body,
		Account: x.accountID(), Route: x.route.Name, Service: x.service.ID, Kind: x.route.Kind,
		MaxSends: x.maxSends() - x.sends, Priority: x.priority(), Fingerprint: x.fingerprint, Program: x.Program, LastEvent: x.LastEvent,
		Cached: x.cachedTarget(), Exclude: tried, Departures: x.server.knownDepartures(), TimeLeft: x.timeLeft(), DueIn: dueIn,
		Regions: x.allowedRegions(), Evacuated: x.server.Evacuated(),
	}
}

// mergeRefusal returns a forwarding VM's refusal. The request may have run if an earlier
// send of this VM may have.
func (x *exchange) mergeRefusal(r *structs.Refusal) *structs.Refusal {
	if r.Run == structs.RunNo && x.mayHaveRun {
		return structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "%s", r.Message)
	}
	x.mayHaveRun = x.mayHaveRun || r.Run != structs.RunNo
	return r
}

func (p *targetPaths) endRelay(vm structs.VMID, hasFailed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.relays.End(structs.Now(), vm, hasFailed)
}

// forwardedBody reads the body of a response that another VM forwards. It ends with io.EOF
// only if the response is complete.
type forwardedBody struct {
	stream fleet.ForwardStream
	rest   []byte
	err    error
}

// Read implements io.Reader.
func (b *forwardedBody) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		var reply fleet.ForwardReply
		if err := b.stream.Recv(&reply); err != nil {
			b.err = &IncompleteForwardError{Cause: err}
			continue
		}
		b.rest = reply.Data
		if reply.IsEnd {
			b.err = io.EOF
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *forwardedBody) Close() error { return b.stream.Close() }

// IncompleteForwardError reports that a forwarded response ended before it was complete.
type IncompleteForwardError struct{ Cause error }

// Error names the cause.
func (e *IncompleteForwardError) Error() string {
	if e.Cause == io.EOF {
		return "forwarded response is incomplete"
	}
	return "forwarded response is incomplete: " + e.Cause.Error()
}

// Unwrap returns the cause; the end of the stream is not that of a response.
func (e *IncompleteForwardError) Unwrap() error {
	if e.Cause == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return e.Cause
}
