package daemon

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// unprovenAnswers are successes that nothing shows to be the target's answer; {id} stands for
// the request's ID.
func unprovenAnswers() map[string]string {
	const (
		id    = platformtest.HeaderRequestID + ": {id}\r\n"
		stamp = platformtest.HeaderStamp + ": stamp-{id}\r\n"
		body  = "Content-Length: 22\r\n\r\nid: 1\ndata: wrong one\n\n"
		plain = "Content-Length: 12\r\n\r\nwrong bytes."
	)
	return map[string]string{
		"neither ID nor stamp":        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + plain,
		"events, neither":             "HTTP/1.1 200 OK\r\n" + body,
		"no stamp":                    "HTTP/1.1 200 OK\r\n" + id + body,
		"empty stamp":                 "HTTP/1.1 200 OK\r\n" + id + platformtest.HeaderStamp + ": \r\n" + body,
		"two stamps":                  "HTTP/1.1 200 OK\r\n" + id + stamp + platformtest.HeaderStamp + ": other\r\n" + body,
		"no ID":                       "HTTP/1.1 200 OK\r\n" + stamp + body,
		"empty ID":                    "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ":\r\n" + stamp + body,
		"another ID":                  "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": other\r\n" + stamp + body,
		"201 without stamp":           "HTTP/1.1 201 Created\r\n" + id + body,
		"204 without stamp":           "HTTP/1.1 204 No Content\r\n" + id + "\r\n",
		"no stamp, ends with channel": "HTTP/1.1 200 OK\r\n" + id + "\r\nid: 1\ndata: wrong one\n\n",
		"failure without ID":          "HTTP/1.1 500 x\r\n" + plain,
		"no response":                 "wrong bytes.",
	}
}

func answerRaw(raw string) platformtest.Behaviour {
	return platformtest.Behaviour{Events: 3, RawAnswer: func(id string) string { return strings.ReplaceAll(raw, "{id}", id) }}
}

// Guards against MIXED: bytes that are no answer of a target must not reach a caller as a
// success, on new and reused connections, on each kind of route.
func TestUnprovenSuccessReachesNoCaller(t *testing.T) {
	b := newTestSite(t, "near-a")
	checkWrongAnswers(t, b, b.addTarget("app-1", "app", "near-a"), b.addTarget("engine-1", "engine", "near-a"), unprovenAnswers())
}

func TestUnprovenSuccessIsNotForwarded(t *testing.T) {
	f := newForwardingSite(t, 2, time.Millisecond)
	checkWrongAnswers(t, f.testSite, f.app, f.engine, unprovenAnswers())
}

// checkWrongAnswers checks that callers get a 502 for each of the answers, and that none is
// stored or counted.
func checkWrongAnswers(t *testing.T, b *testSite, app, engine *platformtest.Target, answers map[string]string) {
	sound := platformtest.Behaviour{Events: 3}
	program := 0
	for name, raw := range answers {
		for _, isReused := range []bool{false, true} {
			for path, target := range map[string]*platformtest.Target{"/read/1": app, orderPath: app, draftPath: engine, "/chat/1": engine} {
				program++
				header := map[string]string{}
				if path == "/chat/1" {
					header = map[string]string{
						platformtest.HeaderProgram: "p-" + strings.Repeat("x", program), platformtest.HeaderBudget: "60", platformtest.HeaderUsage: "10,30",
					}
				}
				if isReused { // leaves an open connection
					target.Set(sound)
					assert.Equal(t, b.send(request{path: path, method: http.MethodPost}).status, http.StatusOK)
				}
				target.Set(answerRaw(raw))
				start := time.Now()
				got := b.send(request{path: path, body: "x", header: header})
				assert.Check(t, time.Since(start) < 500*time.Millisecond, "%s, reused %v, %s: refused after %s", name, isReused, path, time.Since(start))
				assert.Check(t, got.err == nil && got.status == http.StatusBadGateway, "%s, reused %v, %s: %+v", name, isReused, path, got)
				if path != "/chat/1" {
					continue
				}
				target.Set(sound)
				header[platformtest.HeaderPrevious] = got.id
				next := b.send(request{path: path, body: "next", header: header})
				assert.Check(t, next.status == http.StatusNotFound, "%s: stored as a turn: %+v", name, next)
				delete(header, platformtest.HeaderPrevious)
				for turn := range 2 { // the budget holds two turns
					next = b.send(request{path: path, body: "next", header: header})
					assert.Check(t, next.status == http.StatusOK, "%s: counted, turn %d: %+v", name, turn, next)
				}
			}
		}
	}
}

// Guards against a wrong answer of one target that fails a request which another target could
// serve.
func TestRepeatableRequestWithUnprovenAnswerIsSentElsewhere(t *testing.T) {
	checkWrongAnswersAreSentElsewhere(t, unprovenAnswers())
}

func checkWrongAnswersAreSentElsewhere(t *testing.T, answers map[string]string) {
	b := newTestSite(t, "near-a")
	var targets []*platformtest.Target
	for _, name := range []string{"1", "2"} {
		targets = append(targets, b.addTarget("app-"+name, "app", "near-a"), b.addTarget("engine-"+name, "engine", "near-a"))
	}
	sound := rawHead("200 OK", "{id}", closing, "Content-Length: 17") + "\r\nid: 1\ndata: one\n\n"
	for name, raw := range answers {
		var asked sync.Map // by request ID
		for _, target := range targets {
			target.Set(platformtest.Behaviour{RawAnswer: func(id string) string {
				if _, isSecond := asked.LoadOrStore(id, true); isSecond {
					return strings.ReplaceAll(sound, "{id}", id)
				}
				return strings.ReplaceAll(raw, "{id}", id)
			}})
		}
		for _, path := range []string{"/read/1", draftPath} {
			got := b.send(request{path: path})
			assert.Check(t, got.status == http.StatusOK && got.body == "id: 1\ndata: one\n\n", "%s, %s: %+v", name, path, got)
		}
	}
}

// Guards against ORDER: a stream without events, one that repeats events and one that goes on
// with those of another run must not look complete.
func TestStreamsThatAreNotOneRunAreBrokenOff(t *testing.T) {
	b := newTestSite(t, "near-a")
	engine := b.addTarget("engine-1", "engine", "near-a")
	for _, path := range []string{draftPath, "/chat/1"} {
		for name, c := range map[string]struct {
			events, lastEvent string
			isWhole           bool
		}{
			"no events":              {events: ""},
			"repeated event":         {events: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 2\ndata: b\n\n"},
			"another run":            {events: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 1\ndata: c\n\n"},
			"increasing":             {events: "id: 3\ndata: a\n\nid: 5\ndata: b\n\n", isWhole: true},
			"resumed from the start": {events: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", lastEvent: "1"},
			"resumed":                {events: "id: 2\ndata: a\n\nid: 3\ndata: b\n\n", lastEvent: "1", isWhole: path == draftPath},
		} {
			engine.Set(answerRaw(rawHead("200 OK", "{id}", closing, "Content-Type: text/event-stream") + "\r\n" + c.events))
			header := map[string]string{}
			if c.lastEvent != "" {
				header[platformtest.HeaderLastEvent] = c.lastEvent
			}
			got := b.send(request{path: path, header: header})
			isWhole := got.err == nil && got.status == http.StatusOK
			assert.Check(t, isWhole == c.isWhole, "%s, %s: %+v", path, name, got)
		}
	}
}
