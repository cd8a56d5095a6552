package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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

// rawEvents returns a stream's events with the given line ends.
func rawEvents(lineEnd string) string {
	return strings.ReplaceAll("id: 1\ndata: one\n\nid: 2\ndata: two\n\n", "\n", lineEnd)
}

// inChunks returns text in chunks of seven bytes, and the last chunk if it is whole.
func inChunks(text string, isWhole bool) string {
	var chunked strings.Builder
	for len(text) > 0 {
		n := min(len(text), 7)
		fmt.Fprintf(&chunked, "%x\r\n%s\r\n", n, text[:n])
		text = text[n:]
	}
	if isWhole {
		chunked.WriteString("0\r\n\r\n")
	}
	return chunked.String()
}

const (
	orderPath = "/order/1"
	draftPath = "/draft/1"
	// closing is in whole answers with a length or chunks: the target closes each connection,
	// and without it the next request might be sent before that is noticed.
	closing = "Connection: close"
)

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
		{"with a cut body", rawHead("503 x", id, notRun, "Content-Length: 5") + "\r\nfull", 502, 1},
		{"with cut chunks", rawHead("429 x", id, notRun, "Transfer-Encoding: chunked") + "\r\n4\r\nfull\r\n", 502, 1},
		{"421 with a cut body", rawHead("421 x", id, "Content-Length: 5") + "\r\nfull", 502, 1},
		{"without end", rawHead("503 x", id, notRun, "Content-Length: 2000000") + "\r\n" + strings.Repeat("x", 100<<10), 502, 1},
		{"in chunks, once by each target", rawHead("503 x", id, notRun, "Transfer-Encoding: chunked") + "\r\n4\r\nfull\r\n0\r\n\r\n", 503, 2},
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

// Guards against MIXED and ORDER: callers get an answer or a stream whole, or see that it is
// not, in each framing of the target's answer.
func TestCallersSeeWhetherAnswersAreWhole(t *testing.T) {
	b := newTestSite(t, "near-a")
	checkAnswersAreWhole(t, b, b.addTarget("app-1", "app", "near-a"), b.addTarget("engine-1", "engine", "near-a"))
}

func TestCallersSeeWhetherForwardedAnswersAreWhole(t *testing.T) {
	f := newForwardingSite(t, 2, time.Millisecond)
	checkAnswersAreWhole(t, f.testSite, f.app, f.engine)
}

