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

// Headers of requests and responses of the callers' interface.
const (
	headerRequest        = "Endive-Request-Id"
	headerProgram        = "Endive-Program"
	headerKind           = "Endive-Program-Kind"
	headerCall           = "Endive-Call"
	headerReplayed       = "Endive-Replayed"
	headerIdempotencyKey = "Idempotency-Key"
)

// exchange is one HTTP request of a caller and the response to it.
type exchange struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	class     routeClass
	id        structs.RequestID
	startedAt structs.Instant
	snapshot  Snapshot
	account   structs.AccountID
	keyID     string
	detector  keyDetector
	cancel    context.CancelCauseFunc
	// wasSent is set before the request is first forwarded to a scheduler.
	wasSent atomic.Bool
	program structs.ProgramID
	// State of the response.
	isHeaderWritten bool // status line and headers
	isStreaming     bool // the body is server-sent events made by the gateway
	status          int
	responseBytes   int64
	heldBodyBytes   int64 // reserved in Gateway.bodyBytes
	readDeadline    bodyReadDeadline
}

type requestHandler func(x *exchange, ctx context.Context) error

// handle returns an http.HandlerFunc that runs the handler for a new exchange, writes
// the refusal if there is one, and logs the request.
func (g *Gateway) handle(class routeClass, handler requestHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		x := &exchange{g: g, w: w, r: r, class: class, cancel: cancel, startedAt: g.opts.Clock()}
		x.id = structs.RequestID(g.opts.NewID())
		w.Header().Set(headerRequest, string(x.id))
		stop := x.unblockOnDone(ctx)
		err := x.run(ctx, handler)
		abort := x.finish(ctx, err)
		stop()
		if abort {
			panic(http.ErrAbortHandler)
		}
	}
}

// run checks the gateway's limits and the key, then calls the handler. A panic becomes
// an invariant violation.
func (x *exchange) run(ctx context.Context, handler requestHandler) (err error) {
	defer x.releaseResources()
	defer func() {
		if v := recover(); v != nil {
			x.g.opts.Log.Error("request panicked", "request", x.id, "panic", v, "stack", string(debug.Stack()))
			err = &structs.InvariantError{Package: "gateway", Name: "no panic", Detail: "see the log"}
		}
	}()
	if x.g.inFlight.Add(1) > int64(x.g.opts.MaxInFlight) {
		return queueFull("the gateway has too many requests in progress")
	}
	x.snapshot = x.g.opts.Configs.Current()
	if x.snapshot == nil {
		return notReady("no configuration is in force yet")
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	return handler(x, ctx)
}

func (x *exchange) releaseResources() {
	x.g.inFlight.Add(-1)
	x.g.bodyBytes.Release(x.heldBodyBytes)
	x.g.unwatchKey(x)
}

// finish writes the refusal, if any, and logs the request. It reports whether the
// connection must be aborted: after the header there is no other way to show that the
// response is incomplete.
func (x *exchange) finish(ctx context.Context, err error) (abort bool) {
	refusal := x.refusalOf(ctx, err)
	if refusal != nil {
		x.recordRefusal(refusal)
	}
	switch {
	case refusal == nil:
	case !x.isHeaderWritten:
		x.writeRefusal(refusal)
	case x.isStreaming:
		x.streamError(refusal)
	default:
		abort = true
	}
	x.logRequest(refusal)
	return abort
}

// refusalOf converts a handler's error to a refusal. The revocation of the key takes
// precedence over the errors that its cancellation caused.
func (x *exchange) refusalOf(ctx context.Context, err error) *structs.Refusal {
	if err == nil {
		return nil
	}
	var revoked *structs.Refusal
	if errors.As(context.Cause(ctx), &revoked) {
		return x.revocationRefusal(revoked, err)
	}
	var refusal *structs.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	run := structs.RunNo
	if x.wasSent.Load() {
		run = structs.RunUnknown
	}
	var disconnected *CallerDisconnectedError
	if errors.As(err, &disconnected) {
		return structs.Refuse(structs.RefusedAnswerIncomplete, run, "the caller left before the end of the answer")
	}
	return structs.Refuse(structs.RefusedInvariant, run, "%v", err)
}

// revocationRefusal returns the refusal for a revoked key, with run set to what is known
// about the request.
func (x *exchange) revocationRefusal(revoked *structs.Refusal, err error) *structs.Refusal {
	refusal := *revoked
	refusal.Run = structs.RunNo
	var known *structs.Refusal
	switch {
	case !x.wasSent.Load():
	case errors.As(err, &known):
		refusal.Run = known.Run
	default:
		refusal.Run = structs.RunUnknown
	}
	return &refusal
}

// logRequest logs the request and adds it to the metrics.
func (x *exchange) logRequest(refusal *structs.Refusal) {
	took := x.g.opts.Clock().Sub(x.startedAt)
	kind, run := outcomeOK, structs.RunYes
	if refusal != nil {
		kind, run = string(refusal.Kind), refusal.Run
	}
	x.g.stats.recordRequest(x.class, kind, took)
	x.g.opts.Log.Info("request",
		"request", x.id, "class", x.class, "program", x.program, "account", x.account,
		"kind", kind, "status", x.status, "run", run, "bytes", x.responseBytes,
		"duration", took.Round(time.Microsecond))
}

func queueFull(message string) *structs.Refusal {
	refusal := refuse(structs.RefusedQueueFull, "%s", message)
	refusal.RetryAfter = time.Second
	return refusal
}

func notReady(message string) *structs.Refusal {
	refusal := refuse(structs.RefusedNotReady, "%s", message)
	refusal.RetryAfter = time.Second
	return refusal
}
