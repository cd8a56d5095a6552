package fleet

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

const (
	// nearPeriod and farPeriod are the times between two digests to a VM of
	// the own and of another region, where bytes are dear.
	nearPeriod = 300 * time.Millisecond
	farPeriod  = 600 * time.Millisecond
	// callTimeout ends a digest whose reply is missing; the connection is
	// then taken for silent and dropped.
	callTimeout = 700 * time.Millisecond
	// fanout bounds the digests of one round, whatever the number of VMs.
	fanout = 12
	// memberLife is when a VM that is not heard of is forgotten.
	memberLife = 15 * time.Second
	// The member table is read every joinPeriod for the first joinRounds, in
	// which the VMs of a deployment start, and every refreshPeriod afterwards.
	joinPeriod    = 500 * time.Millisecond
	joinRounds    = 8
	refreshPeriod = 5 * time.Second
	storeTimeout  = 2 * time.Second
	// learnSpan is how long a process waits for the member table; with the
	// store away, its peers have told it of one another by then.
	learnSpan = 2 * time.Second
)

const membersTable = "members"

// Hooks connects the mesh to what it carries. They are called from several
// goroutines.
type Hooks struct {
	// Digest fills this VM's next digest.
	Digest func() Digest
	// ApplyDigest takes a peer's digest.
	ApplyDigest func(d Digest)
	// Lend gives up quota tokens of an account.
	Lend func(account structs.AccountID) int
	// Admit decides on a request of an account that this VM holds.
	Admit func(question AdmissionRequest) AdmissionReply
	// Place picks a target for a peer's request, Release ends its grant.
	Place   func(ctx context.Context, p PlacementRequest) PlacementReply
	Release func(r Release)
	// ForgetVM says that a VM was forgotten.
	ForgetVM func(vm structs.VMID)
}

// Options configures a Mesh.
type Options struct {
	Self     Member
	Seeds    []string // addresses of peers to begin with; may be stale
	Listener net.Listener
	// DirectStore is the store without detours, which peers may call through
	// this VM; Store is the store over any path.
	DirectStore rowstore.Store
	Store       func() rowstore.Store
	Config      *routing.Config
	// IsStoreReachable reports whether this VM's own path to the store works.
	IsStoreReachable func() bool
	// Serve adds the methods that other packages serve to peers.
	Serve func(server *wire.Server)
	Hooks Hooks
	Log   *slog.Logger
}

// Mesh is the component that keeps in touch with the other VMs.
type Mesh struct {
	opts   Options
	server *wire.Server
	client *wire.Client

	mu      sync.Mutex
	members map[structs.VMID]*known
	// forgotten are the processes that fell silent; what others still know
	// of them does not bring them back.
	forgotten map[structs.Incarnation]bool
	wanted    *wantedConfig // nil unless a peer has a newer configuration
	turn      int           // where the next round of digests begins

	configsSent atomic.Uint64 // configurations given to peers
	tableRead   atomic.Bool   // the member table was read once
	began       time.Time
}

type known struct {
	Member
	heard time.Time // of or from the VM
	sent  time.Time
	busy  bool // a digest is under way
	// storeWorks is the VM's last word on its own path to the store, told
	// when it was heard last.
	storeWorks bool
	failed     time.Time // of the last call as a home
}

// New makes the component.
func New(opts Options) *Mesh {
	m := &Mesh{
		opts: opts, server: wire.NewServer(wire.Options{}), began: time.Now(),
		members: make(map[structs.VMID]*known), forgotten: make(map[structs.Incarnation]bool),
	}
	m.client = wire.NewClient(wire.Options{})
	serveStore(m.server, opts.DirectStore)
	wire.HandleUnary(m.server, MethodDigest, m.answer)
	wire.HandleUnary(m.server, MethodConfig, func(context.Context, ConfigQuery) (routing.Document, error) {
		m.configsSent.Add(1)
		return m.opts.Config.Document(), nil
	})
	wire.HandleUnary(m.server, MethodLend, func(_ context.Context, r LoanRequest) (LoanReply, error) {
		return LoanReply{Tokens: m.opts.Hooks.Lend(r.Account)}, nil
	})
	wire.HandleUnary(m.server, MethodAdmit, func(_ context.Context, question AdmissionRequest) (AdmissionReply, error) {
		return m.opts.Hooks.Admit(question), nil
	})
	wire.HandleUnary(m.server, MethodPlace, func(ctx context.Context, p PlacementRequest) (PlacementReply, error) {
		return m.opts.Hooks.Place(ctx, p), nil
	})
	wire.HandleUnary(m.server, MethodRelease, func(_ context.Context, r Release) (struct{}, error) {
		m.opts.Hooks.Release(r)
		return struct{}{}, nil
	})
	if opts.Serve != nil {
		opts.Serve(m.server)
	}
	return m
}

