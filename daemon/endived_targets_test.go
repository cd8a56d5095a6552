package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform"
	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// A request that must not be repeated runs once. After a lost response it is not sent to
// another target; after a refusal that says that nothing ran, it is.
func TestUnrepeatableRequestRunsOnce(t *testing.T) {
	b := newTestSite(t, "near-a")
	one := b.addTarget("app-1", "app", "near-a")
	two := b.addTarget("app-2", "app", "near-a")
	one.Set(platformtest.Behaviour{ResetsAfterRun: true})
	two.Set(platformtest.Behaviour{ResetsAfterRun: true})
	got := b.send(request{path: "/order/1"})
	assert.Equal(t, got.status, 502)
	assert.Equal(t, len(one.Runs())+len(two.Runs()), 1)
	one.Set(platformtest.Behaviour{IsFull: true})
	two.Set(platformtest.Behaviour{})
	assert.Equal(t, b.send(request{path: "/order/2"}).status, 200)
	two.Set(platformtest.Behaviour{IsFull: true})
	refused := b.send(request{path: "/order/3"})
	assert.Equal(t, refused.status, 503)
	assert.Assert(t, refused.header.Get("Retry-After") != "")
}

// A safe request whose response is lost is sent to another target.
func TestSafeRequestIsRepeated(t *testing.T) {
	b := newTestSite(t, "near-a")
	one := b.addTarget("app-1", "app", "near-a")
	two := b.addTarget("app-2", "app", "near-a")
	one.Set(platformtest.Behaviour{ResetsAfterRun: true})
	for range 6 {
		assert.Equal(t, b.send(request{method: http.MethodGet, path: "/read/1"}).status, 200)
	}
	assert.Assert(t, len(one.Runs()) > 0 && len(two.Runs()) > 0)
}

// A refusal must not claim that a request has not run if the response to the first attempt
// was lost and the second attempt was refused or found no target.
func TestRefusalAfterLostResponseReportsPossibleRun(t *testing.T) {
	for name, secondBehaviour := range map[string]platformtest.Behaviour{
		"second attempt refused": {IsFull: true},
		"second response lost":   {ResetsAfterRun: true},
	} {
		b := newTestSite(t, "near-a")
		one := b.addTarget("app-1", "app", "near-a")
		two := b.addTarget("app-2", "app", "near-a")
		one.Set(platformtest.Behaviour{ResetsAfterRun: true})
		two.Set(secondBehaviour)
		for range 6 {
			before := len(one.Runs()) + len(two.Runs())
			got := b.send(request{method: http.MethodGet, path: "/read/1"})
			ran := len(one.Runs()) + len(two.Runs()) - before
			assert.Assert(t, ran == 0 || got.status == 502, "%s: status %d after %d runs", name, got.status, ran)
		}
	}
	b := newTestSite(t, "near-a")
	b.addTarget("app-1", "app", "near-a").Set(platformtest.Behaviour{ResetsAfterRun: true})
	assert.Equal(t, b.send(request{method: http.MethodGet, path: "/read/1"}).status, 502)
}

// A stream that ends early, within an event or between two, must not look complete to the
// caller.
func TestIncompleteStreamNeverLooksComplete(t *testing.T) {
	b := newTestSite(t, "near-a")
	engine := b.addTarget("engine-1", "engine", "near-a")
	for name, behaviour := range map[string]platformtest.Behaviour{
		"reset after an event": {Events: 3, ResetAfterEvents: 2},
		"within an event":      {Events: 3, CutsLastEvent: true},
	} {
		engine.Set(behaviour)
		got := b.sendTurn(b.vms[0], "", "x")
		assert.Assert(t, got.err != nil, "%s: %q", name, got.body)
		assert.Assert(t, !strings.Contains(got.body, "piece 3"), name)
	}
}

// An extra response on a target's connection is not returned to the next request.
func TestExtraResponseIsDiscarded(t *testing.T) {
	b := newTestSite(t, "near-a")
	app := b.addTarget("app-1", "app", "near-a")
	app.Set(platformtest.Behaviour{SendsExtraAnswer: true})
	for range 5 {
		got := b.send(request{path: "/order/1"})
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "answer to "+got.id)
	}
	assert.Equal(t, len(app.Runs()), 5)
}

