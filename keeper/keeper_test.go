package keeper

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// withDomain runs a test in virtual time, in a domain with a scheduler on each VM.
func withDomain(t *testing.T, vms []string, test func(*testing.T, *domain)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(t)
		for _, vm := range vms {
			d.startScheduler(vm, 1)
		}
		defer d.stopAll()
		test(t, d)
	})
}

var threeVMs = []string{"a", "b", "c"}

func TestSlotsOfANewDomainAreBalanced(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		for vm, n := range d.heldByVM() {
			assert.Assert(t, n >= 10 && n <= 11, "%s holds %d slots", vm, n)
		}
		for _, vm := range d.vms() {
			r := d.scheduler[vm]
			r.mu.Lock()
			for slot, epoch := range r.held {
				held, ok := r.keeper.HeldEpoch(slot)
				assert.Assert(t, ok)
				assert.Equal(t, held, epoch)
			}
			r.mu.Unlock()
		}
	})
}

// A scheduler that started before its peers is killed as soon as all slots are owned,
// and its VM stays listed. If its groups did not have a complete witness set from the
// start, its peers could never revoke them.
func TestFirstOwnerKilledAtOnceIsSucceeded(t *testing.T) {
	withDomain(t, nil, func(t *testing.T, d *domain) {
		d.update(func() { d.listed = threeVMs })
		d.startScheduler("a", 1)
		time.Sleep(2 * time.Second)
		d.startScheduler("b", 1)
		d.startScheduler("c", 1)
		d.waitOwned(20 * time.Second)
		d.kill("a")
		d.waitOwned(20 * time.Second)
	})
}

// A peer suspects a healthy owner and puts its row under revocation. The owner must take
// the next epoch itself and report no loss, so that its work continues.
func TestSuspectedOwnerKeepsItsSlots(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(2 * time.Minute) // the groups are balanced by then
		owner := d.scheduler["a"]
		owner.mu.Lock()
		before := owner.losses
		owner.mu.Unlock()
		slot, epoch := heldSlot(t, d, "a")
		d.update(func() { revokeRow(t, d, owner.keeper.leaseKey(owner.keeper.groupOf(slot))) })
		time.Sleep(10 * time.Second)
		now, held := owner.keeper.HeldEpoch(slot)
		assert.Assert(t, held)
		assert.Equal(t, now, epoch+1)
		owner.mu.Lock()
		defer owner.mu.Unlock()
		assert.Equal(t, owner.losses, before)
		assert.Equal(t, owner.held[slot], epoch+1)
	})
}

// The same with an owner that is leaving: it must keep its groups until each of their
// slots is released.
func TestSuspectedLeavingOwnerKeepsItsSlots(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(2 * time.Minute) // the groups are balanced by then
		owner := d.scheduler["a"]
		slot, epoch := heldSlot(t, d, "a")
		owner.keeper.StopAcquiring()
		d.update(func() { revokeRow(t, d, owner.keeper.leaseKey(owner.keeper.groupOf(slot))) })
		time.Sleep(10 * time.Second)
		now, held := owner.keeper.HeldEpoch(slot)
		assert.Assert(t, held)
		assert.Equal(t, now, epoch+1)
		assert.NilError(t, owner.keeper.Release(t.Context(), slot))
		d.waitOwned(20 * time.Second)
	})
}

// revokeRow puts a group's row under revocation, as a peer does that suspects the owner.
func revokeRow(t *testing.T, d *domain, key string) {
	t.Helper()
	row := d.rows[key]
	decoded, err := lease.DecodeRow(row.Value)
	assert.NilError(t, err)
	decoded.Revocation = &lease.Revocation{Epoch: decoded.Epoch, By: "b#1"}
	row.Value, err = decoded.Encode()
	assert.NilError(t, err)
	row.Version++
	d.rows[key] = row
}

func TestSingleVMKeepsItsSlotsWithoutStore(t *testing.T) {
	withDomain(t, []string{"a"}, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		d.update(func() { d.isStoreDown = true })
		time.Sleep(time.Minute)
		assert.Equal(t, d.heldSlots(), testSlots)
	})
}

