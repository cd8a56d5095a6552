package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

const chatBody = `{"model":"llm","messages":[{"role":"user","content":"hi"}]}`

// Guards against passing on a response with events of another request, repeated, missing
// or changed events. If no byte was written yet, the caller gets a refusal, else the end
// of the response is missing.
func TestIncompleteResponseIsNotPassedOffAsComplete(t *testing.T) {
	faults := map[string]func(e *eventWriter) error{
		"crossed": func(e *eventWriter) error {
			return e.send(structs.CallEvent{Kind: structs.EventData, Request: "other", Offset: e.offset, Data: []byte("x")})
		},
		"doubled": func(e *eventWriter) error {
			return e.send(structs.CallEvent{Kind: structs.EventData, Offset: 0, Data: []byte("one ")})
		},
		"gap": func(e *eventWriter) error {
			return e.send(structs.CallEvent{Kind: structs.EventData, Offset: e.offset + 1, Data: []byte("x")})
		},
		"wrong digest": func(e *eventWriter) error {
			return e.send(structs.CallEvent{Kind: structs.EventDone, Length: e.offset, Digest: 1})
		},
		"wrong length": func(e *eventWriter) error {
			return e.send(structs.CallEvent{Kind: structs.EventDone, Length: e.offset + 1, Digest: e.hash.Sum64()})
		},
		"refused with run no": func(e *eventWriter) error {
			refusal := structs.Refuse(structs.RefusedAnswerIncomplete, structs.RunNo, "not true after data")
			return e.send(structs.CallEvent{Kind: structs.EventRefused, Refusal: refusal})
		},
	}
	s := newFakeScheduler(t)
	gw := newTestGateway(t, nil, s)
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			s.setResponse(func(_ context.Context, e *eventWriter) error {
				if err := e.start(200); err != nil {
					return err
				}
				if err := e.data("one "); err != nil {
					return err
				}
				return fault(e)
			})
			plain := gw.do("POST", "/services/orders", "")
			assert.Equal(t, plain.status, 502, plain.body)
			assert.Equal(t, plain.refusal(t).Kind, structs.RefusedAnswerIncomplete)
			assert.Equal(t, plain.refusal(t).Run, structs.RunUnknown)
			sse := gw.do("POST", "/v1/chat/completions", strings.Replace(chatBody, "{", `{"stream":true,`, 1))
			assert.Assert(t, strings.Contains(sse.body, "event: error\ndata: {\"error\":{\"type\":\"answer_incomplete\""), sse.body)
			assert.Assert(t, !strings.Contains(sse.body, "[DONE]"))
		})
	}
}

// A plain response that exceeds the buffer is already being written when its end turns
// out to be wrong, so the connection to the caller is aborted.
func TestLongIncompleteResponseAbortsConnection(t *testing.T) {
	s := newFakeScheduler(t)
	s.respond = func(_ context.Context, e *eventWriter) error {
		if err := e.start(200); err != nil {
			return err
		}
		if err := e.data(strings.Repeat("x", 2*plainBufferSize)); err != nil {
			return err
		}
		return e.send(structs.CallEvent{Kind: structs.EventDone, Length: 1})
	}
	gw := newTestGateway(t, nil, s)
	got := gw.do("POST", "/services/orders", "")
	assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
}

// closeSchedulerMidStream makes a scheduler stream the text and stop, closes that
// scheduler once the caller has the text, and lets a second one respond with replay. It
// returns the caller's complete response body and both schedulers.
func closeSchedulerMidStream(t *testing.T, text string, replay func(context.Context, *eventWriter) error) (string, *fakeScheduler, *fakeScheduler) {
	t.Helper()
	lost, next := newFakeScheduler(t), newFakeScheduler(t)
	lost.respond = func(ctx context.Context, e *eventWriter) error {
		if err := e.start(200); err != nil {
			return err
		}
		if err := e.data(text); err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	}
	next.respond = replay
	gw := newTestGateway(t, nil, lost, next)
	req, err := http.NewRequest("POST", gw.url+"/v1/programs/north~1/calls",
		strings.NewReader(`{"stream":true,"service":"llm","messages":[{"role":"user","content":"hi"}]}`))
	assert.NilError(t, err)
	req.Header.Set("X-Api-Key", testKey)
	resp, err := gw.client.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	lines := bufio.NewReader(resp.Body)
	var body strings.Builder
	for streamedText(body.String()) != text {
		line, err := lines.ReadString('\n')
		assert.NilError(t, err)
		body.WriteString(line)
	}
	assert.NilError(t, lost.server.Close())
	rest, err := io.ReadAll(lines)
	assert.NilError(t, err)
	body.Write(rest)
	return body.String(), lost, next
}