func checkAnswersAreWhole(t *testing.T, b *testSite, app, engine *platformtest.Target) {
	const chunks = "Transfer-Encoding: chunked"
	events, crlf := rawEvents("\n"), rawEvents("\r\n")
	for name, c := range map[string]struct {
		path, body string // body is empty if the answer is not whole
		isReset    bool
		lines      []string
		raw        string
	}{
		"no framing":                 {path: orderPath, body: "hello", raw: "hello"},
		"no framing, kept alive":     {path: orderPath, body: "hello", lines: []string{"Connection: keep-alive"}, raw: "hello"},
		"no framing, reset":          {path: orderPath, isReset: true, raw: "hello"},
		"length":                     {path: orderPath, body: "hello", lines: []string{closing, "Content-Length: 5"}, raw: "hello"},
		"cut length":                 {path: orderPath, lines: []string{"Content-Length: 6"}, raw: "hello"},
		"chunks":                     {path: orderPath, body: "hello you", lines: []string{closing, chunks}, raw: inChunks("hello you", true)},
		"cut chunks":                 {path: orderPath, lines: []string{chunks}, raw: inChunks("hello you", false)},
		"blank in the trailer":       {path: orderPath, lines: []string{chunks}, raw: inChunks("hello you", false) + "0\r\nX Own: 1\r\n\r\n"},
		"stream, blank in trailer":   {path: draftPath, lines: []string{chunks}, raw: inChunks(events, false) + "0\r\nX-Own : 1\r\n\r\n"},
		"stream, no framing":         {path: draftPath, body: events, raw: events},
		"stream, no framing, reset":  {path: draftPath, isReset: true, raw: events},
		"stream, CRLF":               {path: draftPath, body: crlf, raw: crlf},
		"stream, CRLF in chunks":     {path: draftPath, body: crlf, lines: []string{closing, chunks}, raw: inChunks(crlf, true)},
		"stream, in chunks":          {path: draftPath, body: events, lines: []string{closing, chunks}, raw: inChunks(events, true)},
		"stream, no last chunk":      {path: draftPath, lines: []string{chunks}, raw: inChunks(events, false)},
		"stream, length":             {path: draftPath, body: events, lines: []string{closing, fmt.Sprintf("Content-Length: %d", len(events))}, raw: events},
		"stream, cut length":         {path: draftPath, lines: []string{fmt.Sprintf("Content-Length: %d", len(events)+1)}, raw: events},
		"stream, one line feed":      {path: draftPath, raw: events[:len(events)-1]},
		"stream, CRLF, cut at CR":    {path: draftPath, raw: crlf[:len(crlf)-1]},
		"stream, in an event":        {path: draftPath, raw: events + "id: 3\ndata: thr"},
		"stream, in an event, whole": {path: draftPath, lines: []string{chunks}, raw: inChunks(events+"data: thr\n", true)},
	} {
		behaviour := platformtest.Behaviour{RawIsReset: c.isReset, RawAnswer: func(id string) string {
			return rawHead("200 OK", id, c.lines...) + "\r\n" + c.raw
		}}
		app.Set(behaviour)
		engine.Set(behaviour)
		for range 2 {
			got := b.send(request{path: c.path, body: "x"})
			if c.body != "" {
				assert.Check(t, got.err == nil && got.status == 200 && got.body == c.body, "%s: %+v", name, got)
				continue
			}
			assert.Check(t, got.err != nil || got.status == 502, "%s: %+v", name, got)
			isCutAtEvent := strings.HasSuffix(got.body, "\n\n") || strings.HasSuffix(got.body, "\r\n\r\n")
			assert.Check(t, got.status != 200 || got.body == "" || isCutAtEvent, "%s: %+v", name, got)
		}
	}
}

// Guards against a length in an answer that has no body, and one that is taken for an empty
// body.
func TestAnswersWithoutBody(t *testing.T) {
	b := newTestSite(t, "near-a")
	app := b.addTarget("app-1", "app", "near-a")
	for _, c := range []struct{ method, status string }{
		{http.MethodPost, "204 No Content"}, {http.MethodPost, "304 Not Modified"}, {http.MethodHead, "200 OK"},
	} {
		app.Set(platformtest.Behaviour{RawAnswer: func(id string) string { return rawHead(c.status, id, closing, "X-Own: 1") + "\r\n" }})
		got := b.send(request{path: orderPath, method: c.method})
		assert.NilError(t, got.err, c.status)
		assert.Equal(t, fmt.Sprint(got.status), c.status[:3])
		_, hasLength := got.header["Content-Length"]
		assert.Check(t, !hasLength && got.header.Get("X-Own") == "1", "%s: %v", c.status, got.header)
	}
}

// Guards against an HTTP/1.0 caller, whose streams end with the connection, that takes a
// stream which was broken off for a whole one.
func TestBrokenStreamIsResetForHTTP10(t *testing.T) {
	b := newTestSite(t, "near-a")
	engine := b.addTarget("engine-1", "engine", "near-a")
	for _, isWhole := range []bool{true, false} {
		engine.Set(platformtest.Behaviour{RawAnswer: func(id string) string {
			return rawHead("200 OK", id, closing, "Transfer-Encoding: chunked") + "\r\n" + inChunks(rawEvents("\n"), isWhole)
		}})
		conn, err := net.Dial("tcp", b.vms[0].CallerAddress)
		assert.NilError(t, err)
		defer conn.Close()
		fmt.Fprintf(conn, "GET %s HTTP/1.0\r\nHost: %s\r\n%s: http10-%v\r\n%s: key-one\r\n\r\n",
			draftPath, platformtest.Host, platformtest.HeaderRequestID, isWhole, platformtest.HeaderKey)
		got, err := io.ReadAll(conn)
		assert.Equal(t, err == nil && strings.HasSuffix(string(got), rawEvents("\n")), isWhole, "%q, %v", got, err)
	}
}
