package daemon

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

const (
	// evacuateBound is the time after an operator's write from which no request reaches a
	// target of the evacuated failure domain.
	evacuateBound = 5 * time.Second
	// immediateBound is how soon a request that no target may serve is rejected.
	immediateBound = 500 * time.Millisecond
)

// waitConfig waits until every VM has applied a version of the configuration.
func (b *testSite) waitConfig(version uint64) {
	b.t.Helper()
	b.waitUntil("configuration", func() bool {
		return len(b.logs.lines(`"configuration in force"`, fmt.Sprintf(`"version":%d`, version))) >= len(b.vms)
	})
}

// Guards against requests that leave the regions which their route or account allows.
func TestRequestsReachOnlyTargetsInAllowedRegions(t *testing.T) {
	b := newTestSite(t, "near-a", "far-a")
	near, far := b.addTarget("app-near", "app", "near-a"), b.addTarget("app-far", "app", "far-a")
	sendAll := func(key string) {
		t.Helper()
		for n := range 10 {
			for _, vm := range b.vms {
				r := b.send(request{vm: vm, path: fmt.Sprintf("/read/%d", n), key: key})
				assert.Equal(t, r.status, http.StatusOK, r.body)
			}
		}
	}
	config := platformtest.BasicConfig()
	config.Tenants[0].AllowedRegions = []string{"near"}
	b.waitConfig(b.site.PutConfig(config))
	sendAll("key-one")
	assert.Equal(t, len(far.Runs()), 0, "requests of the account at targets of the other region")
	sendAll("key-two")
	assert.Assert(t, len(far.Runs()) > 0, "an account without a list uses all regions")

	config.Routes[1].AllowedRegions = []string{"far", "nowhere"}
	config.Tenants[0].AllowedRegions = nil
	b.waitConfig(b.site.PutConfig(config))
	before := len(near.Runs())
	sendAll("key-one")
	assert.Equal(t, len(near.Runs()), before, "requests of the route at targets of the other region")
}

// Guards against requests that wait, or run anyway, when their route and account leave no
// region.
func TestRequestWithoutAllowedRegionIsRejected(t *testing.T) {
	b := newTestSite(t, "near-a", "far-a")
	app := b.addTarget("app-near", "app", "near-a")
	config := platformtest.BasicConfig()
	config.Routes[1].AllowedRegions = []string{"near"}
	config.Routes[2].AllowedRegions = []string{"nowhere"}
	config.Tenants[0].AllowedRegions = []string{"far"}
	b.waitConfig(b.site.PutConfig(config))
	for _, path := range []string{"/read/1", "/order/1"} {
		start := time.Now()
		r := b.send(request{path: path})
		assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
		assert.Assert(t, time.Since(start) < immediateBound)
		wait, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, wait >= 1, "retried after %g s, although only a change of the configuration helps", wait)
	}
	assert.Equal(t, len(app.Runs()), 0)
	b.waitUntil("unknown region is logged", func() bool { return len(b.logs.lines("unknown region", "nowhere")) >= len(b.vms) })
}

// Guards against requests at targets of an evacuated failure domain, requests that wait when
// all are evacuated, and evacuations that outlast their row.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	b := newTestSite(t, "near-a", "near-b")
	kept, evacuated := b.addTarget("app-kept", "app", "near-a"), b.addTarget("app-evacuated", "app", "near-b")
	for n := range 10 { // a VM prefers the targets of its own failure domain
		assert.Equal(t, b.send(request{vm: b.vms[1], path: fmt.Sprintf("/read/%d", n)}).status, http.StatusOK)
	}
	assert.Assert(t, len(evacuated.Runs()) > 0)
	b.site.Evacuate("no-such-domain")
	written := time.Now()
	b.site.Evacuate("near-b")
	for n := 0; time.Since(written) < evacuateBound+time.Second; n++ {
		r := b.send(request{vm: b.vms[n%2], path: fmt.Sprintf("/read/%d", n)})
		assert.Equal(t, r.status, http.StatusOK, r.body)
		time.Sleep(10 * time.Millisecond)
	}
	runs := evacuated.Runs()
	last := runs[len(runs)-1].StartedAt.Sub(written)
	t.Logf("last request %s after the write", last)
	assert.Assert(t, last < evacuateBound)

	b.site.Evacuate("near-a")
	b.waitUntil("all are evacuated", func() bool { return b.send(request{path: "/read/1"}).status == http.StatusServiceUnavailable })
	before := len(kept.Runs())
	start := time.Now()
	r := b.send(request{path: "/read/1"})
	assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
	assert.Assert(t, r.header.Get("Retry-After") != "" && time.Since(start) < immediateBound)
	assert.Equal(t, len(kept.Runs()), before)

	b.site.EndEvacuation("near-b")
	b.waitUntil("evacuation has ended", func() bool { return b.send(request{path: "/read/1"}).status == http.StatusOK })
	assert.Equal(t, len(kept.Runs()), before)
	assert.Assert(t, len(b.logs.lines("unknown failure domain", "no-such-domain")) >= len(b.vms))
}

// evacuatedLoad is what happened when two of three failure domains were evacuated under load.
type evacuatedLoad struct {
	last   map[string]time.Duration // time of the last request at each evacuated target after the write
	stream response                 // of a stream that ran at an evacuated target
	failed int64                    // requests that were not answered
}

