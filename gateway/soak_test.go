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

// cluster is a forward.Caller that stands for schedulers with faults. It runs
// each identified call once and replays it after that.
type cluster struct {
	random *rand.Rand
	addrs  []string
	owner  string
	runs   map[string]*run
	byID   map[structs.RequestID]int // runs
	faults map[string]int
}

// run is the recorded run of one call.
type run struct {
	text string
	id   structs.RequestID
}

func (c *cluster) Call(context.Context, string, string, any, any) error { return nil }

// happens draws a fault and counts it.
func (c *cluster) happens(fault string, percent int) bool {
	if c.random.IntN(100) >= percent {
		return false
	}
	c.faults[fault]++
	return true
}

func (c *cluster) Stream(_ context.Context, addr, _ string, in any) (forward.ReplyStream, error) {
	call := *in.(*structs.Call)
	if c.happens("not sent", 5) {
		return nil, &wire.NotSentError{Addr: addr, Cause: io.EOF}
	}
	if c.happens("owner moved", 10) {
		c.owner = c.addrs[c.random.IntN(len(c.addrs))]
	}
	if addr != c.owner {
		refusal := structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "not mine")
		if c.random.IntN(2) == 0 {
			refusal.Owner = c.addrs[c.random.IntN(len(c.addrs))]
		}
		return &script{err: refusal}, nil
	}
	return c.serve(addr, &call), nil
}

func (c *cluster) serve(addr string, call *structs.Call) *script {
	identity := string(call.Program) + "#" + call.IdempotencyKey
	known := c.runs[identity]
	if known == nil {
		for _, kind := range []structs.RefusalKind{structs.RefusedQueueFull, structs.RefusedNotReady} {
			if c.happens("refused "+string(kind), 5) {
				return &script{err: structs.Refuse(kind, structs.RunNo, "no room")}
			}
		}
		known = &run{text: strings.Repeat(fmt.Sprintf("%x.", c.random.Uint64()), 1+c.random.IntN(20)), id: call.Request}
		c.runs[identity] = known
		c.byID[call.Request]++
	} else if c.happens("unknown outcome", 10) {
		return &script{err: structs.Refuse(structs.RefusedOutcomeUnknown, structs.RunUnknown, "no end seen")}
	} else if c.happens("forgotten run", 5) {
		return &script{err: structs.Refuse(structs.RefusedQueueFull, structs.RunNo, "not known here")}
	}
	if c.happens("crossed whole", 3) {
		return &script{events: c.events("other", "the answer to another request")}
	}
	out := &script{events: c.events(call.Request, known.text)}
	c.spoil(addr, out)
	return out
}

func (c *cluster) events(id structs.RequestID, text string) []structs.CallEvent {
	events := []structs.CallEvent{{Kind: structs.EventStarted, Request: id, Number: 1, Status: 200}}
	for offset := 0; offset < len(text); {
		size := min(1+c.random.IntN(40), len(text)-offset)
		events = append(events, structs.CallEvent{Kind: structs.EventData, Request: id, Offset: int64(offset), Data: []byte(text[offset : offset+size])})
		offset += size
	}
	return append(events, structs.CallEvent{Kind: structs.EventDone, Request: id, Length: int64(len(text)), Digest: xxhash.Sum64String(text)})
}

// spoil applies at most one fault to an answer.
func (c *cluster) spoil(addr string, s *script) {
	at := c.random.IntN(len(s.events))
	switch {
	case c.happens("cut", 20):
		s.events, s.err = s.events[:at], &wire.IncompleteReplyError{Addr: addr, Cause: io.EOF}
	case c.happens("ended early", 5):
		s.events = s.events[:at]
	case c.happens("crossed", 5):
		s.events[at].Request = "other"
	case c.happens("doubled", 5):
		s.events = append(s.events[:at+1], s.events[at:]...)
	case c.happens("lost event", 5):
		s.events = append(s.events[:at], s.events[at+1:]...)
	case c.happens("changed byte", 5) && len(s.events[at].Data) > 0:
		s.events[at].Data = bytes.ToUpper(append([]byte("x"), s.events[at].Data[1:]...))
	case c.happens("late refusal", 5):
		s.events, s.err = s.events[:at], structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "failed")
	}
}

// script is an answer that is known beforehand.
type script struct {
	events []structs.CallEvent
	err    error
}

