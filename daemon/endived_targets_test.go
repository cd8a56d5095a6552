package daemon

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform"
	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// What may not be repeated runs once: a lost answer is not sent to another
// target, a refusal that says that nothing ran is.
func TestUnsafeRequestRunsOnce(t *testing.T) {
	b := newBed(t, "near-a")
	one := b.target("app-1", "app", "near-a")
	two := b.target("app-2", "app", "near-a")
	one.Set(platformtest.Behaviour{ResetsAfterRun: true})
	two.Set(platformtest.Behaviour{ResetsAfterRun: true})
	got := b.do(call{path: "/order/1"})
	assert.Equal(t, got.status, 502)
	assert.Equal(t, len(one.Runs())+len(two.Runs()), 1)
	one.Set(platformtest.Behaviour{IsFull: true})
	two.Set(platformtest.Behaviour{})
	assert.Equal(t, b.do(call{path: "/order/2"}).status, 200)
	two.Set(platformtest.Behaviour{IsFull: true})
	refused := b.do(call{path: "/order/3"})
	assert.Equal(t, refused.status, 503)
	assert.Assert(t, refused.header.Get("Retry-After") != "")
}

// A safe request whose answer is lost is sent to another target.
func TestSafeRequestIsRepeated(t *testing.T) {
	b := newBed(t, "near-a")
	one := b.target("app-1", "app", "near-a")
	two := b.target("app-2", "app", "near-a")
	one.Set(platformtest.Behaviour{ResetsAfterRun: true})
	for range 6 {
		assert.Equal(t, b.do(call{method: http.MethodGet, path: "/read/1"}).status, 200)
	}
	assert.Assert(t, len(one.Runs()) > 0 && len(two.Runs()) > 0)
}

// A refusal does not claim that a request has not run when the first of its
// sends lost the answer and the second was turned away or found no target.
func TestRefusalAfterLostAnswerIsTrue(t *testing.T) {
	for name, second := range map[string]platformtest.Behaviour{
		"second turned away":  {IsFull: true},
		"second lost as well": {ResetsAfterRun: true},
	} {
		b := newBed(t, "near-a")
		one := b.target("app-1", "app", "near-a")
		two := b.target("app-2", "app", "near-a")
		one.Set(platformtest.Behaviour{ResetsAfterRun: true})
		two.Set(second)
		for range 6 {
			before := len(one.Runs()) + len(two.Runs())
			got := b.do(call{method: http.MethodGet, path: "/read/1"})
			ran := len(one.Runs()) + len(two.Runs()) - before
			assert.Assert(t, ran == 0 || got.status == 502, "%s: status %d after %d runs", name, got.status, ran)
		}
	}
	b := newBed(t, "near-a")
	b.target("app-1", "app", "near-a").Set(platformtest.Behaviour{ResetsAfterRun: true})
	assert.Equal(t, b.do(call{method: http.MethodGet, path: "/read/1"}).status, 502)
}

// Streams that break off, within an event or between two, never look complete.
func TestCutStreamNeverLooksWhole(t *testing.T) {
	b := newBed(t, "near-a")
	engine := b.target("engine-1", "engine", "near-a")
	for name, behaviour := range map[string]platformtest.Behaviour{
		"reset after an event": {Events: 3, ResetAfterEvents: 2},
		"within an event":      {Events: 3, CutsLastEvent: true},
	} {
		engine.Set(behaviour)
		got := b.turn(b.vms[0], "", "x")
		assert.Assert(t, got.err != nil, "%s: %q", name, got.body)
		assert.Assert(t, !strings.Contains(got.body, "piece 3"), name)
	}
}

// An answer that nobody asked for is not given to the next request.
func TestExtraAnswerIsPassedOver(t *testing.T) {
	b := newBed(t, "near-a")
	app := b.target("app-1", "app", "near-a")
	app.Set(platformtest.Behaviour{SendsExtraAnswer: true})
	for range 5 {
		got := b.do(call{path: "/order/1"})
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.body, "answer to "+got.id)
	}
	assert.Equal(t, len(app.Runs()), 5)
}

// A caller that leaves ends its stream at the target within half a second, and
// leaves a call that may not be repeated alone.
func TestCallerLeaves(t *testing.T) {
	b := newBed(t, "near-a")
	engine := b.target("engine-1", "engine", "near-a")
	app := b.target("app-1", "app", "near-a")
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
	b.until("order done", func() bool { return app.Running() == 0 })
	run := app.Runs()[0]
	assert.Assert(t, run.EndedAt.Sub(run.StartedAt) >= time.Second, "cut after %s", run.EndedAt.Sub(run.StartedAt))
}

