package fleet

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/rowstore"
)

const sharedTestTable = "shared"

// gatedStore is a VM's path to the store, which a test can cut, and counts the rows that were
// read over it.
type gatedStore struct {
	rowstore.Store

	mu    sync.Mutex
	isCut bool
	rows  int
}

func (s *gatedStore) setCut(isCut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCut = isCut
}

func (s *gatedStore) record(page rowstore.Page, err error) (rowstore.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isCut {
		return rowstore.Page{}, &rowstore.UnavailableError{Cause: &rows.FaultError{Fault: "cut"}}
	}
	s.rows += len(page.Rows)
	return page, err
}

func (s *gatedStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	return s.record(s.Store.Watch(ctx, table, after, wait))
}

func (s *gatedStore) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	return s.record(s.Store.Scan(ctx, r))
}

// tableFollower is a VM that follows the shared table.
type tableFollower struct {
	*testNode
	store *gatedStore

	mu   sync.Mutex
	rows map[string]string
}

func (f *tableFollower) apply(update rowstore.TableUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.IsFull {
		clear(f.rows)
	}
	for _, row := range update.Rows {
		delete(f.rows, row.Key.Key)
		if !row.IsDeleted {
			f.rows[row.Key.Key] = string(row.Value)
		}
	}
}

func (f *tableFollower) value(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rows[key]
}

// startFollowers starts VMs that follow the shared table, of two regions by turns.
func startFollowers(t *testing.T, store *rows.Store, count int) []*tableFollower {
	t.Helper()
	return startFollowersBehind(t, store, count, func(l net.Listener) net.Listener { return l })
}

