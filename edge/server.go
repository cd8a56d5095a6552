package edge

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/connlimit"
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
	"github.com/endivecourse/endivecourse/targetrate"
)

const (
	// quarantineTargets is the number of targets that a request must have crashed
	// before it is quarantined.
	quarantineTargets = 3
	// crashTTL is the time within which these crashes have to be.
	crashTTL = time.Minute
	// maxCrashReports bounds the requests that a digest tells of; each takes about 100 bytes.
	maxCrashReports = 128
	// sweepPeriod is the interval between two removals of expired state.
	sweepPeriod = time.Second
	// retryPeriod is the interval at which waiting requests are retried even
	// though no request has ended on this VM: the load that peers report may have
	// decreased.
	retryPeriod = 50 * time.Millisecond
)

// Options configures a Server.
type Options struct {
	VM      structs.VMID
	Process structs.Incarnation // this process
	Domain  structs.DomainID
	Region  string
	Config  *routing.Config
	Dialect Dialect
	Store   *storepath.Router
	// Conversations stores turns and token balances; Local is the part of it that
	// runs on this VM.
	Conversations *conversation.Keeper
	Local         *conversation.Local
	Peers         Peers
	// Domains maps the failure domains of the deployment to their regions.
	Domains map[structs.DomainID]string
	// Regions is the number of regions of the deployment.
	Regions int
	// QuotaSlack is the number of requests by which all VMs together may exceed an
	// account's limit.
	QuotaSlack float64
	// MemoryBytes is the VM's memory, 0 if unknown.
	MemoryBytes int64
	// ColdBounds bounds what all VMs together send a cold target; the zero value means the
	// default.
	ColdBounds targetrate.ColdBounds
	// ConfigApply is the time in which a change of the configuration has to be in force at
	// every VM, 0 if there is no such time.
	ConfigApply time.Duration
	// DialTarget opens the connections to targets; nil means TCP.
	DialTarget hop.DialFunc
	Log        *slog.Logger
}

// Server is the kernel component that serves requests.
type Server struct {
	opts  Options
	log   *slog.Logger
	pool  *hop.Pool
	stats *stats
	paths *targetPaths

	// requestBodies and responseBodies bound the bodies that are kept at a time.
	requestBodies, responseBodies *connlimit.Budget

	stopping stopping

	refusalLines refusalLines

	// isCoordinated is whether a placer keeps the queue of all VMs of the region.
	isCoordinated atomic.Bool

	mu            sync.Mutex
	targets       *placement.TargetSet
	listing       listing
	connections   connections
	queues        map[structs.ServiceID]*admission.Queue
	waiters       map[*admission.Request]*waiter
	recent        recentTargets
	pressure      placement.Pressure
	cold          coldTargets
	spans         programSpans
	limiter       *share.Limiter
	selector      *share.Selector
	quarantine    *quarantine.List
	trials        *trials
	peerGrants    map[uint64]peerGrant
	lastGrantID   uint64
	evacuations   evacuations
	appliedLimits uint64 // hash of the allowed regions that waiting requests know
	// regionsUntil is when the last request with limited regions leaves the queue.
	regionsUntil      structs.Instant
	restrictedUntil   structs.Instant // no request with restrictions waits after it
	configConfirmedAt structs.Instant // last confirmation by the store or a peer
}

// New returns a server that has no targets yet.
func New(opts Options) *Server {
	s := &Server{
		opts:       opts,
		log:        opts.Log,
		paths:      newTargetPaths(),
		pool:       hop.NewPool(opts.DialTarget),
		targets:    placement.New(opts.Domain, opts.Region),
		queues:     make(map[structs.ServiceID]*admission.Queue),
		peerGrants: make(map[uint64]peerGrant),
		waiters:    make(map[*admission.Request]*waiter),
		limiter:    share.New(structs.Now(), opts.QuotaSlack),
		selector:   share.NewSelector(),
		// A late call to release a grant of an earlier process must not end one of this process.
		lastGrantID: rand.Uint64(),
		quarantine:  quarantine.New(quarantine.Options{Targets: quarantineTargets, SuspectPeriod: crashTTL, MaxReports: maxCrashReports}),
	}
	s.trials = &trials{store: opts.Store, log: opts.Log}
	s.requestBodies = connlimit.NewBudget(int(opts.MemoryBytes / requestDivisor))
	s.responseBodies = connlimit.NewBudget(int(opts.MemoryBytes / responseDivisor))
	s.stopping.ctx, s.stopping.end = context.WithCancel(context.Background())
	s.listing.unlisted = make(map[structs.TargetID]structs.Instant)
	s.initColdTargets()
	s.stats = newStats(s)
	return s
}

