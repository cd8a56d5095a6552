package soak

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	standin "github.com/endivecourse/endivecourse/internal/standin/platform"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

const perDomain = 3

// fleet is all failure domains of one run.
type fleet struct {
	net      *network
	platform *standin.Server
	services backing.Services
	domains  []structs.DomainID
	targets  map[structs.TargetID]*engine
	log      *slog.Logger
	starts   int
	began    time.Time

	mu         sync.Mutex
	source     *rand.Rand
	schedulers []*node
	gateways   []*node
	killed     []*node // may still run, and reach nobody
	err        error
	faulty     int       // faults in force
	lastBad    time.Time // a fault other than a planned stop was in force
	stopping   bool      // callers begin no further program
	runs       map[string]int
	arrived    map[string]int
	stats      map[string]int
	admitted   map[structs.AccountID][]time.Time
	lost       map[structs.DomainID]time.Time // last lost process
	document   config.Document
	version    uint64
}

func newFleet(seed uint64) *fleet {
	source := rand.New(rand.NewPCG(seed, 11))
	f := &fleet{
		net: newNetwork(), source: source, targets: make(map[structs.TargetID]*engine), began: time.Now(),
		runs: make(map[string]int), arrived: make(map[string]int), stats: make(map[string]int),
		admitted: make(map[structs.AccountID][]time.Time), lost: make(map[structs.DomainID]time.Time),
	}
	f.log = slog.New(watchLog{f})
	f.platform = standin.New(standin.Options{VMLag: time.Second})
	f.services = f.platform.Services()
	for i := range 1 + source.IntN(3) {
		f.domains = append(f.domains, structs.DomainID(fmt.Sprintf("d%d", i)))
	}
	f.lastBad = time.Now()
	f.document = f.firstDocument()
	f.publish()
	for _, d := range f.domains {
		for i := range perDomain {
			f.listVM(d, fmt.Sprintf("%s-s%d", d, i))
		}
	}
	for _, d := range f.domains {
		for i := range perDomain {
			f.startScheduler(d, fmt.Sprintf("%s-s%d", d, i))
		}
		f.startGateway(d, fmt.Sprintf("%s-g", d))
	}
	return f
}

func (f *fleet) listVM(d structs.DomainID, vm string) {
	f.platform.SetVM(backing.VM{ID: structs.VMID(vm), Domain: d, State: backing.VMLive, Scheduler: vm})
}

func (f *fleet) firstDocument() config.Document {
	doc := config.Document{
		Domains: make(map[structs.DomainID]config.Domain),
		Accounts: map[structs.AccountID]config.Account{
			"steady": {Rate: steadyRate, Burst: steadyBurst, Programs: []string{"plan"}},
			"greedy": {Rate: greedyRate, Burst: greedyBurst, Programs: []string{"plan"}},
			"other":  {Rate: 20, Burst: 20, Programs: []string{"plan"}, Keys: map[string]config.Key{"k": {Salt: strings.Repeat("0", 32), Hash: strings.Repeat("0", 64)}}},
		},
		Programs: map[string]config.Program{
			"plan": {Budget: 20000, IdleLimit: settings.Duration(time.Minute), Services: []structs.ServiceID{"llm", "orders"}, MaxDepth: 3},
		},
	}
	protocols := map[string]string{"m": "engine", "o": "plain"}
	llm, orders := make(map[structs.TargetID]config.Target), make(map[structs.TargetID]config.Target)
	for _, d := range f.domains {
		doc.Domains[d] = config.Domain{Region: "r"}
		for i := range 2 {
			for _, kind := range []string{"m", "o"} {
				targets := map[string]map[structs.TargetID]config.Target{"m": llm, "o": orders}[kind]
				id := structs.TargetID(fmt.Sprintf("%s-%s%d", d, kind, i))
				targets[id] = config.Target{Domain: d, URL: fmt.Sprintf("http://127.0.0.1:%d", 1000+len(f.targets)), Protocol: protocols[kind]}
				f.targets[id] = &engine{f: f, id: id, held: make(map[structs.ProgramID]bool)}
				f.platform.SetVM(backing.VM{ID: structs.VMID("vm-" + id), Domain: d, State: backing.VMLive, Target: id})
			}
		}
	}
	doc.Services = map[structs.ServiceID]config.Service{
		"llm":    {Kind: config.ServiceModel, IsRepeatable: true, Targets: llm, Timeout: settings.Duration(callTimeout)},
		"orders": {Kind: config.ServicePlain, Targets: orders, Timeout: settings.Duration(callTimeout)},
	}
	return doc
}

// publish stores the document as the next version, at the platform itself.
func (f *fleet) publish() {
	store := &config.Store{Table: f.services.Table}
	version, err := store.Publish(context.Background(), f.version, "operator", f.document)
	if err != nil {
		f.count("publication refused")
		var wrong *settings.FileError
		if errors.As(err, &wrong) {
			f.fail("document: %v", err)
		}
		f.version = f.storedVersion()
		return
	}
	f.version = version
}

func (f *fleet) storedVersion() uint64 {
	store := &config.Store{Table: f.services.Table}
	for {
		head, err := store.CurrentInfo(context.Background())
		if err == nil {
			return head.Version
		}
		time.Sleep(time.Second)
	}
}

func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source.IntN(n)
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) count(name string) { f.set(func() { f.stats[name]++ }) }

func (f *fleet) fail(format string, args ...any) {
	f.set(func() {
		if f.err == nil {
			f.err = fmt.Errorf("after %s: "+format, append([]any{time.Since(f.began)}, args...)...)
		}
	})
}

func (f *fleet) failed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err != nil
}

func (f *fleet) ended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping || f.err != nil
}

func (f *fleet) live() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.schedulers...)
}

// settled is the time after a fault in which calls may still fail from it.
const settled = 30 * time.Second

func (f *fleet) calm() bool { return f.calmSince(time.Now()) }

// calmSince reports that no fault was in force since t nor shortly before.
func (f *fleet) calmSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faulty == 0 && t.Sub(f.lastBad) > settled
}

func (f *fleet) disturbed(by int) {
	f.set(func() {
		f.faulty += by
		f.lastBad = time.Now()
	})
}

// watchLog fails the run on every violated invariant and panic that a process
// logs.
type watchLog struct{ f *fleet }

func (watchLog) Enabled(context.Context, slog.Level) bool { return true }

func (w watchLog) Handle(_ context.Context, r slog.Record) error {
	var violated *structs.InvariantError
	r.Attrs(func(a slog.Attr) bool {
		if err, ok := a.Value.Any().(error); ok {
			errors.As(err, &violated)
		}
		return violated == nil
	})
	if violated != nil || strings.Contains(r.Message, "panicked") || strings.Contains(r.Message, "invariant") {
		w.f.fail("%s: %v", r.Message, violated)
	}
	return nil
}

func (w watchLog) WithAttrs([]slog.Attr) slog.Handler { return w }
func (w watchLog) WithGroup(string) slog.Handler      { return w }
