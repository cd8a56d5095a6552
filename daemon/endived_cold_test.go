package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// Guards against a target that starts under load and is crashed by more requests than it
// takes while it is cold. The VMs together may send it 1.5 times coldPerS and 5 in any second.
func TestColdTargetGetsItsRateFromAllVMsTogether(t *testing.T) {
	b := newTestSite(t, "near-a", "near-a", "near-b", "far-a")
	const rate, cold = 24, 4 * time.Second
	config := platformtest.BasicConfig()
	for _, service := range config.Services {
		service["coldPerS"], service["coldStartS"] = rate, cold.Seconds()
	}
	b.site.PutConfig(config)
	b.addTarget("app-1", "app", "near-b")
	b.addTarget("app-2", "app", "near-b")
	time.Sleep(300 * time.Millisecond)
	coldTarget := platformtest.NewTarget("app-3", "app", false)
	t.Cleanup(coldTarget.Close)
	coldTarget.SetColdFor(cold)
	coldUntil := time.Now().Add(cold)
	b.site.ListTarget(coldTarget, "near-a")
	responses, _ := sendSteadily(b, 5*time.Millisecond, 6*time.Second)
	for _, got := range responses {
		assert.Equal(t, got.status, 200)
	}
	allowed := rate*3/2 + 5
	whileCold, most := 0, 0
	for i, first := range coldTarget.Runs() {
		n := 0
		for _, run := range coldTarget.Runs()[i:] {
			if run.StartedAt.Before(first.StartedAt.Add(time.Second)) && run.StartedAt.Before(coldUntil) {
				n++
			}
		}
		most = max(most, n)
		if first.StartedAt.Before(coldUntil) {
			whileCold++
		}
	}
	t.Logf("%d requests while cold, %d in a second, %d in all", whileCold, most, len(coldTarget.Runs()))
	assert.Assert(t, most <= allowed, "%d requests in a second, %d are allowed", most, allowed)
	assert.Assert(t, whileCold >= rate, "%d requests while cold", whileCold)
	afterwards := len(coldTarget.Runs()) - whileCold
	assert.Assert(t, afterwards > 2*rate, "limited after its cold period: %d requests in 2 s", afterwards)
}
