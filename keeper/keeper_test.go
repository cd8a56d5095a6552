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

// withDomain runs a test in virtual time on the given VMs.
func withDomain(t *testing.T, vms []string, test func(*testing.T, *domain)) {
	synctest.Test(t, func(t *testing.T) {
		d := newDomain(t)
		for _, vm := range vms {
			d.start(vm, 1)
		}
		defer d.stopAll()
		test(t, d)
	})
}

var three = []string{"a", "b", "c"}

func TestEmptyDomainIsShared(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		for vm, n := range d.owners() {
			assert.Assert(t, n >= 10 && n <= 11, "%s holds %d", vm, n)
		}
		for _, vm := range d.vms() {
			r := d.running[vm]
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

// A scheduler that started before its peers is killed as soon as the slots are
// owned, and its VM stays listed. Its groups must have had a whole witness set,
// or none of its peers could ever revoke them.
func TestFirstOwnerIsKilledAtOnce(t *testing.T) {
	withDomain(t, []string{"a"}, func(t *testing.T, d *domain) {
		d.set(func() { d.listed = three })
		time.Sleep(2 * time.Second)
		d.start("b", 1)
		d.start("c", 1)
		d.waitOwned(20 * time.Second)
		d.kill("a")
		d.waitOwned(20 * time.Second)
	})
}

// A healthy owner whose row was marked by a suspicious peer takes the next epoch
// itself, and its work goes on.
func TestSuspectedOwnerLosesNothing(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(2 * time.Minute) // the groups are balanced by then
		owner := d.running["a"]
		owner.mu.Lock()
		before := owner.losses
		owner.mu.Unlock()
		slot, epoch := heldSlot(t, d, "a")
		d.set(func() { markRow(t, d, owner.keeper.leaseKey(owner.keeper.groupOf(slot))) })
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

// The same holds for one that is leaving: it keeps its groups until each of
// their slots was given up.
func TestSuspectedLeavingOwnerLosesNothing(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(2 * time.Minute) // the groups are balanced by then
		owner := d.running["a"]
		slot, epoch := heldSlot(t, d, "a")
		owner.keeper.StopAcquiring()
		d.set(func() { markRow(t, d, owner.keeper.leaseKey(owner.keeper.groupOf(slot))) })
		time.Sleep(10 * time.Second)
		now, held := owner.keeper.HeldEpoch(slot)
		assert.Assert(t, held)
		assert.Equal(t, now, epoch+1)
		assert.NilError(t, owner.keeper.Release(t.Context(), slot))
		d.waitOwned(20 * time.Second)
	})
}

// markRow marks the epoch of a group's row, as a peer would.
func markRow(t *testing.T, d *domain, key string) {
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

func TestSingleVMServesWithAndWithoutStore(t *testing.T) {
	withDomain(t, []string{"a"}, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		d.set(func() { d.down = true })
		time.Sleep(time.Minute)
		assert.Equal(t, d.total(), testSlots)
	})
}

func TestTwoOfThreeServeWithoutStore(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		before := d.owners()
		d.set(func() { d.down = true })
		d.kill("c")
		time.Sleep(5 * time.Minute)
		after := d.owners()
		assert.Equal(t, after["a"], before["a"])
		assert.Equal(t, after["b"], before["b"])
		slot, epoch := heldSlot(t, d, "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.NilError(t, d.running["a"].keeper.Append(ctx, []journal.Record{turn(slot, epoch, "d/1", 1)}))
	})
}

// An owner that reaches its neighbours but not the store serves on.
func TestOwnerCutFromStoreServesOn(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		before := d.owners()["a"]
		slot, epoch := heldSlot(t, d, "a")
		d.set(func() { d.storeCut = "a" })
		for seq := uint64(1); seq <= 60; seq++ {
			time.Sleep(5 * time.Second)
			assert.NilError(t, d.running["a"].keeper.Append(t.Context(), []journal.Record{turn(slot, epoch, "d/1", seq)}))
		}
		assert.Equal(t, d.owners()["a"], before)
	})
}

func heldSlot(t *testing.T, d *domain, vm string) (structs.Slot, structs.Epoch) {
	for slot := range structs.Slot(testSlots) {
		if epoch, held := d.running[vm].keeper.HeldEpoch(slot); held {
			return slot, epoch
		}
	}
	t.Fatalf("%s holds no slot", vm)
	return 0, 0
}

