package daemon

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

const (
	// uploadBytes is more than the socket buffers between a VM and a target hold.
	uploadBytes = 6 << 20
	// turnBytes is the input of a turn, below the limit for one; a conversation of turnCount such
	// turns is an upload.
	turnBytes, turnCount = 600_000, 10
	// resetTries is how often each answer is played: chance decides whether the reader or the
	// writer is told of a reset.
	resetTries = 2
)

// allowUploads puts a configuration in force that allows uploads.
func allowUploads(b *testSite) {
	config := platformtest.BasicConfig()
	config.Limits["maxBodyBytes"] = 2 * uploadBytes
	version := b.site.PutConfig(config)
	b.waitUntil("limit in force", func() bool {
		return len(b.logs.lines("configuration in force", fmt.Sprintf(`"version":%d`, version))) == len(b.vms)
	})
}

// earlyAnswer answers before the upload is read and resets the connection while it is written.
func earlyAnswer(raw string) platformtest.Behaviour {
	behaviour := answerRaw(raw)
	behaviour.RawIsEarly, behaviour.RawIsReset = true, true
	return behaviour
}

// Guards against MIXED: the part of an answer that arrived before a reset must not reach a caller
// as a whole answer, and a whole one that arrived before it must.
func TestResetUnderUploadEndsNoAnswer(t *testing.T) {
	b := newTestSite(t, "near-a")
	allowUploads(b)
	checkResetsUnderUpload(t, b, b.addTarget("app-1", "app", "near-a"), b.addTarget("engine-1", "engine", "near-a"))
}

func TestResetUnderForwardedUploadEndsNoAnswer(t *testing.T) {
	f := newForwardingSiteWithin(t, 2, time.Millisecond, platformtest.Limits{MemoryMB: 1024}) // a frame holds the upload
	allowUploads(f.testSite)
	checkResetsUnderUpload(t, f.testSite, f.app, f.engine)
}

func checkResetsUnderUpload(t *testing.T, b *testSite, app, engine *platformtest.Target) {
	const chunks = "Transfer-Encoding: chunked"
	events, upload := rawEvents("\n"), strings.Repeat("x", uploadBytes)
	length := fmt.Sprintf("Content-Length: %d", len(events))
	header := map[string]string{platformtest.HeaderProgram: "p-1", platformtest.HeaderBudget: "100000", platformtest.HeaderUsage: "10,30"}
	chain := startLongChain(b, engine, header)
	for name, c := range map[string]struct {
		status, line, raw string
		isWhole           bool
	}{
		"until the end":         {"200 OK", "X-Own: 1", events, false},
		"failure until the end": {"500 x", "X-Own: 1", events, false},
		"refusal until the end": {"503 x", "X-Own: 1", events, false},
		"no body until the end": {"200 OK", "X-Own: 1", "", false},
		"no last chunk":         {"200 OK", chunks, inChunks(events, false), false},
		"with a length":         {"200 OK", length, events, true},
		"in chunks":             {"200 OK", chunks, inChunks(events, true), true},
		"failure with a length": {"500 x", length, events, true},
	} {
		raw := rawHead(c.status, "{id}", c.line) + "\r\n" + c.raw
		app.Set(earlyAnswer(raw))
		engine.Set(earlyAnswer(raw))
		for range resetTries {
			for _, sent := range []request{
				{path: "/read/1", body: upload}, {path: orderPath, body: upload}, {path: draftPath, body: upload}, {path: "/chat/1", body: "x", header: maps.Clone(header)},
			} {
				isTurn := sent.header != nil
				if isTurn {
					sent.header[platformtest.HeaderPrevious] = chain
				}
				got := b.send(sent)
				isWhole := got.err == nil && fmt.Sprint(got.status) == c.status[:3] && got.body == events
				isBroken := got.err != nil || got.status == http.StatusBadGateway
				assert.Check(t, c.isWhole && isWhole || !c.isWhole && isBroken, "%s, %s: %d %q %v", name, sent.path, got.status, got.body, got.err)
				if isTurn && !c.isWhole {
					sent.header[platformtest.HeaderPrevious] = got.id
					next := b.send(sent)
					assert.Check(t, next.status == http.StatusNotFound, "%s: stored as a turn: %d", name, next.status)
				}
			}
		}
	}
	for form, lines := range map[string][]string{
		"told to the writer": b.logs.lines("connection failed while the request was written"),
		"told to the reader": b.logs.lines("incomplete body: read tcp"),
		"no last chunk":      b.logs.lines("incomplete body: unexpected EOF"),
	} {
		t.Logf("%d log lines of answers that broke off: %s", len(lines), form)
	}
}

// startLongChain plays the turns of a conversation whose next turn is an upload, and returns the
// ID of the last one.
func startLongChain(b *testSite, engine *platformtest.Target, header map[string]string) (last string) {
	engine.Set(platformtest.Behaviour{Events: 1})
	for range turnCount {
		turn := request{path: "/chat/1", body: strings.Repeat("t", turnBytes), header: maps.Clone(header)}
		if last != "" {
			turn.header[platformtest.HeaderPrevious] = last
		}
		got := b.send(turn)
		assert.Equal(b.t, got.status, http.StatusOK, got.body)
		last = got.id
	}
	return last
}

// Guards against an answer that breaks off and fails a request which another target could serve.
func TestRepeatableUploadIsSentElsewhereAfterReset(t *testing.T) {
	b := newTestSite(t, "near-a")
	allowUploads(b)
	targets := []*platformtest.Target{b.addTarget("app-1", "app", "near-a"), b.addTarget("app-2", "app", "near-a")}
	upload := strings.Repeat("x", uploadBytes)
	var asked sync.Map // by request ID
	part, whole := rawHead("200 OK", "{id}")+"\r\npart", rawHead("200 OK", "{id}", "Content-Length: 5")+"\r\nwhole"
	for _, target := range targets {
		behaviour := earlyAnswer("")
		behaviour.RawAnswer = func(id string) string {
			if _, isSecond := asked.LoadOrStore(id, true); isSecond {
				return strings.ReplaceAll(whole, "{id}", id)
			}
			return strings.ReplaceAll(part, "{id}", id)
		}
		target.Set(behaviour)
	}
	for range resetTries {
		got := b.send(request{path: "/read/1", body: upload})
		assert.Check(t, got.err == nil && got.status == http.StatusOK && got.body == "whole", "%d %q %v", got.status, got.body, got.err)
	}
}

// Guards against REFUSED: a refusal that says that the request was not run, and that a reset under
// the upload has cut, is no promise; one that arrived whole is.
func TestRefusalUnderUploadMustBeWhole(t *testing.T) {
	b := newTestSite(t, "near-a")
	allowUploads(b)
	app := b.addTarget("app-1", "app", "near-a")
	upload := strings.Repeat("x", uploadBytes)
	const notRun = platformtest.HeaderNotRun + ": 1"
	for raw, status := range map[string]int{
		rawHead("503 x", "{id}", notRun) + "\r\nfull":                      http.StatusBadGateway,
		rawHead("503 x", "{id}", notRun, "Content-Length: 4") + "\r\nfull": http.StatusServiceUnavailable,
	} {
		app.Set(earlyAnswer(raw))
		for range 2 * resetTries {
			got := b.send(request{path: orderPath, body: upload})
			assert.Check(t, got.err == nil && got.status == status, "%q: %d %s %v", raw, got.status, got.body, got.err)
		}
	}
}
