package soak

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/config/configwatch"
	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/gateway/forward"
	"github.com/endivecourse/endivecourse/keeper"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/membership"
	_ "github.com/endivecourse/endivecourse/queue/fair" // registers queue.fair
	"github.com/endivecourse/endivecourse/quota"
	"github.com/endivecourse/endivecourse/quota/borrower"
	"github.com/endivecourse/endivecourse/quota/holder"
	_ "github.com/endivecourse/endivecourse/route/prefix" // registers route.prefix
	"github.com/endivecourse/endivecourse/scheduler"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

const (
	testSlots   = 12
	testTick    = 250 * time.Millisecond
	callTimeout = 2 * time.Minute
	stopTimeout = 5 * time.Minute // for a planned stop of a process
)

// quotaSnapshot is a quota.Snapshot of the configuration in force.
type quotaSnapshot struct{ *config.Holder }

func (l quotaSnapshot) Account(id structs.AccountID) (config.Account, bool) {
	if current := l.Current(); current != nil {
		return current.Account(id)
	}
	return config.Account{}, false
}

func (l quotaSnapshot) Version() uint64 {
	if current := l.Current(); current != nil {
		return current.Version()
	}
	return 0
}

// node is one scheduler or gateway process.
type node struct {
	f           *fleet
	vm          structs.VMID
	addr        string
	domain      structs.DomainID
	incarnation structs.Incarnation
	isDead      atomic.Bool // killed: nothing that it sends arrives
	isLeaving   bool        // its planned stop has begun
	maxVersion  uint64      // highest configuration version seen in force
	members     *membership.Watcher
	config      *config.Holder
	client      *wire.Client
	cancel      context.CancelFunc
	done        chan error

	// Only in a scheduler.
	keeper    *keeper.Keeper
	scheduler *scheduler.Scheduler
	listener  *listener
	server    *wire.Server

	// Only in a gateway.
	forwarder *forward.Forwarder
	borrower  *borrower.Borrower
}

// wireComponent is the kernel component that serves and closes the connections
// between processes.
type wireComponent struct{ n *node }

func (w wireComponent) Name() string { return "wire" }

func (w wireComponent) Start(_ context.Context, k *kernel.Kernel) error {
	if w.n.server != nil {
		k.Go("wire.accept", func(context.Context) error { return w.n.server.Serve(w.n.listener) })
	}
	return nil
}

func (w wireComponent) Drain(ctx context.Context) error {
	if w.n.server == nil {
		return nil
	}
	return w.n.server.Drain(ctx)
}

func (w wireComponent) Stop(context.Context) error {
	w.n.client.Close()
	if w.n.server != nil {
		return w.n.server.Close()
	}
	return nil
}

func (f *fleet) newNode(domain structs.DomainID, vm string) *node {
	f.startCount++
	n := &node{
		f: f, vm: structs.VMID(vm), addr: vm, domain: domain,
		incarnation: structs.Incarnation(fmt.Sprintf("%s#%d", vm, f.startCount)),
		config:      &config.Holder{}, done: make(chan error, 1),
	}
	n.client = wire.NewClient(wire.Options{Dial: func(addr string) (net.Conn, error) {
		if n.isDead.Load() {
			return nil, net.ErrClosed
		}
		return f.net.dial(n.addr, addr)
	}})
	n.members = membership.New(membership.Options{VMs: vmList{platformAccess{n, f.services}}})
	return n
}

// schedulers returns the scheduler addresses of a domain in this process's VM list.
func (n *node) schedulers(domain structs.DomainID) []string {
	var addrs []string
	for _, vm := range n.members.View().Peers(domain) {
		addrs = append(addrs, vm.Scheduler)
	}
	return addrs
}

func (n *node) otherSchedulers() []string {
	var addrs []string
	for _, d := range n.f.domains {
		if d != n.domain {
			addrs = append(addrs, n.schedulers(d)...)
		}
	}
	return addrs
}

func (n *node) peers() []keeper.Peer {
	var peers []keeper.Peer
	for _, vm := range n.members.View().Peers(n.domain) {
		peers = append(peers, keeper.Peer{VM: vm.ID, Addr: vm.Scheduler, IsLeaving: vm.State == backing.VMLeaving})
	}
	return peers
}

func (n *node) snapshot() scheduler.Snapshot {
	if current := n.config.Current(); current != nil {
		return current
	}
	return nil
}

func (n *node) settings() settings.Daemon {
	s := settings.Default()
	s.VM, s.Domain, s.Listen.Wire = n.vm, n.domain, n.addr
	s.Lease.Slots = testSlots
	s.Limits.CallTimeout = settings.Duration(callTimeout)
	return s
}

func (n *node) run(components ...kernel.Component) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	k := kernel.New(n.f.log, components...)
	go func() { n.done <- k.Run(ctx, stopTimeout) }()
}