// startFollowersBehind is startFollowers with the listeners that wrap returns.
func startFollowersBehind(t *testing.T, store *rows.Store, count int, wrap func(net.Listener) net.Listener) []*tableFollower {
	t.Helper()
	var followers []*tableFollower
	var seeds []string
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		seeds = append(seeds, listener.Addr().String())
		f := &tableFollower{store: &gatedStore{Store: store}, rows: make(map[string]string)}
		f.testNode = prepareNode(store, i, wrap(listener), seeds[:min(len(seeds), 3)])
		shared := f.mesh.ShareTable(sharedTestTable, f.store)
		f.run(t, &followWorker{shared: shared, report: f.apply})
		followers = append(followers, f)
	}
	waitUntil(t, "members", func() bool {
		for _, f := range followers {
			if f.mesh.PeerCount() != count-1 {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * sharedWait) // reads of the store that began before
	return followers
}

// followWorker is a component that follows a shared table.
type followWorker struct {
	shared *SharedTable
	report func(rowstore.TableUpdate)
}

func (w *followWorker) Name() string { return "follow" }

func (w *followWorker) Start(_ context.Context, k *kernel.Kernel) error {
	opts := rowstore.FollowOptions{
		Table: sharedTestTable, Wait: time.Second, Pause: func() time.Duration { return 50 * time.Millisecond },
		RetryDelay: 100 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
	}
	k.Go("follow", func(ctx context.Context) error {
		_ = w.shared.Follow(ctx, opts, w.report)
		return nil
	})
	return nil
}

func (w *followWorker) Stop(context.Context) error { return nil }

// putAndAwait changes a row and returns how long it takes until all of the VMs have it.
func putAndAwait(t *testing.T, store *rows.Store, followers []*tableFollower, key, value string) time.Duration {
	t.Helper()
	start := time.Now()
	store.Put(rowstore.Key{Table: sharedTestTable, Key: key}, []byte(value))
	waitUntil(t, "row "+key+" everywhere", func() bool {
		for _, f := range followers {
			if f.value(key) != value {
				return false
			}
		}
		return true
	})
	return time.Since(start)
}

// sharedBound is the time in which a change is known everywhere on the platform's strictest
// sites.
const sharedBound = 2500 * time.Millisecond

// Guards against a change that does not arrive, or a deleted row that stays, when the VMs at
// which others follow the table are lost or are cut off from the store.
func TestSharedTableSurvivesTheLossOfItsSources(t *testing.T) {
	const count = 20
	store := rows.New()
	store.Put(rowstore.Key{Table: sharedTestTable, Key: "first"}, []byte("1"))
	followers := startFollowers(t, store, count)
	large := strings.Repeat("a large value ", 10_000)
	assert.Assert(t, putAndAwait(t, store, followers, "large", large) < sharedBound)
	readers := 0
	for _, f := range followers {
		if len(f.mesh.tableSources()) == 0 {
			readers++
			f.store.setCut(true)
		}
	}
	assert.Equal(t, readers, 2*tableRoots)
	var inTouch, running []*tableFollower
	for _, f := range followers {
		if len(f.mesh.tableSources()) > 0 {
			inTouch = append(inTouch, f)
		}
	}
	took := putAndAwait(t, store, inTouch, "cut", "2")
	t.Logf("known after %s with all roots cut off from the store", took)
	assert.Assert(t, took < sharedBound)
	for _, f := range followers {
		f.store.setCut(false)
		if len(f.mesh.tableSources()) == 0 {
			f.stop()
			continue
		}
		running = append(running, f)
	}
	took = putAndAwait(t, store, running, "lost", "3")
	t.Logf("known after %s with all roots lost", took)
	assert.Assert(t, took < sharedBound)
	store.Delete(rowstore.Key{Table: sharedTestTable, Key: "first"})
	waitUntil(t, "deleted row gone", func() bool {
		for _, f := range running {
			if f.value("first") != "" {
				return false
			}
		}
		return true
	})
}

// rowsRead returns the number of rows that VMs have read from the store.
func rowsRead(followers []*tableFollower) int {
	total := 0
	for _, f := range followers {
		f.store.mu.Lock()
		total += f.store.rows
		f.store.mu.Unlock()
	}
	return total
}

// Guards against a number of VMs reading the store that grows with the fleet, also for small
// changes in quick succession.
func TestChangesOfASharedTableAreReadByTheRoots(t *testing.T) {
	const count, changes = 20, 20
	store := rows.New()
	store.Put(rowstore.Key{Table: sharedTestTable, Key: "0"}, []byte("0"))
	followers := startFollowers(t, store, count)
	before := rowsRead(followers)
	for i := range changes {
		putAndAwait(t, store, followers, fmt.Sprint(i), fmt.Sprint("value ", i))
	}
	total := rowsRead(followers) - before
	assert.Assert(t, total <= 2*tableRoots*changes, "%d rows read of %d changes", total, changes)
}

// slowListener accepts connections that send 16 KB each 20 ms.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return slowConn{conn}, err
}

type slowConn struct{ net.Conn }

func (c slowConn) Write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		time.Sleep(20 * time.Millisecond)
		n, err := c.Conn.Write(p[:min(len(p), 16<<10)])
		written, p = written+n, p[n:]
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Guards against a large change whose transfer between two VMs takes longer than a VM waits for
// an answer: it would be discarded, and read again from the store by all VMs.
func TestLargeChangeBetweenVMsIsNotDiscarded(t *testing.T) {
	const count, bytes = 18, 1 << 20 // 1.3 s
	store := rows.New()
	store.Put(rowstore.Key{Table: sharedTestTable, Key: "first"}, []byte("1"))
	followers := startFollowersBehind(t, store, count, func(l net.Listener) net.Listener { return slowListener{l} })
	before := rowsRead(followers)
	random := rand.New(rand.NewPCG(1, 2))
	value := make([]byte, bytes) // does not compress
	for i := range value {
		value[i] = byte(random.Uint32())
	}
	took := putAndAwait(t, store, followers, "large", string(value))
	t.Logf("known after %s", took)
	assert.Assert(t, rowsRead(followers)-before <= 2*tableRoots, "%d reads of the store", rowsRead(followers)-before)
}