// When a caller disconnects, its stream at the target is cancelled within half a second,
// but a request that must not be repeated runs to its end.
func TestCallerDisconnects(t *testing.T) {
	b := newTestSite(t, "near-a")
	engine := b.addTarget("engine-1", "engine", "near-a")
	app := b.addTarget("app-1", "app", "near-a")
	engine.Set(platformtest.Behaviour{Events: 100, Duration: 100 * time.Millisecond})
	app.Set(platformtest.Behaviour{Duration: time.Second})
	for _, path := range []string{"/chat/1", "/order/1"} {
		ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.vms[0].CallerAddress+path, strings.NewReader("x"))
		assert.NilError(t, err)
		req.Host = platformtest.Host
		req.Header.Set(platformtest.HeaderRequestID, "leaver-"+path[1:2])
		req.Header.Set(platformtest.HeaderKey, "key-one")
		resp, err := b.client.Do(req)
		if err == nil {
			_, _ = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		cancel()
	}
	time.Sleep(500 * time.Millisecond)
	assert.Equal(t, engine.Running(), 0)
	b.waitUntil("order done", func() bool { return app.Running() == 0 })
	run := app.Runs()[0]
	assert.Assert(t, run.EndedAt.Sub(run.StartedAt) >= time.Second, "request cancelled after %s", run.EndedAt.Sub(run.StartedAt))
}

// A draining target gets no new requests. A target whose address is now used by another
// target gets none either.
func TestDrainedTargetAndReusedAddressGetNoRequests(t *testing.T) {
	b := newTestSite(t, "near-a")
	one := b.addTarget("app-1", "app", "near-a")
	two := b.addTarget("app-2", "app", "near-a")
	b.site.DrainTarget(one, "near-a")
	b.waitUntil("draining", func() bool { return len(b.logs.lines(`"target changed"`, `"app-1"`)) > 0 })
	before := len(one.Runs())
	for range 4 {
		assert.Equal(t, b.send(request{path: "/order/1"}).status, 200)
	}
	assert.Equal(t, len(one.Runs()), before)
	two.ID = "other" // another target now listens on the address of app-2
	got := b.send(request{path: "/order/2"})
	assert.Equal(t, got.status, 503)
	b.waitUntil("dropped", func() bool { return len(b.logs.lines(`"target dropped"`, `"app-2"`)) > 0 })
}

// expireTargetEntry removes a target's entry while the store is unreachable, as if it had
// expired, and waits until the VM has noticed.
func expireTargetEntry(b *testSite, app *platformtest.Target) {
	b.vms[0].StoreServer.Set(platformtest.StoreUnavailable)
	b.waitUntil("disturbed", func() bool { return len(b.logs.lines("lost the direct path")) > 0 })
	b.site.UnlistTarget(app)
	b.vms[0].StoreServer.Set(platformtest.StoreNormal)
	b.waitUntil("lapsed", func() bool { return len(b.logs.lines("target lapsed")) > 0 })
}

// A target whose entry expires while the store is unreachable is kept until two seconds
// after the store is reachable again.
func TestExpiredTargetIsKeptAfterStoreOutage(t *testing.T) {
	b := newTestSite(t, "near-a")
	app := b.addTarget("app-1", "app", "near-a")
	expireTargetEntry(b, app)
	assert.Equal(t, b.send(request{path: "/read/1"}).status, 200)
	b.waitUntil("gone", func() bool { return len(b.logs.lines("target dropped")) > 0 })
	assert.Equal(t, b.send(request{path: "/read/1"}).status, 503)
}

// An expired target that is listed again within the grace period stays in use, and the
// VM logs this.
func TestExpiredTargetIsListedAgain(t *testing.T) {
	b := newTestSite(t, "near-a")
	app := b.addTarget("app-1", "app", "near-a")
	expireTargetEntry(b, app)
	b.site.ListTarget(app, "near-a")
	b.waitUntil("back", func() bool {
		return len(b.logs.lines("target is listed again")) == 1
	})
	assert.Equal(t, b.send(request{path: "/read/1"}).status, 200)
}