// startScheduler starts a scheduler process on a VM.
func (f *fleet) startScheduler(domain structs.DomainID, vm string) *node {
	n := f.newNode(domain, vm)
	loaded := n.settings()
	n.listener = f.net.listen(n.addr)
	n.server = wire.NewServer(wire.Options{})
	services := backing.Services{Table: table{platformAccess{n, f.services}}, Objects: objects{platformAccess{n, f.services}}}
	configWatch := configwatch.NewScheduler(configwatch.SchedulerOptions{
		Self: n.addr, VM: n.vm, Domain: domain, Holder: n.config, Table: services.Table, Wire: n.client,
		Peers: func() []string { return n.schedulers(domain) }, OtherDomains: n.otherSchedulers, Poll: loaded.Config.Poll.Std(),
	})
	owner, err := keeper.New(keeper.Options{
		Domain: domain, Self: lease.Member{Incarnation: n.incarnation, VM: n.vm, Addr: n.addr}, Lease: loaded.Lease,
		MaxTail: loaded.Limits.MaxTail, Daemons: len(f.domains) * schedulersPerDomain, Table: services.Table, Objects: services.Objects,
		Peers: n.peers, IsVMGone: func(id structs.VMID) bool { return n.members.View().IsGone(id) },
		Sender: n.client, DefersHandover: true, Log: f.log,
	})
	if err != nil {
		f.fail("keeper: %v", err)
	}
	n.keeper = owner
	quotaHolder := holder.New(holder.Options{
		DomainIndex: slices.Index(f.domains, domain), Domains: len(f.domains), Slots: testSlots, Terms: f.terms(),
		Snapshot: quotaSnapshot{n.config}, Ownership: owner, Now: f.now, Log: f.log,
	})
	n.scheduler = scheduler.New(scheduler.Options{
		Settings: loaded, Ownership: owner, Journal: owner, Config: n.snapshot, Wire: n.client, Table: services.Table,
		Peers:     func() []string { return slices.Concat(n.schedulers(domain), n.otherSchedulers()) },
		IsLeaving: func(id structs.TargetID) bool { return n.members.View().IsTargetLeaving(id) },
		NewDriver: func(spec target.Spec) (target.Driver, error) {
			return &driver{fakeTarget: f.targets[spec.ID], n: n}, nil
		},
		TickInterval: testTick,
	})
	configWatch.RegisterHandlers(n.server)
	owner.RegisterHandlers(n.server)
	quotaHolder.RegisterHandlers(n.server)
	n.scheduler.RegisterHandlers(n.server)
	n.run(n.members, configWatch, owner, quotaHolder, n.scheduler, wireComponent{n})
	f.withLock(func() { f.schedulers = append(f.schedulers, n) })
	return n
}

// startGateway starts the parts of a gateway that admit and forward calls, without
// its HTTP server.
func (f *fleet) startGateway(domain structs.DomainID, vm string) *node {
	n := f.newNode(domain, vm)
	n.forwarder = forward.New(forward.Options{Sender: forward.WireSender{Client: n.client}, Addresses: n.schedulers, Slots: testSlots, Clock: f.now})
	n.borrower = borrower.New(borrower.Options{
		Self: n.incarnation, Domain: domain, Domains: f.domains, Slots: testSlots, Snapshot: quotaSnapshot{n.config}, Terms: f.terms(),
		Client: n.client, OwnerAddr: n.forwarder.Owner, SchedulerAddrs: n.schedulers, Now: f.now, Log: f.log,
	})
	configWatch := configwatch.NewGateway(configwatch.GatewayOptions{
		VM: n.vm, Holder: n.config, Wire: n.client,
		Schedulers: func() []string { return slices.Concat(n.schedulers(domain), n.otherSchedulers()) },
	})
	n.run(n.members, configWatch, n.borrower, wireComponent{n})
	f.withLock(func() { f.gateways = append(f.gateways, n) })
	return n
}

// now is the time since the start of the run plus one hour, so that it is never
// the zero Instant.
func (f *fleet) now() structs.Instant { return structs.Instant(time.Hour + time.Since(f.startedAt)) }

func (f *fleet) terms() quota.LoanTerms {
	terms := quota.DefaultLoanTerms
	terms.MaxClockDrift = settings.Default().Lease.ClockDrift
	return terms
}

// kill ends a process at once: nothing that it sends afterwards arrives.
func (n *node) kill() {
	n.isDead.Store(true)
	n.client.Close()
	n.f.withLock(func() { n.f.schedulers = slices.DeleteFunc(n.f.schedulers, func(o *node) bool { return o == n }) })
	n.listener.Close()
	n.server.Close()
	n.cancelRun()
	n.f.withLock(func() { n.f.killed = append(n.f.killed, n) })
}

// cancelRun cancels a process without waiting for its result.
func (n *node) cancelRun() {
	n.f.checkInvariants(n)
	n.cancel()
}

// stop performs the planned stop of a scheduler and waits until it has exited.
func (n *node) stop() {
	n.f.net.withLock(func() { n.isLeaving = true })
	n.cancel()
	if err := <-n.done; err != nil && n.f.isFaultFree() {
		n.f.fail("planned stop of %s: %v", n.incarnation, err)
	}
	n.listener.Close()
	n.f.withLock(func() { n.f.schedulers = slices.DeleteFunc(n.f.schedulers, func(o *node) bool { return o == n }) })
}
