package scheduler

import (
	"context"
	"io"
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/kernel"
	_ "github.com/endivecourse/endivecourse/queue/fair"
	_ "github.com/endivecourse/endivecourse/queue/fifo"
	_ "github.com/endivecourse/endivecourse/route/leastloaded"
	_ "github.com/endivecourse/endivecourse/route/prefix"
	"github.com/endivecourse/endivecourse/scheduler/storeonly"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// virtualTime runs a test with a clock that advances when every goroutine waits. It
// uses a single processor: the race detector keeps one state for the timers of such a
// test and fails when two threads run timers at once.
func virtualTime(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}

// fakeTarget responds to a model call with the text "answer" and counts ten prompt
// tokens per message. Its function fail may make a request fail.
type fakeTarget struct {
	id structs.TargetID

	mu              sync.Mutex
	prompts         [][]structs.Message
	plain           int
	held            map[structs.ProgramID]bool
	fail            func(target.Request) error
	releaseFailures int           // number of Release calls that still fail
	responseGate    chan struct{} // if set, responses wait until it is closed
}

func (f *fakeTarget) Do(ctx context.Context, req target.Request) (target.Stream, error) {
	f.mu.Lock()
	fail, gate := f.fail, f.responseGate
	f.prompts = append(f.prompts, req.Messages)
	if req.Plain != nil {
		f.plain++
	} else {
		f.held[req.Hold] = true
	}
	f.mu.Unlock()
	if fail != nil {
		if err := fail(req); err != nil {
			return nil, err
		}
	}
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			return nil, &target.IncompleteResponseError{Target: f.id, Cause: ctx.Err()}
		}
	}
	if req.Plain != nil {
		return &fakeStream{chunks: []target.Chunk{{Status: 201, Data: []byte("done")}, {IsLast: true}}}, nil
	}
	usage := structs.Usage{PromptTokens: int64(10 * len(req.Messages)), OutputTokens: 2}
	return &fakeStream{chunks: []target.Chunk{{Data: []byte("an")}, {Data: []byte("swer")}, {IsLast: true, Usage: usage}}}, nil
}

func (f *fakeTarget) Load(context.Context) (target.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var load target.Load
	for id := range f.held {
		load.HeldPrograms = append(load.HeldPrograms, string(id))
	}
	return load, nil
}

func (f *fakeTarget) Release(_ context.Context, id structs.ProgramID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.releaseFailures > 0 {
		f.releaseFailures--
		return &target.StatusError{Target: f.id, Status: 500}
	}
	delete(f.held, id)
	return nil
}

func (f *fakeTarget) Order(context.Context, target.Order) error { return nil }

func (f *fakeTarget) heldPrograms() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.held)
}

func (f *fakeTarget) requests() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.prompts)
}

type fakeStream struct{ chunks []target.Chunk }

func (s *fakeStream) Recv() (target.Chunk, error) {
	if len(s.chunks) == 0 {
		return target.Chunk{}, io.EOF
	}
	chunk := s.chunks[0]
	s.chunks = s.chunks[1:]
	return chunk, nil
}

func (s *fakeStream) Close() error { return nil }

// fakeSnapshot is a fixed configuration.
type fakeSnapshot struct{ doc config.Document }

func (f *fakeSnapshot) Version() uint64 { return 1 }

func (f *fakeSnapshot) Account(id structs.AccountID) (config.Account, bool) {
	a, found := f.doc.Accounts[id]
	return a, found
}

func (f *fakeSnapshot) Program(kind string) (config.Program, bool) {
	p, found := f.doc.Programs[kind]
	return p, found
}

func (f *fakeSnapshot) Service(id structs.ServiceID) (config.Service, bool) {
	s, found := f.doc.Services[id]
	return s, found
}

func (f *fakeSnapshot) MayRun(account structs.AccountID, kind string) bool {
	for _, name := range f.doc.Accounts[account].Programs {
		if name == kind {
			return true
		}
	}
	return false
}

func (f *fakeSnapshot) MayCall(kind string, service structs.ServiceID) bool {
	for _, id := range f.doc.Programs[kind].Services {
		if id == service {
			return true
		}
	}
	return false
}

func (f *fakeSnapshot) ServiceIDs() []structs.ServiceID {
	return []structs.ServiceID{"llm", "orders"}
}

func testDocument() config.Document {
	targets := func(names ...structs.TargetID) map[structs.TargetID]config.Target {
		m := make(map[structs.TargetID]config.Target)
		for _, name := range names {
			m[name] = config.Target{Domain: "north"}
		}
		return m
	}
	return config.Document{
		Accounts: map[structs.AccountID]config.Account{
			"acme":  {Rate: 10, Burst: 5, Programs: []string{"plan"}},
			"other": {Rate: 10, Burst: 5, Programs: []string{"plan"}},
		},
		Programs: map[string]config.Program{
			"plan": {Budget: 10000, IdleLimit: settings.Duration(time.Hour), Services: []structs.ServiceID{"llm", "orders"}},
			"talk": {Budget: 10000, Services: []structs.ServiceID{"llm"}},
		},
		Services: map[structs.ServiceID]config.Service{
			"llm":    {Kind: config.ServiceModel, IsRepeatable: true, Targets: targets("a", "b")},
			"orders": {Kind: config.ServicePlain, IsRepeatable: false, Targets: targets("o")},
			"away":   {Kind: config.ServicePlain, IsRepeatable: false, Targets: targets("w")},
		},
	}
}

