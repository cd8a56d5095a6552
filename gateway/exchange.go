package gateway

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/structs"
)

// Headers of answers, and of calls within a program.
const (
	headerRequest  = "Endive-Request-Id"
	headerProgram  = "Endive-Program"
	headerKind     = "Endive-Program-Kind"
	headerCall     = "Endive-Call"
	headerReplayed = "Endive-Replayed"
	headerIdem     = "Idempotency-Key"
)

// exchange is one request of a caller and its answer.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	class    routeClass
	id       structs.RequestID
	began    structs.Instant
	snapshot Snapshot
	account  structs.AccountID
	keyID    string
	secrets  secrets
	cancel   context.CancelCauseFunc
	// sent says that the request was given to the wire.
	sent    atomic.Bool
	program structs.ProgramID
	// The answer.
	committed bool // the status line was written
	streaming bool // as server-sent events of the gateway's own
	status    int
	length    int64
	held      int64 // bytes of the request's body that are accounted for
	reading   bodyRead
}

type action func(x *exchange, ctx context.Context) error

// handle wraps an action with the steps that every request takes.
func (g *Gateway) handle(class routeClass, act action) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		x := &exchange{g: g, w: w, r: r, class: class, cancel: cancel, began: g.opts.Clock()}
		x.id = structs.RequestID(g.opts.NewID())
		w.Header().Set(headerRequest, string(x.id))
		stop := x.unblock(ctx)
		err := x.run(ctx, act)
		abort := x.conclude(ctx, err)
		stop()
		if abort {
			panic(http.ErrAbortHandler)
		}
	}
}

// run admits the request to the gateway and performs it.
func (x *exchange) run(ctx context.Context, act action) (err error) {
	defer x.release()
	defer func() {
		if v := recover(); v != nil {
			x.g.opts.Log.Error("request panicked", "request", x.id, "panic", v, "stack", string(debug.Stack()))
			err = &structs.InvariantError{Package: "gateway", Name: "no panic", Detail: "see the log"}
		}
	}()
	if x.g.inFlight.Add(1) > int64(x.g.opts.MaxInFlight) {
		return busy("the gateway has too many requests in progress")
	}
	x.snapshot = x.g.opts.Configs.Current()
	if x.snapshot == nil {
		return notReady("no configuration is in force yet")
	}
	if err := x.readKey(); err != nil {
		return err
	}
	return act(x, ctx)
}

func (x *exchange) release() {
	x.g.inFlight.Add(-1)
	x.g.bodies.Release(x.held)
	x.g.unwatch(x)
}

// conclude writes the refusal, if any, and records the request. It reports
// whether the connection must be cut to show that the answer is not whole.
func (x *exchange) conclude(ctx context.Context, err error) (abort bool) {
	refusal := x.refusalOf(ctx, err)
	if refusal != nil {
		x.noteRefusal(refusal)
	}
	switch {
	case refusal == nil:
	case !x.committed:
		x.writeRefusal(refusal)
	case x.streaming:
		x.streamError(refusal)
	default:
		abort = true
	}
	x.record(refusal)
	return abort
}

// refusalOf makes the refusal of an action's error. A withdrawn key outranks
// what its cancellation caused.
func (x *exchange) refusalOf(ctx context.Context, err error) *structs.Refusal {
	if err == nil {
		return nil
	}
	var withdrawn *structs.Refusal
	if errors.As(context.Cause(ctx), &withdrawn) {
		return x.withdrawal(withdrawn, err)
	}
	var refusal *structs.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	run := structs.RunNo
	if x.sent.Load() {
		run = structs.RunUnknown
	}
	var gone *CallerDisconnectedError
	if errors.As(err, &gone) {
		return structs.Refuse(structs.RefusedAnswerIncomplete, run, "the caller left before the end of the answer")
	}
	return structs.Refuse(structs.RefusedInvariant, run, "%v", err)
}

// withdrawal gives the refusal of a withdrawn key the run of the request.
func (x *exchange) withdrawal(withdrawn *structs.Refusal, err error) *structs.Refusal {
	refusal := *withdrawn
	refusal.Run = structs.RunNo
	var known *structs.Refusal
	switch {
	case !x.sent.Load():
	case errors.As(err, &known):
		refusal.Run = known.Run
	default:
		refusal.Run = structs.RunUnknown
	}
	return &refusal
}

// record counts and logs the request.
func (x *exchange) record(refusal *structs.Refusal) {
	took := x.g.opts.Clock().Sub(x.began)
	kind, run := outcomeOK, structs.RunYes
	if refusal != nil {
		kind, run = string(refusal.Kind), refusal.Run
	}
	x.g.stats.request(x.class, kind, took)
	x.g.opts.Log.Info("request",
		"request", x.id, "class", x.class, "program", x.program, "account", x.account,
		"kind", kind, "status", x.status, "run", run, "bytes", x.length,
		"duration", took.Round(time.Microsecond))
}

func busy(message string) *structs.Refusal {
	refusal := refuse(structs.RefusedQueueFull, "%s", message)
	refusal.RetryAfter = time.Second
	return refusal
}

func notReady(message string) *structs.Refusal {
	refusal := refuse(structs.RefusedNotReady, "%s", message)
	refusal.RetryAfter = time.Second
	return refusal
}