// runEvacuatedLoad evacuates two of three failure domains while callers send many requests at
// a time, a stream runs, one VM reaches the store only through peers, and one starts after
// the write.
func runEvacuatedLoad(t *testing.T) evacuatedLoad {
	b := newTestSite(t, "near-a", "near-b", "far-a")
	late := b.site.AddVM("near-b")
	kept := b.addTarget("app-kept", "app", "near-a")
	evacuated := []*platformtest.Target{b.addTarget("app-b", "app", "near-b"), b.addTarget("app-far", "app", "far-a")}
	engine := b.addTarget("engine-b", "engine", "near-b")
	engine.Set(platformtest.Behaviour{Events: 30, Duration: 100 * time.Millisecond})
	kept.Set(platformtest.Behaviour{Duration: 5 * time.Millisecond})
	stream := make(chan response, 1)
	go func() { stream <- b.sendAs("running-stream", request{path: "/draft/1"}) }()
	b.waitUntil("running", func() bool { return engine.Running() > 0 })
	b.vms[1].StoreServer.Set(platformtest.StoreSilent)

	done := make(chan struct{})
	var load sync.WaitGroup
	var failed atomic.Int64
	for n, vm := range append([]*platformtest.VM{late}, b.vms...) {
		for caller := range 4 {
			load.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-done:
						return
					case <-time.After(10 * time.Millisecond):
					}
					r := b.sendAs(fmt.Sprintf("load-%d-%d-%d", n, caller, i), request{vm: vm, path: "/read/1"})
					if r.status != http.StatusOK && vm != late {
						failed.Add(1)
						t.Logf("%s at %s: %d %s %v", r.id, vm.Name, r.status, r.body, r.err)
					}
				}
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	written := time.Now()
	b.site.Evacuate("near-b")
	b.site.Evacuate("far-a")
	b.start(late)
	b.waitReady(late)
	time.Sleep(time.Until(written.Add(evacuateBound + 2*time.Second)))
	close(done)
	load.Wait()
	result := evacuatedLoad{last: make(map[string]time.Duration), stream: <-stream, failed: failed.Load()}
	for _, target := range evacuated {
		runs := target.Runs()
		assert.Assert(t, len(runs) > 0)
		result.last[target.ID] = runs[len(runs)-1].StartedAt.Sub(written)
	}
	return result
}

// Guards against requests at evacuated targets from any VM, and against streams that an
// evacuation breaks off.
func TestEvacuationUnderLoadReachesEveryVM(t *testing.T) {
	result := runEvacuatedLoad(t)
	for target, last := range result.last {
		t.Logf("last request at %s %s after the write", target, last)
		assert.Assert(t, last < evacuateBound)
	}
	assert.NilError(t, result.stream.err)
	assert.Equal(t, result.stream.status, http.StatusOK, "a running stream ends normally")
}

// Guards against VMs that get no slot of the remaining target while others do.
func TestEvacuationUnderLoadFailsNoRequests(t *testing.T) {
	result := runEvacuatedLoad(t)
	assert.Equal(t, result.failed, int64(0), "requests that other targets could serve failed")
}

// Guards against bodies that a VM without paths to targets forwards through a VM of a region
// that is not allowed.
func TestRequestIsNotForwardedThroughOtherRegion(t *testing.T) {
	b := newTestSite(t)
	for _, domain := range []string{"near-a", "far-a"} {
		vm := b.site.AddVM(domain)
		b.vms = append(b.vms, vm)
		b.paths[vm] = newTargetPaths()
		b.start(vm)
	}
	for _, vm := range b.vms {
		b.waitReady(vm)
	}
	near := b.addTarget("app-near", "app", "near-a")
	config := platformtest.BasicConfig()
	config.Tenants[0].AllowedRegions = []string{"near"}
	b.waitConfig(b.site.PutConfig(config))
	b.paths[b.vms[0]].set(pathsReset)
	b.waitUntil("forwarded", func() bool { return b.send(request{path: "/read/1", key: "key-two"}).status == http.StatusOK })
	before := len(near.Runs())
	r := b.send(request{path: "/read/1"})
	assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
	assert.Assert(t, r.header.Get("Retry-After") != "")
	assert.Equal(t, len(near.Runs()), before)
	assert.Equal(t, len(b.logs.lines(`"forwarded request"`, r.id)), 0, "the other VM got the request")
}

// Guards against turns whose rows another region relays to the store although their account
// does not allow that region.
func TestTurnIsNotRelayedThroughOtherRegion(t *testing.T) {
	b := newTestSite(t, "near-a", "far-a")
	engine := b.addTarget("engine-near", "engine", "near-a")
	config := platformtest.BasicConfig()
	config.Tenants[0].AllowedRegions = []string{"near"}
	b.waitConfig(b.site.PutConfig(config))
	turn := func(key string) response {
		return b.send(request{path: "/chat/1", key: key, body: "turn ", header: map[string]string{
			platformtest.HeaderProgram: "program-" + key, platformtest.HeaderBudget: "1000", platformtest.HeaderUsage: "100,30",
		}})
	}
	assert.Equal(t, turn("key-one").status, http.StatusOK)
	b.vms[0].StoreServer.Set(platformtest.StoreUnavailable)
	b.waitUntil("relayed", func() bool {
		return len(b.logs.lines("lost the direct path to the store")) > 0 && turn("key-two").status == http.StatusOK
	})
	before := len(engine.Runs())
	r := turn("key-one")
	assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
	assert.Assert(t, r.header.Get("Retry-After") != "")
	assert.Equal(t, len(engine.Runs()), before, "rejected as not run")
	b.vms[0].StoreServer.Set(platformtest.StoreNormal)
	b.waitUntil("direct path", func() bool { return turn("key-one").status == http.StatusOK })
}