// Name returns "edge".
func (s *Server) Name() string { return "edge" }

// Start starts the server's workers.
func (s *Server) Start(_ context.Context, k *kernel.Kernel) error {
	k.Every("edge.sweep", sweepPeriod, s.sweep)
	k.Every("edge.wake", retryPeriod, s.retryWaiting)
	if holds := s.opts.Local.Holds; holds != nil {
		k.Go("edge.holds", holds.Run)
	}
	k.Every("edge.paths", pathCheckPeriod, s.checkPaths)
	return nil
}

// Stop ends the requests in progress.
func (s *Server) Stop(context.Context) error {
	s.stopping.end()
	return nil
}

// Ready returns nil when requests can be served.
func (s *Server) Ready() error {
	if s.opts.Config.Current() == nil {
		return &NoConfigError{}
	}
	if !s.knowsEvacuations() {
		return &EvacuationsUnknownError{}
	}
	if lag, isTooLong := s.configLag(); isTooLong {
		return &StaleConfigError{InForce: s.opts.Config.Version(), Known: lag.Version, For: lag.For}
	}
	return nil
}

const (
	// configLagDivisor sets the part of ConfigApply for which a VM may lag behind a
	// configuration that it knows of. It hears of one within a second of the first VM that
	// has it.
	configLagDivisor = 2
	// maxLagSilence is how long ago a VM must have heard of the newer configuration to refuse
	// requests: one that is cut off from all VMs that have it serves what it can.
	maxLagSilence = 2 * time.Second
)

// configLag returns how far the configuration is behind that of other VMs, and whether that is
// too long to serve requests by it: a route may lead elsewhere, and a key be withdrawn.
func (s *Server) configLag() (routing.Lag, bool) {
	lag := s.opts.Config.Lag()
	return lag, s.opts.ConfigApply > 0 && lag.For > s.opts.ConfigApply/configLagDivisor && lag.HeardAgo < maxLagSilence
}

// StaleConfigError reports that other VMs have a newer configuration in force, which has not
// arrived at this VM in time.
type StaleConfigError struct {
	InForce, Known uint64 // versions
	For            time.Duration
}

// Error names both versions.
func (e *StaleConfigError) Error() string {
	return fmt.Sprintf("configuration %d is in force, %d has been known for %s", e.InForce, e.Known, e.For.Round(time.Millisecond))
}

// NoConfigError reports that no configuration has arrived yet.
type NoConfigError struct{}

// Error implements error.
func (e *NoConfigError) Error() string { return "no configuration has arrived yet" }

// EvacuationsUnknownError reports that the operators' table has not been read yet.
type EvacuationsUnknownError struct{}

// Error implements error.
func (e *EvacuationsUnknownError) Error() string { return "the operators' table has not been read yet" }

func (s *Server) sweep(_ context.Context, now time.Time) {
	s.pool.Sweep(now)
	s.opts.Local.Ledger.Sweep(now)
	s.updateReach()
	s.sweepQuota()
	s.mu.Lock()
	s.limiter.Sweep(structs.Now())
	s.expireGrants(structs.Now())
	s.targets.SweepDepartures(structs.Now())
	s.quarantine.Sweep(structs.Now())
	changes := s.targets.EjectionChanges(structs.Now())
	s.mu.Unlock()
	s.logEjectionChanges(changes)
}

