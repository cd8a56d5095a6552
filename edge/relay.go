package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
)

const (
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
	// readBytes is the size of one read of a stream.
	readBytes = 8 << 10
)

// EventTooLargeError reports that a stream sent more bytes without the end of an event
// than an event may have.
type EventTooLargeError struct{ Max int }

// Error includes the limit.
func (e *EventTooLargeError) Error() string {
	return "an event of the stream is over " + strconv.Itoa(e.Max) + " bytes"
}

// AmbiguousStatusError reports that a target answered with a status by which a
// caller would conclude that the request was not run, but did not confirm this.
type AmbiguousStatusError struct{ Status int }

// Error names the status.
func (e *AmbiguousStatusError) Error() string {
	return "target answered " + http.StatusText(e.Status) + " without saying that the request was not run"
}

// IncompleteEventError reports that a stream ended within an event.
type IncompleteEventError struct{ Bytes int }

// Error implements error.
func (e *IncompleteEventError) Error() string { return "stream ended within an event" }

// relay passes a target's response back to the caller.
func (x *exchange) relay(ctx context.Context, target placement.Target, resp *http.Response) attemptResult {
	head := x.server.opts.Dialect.ParseResponseHead(resp.StatusCode, resp.Header)
	if err := x.checkProof(resp, head); err != nil {
		return x.rejectResponse(target, err)
	}
	x.server.recordNamedRate(target.ID, resp, head)
	if head.IsLeaving {
		x.server.recordDeparture(target)
	}
	if head.NotRun || head.WrongTarget {
		if err := readRefusal(resp); err != nil {
			x.recordIncompleteResponse(ctx, target, err)
			return attemptResult{isRunUnknown: true, cause: err}
		}
		return x.recordNotRun(target, resp, head)
	}
	if isStream(x, resp) {
		return x.relayStream(ctx, target, resp)
	}
	return x.relayBuffered(ctx, target, resp)
}

func (x *exchange) recordNotRun(target placement.Target, resp *http.Response, head ResponseHead) attemptResult {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if head.WrongTarget {
		x.grant.result = placement.ResultUnreachable
		s.dropTarget(target, "another target answers at its address")
	} else {
		x.grant.result = placement.ResultFull
	}
	return attemptResult{cause: &NotRunError{Target: target.ID, Status: resp.StatusCode}}
}

// meansNotRun reports whether a caller would conclude from the status that the
// request was not run.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// relayBuffered passes a response on once it is complete. One of a known length for which the
// VM lacks memory is passed on as it arrives.
func (x *exchange) relayBuffered(ctx context.Context, target placement.Target, resp *http.Response) attemptResult {
	buffer := newBodyBuffer(x.server.responseBodies, resp.ContentLength)
	defer buffer.release()
	err := checkLength(resp)
	if err == nil {
		err = buffer.readFrom(resp.Body)
	}
	if isNoMemory(err) && resp.ContentLength > 0 && !meansNotRun(resp.StatusCode) {
		return x.relayUnbuffered(ctx, target, resp, buffer)
	}
	if err != nil {
		x.recordIncompleteResponse(ctx, target, err)
		return attemptResult{isRunUnknown: true, cause: errors.Wrap(err, "read answer")}
	}
	if meansNotRun(resp.StatusCode) {
		return attemptResult{isRunUnknown: true, cause: &AmbiguousStatusError{Status: resp.StatusCode}}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		x.grant.result = placement.ResultFailed
	}
	x.clearCrashes()
	x.firstByte = structs.Now().Sub(x.Arrived)
	x.server.recordOutcome(x, nil)
	x.out.SendResponse(resp.StatusCode, x.server.opts.Dialect.CallerHeader(resp.Header), buffer.data)
	return attemptResult{isAnswered: true}
}

// relayUnbuffered passes on a response whose start is in a buffer.
func (x *exchange) relayUnbuffered(ctx context.Context, target placement.Target, resp *http.Response, buffer *bodyBuffer) attemptResult {
	x.firstByte = structs.Now().Sub(x.Arrived)
	x.out.BeginStream(resp.StatusCode, x.server.opts.Dialect.CallerHeader(resp.Header))
	part, err := buffer.data, error(nil)
	chunk := make([]byte, readBytes)
	for {
		if writeErr := x.out.SendData(part); writeErr != nil {
			return x.abortStream(ctx, target, abortedByCaller, writeErr)
		}
		buffer.release()
		if err == io.EOF {
			x.clearCrashes()
			x.server.recordOutcome(x, nil)
			x.out.EndStream()
			return attemptResult{isAnswered: true}
		}
		if err != nil {
			return x.abortStream(ctx, target, abortedByTarget, errors.Wrap(err, "read answer"))
		}
		var n int
		n, err = resp.Body.Read(chunk)
		part = chunk[:n]
	}
}

// clearCrashes clears the crashes counted against the request, since a target has
// answered it.
func (x *exchange) clearCrashes() {
	s := x.server
	s.mu.Lock()
	s.quarantine.RecordAnswer(structs.Now(), x.fingerprint)
	s.mu.Unlock()
	if x.isTrial {
		s.log.Info("request leaves quarantine, a target has answered it", "request", string(x.ID), "target", string(x.target))
		go s.trials.end(x.fingerprint)
	}
}

