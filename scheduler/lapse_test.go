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

// lapsing is an ownership whose leases end and are renewed under the same
// epoch, which is neither a loss nor a gain.
type lapsing struct {
	journal.Ownership
	journal.Journal
	lapsed, lapseAfterAppend atomic.Bool
}

func (o *lapsing) HeldEpoch(slot structs.Slot) (structs.Epoch, bool) {
	epoch, held := o.Ownership.HeldEpoch(slot)
	return epoch, held && !o.lapsed.Load()
}

func (o *lapsing) Append(ctx context.Context, records []journal.Record) error {
	if o.lapsed.Load() {
		return &journal.FencedError{Slot: records[0].Slot, Epoch: records[0].Epoch}
	}
	err := o.Journal.Append(ctx, records)
	if o.lapseAfterAppend.Swap(false) {
		o.lapsed.Store(true)
	}
	return err
}

// lapsingNode starts a scheduler with a program, whose leases can be ended.
func lapsingNode(t *testing.T, s *site) (*node, *lapsing) {
	leases := &lapsing{}
	n := s.startWith("one", func(opts *Options) {
		leases.Ownership, leases.Journal = opts.Ownership, opts.Journal
		opts.Ownership, opts.Journal = leases, leases
	})
	owned(n)
	n.create(t, "north/p")
	return n, leases
}

// startOrder makes the first call of the program in the background.
func (n *node) startOrder() <-chan error {
	answered := make(chan error, 1)
	go func() {
		_, err := n.do(background, order("north/p", 1, "/gravel"))
		answered <- err
	}()
	return answered
}

// A call that arrives while a lease has ended waits for its renewal.
func TestCallWaitsForARenewedLease(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newSite()
		n, leases := lapsingNode(t, site)
		leases.lapsed.Store(true)
		answered := n.startOrder()
		time.Sleep(5 * time.Second)
		assert.Equal(t, site.targets["o"].requests(), 0)
		leases.lapsed.Store(false)
		assert.NilError(t, <-answered)
		assert.Equal(t, site.targets["o"].requests(), 1)
		n.stop(t)
	})
}

// A lease ends between the record of a call's intent and its dispatch. The call
// is sent once after the renewal, and never when its program ends before.
func TestParkedCall(t *testing.T) {
	for _, ends := range []bool{false, true} {
		virtualTime(t, func(t *testing.T) {
			site := newSite()
			n, leases := lapsingNode(t, site)
			leases.lapseAfterAppend.Store(true)
			answered := n.startOrder()
			time.Sleep(5 * time.Second)
			assert.Equal(t, site.targets["o"].requests(), 0)
			var parked int
			assert.NilError(t, n.ask(background, func(l *loop) { parked = len(l.parked) }))
			assert.Equal(t, parked, 1)
			if ends {
				go n.endProgram(background, structs.ProgramRef{ID: "north/p", Account: "acme"})
				synctest.Wait()
			}
			leases.lapsed.Store(false)
			err := <-answered
			time.Sleep(time.Second)
			if ends {
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

// continuing is an ownership of one epoch that goes on under a later one.
type continuing struct {
	*memoryOwner
	epoch atomic.Uint64
}

func (o *continuing) HeldEpoch(structs.Slot) (structs.Epoch, bool) {
	return structs.Epoch(o.epoch.Load()), true
}

// An owner that was suspected goes on under a later epoch while an answer is
// being streamed: the answer is whole and the next call is served.
func TestCallGoesOnUnderALaterEpoch(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newSite()
		owner := &continuing{memoryOwner: newMemoryOwner()}
		owner.epoch.Store(1)
		n := site.startWith("one", func(opts *Options) { opts.Ownership, opts.Journal = owner, owner })
		owned(n)
		n.create(t, "north/p")
		gate := make(chan struct{})
		site.targets["o"].gate = gate
		answered := n.startOrder()
		time.Sleep(time.Second)
		assert.Equal(t, site.targets["o"].requests(), 1)
		owner.epoch.Store(2)
		for slot := range structs.Slot(testSlots) {
			owner.changes <- journal.SlotChange{Slot: slot, Epoch: 2, IsHeld: true, IsContinued: true}
		}
		time.Sleep(time.Second)
		close(gate)
		assert.NilError(t, <-answered)
		_, err := n.do(background, order("north/p", 2, "/more"))
		assert.NilError(t, err)
		assert.Equal(t, site.targets["o"].requests(), 2)
		n.stop(t)
	})
}
