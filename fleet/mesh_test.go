package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// testNode is one VM's mesh with the number of digests received from each sender.
type testNode struct {
	mesh *Mesh
	stop func()

	mu      sync.Mutex
	senders map[structs.VMID]int
}

func decodeVersion(raw []byte) (*routing.Table, error) {
	var version uint64
	_, err := fmt.Sscan(string(raw), &version)
	return routing.NewTable(routing.TableContents{Version: version}), err
}

// startNodes starts meshes that share the addresses of the first three as seeds.
func startNodes(t *testing.T, store *rows.Store, count int) []*testNode {
	t.Helper()
	var listeners []net.Listener
	var seeds []string
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners = append(listeners, listener)
		if i < 3 {
			seeds = append(seeds, listener.Addr().String())
		}
	}
	var nodes []*testNode
	for i, listener := range listeners {
		nodes = append(nodes, startNode(t, store, i, listener, seeds))
	}
	return nodes
}

// delayedStore is a store that cannot be scanned until isReachable is set.
type delayedStore struct {
	rowstore.Store
	isReachable atomic.Bool
}

func (s *delayedStore) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	if !s.isReachable.Load() {
		return rowstore.Page{}, &rowstore.UnavailableError{Cause: &rows.FaultError{Fault: "store not reachable yet"}}
	}
	return s.Store.Scan(ctx, r)
}

// Two groups of VMs must merge when one group has found its members through the
// store and the other through seeds.
func TestSeparateGroupsMerge(t *testing.T) {
	store := rows.New()
	delayed := &delayedStore{Store: store}
	var nodes []*testNode
	for i := range 6 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		if i < 3 {
			nodes = append(nodes, startNode(t, store, i, listener, nil))
			continue
		}
		nodes = append(nodes, startNode(t, delayed, i, listener, []string{nodes[len(nodes)-1].mesh.opts.Self.Address}[:min(1, i-3)]))
	}
	waitUntil(t, "every VM hears from its own group", func() bool { return haveHeardFrom(nodes[:3], 2) && haveHeardFrom(nodes[3:], 2) })
	delayed.isReachable.Store(true)
	waitUntil(t, "every VM hears from every other", func() bool { return haveHeardFrom(nodes, 5) })
}

func startNode(t *testing.T, store rowstore.Store, i int, listener net.Listener, seeds []string) *testNode {
	n := prepareNode(store, i, listener, seeds)
	n.run(t)
	return n
}

// prepareNode returns a mesh that is not started yet.
func prepareNode(store rowstore.Store, i int, listener net.Listener, seeds []string) *testNode {
	n := &testNode{senders: make(map[structs.VMID]int)}
	vm := structs.VMID(fmt.Sprintf("vm-%d", i))
	log := slog.New(slog.DiscardHandler)
	n.mesh = New(Options{
		Self:             Member{VM: vm, Incarnation: structs.Incarnation(vm) + "#1", Address: listener.Addr().String(), Region: fmt.Sprint(i % 2)},
		Seeds:            seeds,
		Listener:         listener,
		DirectStore:      store,
		Store:            func() rowstore.Store { return store },
		Config:           routing.NewConfig(decodeVersion),
		Log:              log,
		IsStoreReachable: func() bool { return true },
		Hooks: Hooks{
			Digest: func() Digest { return Digest{IsStoreReachable: true} },
			ApplyDigest: func(d Digest) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.senders[d.From.VM]++
			},
			Crashes:        func() []quarantine.Report { return nil },
			ApplyCrashes:   func([]quarantine.Report) {},
			Lend:           func(structs.AccountID) int { return 7 },
			Admit:          func(AdmissionRequest) AdmissionReply { return AdmissionReply{} },
			ReachesTargets: func() bool { return true },
			ReportReach:    func(Member, bool) {},
			ForgetVM:       func(structs.VMID) {},
		},
	})
	return n
}

// run starts a mesh with further components.
func (n *testNode) run(t *testing.T, components ...kernel.Component) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	all := append([]kernel.Component{n.mesh}, components...)
	go func() { done <- kernel.New(slog.New(slog.DiscardHandler), all...).Run(ctx, time.Millisecond) }()
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(n.stop)
}

func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

func haveHeardFrom(nodes []*testNode, count int) bool {
	for _, n := range nodes {
		n.mu.Lock()
		senders := len(n.senders)
		n.mu.Unlock()
		if senders != count {
			return false
		}
	}
	return true
}

