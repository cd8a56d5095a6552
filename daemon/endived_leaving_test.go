package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// noticeTime is the users' bound for requests to a target after a notice that it leaves
// (drainMs).
const noticeTime = 2500 * time.Millisecond

// sendReads sends requests to all VMs in turn for a time and asserts that all are served.
func (b *testSite) sendReads(prefix string, span time.Duration) {
	b.t.Helper()
	for n, start := 0, time.Now(); time.Since(start) < span; n++ {
		r := b.sendAs(fmt.Sprintf("%s-%d", prefix, n), request{vm: b.vms[n%len(b.vms)], path: "/read/1"})
		assert.Equal(b.t, r.status, http.StatusOK, r.body)
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against DRAIN: what a target says in its answers must count while no VM hears of it
// from the store.
func TestTargetThatSaysItLeavesGetsNoRequestsWithoutStore(t *testing.T) {
	b := newTestSite(t, "near-a", "near-b", "far-a")
	leaving := b.addTarget("app-1", "app", "near-a")
	b.addTarget("app-2", "app", "near-b")
	b.sendReads("before", 300*time.Millisecond)
	for _, vm := range b.vms {
		vm.StoreServer.Set(platformtest.StoreSilent)
	}
	leaving.Set(platformtest.Behaviour{IsLeaving: true})
	b.sendReads("notice", noticeTime)
	late := time.Now()
	b.sendReads("late", time.Second)
	for _, run := range leaving.Runs() {
		assert.Assert(t, run.StartedAt.Before(late), "request %s reached the target %s after the notice", run.ID, run.StartedAt.Sub(late)+noticeTime)
	}
}

// Guards against a restarted VM, or one that has sent the target nothing, that goes by the
// older entry of the store.
func TestRestartedVMLearnsOfLeavingTargetFromPeers(t *testing.T) {
	b := newTestSite(t)
	vms := []*platformtest.VM{b.site.AddVM("near-a"), b.site.AddVM("near-a")}
	b.vms = vms
	b.start(vms[0])
	stop := b.start(vms[1])
	b.waitReady(vms[0])
	b.waitReady(vms[1])
	leaving := b.addTarget("app-1", "app", "near-a")
	leaving.Set(platformtest.Behaviour{IsLeaving: true})
	assert.Equal(t, b.send(request{vm: vms[0], path: "/read/1"}).status, http.StatusOK)
	stop()
	other := platformtest.NewTarget("app-2", "app", false)
	t.Cleanup(other.Close)
	b.site.ListTarget(other, "near-a") // both entries say that the targets are ready
	b.start(vms[1])
	b.waitReady(vms[1])
	b.waitUntil("told by a peer", func() bool { return len(b.logs.lines("target leaves", "app-1", `"vm":"vm-2"`)) > 0 })
	before := len(leaving.Runs())
	for range 20 {
		assert.Equal(t, b.send(request{vm: vms[1], path: "/read/1"}).status, http.StatusOK)
	}
	assert.Equal(t, len(leaving.Runs()), before)
}

func TestForwardedRequestsReachNoLeavingTarget(t *testing.T) {
	f := newForwardingSite(t, 3, time.Millisecond)
	f.addTarget("app-2", "app", "near-a")
	for _, vm := range f.vms {
		vm.StoreServer.Set(platformtest.StoreSilent)
	}
	f.app.Set(platformtest.Behaviour{IsLeaving: true})
	f.sendReads("notice", noticeTime)
	late := time.Now()
	f.sendReads("late", time.Second)
	for _, run := range f.app.Runs() {
		assert.Assert(t, run.StartedAt.Before(late), run.ID)
	}
}
