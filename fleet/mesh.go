package fleet

import (
	"context"
	"io"
	"log/slog"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivecourse/endivecourse/connlimit"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

const (
	// sameRegionPeriod and otherRegionPeriod are the intervals between two digests
	// to a VM of this region and of another region, where bandwidth is expensive.
	sameRegionPeriod  = 300 * time.Millisecond
	otherRegionPeriod = 600 * time.Millisecond
	// callTimeout bounds the wait for the reply to a digest. If none arrives, the
	// connection is assumed to be lost and is closed.
	callTimeout = 700 * time.Millisecond
	// maxDigestsPerRound bounds the digests of one round in a fleet without
	// coordinators.
	maxDigestsPerRound = 12
	// lastCallsTimeout bounds the wait for calls of peers in progress at the stop. A
	// transaction of the store takes 40 ms; the process has 500 ms to exit.
	lastCallsTimeout = 200 * time.Millisecond
	// memberTimeout is the time after which a VM that sends nothing is forgotten.
	memberTimeout = 15 * time.Second
	// forgottenTTL is how long a forgotten process is not added again. The other VMs
	// forget it within memberTimeout too.
	forgottenTTL = 8 * memberTimeout
	// The member table is read every startupRefreshPeriod for the first
	// startupRefreshRounds, while the VMs of a deployment start, and every
	// refreshPeriod afterwards.
	startupRefreshPeriod = 500 * time.Millisecond
	startupRefreshRounds = 8
	refreshPeriod        = 5 * time.Second
	storeTimeout         = 2 * time.Second
	// memberTableTimeout is how long a process waits for the member table. If the
	// store is unreachable, the peers have exchanged their members by then.
	memberTableTimeout = 2 * time.Second
)

const membersTable = "members"

// processEndedDelay is longer than the time between two digests of a VM of the region.
const processEndedDelay = 2 * time.Second

// Hooks connects the mesh to the component whose state it carries. The functions
// are called from several goroutines.
type Hooks struct {
	// Digest returns this VM's next digest.
	Digest func() Digest
	// ApplyDigest applies a peer's digest.
	ApplyDigest func(d Digest)
	// Crashes returns the requests that this VM suspects to crash targets; ApplyCrashes
	// adds those of a peer.
	Crashes      func() []quarantine.Report
	ApplyCrashes func(reports []quarantine.Report)
	// Lend gives up quota tokens of an account and returns their number.
	Lend func(account structs.AccountID) int
	// Admit decides on a request of an account for which this VM is the quota
	// holder.
	Admit func(req AdmissionRequest) AdmissionReply
	// Place picks a target for a peer's request, Release ends its grant.
	Place   func(ctx context.Context, p PlacementRequest) PlacementReply
	Release func(r Release)
	// Forward sends a peer's request to a target and passes the response to send.
	Forward func(ctx context.Context, req ForwardRequest, send func(ForwardReply) error) error
	// ReachesTargets reports whether peers may forward requests through this VM;
	// ReportReach records what a peer says of itself.
	ReachesTargets func() bool
	ReportReach    func(vm Member, reachesTargets bool)
	// ProcessEnded is called when a VM has another process than before.
	ProcessEnded func(process structs.Incarnation)
	// ProcessRuns is called when a process is heard.
	ProcessRuns func(process structs.Incarnation)
	// Flush stores what this VM has accepted from others, before the process ends.
	Flush func(ctx context.Context)
	// ForgetVM is called when a VM has been forgotten.
	ForgetVM func(vm structs.VMID)
}

// Options configures a Mesh.
type Options struct {
	Self     Member
	Seeds    []string // addresses of the first peers to call; may be stale
	Listener net.Listener
	// DirectStore is the store without relaying, which peers may call through this
	// VM; Store is the store over any path.
	DirectStore rowstore.Store
	Store       func() rowstore.Store
	Config      *routing.Config
	// MaxPeerConns bounds the connections of peers; the bytes of requests and replies that
	// are kept at a time are parts of MemoryBytes, the VM's memory. 0 means no bound.
	MaxPeerConns int
	MemoryBytes  int64
	// IsStoreReachable reports whether this VM reaches the store directly.
	IsStoreReachable func() bool
	// Serve registers the methods that other packages serve to peers.
	Serve func(server *wire.Server)
	Hooks Hooks
	Log   *slog.Logger
}

// Mesh is the kernel component that communicates with the other VMs.
type Mesh struct {
	opts   Options
	server *wire.Server
	client *wire.Client
	guard  *connlimit.Guard // of the peers' connections

	mu      sync.Mutex
	members map[structs.VMID]*peerState
	// forgottenIncarnations holds the processes that were forgotten; they are not
	// added again because another VM still lists them.
	forgottenIncarnations map[structs.Incarnation]time.Time // when each was forgotten
	newerConfig           *configSource                     // nil unless a peer has a newer configuration
	groups                *groups                           // nil after a change of the members
	rotation              rotation
	rosters               *Rosters
	isRosterOutdated      bool                    // the members have changed since
	tableMembers          map[structs.VMID]Member // as last read
	tableReadAt           time.Time

	shared   map[string]*SharedTable // by table; unchanged after Start
	stopping chan struct{}           // closed by Stop

	packed struct { // the newest configuration, compressed
		mu      sync.Mutex
		version uint64
		value   []byte
	}
	configsSent  atomic.Uint64 // configurations sent to peers
	hasReadTable atomic.Bool   // the member table has been read at least once
	startedAt    time.Time
}

// peerState is what this VM knows of a member.
type peerState struct {
	Member
	addedAt   time.Time
	lastSeen  time.Time // when it was added or last sent or answered a digest
	lastSent  time.Time
	isSending bool // a digest is being sent
	// isStoreReachable is whether the VM reached the store directly, as of its
	// last digest.
	isStoreReachable bool
	lastFailure      time.Time // of a call to the VM
	honorsRegions    bool      // as of its last digest or reply to one
}

// New returns a mesh without members.
func New(opts Options) *Mesh {
	guard := connlimit.NewForFrames("peers", connlimit.Bounds{Conns: opts.MaxPeerConns}, firstCallTimeout, opts.Log)
	m := &Mesh{
		opts: opts, guard: guard, server: newPeerServer(opts, guard), startedAt: time.Now(), rosters: NewRosters(structs.Now(), opts.Self),
		members: make(map[structs.VMID]*peerState), forgottenIncarnations: make(map[structs.Incarnation]time.Time),
		shared: make(map[string]*SharedTable), stopping: make(chan struct{}),
	}
	m.client = wire.NewClient(wire.Options{})
	serveStore(m.server, opts.DirectStore)
	wire.HandleUnary(m.server, MethodDigest, m.handleDigest)
	wire.HandleUnary(m.server, MethodConfig, m.handleConfig)
	wire.HandleUnary(m.server, MethodTable, m.handleTable)
	wire.HandleUnary(m.server, MethodLend, func(_ context.Context, r LoanRequest) (LoanReply, error) {
		return LoanReply{Tokens: m.opts.Hooks.Lend(r.Account)}, nil
	})
	wire.HandleUnary(m.server, MethodAdmit, func(_ context.Context, req AdmissionRequest) (AdmissionReply, error) {
		return m.opts.Hooks.Admit(req), nil
	})
	wire.HandleUnary(m.server, MethodPlace, func(ctx context.Context, p PlacementRequest) (PlacementReply, error) {
		return m.opts.Hooks.Place(ctx, p), nil
	})
	wire.HandleUnary(m.server, MethodRelease, func(_ context.Context, r Release) (struct{}, error) {
		m.opts.Hooks.Release(r)
		return struct{}{}, nil
	})
	m.server.Handle(MethodForward, m.handleForward)
	if opts.Serve != nil {
		opts.Serve(m.server)
	}
	return m
}

// IsMembershipKnown reports whether this VM has had time to learn of the others.
// Without this check, a VM that has just started would ask VMs that hold no quota.
func (m *Mesh) IsMembershipKnown() bool {
	return m.hasReadTable.Load() || time.Since(m.startedAt) > memberTableTimeout
}

// PeerCount returns the number of other VMs that are known.
func (m *Mesh) PeerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members)
}

