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

// storeOwners is a set of stores of one domain that compete for its slots, with the
// number of records that their journals acknowledged.
type storeOwners struct {
	t         *testing.T
	randomInt func(int) int
	nodes     []*ownerNode

	mu    sync.Mutex
	acked map[structs.Slot]int // records acknowledged for each slot

	countsMu sync.Mutex
	counts   map[string]int
	err      error
}

type ownerNode struct {
	*testNode
	serving map[structs.Slot]structs.Epoch // recovered slots; guarded by storeOwners.mu
}

func (o *storeOwners) count(name string) {
	o.countsMu.Lock()
	defer o.countsMu.Unlock()
	o.counts[name]++
}

func (o *storeOwners) fail(format string, args ...any) {
	o.countsMu.Lock()
	defer o.countsMu.Unlock()
	if o.err == nil {
		o.err = fmt.Errorf(format, args...)
	}
}

func (o *storeOwners) start(site *testSite, name string, lease time.Duration) {
	daemon := testSettings(name + ":1")
	daemon.Lease.Duration = settings.Duration(lease)
	n := &ownerNode{testNode: &testNode{done: make(chan error, 1)}, serving: make(map[structs.Slot]structs.Epoch)}
	platform := platformView{site.platform, &n.isCutOff, &n.losesReplies}
	log := slog.New(slog.DiscardHandler)
	n.store = storeonly.New(storeonly.Options{
		Settings: daemon, Incarnation: structs.Incarnation(name),
		Table: fakeTable{platform}, Objects: fakeObjects{platform}, Log: log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	k := kernel.New(log, n.store)
	go func() { n.done <- k.Run(ctx, time.Minute) }()
	k.Go("test.changes", func(ctx context.Context) error { return o.watchChanges(ctx, n) })
	o.nodes = append(o.nodes, n)
}

// watchChanges recovers each slot that a store gains and checks that no acknowledged
// record is missing.
func (o *storeOwners) watchChanges(ctx context.Context, n *ownerNode) error {
	for {
		select {
		case change := <-n.store.Changes():
			o.applyChange(ctx, n, change)
		case <-ctx.Done():
			return nil
		}
	}
}

func (o *storeOwners) applyChange(ctx context.Context, n *ownerNode, change journal.SlotChange) {
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
		o.fail("slot %d, epoch %d: recovered %d records of %d acknowledged", change.Slot, change.Epoch, len(known), o.acked[change.Slot])
	}
	n.serving[change.Slot] = change.Epoch
}

// checkSingleOwner checks that no slot has two owners at this time.
func (o *storeOwners) checkSingleOwner() {
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
func (o *storeOwners) append(seq uint64) {
	n := o.nodes[o.randomInt(len(o.nodes))]
	slot := structs.Slot(o.randomInt(testSlots))
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

func (o *storeOwners) injectFault() {
	n := o.nodes[o.randomInt(len(o.nodes))]
	switch o.randomInt(40) {
	case 0:
		n.isCutOff.Store(true)
		o.count("cut")
	case 1, 2:
		n.isCutOff.Store(false)
	case 3:
		n.losesReplies.Store(true)
		o.count("replies lost")
	case 4, 5:
		n.losesReplies.Store(false)
	}
}

// runStores runs one store for each lease duration, with random faults and writes, for
// a number of steps of 20 ms.
func runStores(t *testing.T, seed uint64, steps int, leases ...time.Duration) *storeOwners {
	rng := rand.New(rand.NewPCG(seed, 2))
	o := &storeOwners{t: t, randomInt: rng.IntN, acked: make(map[structs.Slot]int), counts: make(map[string]int)}
	virtualTime(t, func(*testing.T) {
		site := newTestSite()
		for i, lease := range leases {
			o.start(site, fmt.Sprintf("n%d", i), lease)
		}
		for step := range steps {
			o.injectFault()
			o.append(uint64(step) + 1)
			time.Sleep(20 * time.Millisecond)
			o.checkSingleOwner()
		}
		for _, n := range o.nodes {
			n.isCutOff.Store(false)
			n.losesReplies.Store(false)
			n.cancel()
			<-n.done
		}
	})
	return o
}

func envInt(name string, value int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return value
}

func TestSoakStoreOwners(t *testing.T) {
	const lease = 3 * time.Second
	first, seeds, steps := envInt("ENDIVE_SOAK_FIRST", 1), envInt("ENDIVE_SOAK_SEEDS", 4), envInt("ENDIVE_SOAK_STEPS", 2000)
	total := make(map[string]int)
	for seed := first; seed < first+seeds; seed++ {
		o := runStores(t, uint64(seed), steps, lease, lease, lease)
		assert.NilError(t, o.err, "seed %d", seed)
		for name, n := range o.counts {
			total[name] += n
		}
	}
	t.Logf("%d seeds of %d steps, no violation; %v", seeds, steps, total)
}

// A store whose lease is shorter than that of the others takes over slots while their
// owner still acts. The checks of runStores must detect this.
func TestShortLeaseWaitIsDetected(t *testing.T) {
	count := 0
	for seed := range uint64(4) {
		o := runStores(t, seed+1, 2000, 3*time.Second, 3*time.Second, 100*time.Millisecond)
		if o.err != nil {
			count++
		}
	}
	assert.Assert(t, count > 0)
	t.Logf("detected in %d seeds of 4", count)
}
