package daemon

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// answersWithStatuses returns answers to "{id}" that are whole but for their status: successes,
// with the target's signature, and refusals, which say that the request was not run.
func answersWithStatuses(statuses ...string) map[string]string {
	const notRun, body = platformtest.HeaderNotRun + ": 1", "\r\nid: 1\ndata: wrong one\n\n"
	answers := make(map[string]string)
	for _, status := range statuses {
		answers["answer "+status] = rawHead(status, "{id}", "Content-Length: 22") + body
		answers["refusal "+status] = rawHead(status, "{id}", notRun, "Content-Length: 22") + body
		answers["until the end "+status] = rawHead(status, "{id}", "X-Own: 1") + body
		answers["after 100 "+status] = "HTTP/1.1 100 Continue\r\n\r\n" + rawHead(status, "{id}", notRun, "Content-Length: 22") + body
	}
	return answers
}

// statusesOutsideGrammar are those of which no digits or no class is HTTP's.
func statusesOutsideGrammar() map[string]string {
	return answersWithStatuses("000 x", "000", "099 x", "600 x", "777 x", "999 x", "20 x", "2000 x", "+20 x", "-20 x", "2x0 x", "")
}

// Guards against MIXED and REFUSED: an answer or refusal whose status HTTP does not know must not
// be believed.
func TestStatusOutsideGrammarReachesNoCaller(t *testing.T) {
	b := newTestSite(t, "near-a")
	checkWrongAnswers(t, b, b.addTarget("app-1", "app", "near-a"), b.addTarget("engine-1", "engine", "near-a"), statusesOutsideGrammar())
	assert.Check(t, len(b.logs.lines("response rejected", "status line of the response: status")) > 0)
}

func TestStatusOutsideGrammarIsNotForwarded(t *testing.T) {
	f := newForwardingSite(t, 2, time.Millisecond)
	checkWrongAnswers(t, f.testSite, f.app, f.engine, statusesOutsideGrammar())
}

func TestRepeatableRequestWithStatusOutsideGrammarIsSentElsewhere(t *testing.T) {
	checkWrongAnswersAreSentElsewhere(t, statusesOutsideGrammar())
}

// fieldsOutsideGrammar are answers to "{id}" with a line that is no field: on the first, the last
// and a middle line of a head, in successes, failures and refusals.
func fieldsOutsideGrammar() map[string]string {
	const notRun, body = platformtest.HeaderNotRun + ": 1", "\r\nid: 1\ndata: wrong one\n\n"
	answers := make(map[string]string)
	for name, field := range map[string]string{
		"blank in the name": "X Own: 1", "blank after the name": "X-Own : 1", "blank in the framing": "Content Length: 3",
		"blank before the framing": " Content-Length: 3", "tab before the name": "\tX-Own: 1", "blank as the name": " : 1",
		"no name": ": 1", "control byte in the name": "X-\x01Own: 1", "null byte in the name": "X-\x00Own: 1",
		"control byte before the name": "\x1bX-Own: 1", "delete after the name": "X-Own\x7f: 1", "carriage return in the name": "X-\rOwn: 1",
	} {
		const length = "Content-Length: 22"
		whole := rawHead("200 OK", "{id}", length)
		statusLine, fields, _ := strings.Cut(whole, "\r\n")
		answers[name+", first line"] = statusLine + "\r\n" + field + "\r\n" + fields + body
		answers[name+", last line"] = rawHead("200 OK", "{id}", length, field) + body
		answers[name+", middle line, until the end"] = rawHead("200 OK", "{id}", field, "X-Own: 1") + body
		answers[name+", refusal"] = rawHead("503 x", "{id}", notRun, field, length) + body
		answers[name+", failure"] = rawHead("404 x", "{id}", length, field) + body
	}
	return answers
}

// Guards against MIXED: an answer in whose head the name of a field has bytes that HTTP does not
// allow must not be believed.
func TestFieldOutsideGrammarReachesNoCaller(t *testing.T) {
	b := newTestSite(t, "near-a")
	checkWrongAnswers(t, b, b.addTarget("app-1", "app", "near-a"), b.addTarget("engine-1", "engine", "near-a"), fieldsOutsideGrammar())
	assert.Check(t, len(b.logs.lines("response rejected", "head of the response: name of field")) > 0)
}

func TestFieldOutsideGrammarIsNotForwarded(t *testing.T) {
	f := newForwardingSite(t, 2, time.Millisecond)
	checkWrongAnswers(t, f.testSite, f.app, f.engine, fieldsOutsideGrammar())
}

func TestRepeatableRequestWithFieldOutsideGrammarIsSentElsewhere(t *testing.T) {
	checkWrongAnswersAreSentElsewhere(t, fieldsOutsideGrammar())
}