// VMs that start together must all receive digests from one another, also if the
// store is down and the members can't be read from it.
func TestEveryVMReceivesDigestsFromEveryOther(t *testing.T) {
	for name, faults := range map[string]rows.Faults{"store": {}, "no store": {IsDown: true}} {
		t.Run(name, func(t *testing.T) {
			store := rows.New()
			store.SetFaults(faults)
			nodes := startNodes(t, store, 9)
			waitUntil(t, "every VM hears from every other", func() bool { return haveHeardFrom(nodes, len(nodes)-1) })
		})
	}
}

// A configuration that reaches one VM must reach all VMs, and an older one must be
// rejected.
func TestNewerConfigurationReachesAllVMs(t *testing.T) {
	nodes := startNodes(t, rows.New(), 5)
	waitUntil(t, "every VM hears from every other", func() bool { return haveHeardFrom(nodes, len(nodes)-1) })
	isAccepted, err := nodes[4].mesh.opts.Config.UpdateIfNewer([]byte("12"))
	assert.NilError(t, err)
	assert.Assert(t, isAccepted)
	waitUntil(t, "every VM has the configuration", func() bool {
		for _, n := range nodes {
			if n.mesh.opts.Config.Version() != 12 {
				return false
			}
		}
		return true
	})
	isAccepted, err = nodes[0].mesh.opts.Config.UpdateIfNewer([]byte("9"))
	assert.NilError(t, err)
	assert.Assert(t, !isAccepted)
}

// Calls that another VM relays to the store must return the store's own error
// types.
func TestRelayedCallsKeepStoreErrors(t *testing.T) {
	store := rows.New()
	nodes := startNodes(t, store, 2)
	waitUntil(t, "every VM hears from every other", func() bool { return haveHeardFrom(nodes, len(nodes)-1) })
	via := nodes[0].mesh.StoreVia("vm-1")
	key := rowstore.Key{Table: "t", Key: "k"}
	tx := rowstore.Tx{Expect: []rowstore.Expectation{{Key: key}}, Put: []rowstore.Put{{Key: key, Value: []byte("v")}}}
	version, err := via.Commit(context.Background(), tx)
	assert.NilError(t, err)
	_, err = via.Commit(context.Background(), tx)
	conflict := &rowstore.ConflictError{}
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Find(key).Version, version)
	row, err := rowstore.Get(context.Background(), via, key)
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "v")
	store.DropHistory()
	_, err = via.Watch(context.Background(), "t", 0, 0)
	historyGone := &rowstore.HistoryGoneError{}
	assert.Assert(t, errors.As(err, &historyGone))
	store.SetFaults(rows.Faults{IsDown: true})
	_, err = via.Commit(context.Background(), tx)
	unavailable := &rowstore.UnavailableError{}
	assert.Assert(t, errors.As(err, &unavailable))
	tokens, err := nodes[0].mesh.BorrowTokens(context.Background(), "vm-1", "account")
	assert.NilError(t, err)
	assert.Equal(t, tokens, 7)
}

// A VM that receives digests with a newer configuration from many peers at once
// must fetch it from only one of them.
func TestNewerConfigurationIsFetchedFromOnePeer(t *testing.T) {
	nodes := startNodes(t, rows.New(), 8)
	waitUntil(t, "every VM hears from every other", func() bool { return haveHeardFrom(nodes, 7) })
	for _, n := range nodes {
		_, err := n.mesh.opts.Config.UpdateIfNewer([]byte("1"))
		assert.NilError(t, err)
	}
	for _, n := range nodes[1:] {
		_, err := n.mesh.opts.Config.UpdateIfNewer([]byte("7"))
		assert.NilError(t, err)
	}
	waitUntil(t, "the last VM has the configuration", func() bool { return nodes[0].mesh.opts.Config.Version() == 7 })
	sum := uint64(0)
	for _, n := range nodes {
		sum += n.mesh.configsSent.Load()
	}
	assert.Equal(t, sum, uint64(1))
}

