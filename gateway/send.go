package gateway

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/gateway/answer"
	"github.com/endivecourse/endivecourse/gateway/forward"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// timeoutMargin is added to the timeout of a call, so that the owner's refusal of a late
// call arrives before the gateway's own timeout.
const timeoutMargin = time.Second

// responseSink writes the response to a call. Its methods receive each part once and in
// order, however many attempts are made.
type responseSink interface {
	begin(ev *structs.CallEvent) error
	writeData(part []byte) error
	finish(ev *structs.CallEvent) error
}

// pendingCall is one call that is being forwarded and its response.
type pendingCall struct {
	x          *exchange
	call       *structs.Call
	checker    *answer.Checker
	attempts   *forward.Attempts
	out        responseSink
	hasStarted bool // out.begin was called
}

// send forwards the call to its program's owner and writes the response to out. After an
// incomplete response the call is sent again: its number or idempotency key lets the
// owner replay the response instead of running the call twice.
func (x *exchange) send(ctx context.Context, call *structs.Call, out responseSink) error {
	x.prepareCall(call)
	if err := x.detector.checkCall(call); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout+timeoutMargin)
	defer cancel()
	attempts := x.g.opts.Forwarder.BeginRequest(call.Program.HomeDomain(), string(program.RootOf(call.Program)))
	defer attempts.End()
	s := &pendingCall{x: x, call: call, checker: answer.NewChecker(call.Request), attempts: attempts, out: out}
	for {
		addr, refusal := attempts.NextAddr()
		if refusal != nil {
			return refusal
		}
		if err := x.checkStillValid(ctx, attempts.IsRunUnknown()); err != nil {
			return err
		}
		err := s.attempt(ctx, addr)
		if err == nil {
			return nil
		}
		var disconnected *CallerDisconnectedError
		if errors.As(err, &disconnected) {
			return err
		}
		if err := attempts.PrepareRetry(ctx, addr, err, true); err != nil {
			return err
		}
		s.restart()
	}
}

// checkStillValid refuses an attempt if the request has ended, or if its key was revoked
// since it was authenticated.
func (x *exchange) checkStillValid(ctx context.Context, isRunUnknown bool) error {
	run := structs.RunNo
	if isRunUnknown {
		run = structs.RunUnknown
	}
	if ctx.Err() != nil {
		return structs.Refuse(structs.RefusedTimeout, run, "the request ended before it was forwarded")
	}
	if x.keyID == "" {
		return nil
	}
	current := x.g.opts.Configs.Current()
	if current == nil || !current.IsKeyValid(x.account, x.keyID) {
		return structs.Refuse(structs.RefusedUnauthorized, run, "the key was withdrawn")
	}
	return nil
}

// prepareCall sets the account, the request ID and the timeout of the call, and an
// idempotency key if the caller has given neither a key nor a call number.
func (x *exchange) prepareCall(call *structs.Call) {
	call.Account = x.account
	call.Request = x.id
	x.program = call.Program
	x.w.Header().Set(headerProgram, string(encodeID(call.Program)))
	if call.Number == 0 && call.IdempotencyKey == "" {
		call.IdempotencyKey = "gateway-" + x.g.opts.NewID()
	}
	service, ok := x.snapshot.Service(call.Service())
	call.Timeout = x.g.opts.Limits.CallTimeout.Std()
	if ok && service.Timeout > 0 {
		call.Timeout = service.Timeout.Std()
	}
}

func (s *pendingCall) restart() {
	s.checker.Restart()
	if number := s.checker.Number(); number != 0 {
		s.call.Number = number
	}
}

// attempt sends the call to one scheduler and reads its events to the end.
func (s *pendingCall) attempt(ctx context.Context, addr string) error {
	s.x.wasSent.Store(true)
	s.attempts.RecordSend()
	replies, err := s.x.g.opts.Forwarder.OpenStream(ctx, addr, structs.MethodCall, s.call)
	if err != nil {
		return err
	}
	defer replies.Close()
	for {
		ended, err := s.handleNextEvent(addr, replies)
		if ended || err != nil {
			return err
		}
	}
}

// handleNextEvent reads one event and writes what is new in it.
func (s *pendingCall) handleNextEvent(addr string, replies forward.ReplyStream) (ended bool, err error) {
	var ev structs.CallEvent
	err = replies.Recv(&ev)
	if errors.Is(err, io.EOF) {
		return true, &wire.IncompleteReplyError{Addr: addr, Cause: io.ErrUnexpectedEOF}
	}
	if err != nil {
		return true, s.correctRun(err)
	}
	fresh, err := s.checker.CheckEvent(&ev)
	if err != nil {
		return true, structs.Refuse(structs.RefusedAnswerIncomplete, structs.RunUnknown, "%v", err)
	}
	switch ev.Kind {
	case structs.EventStarted:
		s.attempts.RecordOwner(addr)
		return false, s.start(&ev)
	case structs.EventData:
		if len(fresh) == 0 {
			return false, nil
		}
		return false, s.out.writeData(fresh)
	case structs.EventDone:
		return true, s.out.finish(&ev)
	}
	return true, s.correctRun(ev.Refusal)
}

func (s *pendingCall) start(ev *structs.CallEvent) error {
	if s.hasStarted {
		return nil
	}
	s.hasStarted = true
	header := s.x.w.Header()
	header.Set(headerCall, strconv.FormatUint(ev.Number, 10))
	if ev.Replayed {
		header.Set(headerReplayed, "true")
	}
	return s.out.begin(ev)
}

// correctRun changes "not run" to "unknown" in a refusal that arrives after bytes of the
// response.
func (s *pendingCall) correctRun(err error) error {
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) || refusal.Run != structs.RunNo || s.checker.Delivered() == 0 {
		return err
	}
	changed := *refusal
	changed.Run = structs.RunUnknown
	return &changed
}

// callOwner sends a request with a single reply to the owner of a program.
func (x *exchange) callOwner(ctx context.Context, id structs.ProgramID, method string, in, out any) error {
	x.program = id
	x.w.Header().Set(headerProgram, string(encodeID(id)))
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	if err := x.checkStillValid(ctx, false); err != nil {
		return err
	}
	x.wasSent.Store(true)
	return x.g.opts.Forwarder.Call(ctx, id.HomeDomain(), string(program.RootOf(id)), method, true, in, out)
}

// ownerCallTimeout limits a request that reaches no target.
const ownerCallTimeout = 15 * time.Second

// streamError writes a refusal as the last event of a stream.
func (x *exchange) streamError(refusal *structs.Refusal) {
	event, err := sseEvent("error", x.errorBody(refusal))
	if err == nil {
		_ = x.write(event)
	}
}