// Name returns "fleet".
func (m *Mesh) Name() string { return "fleet" }

// Start starts the mesh's workers.
func (m *Mesh) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("fleet.serve", func(ctx context.Context) error {
		err := m.server.Serve(m.opts.Listener)
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
	k.Go("fleet.guard", m.guard.Run)
	k.Every("fleet.digests", sameRegionPeriod, m.sendDigests)
	k.Every("fleet.config", configLagPeriod, m.reportConfigLag)
	k.Go("fleet.members", m.refreshMembers)
	return nil
}

const (
	// firstCallTimeout is how long a connection of a peer may stay without a call. Peers open
	// it for one.
	firstCallTimeout = 5 * time.Second
	// Parts of the VM's memory: for requests of peers that arrive or are in progress, for
	// replies that are not written yet, and for the goroutines of calls, callBytes each.
	peerMemoryDivisor = 10
	callMemoryDivisor = 8
	callBytes         = 12 << 10
)

// newPeerServer returns the server for peers.
func newPeerServer(opts Options, guard *connlimit.Guard) *wire.Server {
	bytes := int(opts.MemoryBytes / peerMemoryDivisor)
	return wire.NewServer(wire.Options{
		Log: opts.Log, Guard: guard, Received: connlimit.NewBudget(bytes), Sent: connlimit.NewBudget(bytes),
		MaxRequests: int(opts.MemoryBytes / callMemoryDivisor / callBytes),
	})
}

// WriteMetrics writes the numbers of connections of peers.
func (m *Mesh) WriteMetrics(w io.Writer) { m.guard.WriteMetrics(w) }

// Stop refuses new calls of peers, so that they act themselves, lets the ones in progress
// end and closes all connections.
func (m *Mesh) Stop(ctx context.Context) error {
	close(m.stopping)
	m.flush(ctx) // calls of peers wait for it
	callsCtx, cancel := context.WithTimeout(ctx, lastCallsTimeout)
	defer cancel()
	if err := m.server.Drain(callsCtx); err != nil {
		m.opts.Log.Info("calls of peers cut by the stop", "cause", err.Error())
	}
	m.flush(ctx)
	m.client.Close()
	return m.server.Close()
}

func (m *Mesh) flush(ctx context.Context) {
	if m.opts.Hooks.Flush != nil {
		m.opts.Hooks.Flush(ctx)
	}
}

// Members returns the other VMs that are known.
func (m *Mesh) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.memberList()
}