// A target entry that can't be decoded is ignored, and the other targets stay in use.
func TestMalformedTargetEntryIsIgnored(t *testing.T) {
	b := newTestSite(t, "near-a")
	b.addTarget("app-1", "app", "near-a")
	b.site.PutTargetEntry("bad-1", `{"service":7}`)
	b.site.PutTargetEntry("bad-2", "\xff\x00")
	b.site.PutTargetEntry("bad-3", `{"service":"app","address":"127.0.0.1:1","zone":"nowhere","slots":1,"state":"ready"}`)
	b.waitUntil("seen", func() bool { return len(b.logs.lines("target entry", `"bad-`)) >= 3 })
	for range 5 {
		assert.Equal(t, b.send(request{path: "/read/1"}).status, 200)
	}
}

// A planned stop interrupts no request: running requests finish, and the readiness check
// fails first, so that the balancer sends nothing new.
func TestDrainFinishesRunningRequests(t *testing.T) {
	b := newTestSite(t)
	vm := b.site.AddVM("near-a")
	b.vms = []*platformtest.VM{vm}
	loaded, err := platform.LoadSettings(vm.SettingsPath)
	assert.NilError(t, err)
	e, err := newEndived(loaded, vm.SettingsPath, nil, slog.New(slog.NewJSONHandler(b.logs, nil)))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.kernel.Run(ctx, 7*time.Second) }()
	app := b.addTarget("app-1", "app", "near-a")
	app.Set(platformtest.Behaviour{Duration: 3500 * time.Millisecond})
	config := platformtest.BasicConfig()
	config.Routes[2].TimeoutMs = 6000
	version := b.site.PutConfig(config)
	b.waitUntil("second version in force", func() bool {
		return len(b.logs.lines("configuration in force", fmt.Sprintf(`"version":%d`, version))) == 1
	})
	got := make(chan response, 1)
	go func() {
		got <- b.send(request{path: "/order/1", header: map[string]string{platformtest.HeaderDeadline: "6000"}})
	}()
	b.waitUntil("running", func() bool { return app.Running() == 1 })
	cancel()
	b.waitReadiness(vm, http.StatusServiceUnavailable)
	assert.Equal(t, (<-got).status, 200)
	assert.NilError(t, <-done)
}

// A refused request is logged once, with its ID, outcome, configuration version and the
// reason, and counted in the metrics.
func TestRefusalIsLogged(t *testing.T) {
	b := newTestSite(t, "near-a")
	got := b.send(request{path: "/read/1"})
	assert.Equal(t, got.status, 503)
	lines := b.logs.lines(got.id, `"outcome":"no_target"`, `"run":"no"`, `"config":`, `"reason":"service app has no usable target"`)
	assert.Equal(t, len(lines), 1)
	resp, err := b.client.Get("http://" + b.vms[0].IP + ":9464/metrics")
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(text), `endive_request_outcomes_total{outcome="no_target"} 1`), string(text))
}

// A target may send bytes that are no answer and never end. The daemon must read only a
// bounded number of them, close the connection well before the request's deadline, count
// a failure of the target and tell the caller that the request may have run. It answers
// the next request on the caller's connection correctly.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const maxBytes = 24 << 20 // the limit of a response and what the sockets hold
	for part, path := range map[platformtest.Part]string{
		platformtest.PartHead: "/order/1", platformtest.PartBody: "/order/1",
		platformtest.PartChunked: "/order/1", platformtest.PartEvent: "/chat/1",
	} {
		t.Run(string(part), func(t *testing.T) {
			b := newTestSite(t, "near-a")
			service := map[string]string{"/order/1": "app", "/chat/1": "engine"}[path]
			target := b.addTarget("target-1", service, "near-a")
			target.Set(platformtest.Behaviour{Endless: part, Events: 3})
			header := map[string]string{platformtest.HeaderDeadline: "3500", platformtest.HeaderProgram: "program"}
			got := b.send(request{path: path, body: "x", header: header})
			assert.NilError(t, got.err)
			assert.Equal(t, got.status, 502)
			assert.Assert(t, !strings.Contains(got.body, "xxxx"))
			b.waitUntil("the connection is closed", func() bool { return target.Running() == 0 })
			assert.Assert(t, target.EndlessBytes() <= maxBytes, "%d bytes were read", target.EndlessBytes())
			assert.Equal(t, len(target.Runs()), 1)
			target.Set(platformtest.Behaviour{Events: 3})
			next := b.send(request{path: path, body: "y", header: header})
			assert.Equal(t, next.status, 200)
			assert.Assert(t, strings.Contains(next.body, next.id))
		})
	}
}

