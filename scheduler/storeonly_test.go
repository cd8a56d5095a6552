package scheduler

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/scheduler/storeonly"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// owners is a few stores of one domain, with what their journals acknowledged.
type owners struct {
	t     *testing.T
	draw  func(int) int
	nodes []*ownerNode

	mu    sync.Mutex
	acked map[structs.Slot]int // records acknowledged for each slot

	reports sync.Mutex
	faults  map[string]int
	err     error
}

type ownerNode struct {
	*node
	serving map[structs.Slot]structs.Epoch // recovered; guarded by owners.mu
}

func (o *owners) count(name string) {
	o.reports.Lock()
	defer o.reports.Unlock()
	o.faults[name]++
}

func (o *owners) fail(format string, args ...any) {
	o.reports.Lock()
	defer o.reports.Unlock()
	if o.err == nil {
		o.err = fmt.Errorf(format, args...)
	}
}

func (o *owners) start(site *site, name string, lease time.Duration) {
	daemon := testSettings(name + ":1")
	daemon.Lease.Duration = settings.Duration(lease)
	n := &ownerNode{node: &node{done: make(chan error, 1)}, serving: make(map[structs.Slot]structs.Epoch)}
	way := view{site.platform, &n.cut, &n.lost}
	log := slog.New(slog.DiscardHandler)
	n.store = storeonly.New(storeonly.Options{
		Settings: daemon, Incarnation: structs.Incarnation(name),
		Table: fakeTable{way}, Objects: fakeObjects{way}, Log: log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	k := kernel.New(log, n.store)
	go func() { n.done <- k.Run(ctx, time.Minute) }()
	k.Go("test.changes", func(ctx context.Context) error { return o.follow(ctx, n) })
	o.nodes = append(o.nodes, n)
}

// follow recovers each slot that a store gains and checks that nothing
// acknowledged is missing.
func (o *owners) follow(ctx context.Context, n *ownerNode) error {
	for {
		select {
		case change := <-n.store.Changes():
			o.changed(ctx, n, change)
		case <-ctx.Done():
			return nil
		}
	}
}

func (o *owners) changed(ctx context.Context, n *ownerNode, change journal.SlotChange) {
	if !change.IsHeld {
		o.mu.Lock()
		delete(n.serving, change.Slot)
		o.mu.Unlock()
		return
	}
	records, err := n.store.Recover(ctx, change.Slot, change.Epoch)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count("succession")
	known := make(map[uint64]bool)
	for _, r := range records {
		known[r.Seq] = true
	}
	if len(known) < o.acked[change.Slot] {
		o.fail("slot %d epoch %d: %d records of %d acknowledged", change.Slot, change.Epoch, len(known), o.acked[change.Slot])
	}
	n.serving[change.Slot] = change.Epoch
}

// check asserts that no slot has two owners now.
func (o *owners) check() {
	for slot := range structs.Slot(testSlots) {
		var holders []string
		for _, n := range o.nodes {
			if _, held := n.store.HeldEpoch(slot); held {
				holders = append(holders, string(n.store.DumpState().(storeonly.State).Incarnation))
			}
		}
		if len(holders) > 1 {
			o.fail("slot %d is owned by %v", slot, holders)
		}
	}
}

// append writes one record through a store that serves the slot.
func (o *owners) append(seq uint64) {
	n := o.nodes[o.draw(len(o.nodes))]
	slot := structs.Slot(o.draw(testSlots))
	o.mu.Lock()
	epoch, serving := n.serving[slot]
	o.mu.Unlock()
	if !serving {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	record := journal.Record{Slot: slot, Epoch: epoch, Program: "north/p", Seq: seq, Kind: journal.KindTurn}
	if err := n.store.Append(ctx, []journal.Record{record}); err == nil {
		o.mu.Lock()
		o.acked[slot]++
		o.mu.Unlock()
		o.count("acknowledged")
	}
}

func (o *owners) disturb() {
	n := o.nodes[o.draw(len(o.nodes))]
	switch o.draw(40) {
	case 0:
		n.cut.Store(true)
		o.count("cut")
	case 1, 2:
		n.cut.Store(false)
	case 3:
		n.lost.Store(true)
		o.count("answers lost")
	case 4, 5:
		n.lost.Store(false)
	}
}

// runOwners plays stores with the given leases for some steps of 20 ms.
func runOwners(t *testing.T, seed uint64, steps int, leases ...time.Duration) *owners {
	source := rand.New(rand.NewPCG(seed, 2))
	o := &owners{t: t, draw: source.IntN, acked: make(map[structs.Slot]int), faults: make(map[string]int)}
	virtualTime(t, func(*testing.T) {
		site := newSite()
		for i, lease := range leases {
			o.start(site, fmt.Sprintf("n%d", i), lease)
		}
		for step := range steps {
			o.disturb()
			o.append(uint64(step) + 1)
			time.Sleep(20 * time.Millisecond)
			o.check()
		}
		for _, n := range o.nodes {
			n.cut.Store(false)
			n.lost.Store(false)
			n.cancel()
			<-n.done
		}
	})
	return o
}

func env(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

func TestSoakStoreOwners(t *testing.T) {
	const lease = 3 * time.Second
	first, seeds, steps := env("ENDIVE_SOAK_FIRST", 1), env("ENDIVE_SOAK_SEEDS", 4), env("ENDIVE_SOAK_STEPS", 2000)
	total := make(map[string]int)
	for seed := first; seed < first+seeds; seed++ {
		o := runOwners(t, uint64(seed), steps, lease, lease, lease)
		assert.NilError(t, o.err, "seed %d", seed)
		for name, n := range o.faults {
			total[name] += n
		}
	}
	t.Logf("%d seeds of %d steps, no violation; %v", seeds, steps, total)
}

// A member that waits less than the lease of the others takes slots whose
// owner still acts; the check must notice.
func TestShortWaitIsNoticed(t *testing.T) {
	count := 0
	for seed := range uint64(4) {
		o := runOwners(t, seed+1, 2000, 3*time.Second, 3*time.Second, 100*time.Millisecond)
		if o.err != nil {
			count++
		}
	}
	assert.Assert(t, count > 0)
	t.Logf("noticed in %d seeds of 4", count)
}