// Membership must be known as soon as the member table has been read, before
// memberTableTimeout.
func TestMembershipIsKnownOnceTheTableIsRead(t *testing.T) {
	delayed := &delayedStore{Store: rows.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := startNode(t, delayed, 0, listener, nil)
	assert.Assert(t, !n.mesh.IsMembershipKnown())
	delayed.isReachable.Store(true)
	waitUntil(t, "the member table is read", n.mesh.IsMembershipKnown)
	assert.Assert(t, time.Since(n.mesh.startedAt) < memberTableTimeout)
}

// Guards against two VMs acting as the home of one program: a call that its caller ends
// says nothing about the VM that was called.
func TestCallEndedByItsCallerKeepsTheHome(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	store := rows.New()
	var nodes []*testNode
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		n := prepareNode(store, i, listener, nil)
		wire.HandleUnary(n.mesh.server, "test.hang", func(context.Context, struct{}) (struct{}, error) { <-release; return struct{}{}, nil })
		n.run(t)
		nodes = append(nodes, n)
	}
	waitUntil(t, "digests", func() bool { return haveHeardFrom(nodes, 2) })
	mesh := nodes[0].mesh // the third VM is of the same region
	partition := ""
	for n := 0; partition == ""; n++ {
		if _, isSelf := mesh.Home(fmt.Sprint(n)); !isSelf {
			partition = fmt.Sprint(n)
		}
	}
	home, _ := mesh.Home(partition)
	call := func(ctx context.Context) structs.VMID {
		assert.Assert(t, mesh.CallHome(ctx, home, "test.hang", struct{}{}, &struct{}{}) != nil)
		now, _ := mesh.Home(partition)
		return now
	}
	canceled, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	assert.Equal(t, call(canceled), home)
	short, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
	defer cancel()
	withinShort, cancel := wire.WithReplyTimeout(short, time.Second)
	defer cancel()
	assert.Equal(t, call(withinShort), home)
	enough, cancel := wire.WithReplyTimeout(t.Context(), 150*time.Millisecond)
	defer cancel()
	assert.Assert(t, call(enough) != home, "a VM that does not reply in time is still the home")
}

// Guards against a stop that cuts the calls of peers, whose outcome is unknown to them then.
func TestStopLetsCallsOfPeersEnd(t *testing.T) {
	store := rows.New()
	nodes := startNodes(t, store, 2)
	waitUntil(t, "both VMs hear from each other", func() bool { return haveHeardFrom(nodes, 1) })
	store.SetFaults(rows.Faults{Delay: 100 * time.Millisecond})
	result := make(chan error, 1)
	calls := store.Calls()
	go func() {
		_, err := nodes[1].mesh.StoreVia("vm-0").Commit(t.Context(), rowstore.Tx{Put: []rowstore.Put{{Key: rowstore.Key{Table: "t", Key: "k"}}}})
		result <- err
	}()
	waitUntil(t, "in progress", func() bool { return store.Calls() > calls })
	nodes[0].stop()
	assert.NilError(t, <-result)
}

// Guards against a peer of an earlier version that can't read a compressed configuration, and
// against one whose answer this VM can't read.
func TestLargeConfigurationIsFetchedFromAnyPeer(t *testing.T) {
	nodes := startNodes(t, rows.New(), 2)
	waitUntil(t, "digests", func() bool { return haveHeardFrom(nodes, 1) })
	raw := "8" + strings.Repeat(" ", 4*minPackedBytes)
	_, err := nodes[0].mesh.opts.Config.UpdateIfNewer([]byte(raw))
	assert.NilError(t, err)
	peer := nodes[0].mesh.opts.Self.Address
	var earlier routing.Document
	assert.NilError(t, nodes[1].mesh.call(t.Context(), peer, MethodConfig, struct{}{}, &earlier))
	assert.Equal(t, string(earlier.Raw), raw)
	var reply ConfigReply
	assert.NilError(t, nodes[1].mesh.call(t.Context(), peer, MethodConfig, ConfigQuery{AcceptsPacked: true}, &reply))
	assert.Assert(t, len(reply.Raw) == 0 && len(reply.Packed) < len(raw)/10)
	assert.NilError(t, reply.unpack())
	assert.Equal(t, string(reply.Raw), raw)
	encoded, err := msgpack.Marshal(earlier)
	assert.NilError(t, err)
	reply = ConfigReply{}
	assert.NilError(t, msgpack.Unmarshal(encoded, &reply))
	assert.NilError(t, reply.unpack())
	assert.Equal(t, string(reply.Raw), raw)
}

// Guards against a process that is taken for ended: an answer to a call that was made to an
// earlier process of a VM must not bring that process back.
func TestLateAnswerOfEarlierProcessChangesNoMember(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	mesh := prepareNode(rows.New(), 0, listener, nil).mesh
	earlier, later := Member{VM: "vm-9", Incarnation: "vm-9#1"}, Member{VM: "vm-9", Incarnation: "vm-9#2"}
	mesh.recordAlive(earlier)
	mesh.recordAlive(later)
	mesh.recordAnswer(earlier)
	assert.Equal(t, mesh.Members()[0].Incarnation, later.Incarnation)
}