// A killed owner's records, acknowledged while the store was down, are all
// recovered by its successor.
func TestSuccessorRecoversUnstoredTail(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		slot, epoch := heldSlot(t, d, "a")
		old := d.running["a"].keeper
		assert.NilError(t, old.Append(t.Context(), []journal.Record{turn(slot, epoch, "d/1", 1)}))
		time.Sleep(time.Second)
		d.set(func() { d.down = true })
		for seq := uint64(2); seq <= 20; seq++ {
			assert.NilError(t, old.Append(t.Context(), []journal.Record{turn(slot, epoch, "d/1", seq)}))
		}
		d.set(func() { d.cut["a"] = true })
		d.kill("a")
		d.set(func() { d.down, d.gone["a"] = false, true })
		d.waitOwned(time.Minute)
		for _, vm := range d.vms() {
			k := d.running[vm].keeper
			if now, held := k.HeldEpoch(slot); held {
				records, err := k.Recover(t.Context(), slot, now)
				assert.NilError(t, err)
				assert.Equal(t, len(records), 20)
			}
		}
	})
}

// A paused process's appends fail once a successor has its epoch.
func TestCutOwnerIsFenced(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		slot, epoch := heldSlot(t, d, "a")
		d.set(func() { d.cut["a"] = true })
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		err := d.running["a"].keeper.Append(ctx, []journal.Record{turn(slot, epoch, "d/1", 1)})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(2 * time.Second)
		assert.Equal(t, d.owners()["a"], 0)
		d.waitOwned(time.Minute)
		d.set(func() { delete(d.cut, "a") })
		time.Sleep(time.Minute)
		var fenced *journal.FencedError
		err = d.running["a"].keeper.Append(t.Context(), []journal.Record{turn(slot, epoch, "d/1", 1)})
		assert.Assert(t, errors.As(err, &fenced))
		assert.Equal(t, d.total(), testSlots)
	})
}

func TestReleaseHandsOverWithoutWait(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		slot, epoch := heldSlot(t, d, "a")
		k := d.running["a"].keeper
		assert.NilError(t, k.Append(t.Context(), []journal.Record{turn(slot, epoch, "d/1", 1)}))
		assert.NilError(t, k.ReleaseAll(t.Context()))
		assert.Equal(t, d.owners()["a"], 0)
		d.waitOwned(10 * time.Second)
		for _, vm := range []string{"b", "c"} {
			if now, held := d.running[vm].keeper.HeldEpoch(slot); held {
				records, err := d.running[vm].keeper.Recover(t.Context(), slot, now)
				assert.NilError(t, err)
				assert.Equal(t, len(records), 1)
			}
		}
	})
}

// All schedulers are restarted on their VMs without a release.
func TestRestartOfTheWholeDomain(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		d.stopAll()
		for _, vm := range three {
			d.start(vm, 2)
		}
		d.waitOwned(time.Minute)
	})
}

func TestFullTailKeepsNothing(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		slot, epoch := heldSlot(t, d, "a")
		d.set(func() { d.down = true })
		big := turn(slot, epoch, "d/1", 1)
		big.Body = make([]byte, 900<<10)
		assert.NilError(t, d.running["a"].keeper.Append(t.Context(), []journal.Record{big}))
		big.Seq = 2
		var full *journal.FullError
		assert.Assert(t, errors.As(d.running["a"].keeper.Append(t.Context(), []journal.Record{big}), &full))
		d.set(func() { d.down = false })
		time.Sleep(10 * time.Second)
		assert.NilError(t, d.running["a"].keeper.Append(t.Context(), []journal.Record{big}))
	})
}

// Answers lost after the effect, and many objects, lose and double nothing.
func TestLostAnswersAndCompaction(t *testing.T) {
	withDomain(t, three, func(t *testing.T, d *domain) {
		d.waitOwned(20 * time.Second)
		time.Sleep(time.Minute)
		d.set(func() { d.lose = 3 })
		slot, epoch := heldSlot(t, d, "a")
		k := d.running["a"].keeper
		for seq := uint64(1); seq <= 3*maxObjects; seq++ {
			assert.NilError(t, k.Append(t.Context(), []journal.Record{turn(slot, epoch, "d/1", seq)}))
			time.Sleep(500 * time.Millisecond)
		}
		now, held := k.HeldEpoch(slot)
		assert.Assert(t, held)
		records, err := k.Recover(t.Context(), slot, now)
		assert.NilError(t, err)
		assert.Equal(t, len(records), 3*maxObjects)

		// Only what an index lists is kept, and all of it.
		unlisted, err := k.unlisted(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, len(unlisted) >= maxObjects)
		suspects := k.sweep(t.Context(), nil, unlisted)
		assert.Equal(t, len(suspects), len(unlisted))
		assert.Equal(t, len(k.sweep(t.Context(), suspects, unlisted)), 0)
		unlisted, err = k.unlisted(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(unlisted), 0)
		again, err := k.Recover(t.Context(), slot, now)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, records)
	})
}

// The same over real connections and the wire protocol.
func TestOverLoopback(t *testing.T) {
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
					record := turn(slot, epoch, fmt.Sprint("d/", slot), 1)
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