func (s *script) Recv(out any) error {
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

func (s *script) Close() error { return nil }

func soakNumber(t *testing.T, name string, standard int) int {
	text := os.Getenv(name)
	if text == "" {
		return standard
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// Whatever happens between gateway and schedulers, an answer that looks whole
// is the answer to the caller's own request, a call runs at most once, and one
// that is refused with "not run" has not run.
func TestSoakAnswersAreWholeAndOwn(t *testing.T) {
	first := soakNumber(t, "ENDIVE_SOAK_FIRST", 1)
	seeds := soakNumber(t, "ENDIVE_SOAK_SEEDS", 10)
	steps := soakNumber(t, "ENDIVE_SOAK_STEPS", 200)
	faults := make(map[string]int)
	outcomes := make(map[string]int)
	for seed := first; seed < first+seeds; seed++ {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{
				random: rand.New(rand.NewPCG(uint64(seed), 0)), addrs: []string{"a", "b", "c"}, owner: "a",
				runs: make(map[string]*run), byID: make(map[structs.RequestID]int), faults: faults,
			}
			g := newSoakGateway(c)
			for step := range steps {
				outcomes[soakStep(t, g, c, fmt.Sprintf("seed %d step %d", seed, step))]++
			}
		})
	}
	t.Logf("steps %d, outcomes %v, faults %v", seeds*steps, outcomes, faults)
}

func newSoakGateway(c *cluster) *Gateway {
	start := time.Now()
	clock := func() structs.Instant { return structs.Instant(time.Since(start)) }
	id := 0
	return New(Options{
		Domain:   "north",
		Configs:  NewConfigs(&fakeHolder{current: &fakeSnapshot{version: 1}, changed: make(chan struct{})}),
		Admitter: admitFunc(func() *structs.Refusal { return nil }),
		Clock:    clock,
		NewID:    func() string { id++; return strconv.Itoa(id) },
		Forwarder: forward.New(forward.Options{
			Sender: c, Slots: 4, Clock: clock, Random: c.random.Float64,
			Addresses: func(structs.DomainID) []string { return c.addrs },
		}),
	})
}

// soakStep sends one request of a random form, checks its answer, and returns
// what came of it.
func soakStep(t *testing.T, g *Gateway, c *cluster, name string) string {
	paths := []string{"/services/orders", "/v1/chat/completions", "/v1/chat/completions"}
	bodies := []string{"x", chatBody, strings.Replace(chatBody, "{", `{"stream":true,`, 1)}
	form := c.random.IntN(len(paths))
	req := httptest.NewRequest("POST", paths[form], strings.NewReader(bodies[form]))
	req.Header.Set("X-Api-Key", testKey)
	rec := httptest.NewRecorder()
	cut := serveCut(g, rec, req)
	id := structs.RequestID(rec.Header().Get(headerRequest))
	assert.Assert(t, c.byID[id] <= 1, "%s: %d runs", name, c.byID[id])
	body := rec.Body.String()
	var text string
	switch {
	case cut:
		return "cut"
	case rec.Code != http.StatusOK || strings.Contains(body, "event: error"):
		return soakRefusal(t, c, id, body, name)
	case form == 0:
		text = body
	case form == 1:
		var whole completion
		assert.NilError(t, json.Unmarshal([]byte(body), &whole))
		text = whole.Choices[0].Message.Content
	default:
		assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"), "%s: %s", name, body)
		text = contents(body)
	}
	assert.Equal(t, c.byID[id], 1, name)
	for _, known := range c.runs {
		if known.id == id {
			assert.Equal(t, text, known.text, name)
		}
	}
	return "whole"
}

func soakRefusal(t *testing.T, c *cluster, id structs.RequestID, body, name string) string {
	_, data, _ := strings.Cut(body, `{"error":`)
	var refusal structs.Refusal
	assert.NilError(t, json.NewDecoder(strings.NewReader(data)).Decode(&refusal), "%s: %s", name, body)
	assert.Assert(t, refusal.Run != structs.RunNo || c.byID[id] == 0, "%s: %s", name, body)
	return string(refusal.Kind) + " " + string(refusal.Run)
}

// serveCut serves a request and reports whether its connection was cut.
func serveCut(g *Gateway, w http.ResponseWriter, r *http.Request) (cut bool) {
	defer func() {
		if v := recover(); v != nil {
			cut = v == http.ErrAbortHandler
		}
	}()
	g.Handler().ServeHTTP(w, r)
	return false
}