func TestTwoOfThreeKeepTheirSlotsWithoutStore(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		before := d.heldByVM()
		d.update(func() { d.isStoreDown = true })
		d.kill("c")
		time.Sleep(5 * time.Minute)
		after := d.heldByVM()
		assert.Equal(t, after["a"], before["a"])
		assert.Equal(t, after["b"], before["b"])
		slot, epoch := heldSlot(t, d, "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.NilError(t, d.scheduler["a"].keeper.Append(ctx, []journal.Record{turnRecord(slot, epoch, "d/1", 1)}))
	})
}

// An owner that reaches its peers but not the store keeps its slots and completes
// appends for five minutes.
func TestOwnerCutOffFromStoreAppends(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		before := d.heldByVM()["a"]
		slot, epoch := heldSlot(t, d, "a")
		d.update(func() { d.storeCutOff = "a" })
		for seq := uint64(1); seq <= 60; seq++ {
			time.Sleep(5 * time.Second)
			assert.NilError(t, d.scheduler["a"].keeper.Append(t.Context(), []journal.Record{turnRecord(slot, epoch, "d/1", seq)}))
		}
		assert.Equal(t, d.heldByVM()["a"], before)
	})
}

func heldSlot(t *testing.T, d *domain, vm string) (structs.Slot, structs.Epoch) {
	for slot := range structs.Slot(testSlots) {
		if epoch, held := d.scheduler[vm].keeper.HeldEpoch(slot); held {
			return slot, epoch
		}
	}
	t.Fatalf("%s holds no slot", vm)
	return 0, 0
}

// Records are acknowledged while the store is down, and their owner is killed before
// it can store them. The successor must recover all of them.
func TestSuccessorRecoversUnstoredTail(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		slot, epoch := heldSlot(t, d, "a")
		old := d.scheduler["a"].keeper
		assert.NilError(t, old.Append(t.Context(), []journal.Record{turnRecord(slot, epoch, "d/1", 1)}))
		time.Sleep(time.Second)
		d.update(func() { d.isStoreDown = true })
		for seq := uint64(2); seq <= 20; seq++ {
			assert.NilError(t, old.Append(t.Context(), []journal.Record{turnRecord(slot, epoch, "d/1", seq)}))
		}
		d.update(func() { d.cutOff["a"] = true })
		d.kill("a")
		d.update(func() { d.isStoreDown, d.gone["a"] = false, true })
		d.waitOwned(time.Minute)
		for _, vm := range d.vms() {
			k := d.scheduler[vm].keeper
			if now, held := k.HeldEpoch(slot); held {
				records, err := k.Recover(t.Context(), slot, now)
				assert.NilError(t, err)
				assert.Equal(t, len(records), 20)
			}
		}
	})
}

// An owner is cut off from its peers and the store until successors have its slots.
// Its appends must fail, also when it is connected again.
func TestCutOffOwnerIsFenced(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		slot, epoch := heldSlot(t, d, "a")
		d.update(func() { d.cutOff["a"] = true })
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		err := d.scheduler["a"].keeper.Append(ctx, []journal.Record{turnRecord(slot, epoch, "d/1", 1)})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(2 * time.Second)
		assert.Equal(t, d.heldByVM()["a"], 0)
		d.waitOwned(time.Minute)
		d.update(func() { delete(d.cutOff, "a") })
		time.Sleep(time.Minute)
		var fenced *journal.FencedError
		err = d.scheduler["a"].keeper.Append(t.Context(), []journal.Record{turnRecord(slot, epoch, "d/1", 1)})
		assert.Assert(t, errors.As(err, &fenced))
		assert.Equal(t, d.heldSlots(), testSlots)
	})
}

func TestReleaseAllHandsOverAtOnce(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		slot, epoch := heldSlot(t, d, "a")
		k := d.scheduler["a"].keeper
		assert.NilError(t, k.Append(t.Context(), []journal.Record{turnRecord(slot, epoch, "d/1", 1)}))
		assert.NilError(t, k.ReleaseAll(t.Context()))
		assert.Equal(t, d.heldByVM()["a"], 0)
		d.waitOwned(10 * time.Second)
		for _, vm := range []string{"b", "c"} {
			if now, held := d.scheduler[vm].keeper.HeldEpoch(slot); held {
				records, err := d.scheduler[vm].keeper.Recover(t.Context(), slot, now)
				assert.NilError(t, err)
				assert.Equal(t, len(records), 1)
			}
		}
	})
}

