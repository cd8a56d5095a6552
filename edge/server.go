package edge

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/conversation"
	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/hop"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/rowstore/storepath"
	"github.com/endivecourse/endivecourse/share"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// quarantineTargets is how many targets a request must have crashed.
	quarantineTargets = 3
	// suspectFor is how long a crash counts against a request.
	suspectFor = time.Minute
	// sweepPeriod is the time between two sweeps of what has expired.
	sweepPeriod = time.Second
	// wakePeriod is how often waiting requests are looked at though nothing
	// ended here; peers' loads may have gone down.
	wakePeriod = 50 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	VM      structs.VMID
	Domain  structs.DomainID
	Region  string
	Config  *routing.Config
	Dialect Dialect
	Store   *storepath.Router
	// Conversations keeps turns and budgets; Local is this VM's part of that.
	Conversations *conversation.Keeper
	Local         *conversation.Local
	Peers         Peers
	// Regions is the number of regions of the deployment.
	Regions int
	// QuotaSlack is the requests by which all VMs together may pass a limit.
	QuotaSlack float64
	Log        *slog.Logger
}

// Server is the component that serves requests.
type Server struct {
	opts  Options
	log   *slog.Logger
	pool  *hop.Pool
	stats *stats

	mu         sync.Mutex
	targets    *placement.TargetSet
	listing    listing
	lines      map[structs.ServiceID]*admission.Queue
	waiters    map[*admission.Request]*waiter
	shares     *share.Limiter
	quarantine *quarantine.List
	lent       map[uint64]lentGrant
	lastGrant  uint64
	confirmed  structs.Instant // when the store or a peer last confirmed the configuration
}

// New makes the component.
func New(opts Options) *Server {
	s := &Server{
		opts:       opts,
		log:        opts.Log,
		pool:       hop.NewPool(),
		targets:    placement.New(opts.Domain, opts.Region),
		lines:      make(map[structs.ServiceID]*admission.Queue),
		lent:       make(map[uint64]lentGrant),
		waiters:    make(map[*admission.Request]*waiter),
		shares:     share.New(structs.Now(), opts.QuotaSlack),
		quarantine: quarantine.New(quarantine.Options{Targets: quarantineTargets, SuspectPeriod: suspectFor}),
	}
	s.listing.lapsed = make(map[structs.TargetID]structs.Instant)
	s.stats = newStats(s)
	return s
}

// Name returns "edge".
func (s *Server) Name() string { return "edge" }

// Start starts the server's duties.
func (s *Server) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("edge.sweep", sweepPeriod, s.sweep)
	k.Every("edge.wake", wakePeriod, s.wake)
	return nil
}

// Stop does nothing: requests end with their callers' connections.
func (s *Server) Stop(context.Context) error { return nil }

// Ready returns nil when requests can be served.
func (s *Server) Ready() error {
	if s.opts.Config.Current() == nil {
		return &NoConfigError{}
	}
	return nil
}

// NoConfigError says that no configuration has arrived yet.
type NoConfigError struct{}

// Error says so.
func (e *NoConfigError) Error() string { return "no configuration has arrived yet" }

func (s *Server) sweep(_ context.Context, now time.Time) {
	s.pool.Sweep(now)
	s.opts.Local.Ledger.Sweep(now)
	s.expireLapsed()
	s.mu.Lock()
	s.shares.Sweep(structs.Now())
	s.expireGrants(structs.Now())
	switches := s.targets.EjectionChanges(structs.Now())
	s.mu.Unlock()
	s.logSwitches(switches)
}

func (s *Server) logSwitches(switches []placement.EjectionChange) {
	for _, sw := range switches {
		if sw.IsEjected {
			s.log.Warn("target out of use for failed requests", "target", string(sw.Target), "failing", sw.FailureRate)
		} else {
			s.log.Info("target back in use", "target", string(sw.Target), "failing", sw.FailureRate)
		}
	}
}

// wake looks at the waiting requests though nothing has told of a free slot.
func (s *Server) wake(context.Context, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serveLines()
}

// Digest fills what the peers need to know.
func (s *Server) Digest() fleet.Digest {
	now := structs.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return fleet.Digest{
		IsStoreReachable: s.opts.Store.IsDirectUp(),
		Demand:           s.shares.Demand(now),
		Spare:            s.shares.SpareTokens(now),
		Loads:            s.targets.LoadReport(),
		Failing:          s.targets.FailureReport(now),
		Crashes:          s.quarantine.Export(now),
	}
}

// ApplyDigest takes a peer's digest.
func (s *Server) ApplyDigest(d fleet.Digest) {
	now := structs.Now()
	s.opts.Store.Report(d.From.VM, d.From.Region == s.opts.Region, d.IsStoreReachable)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.Report(now, d.From.VM, d.From.Region == s.opts.Region, d.Demand, d.Spare)
	s.targets.Report(now, d.From.VM, d.Loads)
	s.targets.ApplyFailureReport(now, d.From.VM, d.Failing)
	s.quarantine.Import(now, d.Crashes)
	if d.IsStoreReachable && d.Config == s.opts.Config.Version() {
		s.confirmed = now
	}
}

// Lend gives up quota tokens of an account for a peer.
func (s *Server) Lend(account structs.AccountID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	table := s.opts.Config.Current()
	if table == nil || table.Accounts[account] == nil {
		return 0
	}
	return s.shares.Lend(structs.Now(), account, limitOf(table.Accounts[account]))
}

// ForgetVM forgets a VM.
func (s *Server) ForgetVM(vm structs.VMID) {
	s.opts.Store.Forget(vm)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.Forget(vm)
}

// ConfirmConfig records that the store has no newer configuration.
func (s *Server) ConfirmConfig() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = structs.Now()
}
