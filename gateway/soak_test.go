package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/gateway/forward"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// faultyCluster is a forward.Sender that simulates schedulers with faults. It runs each
// call once, identified by program and idempotency key, and then replays the response.
type faultyCluster struct {
	random        *rand.Rand
	addrs         []string
	owner         string
	runs          map[string]*recordedRun
	runsByRequest map[structs.RequestID]int // number of runs
	faults        map[string]int
}

// recordedRun is the one run of a call.
type recordedRun struct {
	text string
	id   structs.RequestID
}

func (c *faultyCluster) Call(context.Context, string, string, any, any) error { return nil }

// drawFault decides at random whether a fault occurs, and counts it.
func (c *faultyCluster) drawFault(fault string, percent int) bool {
	if c.random.IntN(100) >= percent {
		return false
	}
	c.faults[fault]++
	return true
}

func (c *faultyCluster) Stream(_ context.Context, addr, _ string, in any) (forward.ReplyStream, error) {
	call := *in.(*structs.Call)
	if c.drawFault("not sent", 5) {
		return nil, &wire.NotSentError{Addr: addr, Cause: io.EOF}
	}
	if c.drawFault("owner moved", 10) {
		c.owner = c.addrs[c.random.IntN(len(c.addrs))]
	}
	if addr != c.owner {
		refusal := structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "not the owner")
		if c.random.IntN(2) == 0 {
			refusal.Owner = c.addrs[c.random.IntN(len(c.addrs))]
		}
		return &scriptedReplies{err: refusal}, nil
	}
	return c.serve(addr, &call), nil
}

func (c *faultyCluster) serve(addr string, call *structs.Call) *scriptedReplies {
	identity := string(call.Program) + "#" + call.IdempotencyKey
	known := c.runs[identity]
	if known == nil {
		for _, kind := range []structs.RefusalKind{structs.RefusedQueueFull, structs.RefusedNotReady} {
			if c.drawFault("refused "+string(kind), 5) {
				return &scriptedReplies{err: structs.Refuse(kind, structs.RunNo, "no room")}
			}
		}
		known = &recordedRun{text: strings.Repeat(fmt.Sprintf("%x.", c.random.Uint64()), 1+c.random.IntN(20)), id: call.Request}
		c.runs[identity] = known
		c.runsByRequest[call.Request]++
	} else if c.drawFault("unknown outcome", 10) {
		return &scriptedReplies{err: structs.Refuse(structs.RefusedOutcomeUnknown, structs.RunUnknown, "no end seen")}
	} else if c.drawFault("run not known to owner", 5) {
		return &scriptedReplies{err: structs.Refuse(structs.RefusedQueueFull, structs.RunNo, "not known here")}
	}
	if c.drawFault("response of other request", 3) {
		return &scriptedReplies{events: c.events("other", "the answer to another request")}
	}
	out := &scriptedReplies{events: c.events(call.Request, known.text)}
	c.injectFault(addr, out)
	return out
}

func (c *faultyCluster) events(id structs.RequestID, text string) []structs.CallEvent {
	events := []structs.CallEvent{{Kind: structs.EventStarted, Request: id, Number: 1, Status: 200}}
	for offset := 0; offset < len(text); {
		size := min(1+c.random.IntN(40), len(text)-offset)
		events = append(events, structs.CallEvent{Kind: structs.EventData, Request: id, Offset: int64(offset), Data: []byte(text[offset : offset+size])})
		offset += size
	}
	return append(events, structs.CallEvent{Kind: structs.EventDone, Request: id, Length: int64(len(text)), Digest: xxhash.Sum64String(text)})
}

// injectFault applies at most one fault to a response.
func (c *faultyCluster) injectFault(addr string, s *scriptedReplies) {
	at := c.random.IntN(len(s.events))
	switch {
	case c.drawFault("cut", 20):
		s.events, s.err = s.events[:at], &wire.IncompleteReplyError{Addr: addr, Cause: io.EOF}
	case c.drawFault("stream ended early", 5):
		s.events = s.events[:at]
	case c.drawFault("crossed", 5):
		s.events[at].Request = "other"
	case c.drawFault("doubled", 5):
		s.events = append(s.events[:at+1], s.events[at:]...)
	case c.drawFault("lost event", 5):
		s.events = append(s.events[:at], s.events[at+1:]...)
	case c.drawFault("changed byte", 5) && len(s.events[at].Data) > 0:
		s.events[at].Data = bytes.ToUpper(append([]byte("x"), s.events[at].Data[1:]...))
	case c.drawFault("late refusal", 5):
		s.events, s.err = s.events[:at], structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "failed")
	}
}

// scriptedReplies is a ReplyStream with fixed events and a final error.
type scriptedReplies struct {
	events []structs.CallEvent
	err    error
}

