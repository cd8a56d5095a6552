package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/gateway/forward"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

const (
	testSecret = "c2VjcmV0LXNlY3JldA"
	testKey    = "ek_k1_" + testSecret
)

// fakeSnapshot is a configuration with one account that has one key, one kind of
// program, a service of each kind, an open route and two keyed routes, one of which the
// account may use.
type fakeSnapshot struct {
	version   uint64
	isRevoked bool
}

func (s *fakeSnapshot) Version() uint64 { return s.version }

func (s *fakeSnapshot) Authenticate(presented string) (structs.AccountID, string, bool) {
	if presented == testKey && !s.isRevoked {
		return "acme", "k1", true
	}
	return "", "", false
}

func (s *fakeSnapshot) IsKeyValid(structs.AccountID, string) bool { return !s.isRevoked }

func (s *fakeSnapshot) Account(structs.AccountID) (config.Account, bool) {
	return config.Account{Programs: []string{"other", "plan"}}, true
}

func (s *fakeSnapshot) Program(string) (config.Program, bool) { return config.Program{}, true }

func (s *fakeSnapshot) Service(id structs.ServiceID) (config.Service, bool) {
	switch id {
	case "llm":
		return config.Service{Kind: config.ServiceModel}, true
	case "app":
		return config.Service{Kind: config.ServicePlain}, true
	}
	return config.Service{}, false
}

func (s *fakeSnapshot) MayRun(_ structs.AccountID, kind string) bool { return kind == "plan" }

func (s *fakeSnapshot) MayCall(kind string, service structs.ServiceID) bool {
	return kind == "plan" && service == "llm"
}

func (s *fakeSnapshot) MatchRoute(path string) (string, config.Route, bool) {
	for name, route := range map[string]config.Route{
		"open":   {Prefix: "/notices", Service: "app", IsOpen: true},
		"keyed":  {Prefix: "/orders", Service: "app"},
		"denied": {Prefix: "/admin", Service: "app"},
	} {
		if strings.HasPrefix(path, route.Prefix) {
			return name, route, true
		}
	}
	return "", config.Route{}, false
}

func (s *fakeSnapshot) MayUseRoute(_ structs.AccountID, name string) bool { return name == "keyed" }

// fakeConfigSource holds a snapshot that tests replace.
type fakeConfigSource struct {
	mu      sync.Mutex
	current *fakeSnapshot
	changed chan struct{}
}

func (h *fakeConfigSource) Current() *fakeSnapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

func (h *fakeConfigSource) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

func (h *fakeConfigSource) setSnapshot(s *fakeSnapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = s
	close(h.changed)
	h.changed = make(chan struct{})
}

// admitFunc is an Admitter that calls the function.
type admitFunc func() *structs.Refusal

func (f admitFunc) Admit(context.Context, structs.AccountID) *structs.Refusal { return f() }

// eventWriter sends the events of the response to one call.
type eventWriter struct {
	out    *wire.ReplyWriter
	call   structs.Call
	offset int64
	hash   *xxhash.Digest
}

func (e *eventWriter) send(ev structs.CallEvent) error {
	if ev.Request == "" {
		ev.Request = e.call.Request
	}
	return e.out.Send(ev)
}

func (e *eventWriter) start(status int) error {
	number := max(1, e.call.Number)
	return e.send(structs.CallEvent{Kind: structs.EventStarted, Number: number, Status: status,
		Header: map[string][]string{"Content-Type": {"text/plain"}, "Connection": {"close"}}})
}

func (e *eventWriter) data(text string) error {
	ev := structs.CallEvent{Kind: structs.EventData, Offset: e.offset, Data: []byte(text)}
	e.offset += int64(len(text))
	_, _ = e.hash.WriteString(text)
	return e.send(ev)
}

func (e *eventWriter) done() error {
	return e.send(structs.CallEvent{Kind: structs.EventDone, Length: e.offset, Digest: e.hash.Sum64(),
		Usage: structs.Usage{PromptTokens: 3, OutputTokens: 2}})
}

// respondWith returns a response of the given parts.
func respondWith(parts ...string) func(context.Context, *eventWriter) error {
	return func(_ context.Context, e *eventWriter) error {
		if err := e.start(200); err != nil {
			return err
		}
		for _, part := range parts {
			if err := e.data(part); err != nil {
				return err
			}
		}
		return e.done()
	}
}

// fakeScheduler is a scheduler behind a wire.Server. It records the calls it receives and
// responds to them with respond.
type fakeScheduler struct {
	addr    string
	server  *wire.Server
	mu      sync.Mutex
	calls   []structs.Call
	respond func(ctx context.Context, e *eventWriter) error
}