// A scheduler is lost in the middle of a streamed response. The gateway sends the same
// call to another scheduler, and the caller receives one complete response.
func TestLostSchedulerMidStreamGivesOneCompleteResponse(t *testing.T) {
	body, lost, next := closeSchedulerMidStream(t, "one tw", respondWith("on", "e two", " three"))
	assert.Equal(t, streamedText(body), "one two three")
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), body)
	first, second := lost.receivedCalls()[0], next.receivedCalls()[0]
	assert.Equal(t, first.Number, uint64(0))
	assert.Equal(t, second.Number, uint64(1)) // from EventStarted
	assert.Assert(t, first.IdempotencyKey != "")
	assert.Equal(t, second.IdempotencyKey, first.IdempotencyKey)
	assert.Equal(t, second.Request, first.Request)
}

func TestReplayOfDifferentResponseIsRefused(t *testing.T) {
	body, _, _ := closeSchedulerMidStream(t, "one ", respondWith("another answer"))
	assert.Equal(t, streamedText(body), "one ")
	assert.Assert(t, strings.Contains(body, "event: error"), body)
	assert.Assert(t, !strings.Contains(body, "[DONE]"))
}

// The new owner doesn't know how the call ended, and the caller receives its refusal.
func TestUnknownOutcomeAfterLostSchedulerReachesCaller(t *testing.T) {
	body, _, _ := closeSchedulerMidStream(t, "one ", func(context.Context, *eventWriter) error {
		return structs.Refuse(structs.RefusedOutcomeUnknown, structs.RunUnknown, "the end of the call is not known")
	})
	assert.Assert(t, strings.Contains(body, `"type":"outcome_unknown","run":"unknown"`), body)
}

// streamedText joins the text of all chunks of a stream.
func streamedText(body string) string {
	var out strings.Builder
	for _, part := range strings.Split(body, `"content":"`)[1:] {
		text, _, _ := strings.Cut(part, `"`)
		out.WriteString(text)
	}
	return out.String()
}

func TestNotOwnerRefusalIsFollowed(t *testing.T) {
	first, owner := newFakeScheduler(t), newFakeScheduler(t)
	first.respond = func(context.Context, *eventWriter) error {
		refusal := structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "not the owner")
		refusal.Owner = owner.addr
		return refusal
	}
	gw := newTestGateway(t, nil, first)
	for range 2 {
		got := gw.do("POST", "/v1/programs/north~1/calls", `{"service":"app","request":{"path":"/x"}}`)
		assert.Equal(t, got.status, 200, got.body)
	}
	assert.Equal(t, len(first.receivedCalls()), 1)
	assert.Equal(t, len(owner.receivedCalls()), 2)
}

// Revoking a key ends a stream in progress, cancels its call at the scheduler and refuses
// new requests.
func TestRevokedKeyEndsStream(t *testing.T) {
	s := newFakeScheduler(t)
	streaming, cancelled := make(chan struct{}), make(chan struct{})
	s.respond = func(ctx context.Context, e *eventWriter) error {
		_ = e.start(200)
		_ = e.data("one ")
		close(streaming)
		<-ctx.Done()
		close(cancelled)
		return ctx.Err()
	}
	gw := newTestGateway(t, nil, s)
	go func() {
		<-streaming
		gw.configs.setSnapshot(&fakeSnapshot{version: 2, isRevoked: true})
	}()
	got := gw.do("POST", "/v1/chat/completions", strings.Replace(chatBody, "{", `{"stream":true,`, 1))
	<-cancelled
	assert.Assert(t, strings.Contains(got.body, `"type":"unauthorized","run":"unknown"`), got.body)
	assert.Assert(t, !strings.Contains(got.body, "[DONE]"))
	assert.Equal(t, gw.do("POST", "/services/orders", "").status, 401)
}