// BorrowTokens asks a VM for quota tokens of an account.
func (m *Mesh) BorrowTokens(ctx context.Context, vm structs.VMID, account structs.AccountID) (int, error) {
	var loan LoanReply
	err := m.callVM(ctx, vm, MethodLend, LoanRequest{Account: account}, &loan)
	return loan.Tokens, err
}

// RequestAdmission asks an account's holder to admit a request.
func (m *Mesh) RequestAdmission(ctx context.Context, vm structs.VMID, question AdmissionRequest) (AdmissionReply, error) {
	var verdict AdmissionReply
	err := m.CallHome(ctx, vm, MethodAdmit, question, &verdict)
	return verdict, err
}

// RequestPlacement asks a service's placer for a target.
func (m *Mesh) RequestPlacement(ctx context.Context, vm structs.VMID, p PlacementRequest) (PlacementReply, error) {
	var placed PlacementReply
	err := m.CallHome(ctx, vm, MethodPlace, p, &placed)
	return placed, err
}

// Release ends a grant of a placer.
func (m *Mesh) Release(ctx context.Context, vm structs.VMID, r Release) error {
	return m.callVM(ctx, vm, MethodRelease, r, &struct{}{})
}

// IsMembershipKnown reports whether this VM has had the time to learn of the others. VMs
// that start together and know different peers would each be some account's
// holder.
func (m *Mesh) IsMembershipKnown() bool { return m.tableRead.Load() || time.Since(m.began) > learnSpan }

// PeerCount is the number of other VMs that are known.
func (m *Mesh) PeerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.members)
}

// Name returns "fleet".
func (m *Mesh) Name() string { return "fleet" }

// Start starts the mesh's duties.
func (m *Mesh) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("fleet.serve", func(ctx context.Context) error {
		err := m.server.Serve(m.opts.Listener)
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
	k.Every("fleet.digests", nearPeriod, m.tellPeers)
	k.Go("fleet.members", m.refreshMembers)
	return nil
}

// Stop closes all connections.
func (m *Mesh) Stop(context.Context) error {
	m.client.Close()
	return m.server.Close()
}

// Members returns the other VMs that are known.
func (m *Mesh) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := make([]Member, 0, len(m.members))
	for _, k := range m.members {
		members = append(members, k.Member)
	}
	return members
}

// DumpState lists the members.
func (m *Mesh) DumpState() any { return m.Members() }

func (m *Mesh) answer(_ context.Context, d Digest) (DigestReply, error) {
	m.hear(d.From)
	m.noteStore(d.From.VM, d.IsStoreReachable)
	m.opts.Hooks.ApplyDigest(d)
	m.learnConfig(d.Config, d.From)
	reply := DigestReply{Config: m.opts.Config.Version()}
	if m.known() != d.MembersHash {
		reply.Members = append(m.Members(), m.opts.Self)
	}
	return reply, nil
}

// hear records that a VM lives. A new incarnation replaces the old one.
func (m *Mesh) hear(from Member) {
	if from.VM == m.opts.Self.VM || from.VM == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.forgotten, from.Incarnation)
	old := m.members[from.VM]
	if old == nil || old.Incarnation != from.Incarnation {
		m.opts.Log.Info("peer joined", "peer", string(from.VM), "incarnation", string(from.Incarnation), "address", from.Address)
		m.members[from.VM] = &known{Member: from, heard: time.Now()}
		return
	}
	old.heard = time.Now()
}

