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

// timeoutSlack lets the owner's own refusal of a late call arrive.
const timeoutSlack = time.Second

// sink writes the answer to a call. Its methods get each part once and in
// order, whatever the number of attempts.
type sink interface {
	started(ev *structs.CallEvent) error
	data(part []byte) error
	done(ev *structs.CallEvent) error
}

// sending is one call on its way to its owner and back.
type sending struct {
	x        *exchange
	call     *structs.Call
	checker  *answer.Checker
	attempts *forward.Attempts
	out      sink
	began    bool // out.started was called
}

// send sends the call to its program's owner and its answer to out. A call
// whose answer is cut is sent again: its number or idempotency key lets the
// owner replay the answer in place of a second run.
func (x *exchange) send(ctx context.Context, call *structs.Call, out sink) error {
	x.identify(call)
	if err := x.secrets.checkCall(call); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, call.Timeout+timeoutSlack)
	defer cancel()
	attempts := x.g.opts.Forwarder.BeginRequest(call.Program.HomeDomain(), string(program.RootOf(call.Program)))
	defer attempts.End()
	s := &sending{x: x, call: call, checker: answer.NewChecker(call.Request), attempts: attempts, out: out}
	for {
		addr, refusal := attempts.NextAddr()
		if refusal != nil {
			return refusal
		}
		if err := x.mayProceed(ctx, attempts.IsRunUnknown()); err != nil {
			return err
		}
		err := s.attempt(ctx, addr)
		if err == nil {
			return nil
		}
		var gone *CallerDisconnectedError
		if errors.As(err, &gone) {
			return err
		}
		if err := attempts.PrepareRetry(ctx, addr, err, true); err != nil {
			return err
		}
		s.restart()
	}
}

// mayProceed refuses an attempt of a request that has ended or whose key was
// withdrawn while the request was read or waited.
func (x *exchange) mayProceed(ctx context.Context, cut bool) error {
	run := structs.RunNo
	if cut {
		run = structs.RunUnknown
	}
	if ctx.Err() != nil {
		return structs.Refuse(structs.RefusedTimeout, run, "the request ended before it was forwarded")
	}
	if x.keyID == "" {
		return nil
	}
	current := x.g.opts.Configs.Current()
	if current == nil || !current.KeyValid(x.account, x.keyID) {
		return structs.Refuse(structs.RefusedUnauthorized, run, "the key was withdrawn")
	}
	return nil
}

// identify fills in what makes the call idempotent.
func (x *exchange) identify(call *structs.Call) {
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

func (s *sending) restart() {
	s.checker.Restart()
	if number := s.checker.Number(); number != 0 {
		s.call.Number = number
	}
}

// attempt sends the call to one scheduler and reads its events to the end.
func (s *sending) attempt(ctx context.Context, addr string) error {
	s.x.sent.Store(true)
	s.attempts.RecordSend()
	replies, err := s.x.g.opts.Forwarder.OpenStream(ctx, addr, structs.MethodCall, s.call)
	if err != nil {
		return err
	}
	defer replies.Close()
	for {
		ended, err := s.next(addr, replies)
		if ended || err != nil {
			return err
		}
	}
}

// next takes one event.
func (s *sending) next(addr string, replies forward.ReplyStream) (ended bool, err error) {
	var ev structs.CallEvent
	err = replies.Recv(&ev)
	if errors.Is(err, io.EOF) {
		return true, &wire.IncompleteReplyError{Addr: addr, Cause: io.ErrUnexpectedEOF}
	}
	if err != nil {
		return true, s.truthful(err)
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
		return false, s.out.data(fresh)
	case structs.EventDone:
		return true, s.out.done(&ev)
	}
	return true, s.truthful(ev.Refusal)
}

func (s *sending) start(ev *structs.CallEvent) error {
	if s.began {
		return nil
	}
	s.began = true
	header := s.x.w.Header()
	header.Set(headerCall, strconv.FormatUint(ev.Number, 10))
	if ev.Replayed {
		header.Set(headerReplayed, "true")
	}
	return s.out.started(ev)
}

// truthful corrects a refusal that says "not run" after bytes of the answer
// have arrived.
func (s *sending) truthful(err error) error {
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) || refusal.Run != structs.RunNo || s.checker.Delivered() == 0 {
		return err
	}
	changed := *refusal
	changed.Run = structs.RunUnknown
	return &changed
}

// unary sends a request with one reply about a program to its owner.
func (x *exchange) unary(ctx context.Context, id structs.ProgramID, method string, in, out any) error {
	x.program = id
	x.w.Header().Set(headerProgram, string(encodeID(id)))
	ctx, cancel := context.WithTimeout(ctx, unaryTimeout)
	defer cancel()
	if err := x.mayProceed(ctx, false); err != nil {
		return err
	}
	x.sent.Store(true)
	return x.g.opts.Forwarder.Call(ctx, id.HomeDomain(), string(program.RootOf(id)), method, true, in, out)
}

// unaryTimeout bounds a request that reaches no target.
const unaryTimeout = 15 * time.Second

// streamError writes a refusal as the last event of a stream.
func (x *exchange) streamError(refusal *structs.Refusal) {
	event, err := sseEvent("error", x.errorBody(refusal))
	if err == nil {
		_ = x.write(event)
	}
}