// Revoking a key also ends a request whose body is still being received.
func TestRevokedKeyEndsSlowBody(t *testing.T) {
	s := newFakeScheduler(t)
	var gw *testGateway
	gw = newTestGateway(t, func(o *Options) {
		o.BodyTimeout = time.Hour
		o.Admitter = admitFunc(func() *structs.Refusal {
			time.AfterFunc(10*time.Millisecond, func() {
				gw.configs.setSnapshot(&fakeSnapshot{version: 2, isRevoked: true})
			})
			return nil
		})
	}, s)
	resp, body := gw.sendRaw("POST /services/orders HTTP/1.1\r\nHost: a\r\nX-Api-Key: "+testKey+
		"\r\nContent-Length: 10\r\n\r\nabc", false)
	assert.Equal(t, resp.StatusCode, 401, body)
	assert.Assert(t, strings.Contains(body, `"run":"no"`), body)
	assert.Equal(t, len(s.receivedCalls()), 0)
}

// A caller that doesn't read its stream must not delay the cancellation of its call after
// its key was revoked.
func TestRevokedKeyEndsStalledStream(t *testing.T) {
	s := newFakeScheduler(t)
	var sent atomic.Int64
	cancelled := make(chan struct{})
	s.respond = func(ctx context.Context, e *eventWriter) error {
		defer close(cancelled)
		_ = e.start(200)
		text := strings.Repeat("x", 64<<10)
		for ctx.Err() == nil {
			_ = e.data(text)
			sent.Add(1)
		}
		return ctx.Err()
	}
	gw := newTestGateway(t, func(o *Options) { o.WriteTimeout = time.Hour }, s)
	conn, err := net.Dial("tcp", gw.g.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /services/orders HTTP/1.1\r\nHost: a\r\nX-Api-Key: "+testKey+"\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	for before := int64(-1); before != sent.Load() || before == 0; {
		before = sent.Load()
		time.Sleep(100 * time.Millisecond)
	}
	gw.configs.setSnapshot(&fakeSnapshot{version: 2, isRevoked: true})
	<-cancelled
}

// A request whose key is revoked between authentication and forwarding does not run.
func TestKeyRevokedBeforeForwardingIsRefused(t *testing.T) {
	s := newFakeScheduler(t)
	var gw *testGateway
	gw = newTestGateway(t, func(o *Options) {
		o.Admitter = admitFunc(func() *structs.Refusal {
			gw.configs.setSnapshot(&fakeSnapshot{version: 2, isRevoked: true})
			return nil
		})
	}, s)
	for _, path := range []string{"/services/orders", "/v1/programs/north~1/history"} {
		gw.configs.setSnapshot(&fakeSnapshot{version: 1})
		method := "POST"
		if strings.HasPrefix(path, "/v1") {
			method = "GET"
		}
		refusal := gw.do(method, path, "").refusal(t)
		assert.Equal(t, refusal.Kind, structs.RefusedUnauthorized)
		assert.Equal(t, refusal.Run, structs.RunNo)
	}
	assert.Equal(t, len(s.receivedCalls()), 0)
}

// A change of the configuration that leaves the key valid ends no request.
func TestConfigChangeWithValidKeyKeepsStream(t *testing.T) {
	s := newFakeScheduler(t)
	streaming, changed := make(chan struct{}), make(chan struct{})
	s.respond = func(_ context.Context, e *eventWriter) error {
		_ = e.start(200)
		close(streaming)
		<-changed
		_ = e.data("one ")
		return e.done()
	}
	gw := newTestGateway(t, nil, s)
	go func() {
		<-streaming
		gw.configs.setSnapshot(&fakeSnapshot{version: 2})
		close(changed)
	}()
	got := gw.do("POST", "/services/orders", "")
	assert.Equal(t, got.body, "one ")
}