// introduce adds VMs that another source knows; those known already stay as
// they are.
func (m *Mesh) introduce(members []Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		if member.VM == m.opts.Self.VM || member.VM == "" || m.members[member.VM] != nil || m.forgotten[member.Incarnation] {
			continue
		}
		m.opts.Log.Info("peer introduced", "peer", string(member.VM), "incarnation", string(member.Incarnation), "address", member.Address)
		m.members[member.VM] = &known{Member: member, heard: time.Now()}
	}
}

func (m *Mesh) tellPeers(ctx context.Context, now time.Time) {
	m.forgetSilent(now)
	peers := m.due(now)
	if len(peers) == 0 {
		return
	}
	digest := m.digest()
	for _, peer := range peers {
		go m.tell(ctx, peer, digest)
	}
}

func (m *Mesh) digest() Digest {
	d := m.opts.Hooks.Digest()
	d.From = m.opts.Self
	d.Config = m.opts.Config.Version()
	d.MembersHash = m.known()
	return d
}

// known is a hash of the members, this VM included.
func (m *Mesh) known() uint64 {
	m.mu.Lock()
	ids := []structs.VMID{m.opts.Self.VM}
	for id := range m.members {
		ids = append(ids, id)
	}
	m.mu.Unlock()
	slices.Sort(ids)
	digest := xxhash.New()
	for _, id := range ids {
		digest.WriteString(string(id))
		digest.Write([]byte{0})
	}
	return digest.Sum64()
}

// due picks the peers of this round, at most fanout, in turn.
func (m *Mesh) due(now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]structs.VMID, 0, len(m.members))
	for id := range m.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	var peers []Member
	for i := range ids {
		peer := m.members[ids[(m.turn+i)%len(ids)]]
		if peer.busy || now.Sub(peer.sent) < m.period(peer) {
			continue
		}
		peer.sent, peer.busy = now, true
		peers = append(peers, peer.Member)
		if len(peers) == fanout {
			m.turn += i + 1
			break
		}
	}
	return peers
}

func (m *Mesh) period(peer *known) time.Duration {
	period := farPeriod
	if peer.Region == m.opts.Self.Region {
		period = nearPeriod
	}
	return period - nearPeriod/4 // the ticker's jitter must not skip a round
}

func (m *Mesh) tell(ctx context.Context, peer Member, digest Digest) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if k := m.members[peer.VM]; k != nil {
			k.busy = false
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply DigestReply
	if err := m.call(ctx, peer.Address, MethodDigest, digest, &reply); err != nil {
		return // counted by silence: see forgetSilent
	}
	m.hear(peer)
	m.introduce(reply.Members)
	m.learnConfig(reply.Config, peer)
}

// call drops the connection when no reply comes, since an open connection may
// be silent for good. It is for calls that every VM answers at once.
func (m *Mesh) call(ctx context.Context, address, method string, in, out any) error {
	err := m.client.Call(ctx, address, method, in, out)
	if errors.Is(err, context.DeadlineExceeded) {
		m.client.CloseConn(address)
	}
	return err
}

func (m *Mesh) callVM(ctx context.Context, vm structs.VMID, method string, in, out any) error {
	m.mu.Lock()
	peer := m.members[vm]
	m.mu.Unlock()
	if peer == nil {
		return &wire.NotSentError{Addr: string(vm), Cause: &UnknownVMError{VM: vm}}
	}
	return m.client.Call(ctx, peer.Address, method, in, out)
}

// UnknownVMError says that a VM is not a member.
type UnknownVMError struct{ VM structs.VMID }

// Error names the VM.
func (e *UnknownVMError) Error() string { return "VM " + string(e.VM) + " is not a member" }

func (m *Mesh) forgetSilent(now time.Time) {
	m.mu.Lock()
	var gone []Member
	for id, k := range m.members {
		if now.Sub(k.heard) > memberLife {
			gone = append(gone, k.Member)
			delete(m.members, id)
			m.forgotten[k.Incarnation] = true
		}
	}
	m.mu.Unlock()
	for _, member := range gone {
		m.opts.Log.Warn("peer forgotten after silence", "peer", string(member.VM), "silence_ms", memberLife.Milliseconds())
		m.client.CloseConn(member.Address)
		m.opts.Hooks.ForgetVM(member.VM)
		go m.deleteRow(member)
	}
}
