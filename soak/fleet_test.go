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

const schedulersPerDomain = 3 // scheduler VMs

// fleet holds the failure domains, processes and targets of one run, and what the
// run has observed.
type fleet struct {
	net        *network
	platform   *standin.Server
	services   backing.Services
	domains    []structs.DomainID
	targets    map[structs.TargetID]*fakeTarget
	log        *slog.Logger
	startCount int
	startedAt  time.Time

	mu           sync.Mutex
	random       *rand.Rand
	schedulers   []*node
	gateways     []*node
	killed       []*node // cut off from everything; their goroutines may still run
	err          error
	activeFaults int       // number of active faults that can fail calls
	lastFault    time.Time // last begin or end of a fault that can fail calls
	isStopping   bool      // callers start no more programs
	runs         map[string]int
	arrived      map[string]int
	stats        map[string]int
	admitted     map[structs.AccountID][]time.Time
	lastLoss     map[structs.DomainID]time.Time // time of the last loss of a process
	document     config.Document
	version      uint64
}

func newFleet(seed uint64) *fleet {
	random := rand.New(rand.NewPCG(seed, 11))
	f := &fleet{
		net: newNetwork(), random: random, targets: make(map[structs.TargetID]*fakeTarget), startedAt: time.Now(),
		runs: make(map[string]int), arrived: make(map[string]int), stats: make(map[string]int),
		admitted: make(map[structs.AccountID][]time.Time), lastLoss: make(map[structs.DomainID]time.Time),
	}
	f.log = slog.New(logChecker{f})
	f.platform = standin.New(standin.Options{VMLag: time.Second})
	f.services = f.platform.Services()
	for i := range 1 + random.IntN(3) {
		f.domains = append(f.domains, structs.DomainID(fmt.Sprintf("d%d", i)))
	}
	f.lastFault = time.Now()
	f.document = f.firstDocument()
	f.publish()
	for _, d := range f.domains {
		for i := range schedulersPerDomain {
			f.listVM(d, fmt.Sprintf("%s-s%d", d, i))
		}
	}
	for _, d := range f.domains {
		for i := range schedulersPerDomain {
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
				f.targets[id] = &fakeTarget{f: f, id: id, heldPrograms: make(map[structs.ProgramID]bool)}
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

// publish stores the document as the next version, directly in the platform's
// table, past the simulated network.
func (f *fleet) publish() {
	store := &config.Store{Table: f.services.Table}
	version, err := store.Publish(context.Background(), f.version, "operator", f.document)
	if err != nil {
		f.count("publications failed")
		var wrong *settings.FileError
		if errors.As(err, &wrong) {
			f.fail("invalid configuration document: %v", err)
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
	return f.random.IntN(n)
}

func (f *fleet) withLock(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) count(name string) { f.withLock(func() { f.stats[name]++ }) }

// fail records the first violation of the run; later ones are dropped.
func (f *fleet) fail(format string, args ...any) {
	f.withLock(func() {
		if f.err == nil {
			f.err = fmt.Errorf("after %s: "+format, append([]any{time.Since(f.startedAt)}, args...)...)
		}
	})
}

func (f *fleet) hasFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err != nil
}

// shouldStop reports whether callers must start no more programs, because the run
// is over or has failed.
func (f *fleet) shouldStop() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isStopping || f.err != nil
}

func (f *fleet) liveSchedulers() []*node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*node(nil), f.schedulers...)
}

// recoveryTime is how long after a fault calls may still fail because of it.
const recoveryTime = 30 * time.Second

func (f *fleet) isFaultFree() bool { return f.isFaultFreeSince(time.Now()) }

// isFaultFreeSince reports whether no fault that can fail calls is active now or
// ended less than recoveryTime before t.
func (f *fleet) isFaultFreeSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.activeFaults == 0 && t.Sub(f.lastFault) > recoveryTime
}

// addFaults adjusts the number of active faults that can fail calls.
func (f *fleet) addFaults(by int) {
	f.withLock(func() {
		f.activeFaults += by
		f.lastFault = time.Now()
	})
}

// logChecker is a slog.Handler that fails the run when a process logs a violated
// invariant or a panic.
type logChecker struct{ f *fleet }

func (logChecker) Enabled(context.Context, slog.Level) bool { return true }

func (w logChecker) Handle(_ context.Context, r slog.Record) error {
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

func (w logChecker) WithAttrs([]slog.Attr) slog.Handler { return w }
func (w logChecker) WithGroup(string) slog.Handler      { return w }