func newFakeScheduler(t *testing.T) *fakeScheduler {
	t.Helper()
	s := &fakeScheduler{server: wire.NewServer(wire.Options{}), respond: respondWith("one ", "two")}
	s.server.Handle(structs.MethodCall, s.call)
	wire.HandleUnary(s.server, structs.MethodCreateProgram, func(_ context.Context, in structs.CreateProgram) (structs.ProgramInfo, error) {
		return structs.ProgramInfo{ID: in.ID, Account: in.Account, Kind: in.Kind, Budget: in.Budget, Parent: in.Parent}, nil
	})
	for _, method := range []string{structs.MethodGetProgram, structs.MethodEndProgram} {
		wire.HandleUnary(s.server, method, func(_ context.Context, in structs.ProgramRef) (structs.ProgramInfo, error) {
			return structs.ProgramInfo{ID: in.ID, Account: in.Account, Ended: method == structs.MethodEndProgram}, nil
		})
	}
	wire.HandleUnary(s.server, structs.MethodHistory, func(_ context.Context, in structs.ProgramRef) (structs.History, error) {
		return structs.History{Program: in.ID, Turns: []structs.Turn{{Program: in.ID, Number: 1}}}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.addr = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(listener) }()
	t.Cleanup(func() {
		assert.NilError(t, s.server.Close())
		assert.NilError(t, <-served)
	})
	return s
}

func (s *fakeScheduler) call(ctx context.Context, req *wire.Request, out *wire.ReplyWriter) error {
	var call structs.Call
	if err := req.Decode(&call); err != nil {
		return err
	}
	s.mu.Lock()
	s.calls = append(s.calls, call)
	respond := s.respond
	s.mu.Unlock()
	return respond(ctx, &eventWriter{out: out, call: call, hash: xxhash.New()})
}

func (s *fakeScheduler) setResponse(respond func(context.Context, *eventWriter) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.respond = respond
}

func (s *fakeScheduler) receivedCalls() []structs.Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]structs.Call(nil), s.calls...)
}

// testGateway is a running gateway in front of fake schedulers.
type testGateway struct {
	t       *testing.T
	g       *Gateway
	configs *fakeConfigSource
	logs    *lockedBuffer
	url     string
	client  *http.Client
}

type lockedBuffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

func (b *lockedBuffer) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.String()
}

func newTestGateway(t *testing.T, change func(*Options), schedulers ...*fakeScheduler) *testGateway {
	t.Helper()
	addrs := make([]string, len(schedulers))
	for i, s := range schedulers {
		addrs[i] = s.addr
	}
	client := wire.NewClient(wire.Options{})
	t.Cleanup(client.Close)
	gw := &testGateway{t: t, logs: &lockedBuffer{}, client: &http.Client{Transport: &http.Transport{}}}
	gw.configs = &fakeConfigSource{current: &fakeSnapshot{version: 1}, changed: make(chan struct{})}
	opts := Options{
		Domain:  "north",
		Configs: NewConfigs(gw.configs),
		Forwarder: forward.New(forward.Options{
			Sender:    forward.WireSender{Client: client},
			Addresses: func(structs.DomainID) []string { return addrs },
			Slots:     16,
			Random:    func() float64 { return 0 },
		}),
		Admitter:   admitFunc(func() *structs.Refusal { return nil }),
		Listen:     "127.0.0.1:0",
		Log:        slog.New(slog.NewTextHandler(gw.logs, nil)),
		DrainGrace: -1,
	}
	if change != nil {
		change(&opts)
	}
	gw.g = New(opts)
	assert.NilError(t, gw.g.Validate())
	k := kernel.New(opts.Log, gw.g)
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan error, 1)
	go func() { ran <- k.Run(ctx, 10*time.Second) }()
	t.Cleanup(func() {
		gw.client.CloseIdleConnections()
		cancel()
		assert.NilError(t, <-ran)
	})
	gw.waitForListener()
	return gw
}

func (gw *testGateway) waitForListener() {
	for gw.g.Addr() == nil {
		time.Sleep(time.Millisecond)
	}
	gw.url = "http://" + gw.g.Addr().String()
}

// httpResponse is a response whose body has been read to the end.
type httpResponse struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
	// protocol is the HTTP version of the connection.
	protocol string
}

// refusal decodes the refusal in the response.
func (r httpResponse) refusal(t *testing.T) structs.Refusal {
	t.Helper()
	var body struct {
		Error struct {
			structs.Refusal
			Request string `json:"request_id"`
		} `json:"error"`
	}
	assert.NilError(t, json.Unmarshal([]byte(r.body), &body), r.body)
	assert.Equal(t, body.Error.Request, r.header.Get(headerRequest))
	return body.Error.Refusal
}

// do sends a request with the test key. headers are pairs of name and value; an empty
// value removes the header.
func (gw *testGateway) do(method, path, body string, headers ...string) httpResponse {
	gw.t.Helper()
	req, err := http.NewRequest(method, gw.url+path, strings.NewReader(body))
	assert.NilError(gw.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(headers); i += 2 {
		if headers[i+1] == "" {
			req.Header.Del(headers[i])
			continue
		}
		req.Header.Add(headers[i], headers[i+1])
	}
	return gw.send(req)
}

func (gw *testGateway) send(req *http.Request) httpResponse {
	gw.t.Helper()
	resp, err := gw.client.Do(req)
	assert.NilError(gw.t, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return httpResponse{status: resp.StatusCode, header: resp.Header, body: string(data), err: err, protocol: resp.Proto}
}