func (s *scriptedReplies) Recv(out any) error {
	if len(s.events) > 0 {
		*out.(*structs.CallEvent) = s.events[0]
		s.events = s.events[1:]
		return nil
	}
	if s.err != nil {
		return s.err
	}
	return io.EOF
}

func (s *scriptedReplies) Close() error { return nil }

func envInt(t *testing.T, name string, standard int) int {
	text := os.Getenv(name)
	if text == "" {
		return standard
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// Under random faults between gateway and schedulers, a response that looks complete is
// the response to the caller's own request, a call runs at most once, and a call that is
// refused with "not run" has not run.
func TestSoakCompleteResponsesMatchTheirRequests(t *testing.T) {
	first := envInt(t, "ENDIVE_SOAK_FIRST", 1)
	seeds := envInt(t, "ENDIVE_SOAK_SEEDS", 10)
	steps := envInt(t, "ENDIVE_SOAK_STEPS", 200)
	faults := make(map[string]int)
	outcomes := make(map[string]int)
	for seed := first; seed < first+seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := &faultyCluster{
				random: rand.New(rand.NewPCG(uint64(seed), 0)), addrs: []string{"a", "b", "c"}, owner: "a",
				runs: make(map[string]*recordedRun), runsByRequest: make(map[structs.RequestID]int), faults: faults,
			}
			g := newSoakGateway(c)
			for step := range steps {
				outcomes[soakStep(t, g, c, fmt.Sprintf("seed %d step %d", seed, step))]++
			}
		})
	}
	t.Logf("steps %d, outcomes %v, faults %v", seeds*steps, outcomes, faults)
}

func newSoakGateway(c *faultyCluster) *Gateway {
	start := time.Now()
	clock := func() structs.Instant { return structs.Instant(time.Since(start)) }
	id := 0
	return New(Options{
		Domain:   "north",
		Configs:  NewConfigs(&fakeConfigSource{current: &fakeSnapshot{version: 1}, changed: make(chan struct{})}),
		Admitter: admitFunc(func() *structs.Refusal { return nil }),
		Clock:    clock,
		NewID:    func() string { id++; return strconv.Itoa(id) },
		Forwarder: forward.New(forward.Options{
			Sender: c, Slots: 4, Clock: clock, Random: c.random.Float64,
			Addresses: func(structs.DomainID) []string { return c.addrs },
		}),
	})
}

// soakStep sends one random request, checks its response, and returns the outcome.
func soakStep(t *testing.T, g *Gateway, c *faultyCluster, name string) string {
	paths := []string{"/services/orders", "/v1/chat/completions", "/v1/chat/completions"}
	bodies := []string{"x", chatBody, strings.Replace(chatBody, "{", `{"stream":true,`, 1)}
	form := c.random.IntN(len(paths))
	req := httptest.NewRequest("POST", paths[form], strings.NewReader(bodies[form]))
	req.Header.Set("X-Api-Key", testKey)
	rec := httptest.NewRecorder()
	isAborted := serveAndReportAbort(g, rec, req)
	id := structs.RequestID(rec.Header().Get(headerRequest))
	assert.Assert(t, c.runsByRequest[id] <= 1, "%s: %d runs", name, c.runsByRequest[id])
	body := rec.Body.String()
	var text string
	switch {
	case isAborted:
		return "cut"
	case rec.Code != http.StatusOK || strings.Contains(body, "event: error"):
		return soakRefusal(t, c, id, body, name)
	case form == 0:
		text = body
	case form == 1:
		var decoded completion
		assert.NilError(t, json.Unmarshal([]byte(body), &decoded))
		text = decoded.Choices[0].Message.Content
	default:
		assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), "%s: %s", name, body)
		text = streamedText(body)
	}
	assert.Equal(t, c.runsByRequest[id], 1, name)
	for _, known := range c.runs {
		if known.id == id {
			assert.Equal(t, text, known.text, name)
		}
	}
	return "whole"
}

func soakRefusal(t *testing.T, c *faultyCluster, id structs.RequestID, body, name string) string {
	_, data, _ := strings.Cut(body, `{"error":`)
	var refusal structs.Refusal
	assert.NilError(t, json.NewDecoder(strings.NewReader(data)).Decode(&refusal), "%s: %s", name, body)
	assert.Assert(t, refusal.Run != structs.RunNo || c.runsByRequest[id] == 0, "%s: %s", name, body)
	return string(refusal.Kind) + " " + string(refusal.Run)
}

// serveAndReportAbort serves a request and reports whether the connection was aborted.
func serveAndReportAbort(g *Gateway, w http.ResponseWriter, r *http.Request) (isAborted bool) {
	defer func() {
		if v := recover(); v != nil {
			isAborted = v == http.ErrAbortHandler
		}
	}()
	g.Handler().ServeHTTP(w, r)
	return false
}