func (s *Server) logEjectionChanges(changes []placement.EjectionChange) {
	for _, change := range changes {
		if change.IsEjected {
			s.log.Warn("target out of use for failed requests", "target", string(change.Target), "failing", change.FailureRate,
				"own_failures", change.OwnFailures, "reporters", change.Reporters)
		} else {
			s.log.Info("target back in use", "target", string(change.Target), "failing", change.FailureRate)
		}
	}
}

// retryWaiting drops the targets whose time is over, and grants free slots to waiting
// requests without being notified of a free slot.
func (s *Server) retryWaiting(context.Context, time.Time) {
	s.followColdTargets()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := structs.Now()
	s.dropUnlisted(now)
	s.applyRegionLimits()
	for _, queue := range s.queues {
		queue.Expire(now)
	}
	s.grantAllFreeSlots()
}

// Digest returns this VM's state that its peers need, for example demand and load.
func (s *Server) Digest() fleet.Digest {
	now := structs.Now()
	isInDoubt := s.paths.isInDoubt()
	s.mu.Lock()
	defer s.mu.Unlock()
	digest := fleet.Digest{
		IsStoreReachable: s.opts.Store.IsDirectUp(),
		Demand:           s.limiter.Demand(now),
		Spare:            s.limiter.SpareTokens(now),
		Loads:            s.targets.LoadReport(),
		Rates:            s.targets.Rates.Report(now),
		Crashes:          s.quarantine.Export(now),
		Departures:       s.targets.Departures(now),
	}
	if !isInDoubt {
		digest.Failing = s.targets.FailureReport(now)
	}
	return digest
}

// ApplyDigest records the state that a peer reports.
func (s *Server) ApplyDigest(d fleet.Digest) {
	now := structs.Now()
	s.opts.Store.ReportRegion(d.From.VM, d.From.Region)
	s.opts.Store.Report(d.From.VM, d.From.Region == s.opts.Region, d.IsStoreReachable)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Report(now, d.From.VM, d.From.Region == s.opts.Region, d.Demand, d.Spare)
	s.targets.Report(now, d.From.VM, d.Loads)
	s.targets.ApplyFailureReport(now, d.From.VM, d.Failing)
	s.applyRateReport(now, d)
	s.learnDepartures(now, d.Departures, "digest")
	s.quarantine.Import(now, d.Crashes)
	if d.IsStoreReachable && d.Config == s.opts.Config.Version() {
		s.configConfirmedAt = now
	}
}

// Crashes returns the requests that are suspected to crash targets.
func (s *Server) Crashes() []quarantine.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine.Export(structs.Now())
}

// ApplyCrashes records the crashes that a peer reports.
func (s *Server) ApplyCrashes(reports []quarantine.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quarantine.Import(structs.Now(), reports)
}

// Lend gives a peer quota tokens of an account and returns their number.
func (s *Server) Lend(account structs.AccountID) int {
	since, holds := s.holdsQuotaSince(account)
	table := s.opts.Config.Current()
	if !holds || table == nil || table.Accounts[account] == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limiter.Lend(structs.Now(), share.Request{Account: account, Limit: limitOf(table.Accounts[account]), HeldSince: since})
}

// ReportReach records whether a peer takes requests that this VM can't send itself.
func (s *Server) ReportReach(peer fleet.Member, reachesTargets bool) {
	s.paths.mu.Lock()
	defer s.paths.mu.Unlock()
	s.paths.relays.Report(structs.Now(), peer.VM, peer.Region == s.opts.Region, reachesTargets)
}

// ForgetVM removes the state that a VM has reported.
func (s *Server) ForgetVM(vm structs.VMID) {
	s.opts.Store.Forget(vm)
	s.paths.mu.Lock()
	s.paths.relays.Forget(vm)
	s.paths.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Forget(vm)
}

// ConfirmConfig records that the store had no newer configuration as of the given time ago.
func (s *Server) ConfirmConfig(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configConfirmedAt = max(s.configConfirmedAt, structs.Now()-structs.Instant(age))
}
