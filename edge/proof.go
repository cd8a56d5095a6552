package edge

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/endivecourse/endivecourse/placement"
)

// A response is passed on, stored and counted only if it is shown to be the target's answer
// to the request: it repeats the request's ID, and a success bears the target's signature.

// UnprovenResponseError reports a response that is not shown to be the target's answer to the
// request.
type UnprovenResponseError struct {
	Status int
	ID     string
	Reason string
}

// Error names the status, the ID and what is missing.
func (e *UnprovenResponseError) Error() string {
	return "response with status " + strconv.Itoa(e.Status) + " and request ID " + strconv.Quote(e.ID) + " " + e.Reason
}

// UncertainRefusalError reports a refusal that may not be the answer to this request: it
// lacks the request's ID, or its status is not one of a refusal.
type UncertainRefusalError struct {
	Status int
	ID     string
}

// Error names the status and the ID.
func (e *UncertainRefusalError) Error() string {
	return "refusal with status " + strconv.Itoa(e.Status) + " and request ID " + strconv.Quote(e.ID)
}

// EncodedResponseError reports that a response is encoded although no encoding was
// requested.
type EncodedResponseError struct{ Encoding string }

// Error names the encoding.
func (e *EncodedResponseError) Error() string { return "answer is encoded as " + e.Encoding }

// EmptyStreamError reports a success without any event where a stream was expected. The
// target may have ended before its first event.
type EmptyStreamError struct{ Status int }

// Error names the status.
func (e *EmptyStreamError) Error() string {
	return "stream with status " + strconv.Itoa(e.Status) + " has no event"
}

// EventOrderError reports an event that does not follow the one before it: it is repeated or
// belongs to another run.
type EventOrderError struct{ ID, After int64 }

// Error names both IDs.
func (e *EventOrderError) Error() string {
	return "event " + strconv.FormatInt(e.ID, 10) + " follows event " + strconv.FormatInt(e.After, 10)
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// checkProof returns why a response must not be taken for the answer to the request, nil if
// it may be.
func (x *exchange) checkProof(resp *http.Response, head ResponseHead) error {
	id := resp.Header.Get(x.server.opts.Dialect.IDHeader())
	isRefusal := head.NotRun || head.WrongTarget
	encoding := resp.Header.Get("Content-Encoding")
	switch {
	case isRefusal && (id != string(x.ID) || resp.StatusCode < http.StatusBadRequest):
		return &UncertainRefusalError{Status: resp.StatusCode, ID: id}
	case isRefusal:
		return nil
	case id != string(x.ID):
		return &UnprovenResponseError{Status: resp.StatusCode, ID: id, Reason: "names another request"}
	case isSuccess(resp.StatusCode) && !head.IsSigned:
		return &UnprovenResponseError{Status: resp.StatusCode, ID: id, Reason: "is not signed by the target"}
	case encoding != "":
		return &EncodedResponseError{Encoding: encoding}
	}
	return nil
}

// rejectResponse ends an attempt whose response is not shown to be the target's answer. The
// target may have run the request.
func (x *exchange) rejectResponse(target placement.Target, cause error) attemptResult {
	x.server.stats.countRejected()
	x.server.log.Warn("response rejected", "request", string(x.ID), "target", string(target.ID),
		"forwarded_by", string(x.forwardedBy), "sends", x.sends, "cause", cause.Error())
	x.grant.result = placement.ResultFailed
	return attemptResult{isRunUnknown: true, cause: cause}
}

// mayBeEmpty reports whether a stream without events may be complete: its response has no
// body, or the caller has all events already.
func (x *exchange) mayBeEmpty(resp *http.Response) bool {
	if x.turn != nil {
		return false
	}
	return x.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || x.LastEvent != ""
}

// idField begins the line of an event that carries its ID.
var idField = []byte("id:")

// eventOrder checks that the integer IDs of a stream's events increase. Events without such an
// ID are not checked.
type eventOrder struct {
	last   int64
	hasAny bool
}

// newEventOrder returns the order of a stream that continues after an event, empty for none.
func newEventOrder(lastEvent string) eventOrder {
	last, err := strconv.ParseInt(lastEvent, 10, 64)
	return eventOrder{last: last, hasAny: err == nil}
}

// check checks the next complete events. Its error is an *EventOrderError.
func (o *eventOrder) check(events []byte) error {
	for line := range bytes.Lines(events) {
		text, isID := bytes.CutPrefix(line, idField)
		if !isID {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
		if err != nil {
			continue
		}
		if o.hasAny && id <= o.last {
			return &EventOrderError{ID: id, After: o.last}
		}
		o.last, o.hasAny = id, true
	}
	return nil
}