// relayStream passes events on as they arrive. The end of the stream is held back
// until the turn is stored, so that a caller never receives a complete turn that
// can be lost.
func (x *exchange) relayStream(ctx context.Context, target placement.Target, resp *http.Response) attemptResult {
	buffered := make([]byte, 0, readBytes)
	chunk := make([]byte, readBytes)
	hasBegun, taken := false, 0
	x.eventOrder = newEventOrder(x.LastEvent)
	defer func() { x.server.responseBodies.Give(taken) }()
	for {
		n, err := resp.Body.Read(chunk)
		searched := len(buffered)
		buffered = append(buffered, chunk[:n]...)
		complete := completeEvents(buffered, searched)
		if orderErr := x.eventOrder.check(buffered[:complete]); orderErr != nil {
			complete, err = 0, orderErr
		}
		if complete > 0 {
			if !hasBegun {
				if refusal := x.beginStream(ctx, resp); refusal != nil {
					return attemptResult{isRunUnknown: true, cause: refusal}
				}
				hasBegun = true
			}
			if writeErr := x.forwardEvents(buffered[:complete]); writeErr != nil {
				return x.abortStream(ctx, target, abortedByCaller, writeErr)
			}
			buffered = append(buffered[:0], buffered[complete:]...)
		}
		if more := cap(buffered) + x.storedBytes() - taken; more > 0 && cap(buffered)+x.storedBytes() > keptBytes {
			if !x.server.responseBodies.Take(more) {
				err = &NoMemoryError{Bytes: more}
			} else {
				taken += more
			}
		}
		if len(buffered) > maxEventBytes {
			err = &EventTooLargeError{Max: maxEventBytes}
		}
		if stored := x.storedBytes(); stored > turnlog.MaxTurnBytes {
			err = &turnlog.TooLargeError{Bytes: stored, Max: turnlog.MaxTurnBytes}
		}
		if err == io.EOF && len(buffered) > 0 {
			err = &IncompleteEventError{Bytes: len(buffered)}
		}
		if err == io.EOF && !hasBegun && !x.mayBeEmpty(resp) {
			err = &EmptyStreamError{Status: resp.StatusCode}
		}
		if err != nil {
			return x.endStream(ctx, target, resp, hasBegun, err)
		}
	}
}

// storedBytes returns the bytes of the turn that are kept to be stored, 0 if it is not.
func (x *exchange) storedBytes() int {
	if x.turn == nil || x.turn.record == nil {
		return 0
	}
	return len(x.turn.record.Input) + len(x.turn.record.Output)
}

// beginStream starts the response to the caller once the turn's tokens are
// reserved.
func (x *exchange) beginStream(ctx context.Context, resp *http.Response) *structs.Refusal {
	if refusal := x.awaitReservation(ctx, nil); refusal != nil {
		return refusal
	}
	x.firstByte = structs.Now().Sub(x.Arrived)
	x.rememberTarget()
	x.out.BeginStream(resp.StatusCode, x.server.opts.Dialect.CallerHeader(resp.Header))
	return nil
}

func (x *exchange) forwardEvents(events []byte) error {
	count := 0
	for rest := events; len(rest) > 0; count++ {
		end := firstEvent(rest)
		if x.turn != nil && x.turn.record != nil {
			x.turn.record.Output = appendData(x.turn.record.Output, rest[:end])
		}
		rest = rest[end:]
	}
	// Counted before the write: an event may have arrived even if its write fails.
	x.events += count
	x.tokens += int64(count * x.service.TokensPerEvent)
	return x.out.SendData(events)
}

func (x *exchange) endStream(ctx context.Context, target placement.Target, resp *http.Response, hasBegun bool, err error) attemptResult {
	if err != io.EOF {
		if !hasBegun {
			x.recordIncompleteResponse(ctx, target, err)
			return attemptResult{isRunUnknown: true, cause: errors.Wrap(err, "read stream")}
		}
		return x.abortStream(ctx, target, abortedByTarget, errors.Wrap(err, "read stream"))
	}
	if !hasBegun {
		if refusal := x.beginStream(ctx, resp); refusal != nil {
			return attemptResult{isRunUnknown: true, cause: refusal}
		}
	}
	x.clearCrashes()
	start := structs.Now()
	err = x.storeTurn(ctx)
	x.storeWait = structs.Now().Sub(start)
	if err != nil {
		return x.abortStream(ctx, target, abortedByStore, errors.Wrap(err, "store turn"))
	}
	x.server.recordOutcome(x, nil)
	x.out.EndStream()
	return attemptResult{isAnswered: true}
}

// Causes for which a response that has begun is broken off, as labels of a metric.
const (
	abortedByTarget   = "target"
	abortedByCaller   = "caller"
	abortedByStore    = "store"
	abortedByDeadline = "deadline"
)

// abortStream ends a stream that has begun and can't be completed.
func (x *exchange) abortStream(ctx context.Context, target placement.Target, by string, cause error) attemptResult {
	if ctx.Err() == context.DeadlineExceeded {
		by = abortedByDeadline
	}
	x.server.stats.countAborted(by)
	if by == abortedByTarget || by == abortedByDeadline {
		x.recordIncompleteResponse(ctx, target, cause)
	} else {
		x.server.log.Warn("answer broke off", "request", string(x.ID), "by", by, "cause", cause.Error())
	}
	x.mayHaveRun = true
	refusal := x.refuseFailed(cause)
	if ctx.Err() != nil {
		refusal = x.refuseTimedOut(cause)
	}
	x.server.recordOutcome(x, refusal)
	return attemptResult{isAnswered: true, cause: &ResponseAbortedError{Cause: cause}}
}

// ResponseAbortedError reports that the caller's connection has to be closed in the
// middle of a response.
type ResponseAbortedError struct{ Cause error }

// Error names the cause.
func (e *ResponseAbortedError) Error() string { return "response aborted: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ResponseAbortedError) Unwrap() error { return e.Cause }