// All schedulers are killed and restarted on their VMs at the same time, without a
// release, so that no witness of the old epochs is left.
func TestAllSlotsAreOwnedAfterARestartOfAllSchedulers(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		d.stopAll()
		for _, vm := range threeVMs {
			d.startScheduler(vm, 2)
		}
		d.waitOwned(time.Minute)
	})
}

func TestFullTailKeepsNothing(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(2 * time.Minute) // a slot that moves to balance the groups has a new epoch
		slot, epoch := heldSlot(t, d, "a")
		d.update(func() { d.isStoreDown = true })
		large := turnRecord(slot, epoch, "d/1", 1)
		large.Body = make([]byte, 900<<10)
		assert.NilError(t, d.scheduler["a"].keeper.Append(t.Context(), []journal.Record{large}))
		large.Seq = 2
		var full *journal.FullError
		assert.Assert(t, errors.As(d.scheduler["a"].keeper.Append(t.Context(), []journal.Record{large}), &full))
		d.update(func() { d.isStoreDown = false })
		time.Sleep(10 * time.Second)
		assert.NilError(t, d.scheduler["a"].keeper.Append(t.Context(), []journal.Record{large}))
	})
}

// Every third commit takes effect but loses its reply, and there are enough objects
// for several compactions. No record may be lost or duplicated.
func TestLostRepliesAndCompactionKeepAllRecords(t *testing.T) {
	withDomain(t, threeVMs, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		d.update(func() { d.loseEvery = 3 })
		slot, epoch := heldSlot(t, d, "a")
		k := d.scheduler["a"].keeper
		for seq := uint64(1); seq <= 3*maxObjects; seq++ {
			assert.NilError(t, k.Append(t.Context(), []journal.Record{turnRecord(slot, epoch, "d/1", seq)}))
			time.Sleep(500 * time.Millisecond)
		}
		now, held := k.HeldEpoch(slot)
		assert.Assert(t, held)
		records, err := k.Recover(t.Context(), slot, now)
		assert.NilError(t, err)
		assert.Equal(t, len(records), 3*maxObjects)

		// The sweep deletes all unlisted objects and no listed one.
		unlisted, err := k.unlistedObjects(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, len(unlisted) >= maxObjects)
		suspects := k.deleteUnlisted(t.Context(), nil, unlisted)
		assert.Equal(t, len(suspects), len(unlisted))
		assert.Equal(t, len(k.deleteUnlisted(t.Context(), suspects, unlisted)), 0)
		unlisted, err = k.unlistedObjects(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(unlisted), 0)
		again, err := k.Recover(t.Context(), slot, now)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, records)
	})
}

// Two Keepers acquire all slots and append a record over real connections and the
// wire protocol.
func TestAppendOverLoopback(t *testing.T) {
	d := newDomain(t)
	vms := []string{"a", "b"}
	client := wire.NewClient(wire.Options{})
	defer client.Close()
	servers := make(map[string]*wire.Server)
	addrs := make(map[string]string)
	listeners := make(map[string]net.Listener)
	for _, vm := range vms {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners[vm], addrs[vm] = listener, listener.Addr().String()
		servers[vm] = wire.NewServer(wire.Options{})
	}
	keepers := make(map[string]*Keeper)
	for _, vm := range vms {
		opts := d.options(vm, client)
		opts.Self.Addr = addrs[vm]
		opts.Peers = func() []Peer {
			var out []Peer
			for _, vm := range vms {
				out = append(out, Peer{VM: structs.VMID(vm), Addr: addrs[vm]})
			}
			return out
		}
		k, err := New(opts)
		assert.NilError(t, err)
		k.RegisterHandlers(servers[vm])
		go servers[vm].Serve(listeners[vm])
		defer servers[vm].Close()
		keepers[vm] = k
		defer runKeeper(t, k)()
	}
	deadline := time.After(30 * time.Second)
	for {
		n := 0
		for slot := range structs.Slot(testSlots) {
			for _, k := range keepers {
				if epoch, held := k.HeldEpoch(slot); held {
					n++
					record := turnRecord(slot, epoch, fmt.Sprint("d/", slot), 1)
					if n == testSlots {
						assert.NilError(t, k.Append(t.Context(), []journal.Record{record}))
						return
					}
				}
			}
		}
		select {
		case <-deadline:
			t.Fatalf("%d of %d slots held", n, testSlots)
		case <-time.After(50 * time.Millisecond):
		}
	}
}