// testSite is one failure domain with its targets and platform.
type testSite struct {
	platform *fakePlatform
	targets  map[structs.TargetID]*fakeTarget
	leaving  sync.Map
}

func newTestSite() *testSite {
	s := &testSite{platform: newFakePlatform(), targets: make(map[structs.TargetID]*fakeTarget)}
	for _, id := range []structs.TargetID{"a", "b", "o", "w"} {
		s.targets[id] = &fakeTarget{id: id, held: make(map[structs.ProgramID]bool)}
	}
	return s
}

// testNode is one scheduler process.
type testNode struct {
	*Scheduler
	store        *storeonly.Store
	isCutOff     atomic.Bool
	losesReplies atomic.Bool
	cancel       context.CancelFunc
	done         chan error
}

const (
	testSlots = 8
	testTick  = 250 * time.Millisecond
)

func testSettings(addr string) settings.Daemon {
	s := settings.Default()
	s.Domain = "north"
	s.Listen.Wire = addr
	s.Lease.Slots = testSlots
	return s
}

// start starts a scheduler with its own ownership store on the site's platform.
func (s *testSite) start(name string) *testNode { return s.startWith(name, func(*Options) {}) }

func (s *testSite) startWith(name string, change func(*Options)) *testNode {
	daemon := testSettings(name + ":1")
	log := slog.New(slog.DiscardHandler)
	n := &testNode{done: make(chan error, 1)}
	platform := platformView{s.platform, &n.isCutOff, &n.losesReplies}
	store := storeonly.New(storeonly.Options{
		Settings: daemon, Incarnation: structs.Incarnation(name),
		Table: fakeTable{platform}, Objects: fakeObjects{platform}, Log: log,
	})
	n.store = store
	snapshot := &fakeSnapshot{doc: testDocument()}
	opts := Options{
		Settings: daemon, Ownership: store, Journal: store, Table: fakeTable{platform},
		Config:    func() Snapshot { return snapshot },
		IsLeaving: func(id structs.TargetID) bool { _, leaving := s.leaving.Load(id); return leaving },
		NewDriver: func(spec target.Spec) (target.Driver, error) { return s.targets[spec.ID], nil },

		TickInterval: testTick,
	}
	change(&opts)
	n.Scheduler = New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	k := kernel.New(log, store, n.Scheduler)
	go func() { n.done <- k.Run(ctx, time.Minute) }()
	synctest.Wait()
	return n
}

// stop performs a planned stop of the node.
func (n *testNode) stop(t *testing.T) {
	t.Helper()
	n.cancel()
	assert.NilError(t, <-n.done)
}

// waitForSlots waits until the nodes together have recovered all slots.
func waitForSlots(nodes ...*testNode) {
	for {
		total := 0
		for _, n := range nodes {
			n.runOnLoop(context.Background(), func(l *loop) { total += l.core.Counts().Slots })
		}
		if total == testSlots {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// callResult is the response to a call.
type callResult struct {
	number     uint64
	data       []byte
	usage      structs.Usage
	isReplayed bool
}

// sendCall runs a call and checks that the response is complete and belongs to the
// call.
func (n *testNode) sendCall(ctx context.Context, call structs.Call) (callResult, error) {
	var got callResult
	done := false
	err := n.serveCall(ctx, call, func(e structs.CallEvent) error {
		if e.Request != call.Request || e.Offset != int64(len(got.data)) {
			return &structs.InvariantError{Package: "test", Name: "answer_is_own", Detail: string(e.Request)}
		}
		switch e.Kind {
		case structs.EventStarted:
			got.number = e.Number
		case structs.EventData:
			got.data = append(got.data, e.Data...)
		case structs.EventRefused:
			return e.Refusal
		case structs.EventDone:
			done = e.Length == int64(len(got.data)) && e.Digest == xxhash.Sum64(got.data)
			got.usage = e.Usage
			got.isReplayed = e.Replayed
		}
		return nil
	})
	if err == nil && !done {
		err = &structs.InvariantError{Package: "test", Name: "answer_is_whole", Detail: string(got.data)}
	}
	return got, err
}

func modelCall(id structs.ProgramID, number uint64, text string) structs.Call {
	return structs.Call{Program: id, Account: "acme", Number: number, Request: structs.RequestID(text),
		Model: &structs.ModelCall{Service: "llm", MaxTokens: 50, Messages: []structs.Message{{Role: "user", Content: text}}}}
}

func plainCall(id structs.ProgramID, number uint64, path string) structs.Call {
	return structs.Call{Program: id, Account: "acme", Number: number, Request: structs.RequestID(path),
		Plain: &structs.PlainCall{Service: "orders", Method: "POST", Path: path}}
}

func (n *testNode) create(t *testing.T, id structs.ProgramID) {
	t.Helper()
	info, err := n.createProgram(context.Background(), structs.CreateProgram{ID: id, Account: "acme", Kind: "plan"})
	assert.NilError(t, err)
	assert.Equal(t, info.ID, id)
}