// A planned stop under load cuts off no request that was accepted: callers keep their
// open connections in use and open new ones as long as the VM is ready.
func TestDrainUnderLoadCutsOffNoRequest(t *testing.T) {
	const callers = 16
	b := newTestSite(t)
	vm := b.site.AddVM("near-a")
	b.vms = []*platformtest.VM{vm}
	stop := b.startWithDrain(vm, 7*time.Second)
	b.waitReady(vm)
	app := b.addTarget("app-1", "app", "near-a")
	app.Set(platformtest.Behaviour{Duration: 20 * time.Millisecond})
	var isReady atomic.Bool
	isReady.Store(true)
	failures := make(chan string, callers)
	var running sync.WaitGroup
	for caller := range callers {
		running.Go(func() { failures <- callUntilClosed(vm, caller, &isReady) })
	}
	time.Sleep(300 * time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		stop()
	}()
	b.waitReadiness(vm, http.StatusServiceUnavailable)
	isReady.Store(false)
	running.Wait()
	<-stopped
	close(failures)
	for failure := range failures {
		assert.Equal(t, failure, "")
	}
}

// callUntilClosed sends requests on one connection at a time. It opens a new connection
// only while the VM is ready, and returns a description of the first request that got no
// complete answer.
func callUntilClosed(vm *platformtest.VM, caller int, isReady *atomic.Bool) string {
	for n := 0; isReady.Load(); n++ {
		transport := &http.Transport{MaxIdleConnsPerHost: 1}
		client := &http.Client{Transport: transport}
		for isOpen := true; isOpen; n++ {
			id := fmt.Sprintf("%d-%d", caller, n)
			req, err := http.NewRequest(http.MethodPost, "http://"+vm.CallerAddress+"/order/1", strings.NewReader(id))
			if err != nil {
				return err.Error()
			}
			req.Host = platformtest.Host
			req.Header.Set(platformtest.HeaderRequestID, id)
			req.Header.Set(platformtest.HeaderKey, "key-one")
			req.Header.Set(platformtest.HeaderDeadline, "3000")
			resp, err := client.Do(req)
			if err != nil {
				return id + ": " + err.Error()
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil || resp.StatusCode != http.StatusOK || !strings.Contains(string(body), id) {
				return fmt.Sprintf("%s: status %d, %q, %v", id, resp.StatusCode, body, err)
			}
			isOpen = !resp.Close
		}
		transport.CloseIdleConnections()
	}
	return ""
}

// A target that sends a byte now and then, but never the end of an event, must not hold
// its request beyond the deadline. A slow target whose events are complete is not cut.
func TestTrickledBytesEndAtDeadline(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	b := newTestSite(t, "near-a")
	target := b.addTarget("engine-1", "engine", "near-a")
	header := map[string]string{platformtest.HeaderDeadline: fmt.Sprint(deadline.Milliseconds())}
	target.Set(platformtest.Behaviour{Events: 4, Duration: 300 * time.Millisecond})
	slow := b.send(request{path: "/draft/1", body: "x", header: header})
	assert.NilError(t, slow.err)
	assert.Equal(t, strings.Count(slow.body, "piece"), 4)
	target.Set(platformtest.Behaviour{Trickle: 50 * time.Millisecond})
	start := time.Now()
	got := b.send(request{path: "/draft/1", body: "x", header: header})
	took := time.Since(start)
	assert.Assert(t, took >= deadline-100*time.Millisecond && took < deadline+500*time.Millisecond, "%s", took)
	assert.Equal(t, got.status, 504)
	b.waitUntil("the target's connection is closed", func() bool { return target.Running() == 0 })
}