// memberList returns the other members. The caller holds the lock.
func (m *Mesh) memberList() []Member {
	members := make([]Member, 0, len(m.members))
	for _, peer := range m.members {
		members = append(members, peer.Member)
	}
	return members
}

// DumpState returns the other VMs that are known.
func (m *Mesh) DumpState() any { return m.Members() }

// recordAlive records that a VM is alive. A new incarnation replaces the old one.
func (m *Mesh) recordAlive(from Member) {
	if from.VM == m.opts.Self.VM || from.VM == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.forgottenIncarnations, from.Incarnation)
	old := m.members[from.VM]
	if old != nil && old.Incarnation != from.Incarnation {
		time.AfterFunc(processEndedDelay, func() { m.reportEnded(old.Member) })
	}
	if old == nil || old.Incarnation != from.Incarnation {
		m.opts.Log.Info("peer joined", "peer", string(from.VM), "incarnation", string(from.Incarnation), "address", from.Address)
		m.addMember(from)
		return
	}
	old.lastSeen = time.Now()
}

// recordAnswer records that a VM has answered a call. The call may have been made to an earlier
// process of the VM, which does not come back by that.
func (m *Mesh) recordAnswer(from Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if peer := m.members[from.VM]; peer != nil {
		peer.lastSeen = time.Now()
	}
}

// reportEnded reports that a process has ended unless the VM has been heard under it again: a
// late digest of an earlier process looks like a new one for a moment.
func (m *Mesh) reportEnded(old Member) {
	m.mu.Lock()
	present := m.members[old.VM]
	hasEnded := present != nil && present.Incarnation != old.Incarnation
	m.mu.Unlock()
	if hasEnded && m.opts.Hooks.ProcessEnded != nil {
		m.opts.Hooks.ProcessEnded(old.Incarnation)
	}
}

// addMembers adds VMs that another source lists. VMs that are known already stay
// unchanged.
func (m *Mesh) addMembers(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		if member.VM == m.opts.Self.VM || member.VM == "" || m.members[member.VM] != nil || m.isForgotten(member.Incarnation) {
			continue
		}
		m.opts.Log.Info("peer introduced", "peer", string(member.VM), "incarnation", string(member.Incarnation), "address", member.Address)
		m.addMember(member)
	}
}

func (m *Mesh) isForgotten(incarnation structs.Incarnation) bool {
	_, isForgotten := m.forgottenIncarnations[incarnation]
	return isForgotten
}

// addMember adds or replaces a member. The caller holds the lock.
func (m *Mesh) addMember(member Member) {
	now := time.Now()
	m.members[member.VM] = &peerState{Member: member, addedAt: now, lastSeen: now}
	m.recordChange()
}

// recordChange records a change of the members. The caller holds the lock.
func (m *Mesh) recordChange() { m.groups, m.isRosterOutdated = nil, true }

func (m *Mesh) expirePeers(now time.Time) {
	m.mu.Lock()
	timeout := max(memberTimeout, m.currentGroups().rotationTime()*3/2)
	maps.DeleteFunc(m.forgottenIncarnations, func(_ structs.Incarnation, at time.Time) bool { return now.Sub(at) > forgottenTTL })
	var expired []Member
	for id, peer := range m.members {
		if now.Sub(peer.lastSeen) > timeout {
			expired = append(expired, peer.Member)
			delete(m.members, id)
			m.forgottenIncarnations[peer.Incarnation] = now
			m.recordChange()
		}
	}
	m.mu.Unlock()
	for _, member := range expired {
		m.opts.Log.Warn("peer forgotten after silence", "peer", string(member.VM), "silence_ms", timeout.Milliseconds())
		m.client.CloseConn(member.Address)
		m.opts.Hooks.ForgetVM(member.VM)
		go m.deleteRow(member)
	}
}
