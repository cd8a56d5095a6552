package membership

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	standin "github.com/endivecourse/endivecourse/internal/standin/platform"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
)

func vm(id structs.VMID, state backing.VMState) backing.VM {
	return backing.VM{ID: id, Domain: "a", State: state, Scheduler: "127.0.0.1:1"}
}

func TestSeenGoneNeedsALiveListing(t *testing.T) {
	tracker := NewTracker()
	assert.Assert(t, !tracker.View().HasList())
	assert.Assert(t, !tracker.View().IsGone("live"))
	tracker.Apply(1, []backing.VM{vm("live", backing.VMLive), vm("left", backing.VMLeaving)})
	assert.Assert(t, !tracker.View().IsGone("live"))
	tracker.Apply(2, nil)
	view := tracker.View()
	assert.Assert(t, view.IsGone("live"))
	assert.Assert(t, !view.IsGone("left"))
	assert.Assert(t, !view.IsGone("never"))
	assert.Assert(t, tracker.Apply(3, []backing.VM{vm("live", backing.VMLeaving)}))
	assert.Assert(t, !tracker.View().IsGone("live"))
	assert.Assert(t, view.IsGone("live"), "a view is immutable")
	tracker.Apply(4, nil)
	assert.Assert(t, tracker.View().IsGone("live"))
}

func TestOlderListIsIgnored(t *testing.T) {
	tracker := NewTracker()
	tracker.Apply(5, []backing.VM{vm("v", backing.VMLive)})
	assert.Assert(t, !tracker.Apply(4, nil))
	assert.Assert(t, !tracker.View().IsGone("v"))
}

func TestPeersAndLeaving(t *testing.T) {
	tracker := NewTracker()
	engine := backing.VM{ID: "e", Domain: "a", State: backing.VMLive, Target: "t"}
	other := vm("x", backing.VMLive)
	other.Domain = "b"
	tracker.Apply(1, []backing.VM{other, vm("w", backing.VMLeaving), engine, vm("v", backing.VMLive)})
	peers := tracker.View().Peers("a")
	assert.Equal(t, len(peers), 2)
	assert.Equal(t, peers[0].ID, structs.VMID("v"))
	assert.Assert(t, tracker.View().IsLeaving("w"))
	assert.Assert(t, !tracker.View().IsLeaving("v"))
	assert.Assert(t, !tracker.View().IsTargetLeaving("t"))
	engine.State = backing.VMLeaving
	tracker.Apply(2, []backing.VM{engine})
	assert.Assert(t, tracker.View().IsTargetLeaving("t"))
	tracker.Apply(3, nil)
	assert.Assert(t, tracker.View().IsTargetLeaving("t"))
	engine.ID, engine.State = "e2", backing.VMLive
	tracker.Apply(4, []backing.VM{engine})
	assert.Assert(t, !tracker.View().IsTargetLeaving("t"))
	assert.Assert(t, !tracker.View().IsTargetLeaving("unknown"))
}

func TestWatcherKeepsTheViewThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := standin.New(standin.Options{VMs: []backing.VM{vm("v", backing.VMLive)}})
		began := time.Now()
		now := func() structs.Instant { return structs.Instant(time.Since(began)) }
		w := New(Options{VMs: server.Services().VMs, Now: now})
		ctx, cancel := context.WithCancel(t.Context())
		k := kernel.New(slog.New(slog.NewTextHandler(io.Discard, nil)), w)
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx, time.Second) }()
		synctest.Wait()
		changed := w.Changed()
		assert.Equal(t, len(w.View().Peers("a")), 1)

		server.SetOutage(standin.VMs, true)
		server.RemoveVM("v")
		time.Sleep(30 * time.Second)
		synctest.Wait()
		assert.Equal(t, len(w.View().Peers("a")), 1)
		assert.Equal(t, w.Age(), 30*time.Second)
		assert.Assert(t, w.DumpState().(State).Failing)

		server.SetOutage(standin.VMs, false)
		<-changed
		assert.Equal(t, w.Age(), time.Duration(0))
		assert.Assert(t, w.View().IsGone("v"))
		cancel()
		assert.NilError(t, <-ended)
	})
}