// A leaving target gets nothing new; its address may get another target.
func TestTargetLeavesAndAddressIsReused(t *testing.T) {
	b := newBed(t, "near-a")
	one := b.target("app-1", "app", "near-a")
	two := b.target("app-2", "app", "near-a")
	b.site.DrainTarget(one, "near-a")
	b.until("draining", func() bool { return len(b.logs.lines(`"target changed"`, `"app-1"`)) > 0 })
	before := len(one.Runs())
	for range 4 {
		assert.Equal(t, b.do(call{path: "/order/1"}).status, 200)
	}
	assert.Equal(t, len(one.Runs()), before)
	two.ID = "other" // what listens there now is another target
	got := b.do(call{path: "/order/2"})
	assert.Equal(t, got.status, 503)
	b.until("dropped", func() bool { return len(b.logs.lines(`"target dropped"`, `"app-2"`)) > 0 })
}

// lapse removes a target's entry right after the store has been away.
func lapse(b *bed, app *platformtest.Target) {
	b.vms[0].StoreServer.Set(platformtest.StoreUnavailable)
	b.until("disturbed", func() bool { return len(b.logs.lines("lost the direct path")) > 0 })
	b.site.UnlistTarget(app)
	b.vms[0].StoreServer.Set(platformtest.StoreNormal)
	b.until("lapsed", func() bool { return len(b.logs.lines("target lapsed")) > 0 })
}

// Targets whose entries lapse while the store is away are kept until two
// seconds after its return.
func TestLapsedTargetsAreKept(t *testing.T) {
	b := newBed(t, "near-a")
	app := b.target("app-1", "app", "near-a")
	lapse(b, app)
	assert.Equal(t, b.do(call{path: "/read/1"}).status, 200)
	b.until("gone", func() bool { return len(b.logs.lines("target dropped")) > 0 })
	assert.Equal(t, b.do(call{path: "/read/1"}).status, 503)
}

// A lapsed target that comes back within the grace stays in use, and says so.
func TestLapsedTargetComesBack(t *testing.T) {
	b := newBed(t, "near-a")
	app := b.target("app-1", "app", "near-a")
	lapse(b, app)
	b.site.ListTarget(app, "near-a")
	b.until("back", func() bool {
		return len(b.logs.lines("target is listed again")) == 1
	})
	assert.Equal(t, b.do(call{path: "/read/1"}).status, 200)
}

// An entry that can't be read names no target and hurts no other.
func TestMalformedEntry(t *testing.T) {
	b := newBed(t, "near-a")
	b.target("app-1", "app", "near-a")
	b.site.PutTargetEntry("bad-1", `{"service":7}`)
	b.site.PutTargetEntry("bad-2", "\xff\x00")
	b.site.PutTargetEntry("bad-3", `{"service":"app","address":"127.0.0.1:1","zone":"nowhere","slots":1,"state":"ready"}`)
	b.until("seen", func() bool { return len(b.logs.lines("target entry", `"bad-`)) >= 3 })
	for range 5 {
		assert.Equal(t, b.do(call{path: "/read/1"}).status, 200)
	}
}

// A planned stop cuts no request: those in progress end, and the balancer is
// told in time.
func TestStopEndsRequestsInProgress(t *testing.T) {
	b := newBed(t)
	vm := b.site.AddVM("near-a")
	b.vms = []*platformtest.VM{vm}
	loaded, err := platform.LoadSettings(vm.SettingsPath)
	assert.NilError(t, err)
	e, err := newEndived(loaded, vm.SettingsPath, slog.New(slog.NewJSONHandler(b.logs, nil)))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.kernel.Run(ctx, 7*time.Second) }()
	app := b.target("app-1", "app", "near-a")
	app.Set(platformtest.Behaviour{Duration: 3500 * time.Millisecond})
	config := platformtest.BasicConfig()
	config.Routes[2].TimeoutMs = 6000
	b.site.PutConfig(config)
	b.until("second version", func() bool { return len(b.logs.lines("configuration in force")) >= 2 })
	got := make(chan reply, 1)
	go func() {
		got <- b.do(call{path: "/order/1", header: map[string]string{platformtest.HeaderDeadline: "6000"}})
	}()
	b.until("running", func() bool { return app.Running() == 1 })
	cancel()
	b.until("not ready", func() bool {
		resp, err := b.client.Get("http://" + vm.ReadinessAddress + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 503
	})
	assert.Equal(t, (<-got).status, 200)
	assert.NilError(t, <-done)
}

// A refused request can be found by its ID with what decided it.
func TestRefusalIsLogged(t *testing.T) {
	b := newBed(t, "near-a")
	got := b.do(call{path: "/read/1"})
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
