package daemon

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// rawHead returns the status line and headers of a target's answer, without the blank line.
func rawHead(status, id string, lines ...string) string {
	head := "HTTP/1.1 " + status + "\r\n" + platformtest.HeaderStamp + ": stamp-" + id + "\r\n"
	if id != "" {
		head += platformtest.HeaderRequestID + ": " + id + "\r\n"
	}
	return head + strings.Join(append(lines, ""), "\r\n")
}

const orderPath = "/order/1"

// Guards against REFUSED and TWICE: a refusal is believed only with the request's ID and a
// status of failure; after any other, the request may have run.
func TestUncertainRefusalIsNoPromise(t *testing.T) {
	b := newTestSite(t, "near-a")
	targets := []*platformtest.Target{b.addTarget("app-1", "app", "near-a"), b.addTarget("app-2", "app", "near-a")}
	const notRun, empty, id = platformtest.HeaderNotRun + ": 1", "Content-Length: 0\r\n\r\n", "{id}"
	for _, c := range []struct {
		name, answer string
		status, runs int
	}{
		{"without an ID", rawHead("503 x", "", notRun, empty), 502, 1},
		{"429 without an ID", rawHead("429 x", "", notRun, empty), 502, 1},
		{"with another ID", rawHead("503 x", "other", notRun, empty), 502, 1},
		{"another, then none", rawHead("503 x", "other", notRun, empty) + rawHead("503 x", "", notRun, empty), 502, 1},
		{"with a success", rawHead("200 OK", id, notRun, empty), 502, 1},
		{"without saying so", rawHead("503 x", id, empty), 502, 1},
		{"cut in its head", rawHead("503 x", id, notRun, "Content-Le"), 502, 1},
		{"with the ID, once by each target", rawHead("503 x", id, notRun, empty), 503, 2},
		{"421 without an ID", rawHead("421 x", "", empty), 502, 1},
	} {
		before := len(targets[0].Runs()) + len(targets[1].Runs())
		for _, target := range targets {
			target.Set(platformtest.Behaviour{RawAnswer: func(sent string) string { return strings.ReplaceAll(c.answer, id, sent) }})
		}
		got := b.send(request{path: orderPath})
		runs := len(targets[0].Runs()) + len(targets[1].Runs()) - before
		assert.Check(t, got.status == c.status && runs == c.runs, "%s: status %d after %d runs: %s", c.name, got.status, runs, got.body)
	}
}
