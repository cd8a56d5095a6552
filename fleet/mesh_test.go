package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// node is one VM's mesh with what it has heard.
type node struct {
	mesh *Mesh
	stop func()

	mu    sync.Mutex
	heard map[structs.VMID]int
}

func decodeVersion(raw []byte) (*routing.Table, error) {
	var version uint64
	_, err := fmt.Sscan(string(raw), &version)
	return routing.NewTable(routing.TableContents{Version: version}), err
}

// startNodes starts meshes that begin together with the same three seeds.
func startNodes(t *testing.T, store *rows.Store, count int) []*node {
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
	var nodes []*node
	for i, listener := range listeners {
		nodes = append(nodes, startNode(t, store, i, listener, seeds))
	}
	return nodes
}

// latecomer is a store that some VMs don't reach at first.
type latecomer struct {
	rowstore.Store
	reached atomic.Bool
}

func (s *latecomer) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	if !s.reached.Load() {
		return rowstore.Page{}, &rowstore.UnavailableError{Cause: &rows.FaultError{Fault: "not reached yet"}}
	}
	return s.Store.Scan(ctx, r)
}

// Two groups of VMs, one that met through the store and one that met through
// its seeds, find each other.
func TestGroupsMeet(t *testing.T) {
	store := rows.New()
	late := &latecomer{Store: store}
	var nodes []*node
	for i := range 6 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		if i < 3 {
			nodes = append(nodes, startNode(t, store, i, listener, nil))
			continue
		}
		nodes = append(nodes, startNode(t, late, i, listener, []string{nodes[len(nodes)-1].mesh.opts.Self.Address}[:min(1, i-3)]))
	}
	until(t, "the groups", func() bool { return allHeard(nodes[:3], 2) && allHeard(nodes[3:], 2) })
	late.reached.Store(true)
	until(t, "all hear of all", func() bool { return allHeard(nodes, 5) })
}

func startNode(t *testing.T, store rowstore.Store, i int, listener net.Listener, seeds []string) *node {
	n := &node{heard: make(map[structs.VMID]int)}
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
				n.heard[d.From.VM]++
			},
			Lend:     func(structs.AccountID) int { return 7 },
			Admit:    func(AdmissionRequest) AdmissionReply { return AdmissionReply{} },
			ForgetVM: func(structs.VMID) {},
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- kernel.New(log, n.mesh).Run(ctx, time.Millisecond) }()
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	t.Cleanup(n.stop)
	return n
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

func allHeard(nodes []*node, count int) bool {
	for _, n := range nodes {
		n.mu.Lock()
		heard := len(n.heard)
		n.mu.Unlock()
		if heard != count {
			return false
		}
	}
	return true
}

// VMs that start together hear of each other, and of each other's news, all of
// them: also with no store to read the members from.
func TestAllHearOfAll(t *testing.T) {
	for name, faults := range map[string]rows.Faults{"store": {}, "no store": {Down: true}} {
		t.Run(name, func(t *testing.T) {
			store := rows.New()
			store.SetFaults(faults)
			nodes := startNodes(t, store, 9)
			until(t, "all hear of all", func() bool { return allHeard(nodes, len(nodes)-1) })
		})
	}
}

// A configuration that reaches one VM reaches all, and an older one none.
func TestConfigurationSpreads(t *testing.T) {
	nodes := startNodes(t, rows.New(), 5)
	until(t, "all hear of all", func() bool { return allHeard(nodes, len(nodes)-1) })
	taken, err := nodes[4].mesh.opts.Config.UpdateIfNewer([]byte("12"))
	assert.NilError(t, err)
	assert.Assert(t, taken)
	until(t, "all have it", func() bool {
		for _, n := range nodes {
			if n.mesh.opts.Config.Version() != 12 {
				return false
			}
		}
		return true
	})
	taken, err = nodes[0].mesh.opts.Config.UpdateIfNewer([]byte("9"))
	assert.NilError(t, err)
	assert.Assert(t, !taken)
}

// Calls to the store go through another VM, with the store's own errors.
func TestRelayedCalls(t *testing.T) {
	store := rows.New()
	nodes := startNodes(t, store, 2)
	until(t, "all hear of all", func() bool { return allHeard(nodes, len(nodes)-1) })
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
	store.Forget()
	_, err = via.Watch(context.Background(), "t", 0, 0)
	gone := &rowstore.HistoryGoneError{}
	assert.Assert(t, errors.As(err, &gone))
	store.SetFaults(rows.Faults{Down: true})
	_, err = via.Commit(context.Background(), tx)
	unavailable := &rowstore.UnavailableError{}
	assert.Assert(t, errors.As(err, &unavailable))
	tokens, err := nodes[0].mesh.BorrowTokens(context.Background(), "vm-1", "account")
	assert.NilError(t, err)
	assert.Equal(t, tokens, 7)
}

// A VM that hears of a newer configuration from many peers at once asks one of
// them, and none if the store tells it meanwhile.
func TestConfigIsFetchedOnce(t *testing.T) {
	nodes := startNodes(t, rows.New(), 8)
	until(t, "all hear of all", func() bool { return allHeard(nodes, 7) })
	for _, n := range nodes {
		_, err := n.mesh.opts.Config.UpdateIfNewer([]byte("1"))
		assert.NilError(t, err)
	}
	for _, n := range nodes[1:] {
		_, err := n.mesh.opts.Config.UpdateIfNewer([]byte("7"))
		assert.NilError(t, err)
	}
	until(t, "the last VM has it", func() bool { return nodes[0].mesh.opts.Config.Version() == 7 })
	sum := uint64(0)
	for _, n := range nodes {
		sum += n.mesh.configsSent.Load()
	}
	assert.Equal(t, sum, uint64(1))
}

// A VM knows its fleet once it has read the member table, or after a while without.
func TestFleetIsKnownWithTheTable(t *testing.T) {
	late := &latecomer{Store: rows.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := startNode(t, late, 0, listener, nil)
	assert.Assert(t, !n.mesh.IsMembershipKnown())
	late.reached.Store(true)
	until(t, "the table", n.mesh.IsMembershipKnown)
	assert.Assert(t, time.Since(n.mesh.began) < learnSpan)
}
