package scheduler

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// lapsingLeases is an ownership whose leases expire and are renewed under the same
// epoch, without a reported loss or gain of a slot.
type lapsingLeases struct {
	journal.Ownership
	journal.Journal
	isLapsed, lapsesAfterAppend atomic.Bool
}

func (o *lapsingLeases) HeldEpoch(slot structs.Slot) (structs.Epoch, bool) {
	epoch, held := o.Ownership.HeldEpoch(slot)
	return epoch, held && !o.isLapsed.Load()
}

func (o *lapsingLeases) Append(ctx context.Context, records []journal.Record) error {
	if o.isLapsed.Load() {
		return &journal.FencedError{Slot: records[0].Slot, Epoch: records[0].Epoch}
	}
	err := o.Journal.Append(ctx, records)
	if o.lapsesAfterAppend.Swap(false) {
		o.isLapsed.Store(true)
	}
	return err
}

// startLapsingNode starts a scheduler with lapsingLeases and a program.
func startLapsingNode(t *testing.T, s *testSite) (*testNode, *lapsingLeases) {
	leases := &lapsingLeases{}
	n := s.startWith("one", func(opts *Options) {
		leases.Ownership, leases.Journal = opts.Ownership, opts.Journal
		opts.Ownership, opts.Journal = leases, leases
	})
	waitForSlots(n)
	n.create(t, "north/p")
	return n, leases
}

// startPlainCall sends the first call of the program in the background.
func (n *testNode) startPlainCall() <-chan error {
	result := make(chan error, 1)
	go func() {
		_, err := n.sendCall(background, plainCall("north/p", 1, "/gravel"))
		result <- err
	}()
	return result
}

// A call that arrives while the lease has expired must wait for the renewal instead of
// being refused or sent.
func TestCallWaitsForLeaseRenewal(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		n, leases := startLapsingNode(t, site)
		leases.isLapsed.Store(true)
		result := n.startPlainCall()
		time.Sleep(5 * time.Second)
		assert.Equal(t, site.targets["o"].requests(), 0)
		leases.isLapsed.Store(false)
		assert.NilError(t, <-result)
		assert.Equal(t, site.targets["o"].requests(), 1)
		n.stop(t)
	})
}

// The lease expires between the write of a call's intent and its dispatch. The call
// must be sent exactly once after the renewal, or not at all if its program ends before
// that.
func TestDeferredCallIsSentAfterLeaseRenewal(t *testing.T) {
	for _, endsProgram := range []bool{false, true} {
		virtualTime(t, func(t *testing.T) {
			site := newTestSite()
			n, leases := startLapsingNode(t, site)
			leases.lapsesAfterAppend.Store(true)
			result := n.startPlainCall()
			time.Sleep(5 * time.Second)
			assert.Equal(t, site.targets["o"].requests(), 0)
			var deferred int
			assert.NilError(t, n.runOnLoop(background, func(l *loop) { deferred = len(l.deferredSends) }))
			assert.Equal(t, deferred, 1)
			if endsProgram {
				go n.endProgram(background, structs.ProgramRef{ID: "north/p", Account: "acme"})
				synctest.Wait()
			}
			leases.isLapsed.Store(false)
			err := <-result
			time.Sleep(time.Second)
			if endsProgram {
				assert.Equal(t, refusalOf(err).Kind, structs.RefusedProgramEnded)
				assert.Equal(t, site.targets["o"].requests(), 0)
			} else {
				assert.NilError(t, err)
				assert.Equal(t, site.targets["o"].requests(), 1)
			}
			n.stop(t)
		})
	}
}

// continuedOwner owns every slot under an epoch that the test can raise.
type continuedOwner struct {
	*memoryOwner
	epoch atomic.Uint64
}

func (o *continuedOwner) HeldEpoch(structs.Slot) (structs.Epoch, bool) {
	return structs.Epoch(o.epoch.Load()), true
}

// An owner that was suspected continues under a later epoch while a call runs. The call
// must still be answered, and the next call must be served.
func TestCallContinuesUnderLaterEpoch(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		owner := &continuedOwner{memoryOwner: newMemoryOwner()}
		owner.epoch.Store(1)
		n := site.startWith("one", func(opts *Options) { opts.Ownership, opts.Journal = owner, owner })
		waitForSlots(n)
		n.create(t, "north/p")
		gate := make(chan struct{})
		site.targets["o"].responseGate = gate
		result := n.startPlainCall()
		time.Sleep(time.Second)
		assert.Equal(t, site.targets["o"].requests(), 1)
		owner.epoch.Store(2)
		for slot := range structs.Slot(testSlots) {
			owner.changes <- journal.SlotChange{Slot: slot, Epoch: 2, IsHeld: true, IsContinued: true}
		}
		time.Sleep(time.Second)
		close(gate)
		assert.NilError(t, <-result)
		_, err := n.sendCall(background, plainCall("north/p", 2, "/more"))
		assert.NilError(t, err)
		assert.Equal(t, site.targets["o"].requests(), 2)
		n.stop(t)
	})
}
