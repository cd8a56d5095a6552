package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/hop"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// maxAnswerBytes bounds an answer that is read whole before it is passed
	// on.
	maxAnswerBytes = 16 << 20
	// readBytes is the size of one read of a stream.
	readBytes = 8 << 10
)

// ResponseTooLargeError says that an answer passes the bound.
type ResponseTooLargeError struct{ Max int }

// Error says so.
func (e *ResponseTooLargeError) Error() string { return "answer is over the size limit" }

// AmbiguousStatusError says that a target answered with a status that promises
// that the request was not run, without saying so.
type AmbiguousStatusError struct{ Status int }

// Error gives the status.
func (e *AmbiguousStatusError) Error() string {
	return "target answered " + http.StatusText(e.Status) + " without saying that the request was not run"
}

// EncodedResponseError says that an answer is encoded though none was asked for.
type EncodedResponseError struct{ Encoding string }

// Error gives the encoding.
func (e *EncodedResponseError) Error() string { return "answer is encoded as " + e.Encoding }

// IncompleteEventError says that a stream ended within an event.
type IncompleteEventError struct{ Bytes int }

// Error says so.
func (e *IncompleteEventError) Error() string { return "stream ended within an event" }

// relay passes a target's answer back to the caller.
func (x *exchange) relay(ctx context.Context, target placement.Target, conn *hop.Conn, resp *http.Response) verdict {
	head := x.server.opts.Dialect.ParseResponseHead(resp.StatusCode, resp.Header)
	if head.NotRun || head.WrongTarget {
		return x.notRun(target, resp, head)
	}
	if encoding := resp.Header.Get("Content-Encoding"); encoding != "" {
		return verdict{sent: true, cause: &EncodedResponseError{Encoding: encoding}}
	}
	if isStream(x, resp) {
		return x.relayStream(ctx, target, resp)
	}
	return x.relayWhole(ctx, target, resp)
}

func (x *exchange) notRun(target placement.Target, resp *http.Response, head ResponseHead) verdict {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if head.WrongTarget {
		x.grant.result = placement.ResultUnreachable
		s.drop(target, "another target answers at its address")
	} else {
		x.grant.result = placement.ResultFull
	}
	return verdict{cause: &NotRunError{Target: target.ID, Status: resp.StatusCode}}
}

// promisesNotRun reports whether a status would tell the caller that the
// request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (x *exchange) relayWhole(ctx context.Context, target placement.Target, resp *http.Response) verdict {
	body, err := readWhole(resp.Body)
	if err != nil {
		x.answerBroke(ctx, target, err)
		return verdict{sent: true, cause: errors.Wrap(err, "read answer")}
	}
	if promisesNotRun(resp.StatusCode) {
		return verdict{sent: true, cause: &AmbiguousStatusError{Status: resp.StatusCode}}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		x.grant.result = placement.ResultFailed
	}
	x.finishCrashCheck()
	x.firstByte = structs.Now().Sub(x.Arrived)
	x.server.observe(x, nil)
	x.out.SendResponse(resp.StatusCode, x.server.opts.Dialect.CallerHeader(resp.Header), body)
	return verdict{done: true}
}

func readWhole(body io.Reader) ([]byte, error) {
	whole, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes+1))
	if err == nil && len(whole) > maxAnswerBytes {
		return nil, &ResponseTooLargeError{Max: maxAnswerBytes}
	}
	return whole, err
}

// finishCrashCheck records that the request does not crash targets.
func (x *exchange) finishCrashCheck() {
	s := x.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.quarantine.Len() > 0 {
		s.quarantine.RecordAnswer(structs.Now(), x.fingerprint)
	}
}

// relayStream passes events on as they arrive. The stream's end is held back
// until the turn is stored, so that a caller never sees the whole of a turn that
// can be lost.
func (x *exchange) relayStream(ctx context.Context, target placement.Target, resp *http.Response) verdict {
	pending := make([]byte, 0, readBytes)
	chunk := make([]byte, readBytes)
	begun := false
	for {
		n, err := resp.Body.Read(chunk)
		pending = append(pending, chunk[:n]...)
		whole := wholeEvents(pending)
		if whole > 0 {
			if !begun {
				if refusal := x.begin(ctx, resp); refusal != nil {
					return verdict{sent: true, cause: refusal}
				}
				begun = true
			}
			if failed := x.pass(pending[:whole]); failed != nil {
				return x.broken(ctx, target, failed)
			}
			pending = append(pending[:0], pending[whole:]...)
		}
		if err == io.EOF && len(pending) > 0 {
			err = &IncompleteEventError{Bytes: len(pending)}
		}
		if err != nil {
			return x.endStream(ctx, target, resp, begun, err)
		}
	}
}

// begin starts the answer to the caller, once the turn's tokens are reserved.
func (x *exchange) begin(ctx context.Context, resp *http.Response) *structs.Refusal {
	if refusal := x.awaitReservation(ctx, nil); refusal != nil {
		return refusal
	}
	x.firstByte = structs.Now().Sub(x.Arrived)
	x.out.BeginStream(resp.StatusCode, x.server.opts.Dialect.CallerHeader(resp.Header))
	return nil
}

func (x *exchange) pass(events []byte) error {
	count := 0
	for rest := events; len(rest) > 0; count++ {
		end := bytes.Index(rest, eventEnd) + len(eventEnd)
		if x.turn != nil {
			x.turn.record.Output = appendData(x.turn.record.Output, rest[:end])
		}
		rest = rest[end:]
	}
	// Counted before the write: an event that was cut may have arrived.
	x.events += count
	x.tokens += int64(count * x.service.TokensPerEvent)
	return x.out.SendData(events)
}

func (x *exchange) endStream(ctx context.Context, target placement.Target, resp *http.Response, begun bool, err error) verdict {
	if err != io.EOF {
		if !begun {
			x.answerBroke(ctx, target, err)
			return verdict{sent: true, cause: errors.Wrap(err, "read stream")}
		}
		return x.broken(ctx, target, errors.Wrap(err, "read stream"))
	}
	if !begun {
		if refusal := x.begin(ctx, resp); refusal != nil {
			return verdict{sent: true, cause: refusal}
		}
	}
	x.finishCrashCheck()
	if err := x.commit(ctx); err != nil {
		return x.broken(ctx, target, errors.Wrap(err, "store turn"))
	}
	x.server.observe(x, nil)
	x.out.EndStream()
	return verdict{done: true}
}

// broken ends a stream that has begun and can't be completed.
func (x *exchange) broken(ctx context.Context, target placement.Target, cause error) verdict {
	x.answerBroke(ctx, target, cause)
	x.mayHaveRun = true
	refusal := x.failed(cause)
	if ctx.Err() != nil {
		refusal = x.ended(cause)
	}
	x.server.observe(x, refusal)
	return verdict{done: true, cause: &ResponseAbortedError{Cause: cause}}
}

// ResponseAbortedError says that the caller's connection is to be closed in the middle
// of an answer.
type ResponseAbortedError struct{ Cause error }

// Error gives the cause.
func (e *ResponseAbortedError) Error() string { return "answer aborted: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ResponseAbortedError) Unwrap() error { return e.Cause }
