package daemon

import (
	"testing"
	"time"

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
}

func TestStatusOutsideGrammarIsNotForwarded(t *testing.T) {
	f := newForwardingSite(t, 2, time.Millisecond)
	checkWrongAnswers(t, f.testSite, f.app, f.engine, statusesOutsideGrammar())
}

func TestRepeatableRequestWithStatusOutsideGrammarIsSentElsewhere(t *testing.T) {
	checkWrongAnswersAreSentElsewhere(t, statusesOutsideGrammar())
}
