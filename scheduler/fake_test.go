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

// virtualTime runs a test with a clock that moves on when every goroutine
// waits. It keeps to one processor: the race detector has one state for the
// timers of such a test and breaks when two threads run timers at once.
func virtualTime(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}

// fakeTarget answers a model call with the number of messages that it saw.
// Its fail function may make a request fail.
type fakeTarget struct {
	id structs.TargetID

	mu       sync.Mutex
	prompts  [][]structs.Message
	plain    int
	held     map[structs.ProgramID]bool
	fail     func(target.Request) error
	refusals int           // of Release
	gate     chan struct{} // holds answers back while set
}

func (f *fakeTarget) Do(ctx context.Context, req target.Request) (target.Stream, error) {
	f.mu.Lock()
	fail, gate := f.fail, f.gate
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
	if f.refusals > 0 {
		f.refusals--
		return &target.StatusError{Target: f.id, Status: 500}
	}
	delete(f.held, id)
	return nil
}

func (f *fakeTarget) Order(context.Context, target.Order) error { return nil }

func (f *fakeTarget) holds() int {
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

// site is one failure domain with its targets and platform.
type site struct {
	platform *fakePlatform
	targets  map[structs.TargetID]*fakeTarget
	leaving  sync.Map
}

func newSite() *site {
	s := &site{platform: newFakePlatform(), targets: make(map[structs.TargetID]*fakeTarget)}
	for _, id := range []structs.TargetID{"a", "b", "o", "w"} {
		s.targets[id] = &fakeTarget{id: id, held: make(map[structs.ProgramID]bool)}
	}
	return s
}

// node is one scheduler process.
type node struct {
	*Scheduler
	store  *storeonly.Store
	cut    atomic.Bool
	lost   atomic.Bool
	cancel context.CancelFunc
	done   chan error
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

// start starts a scheduler with a store of its own on the site.
func (s *site) start(name string) *node { return s.startWith(name, func(*Options) {}) }

func (s *site) startWith(name string, change func(*Options)) *node {
	daemon := testSettings(name + ":1")
	log := slog.New(slog.DiscardHandler)
	n := &node{done: make(chan error, 1)}
	platform := view{s.platform, &n.cut, &n.lost}
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

// stop ends a node in the planned way.
func (n *node) stop(t *testing.T) {
	t.Helper()
	n.cancel()
	assert.NilError(t, <-n.done)
}

// owned waits until the nodes own and have recovered all slots together.
func owned(nodes ...*node) {
	for {
		total := 0
		for _, n := range nodes {
			n.ask(context.Background(), func(l *loop) { total += l.core.Counts().Slots })
		}
		if total == testSlots {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// answer is what a caller got for a call.
type answer struct {
	number   uint64
	data     []byte
	usage    structs.Usage
	replayed bool
}

// do runs a call and checks that its answer is whole and its own.
func (n *node) do(ctx context.Context, call structs.Call) (answer, error) {
	var got answer
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
			got.replayed = e.Replayed
		}
		return nil
	})
	if err == nil && !done {
		err = &structs.InvariantError{Package: "test", Name: "answer_is_whole", Detail: string(got.data)}
	}
	return got, err
}

func ask(id structs.ProgramID, number uint64, text string) structs.Call {
	return structs.Call{Program: id, Account: "acme", Number: number, Request: structs.RequestID(text),
		Model: &structs.ModelCall{Service: "llm", MaxTokens: 50, Messages: []structs.Message{{Role: "user", Content: text}}}}
}

func order(id structs.ProgramID, number uint64, path string) structs.Call {
	return structs.Call{Program: id, Account: "acme", Number: number, Request: structs.RequestID(path),
		Plain: &structs.PlainCall{Service: "orders", Method: "POST", Path: path}}
}

func (n *node) create(t *testing.T, id structs.ProgramID) {
	t.Helper()
	info, err := n.createProgram(context.Background(), structs.CreateProgram{ID: id, Account: "acme", Kind: "plan"})
	assert.NilError(t, err)
	assert.Equal(t, info.ID, id)
}
