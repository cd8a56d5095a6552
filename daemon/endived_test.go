package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// Requests reach the targets as sent, with the account's name in place of the
// key and the time left; answers come back unchanged.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	b := newBed(t, "near-a")
	app := b.target("app-1", "app", "near-a")
	got := b.do(call{method: http.MethodPost, path: "/order/7?x=%2F&y", body: "payload", header: map[string]string{
		"X-Custom": "kept", platformtest.HeaderAccount: "forged", "X-Endivecourse-Hold": "forged", "Kv-From": "forged",
	}})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "answer to "+got.id)
	assert.Equal(t, got.header.Get(platformtest.HeaderStamp), "stamp-"+got.id)
	runs := app.Runs()
	assert.Equal(t, len(runs), 1)
	run := runs[0]
	assert.Equal(t, run.URI, "/order/7?x=%2F&y")
	assert.Equal(t, run.Body, "payload")
	assert.Equal(t, run.Header.Get("X-Custom"), "kept")
	assert.Equal(t, run.Header.Get(platformtest.HeaderAccount), "one")
	assert.Equal(t, run.Header.Get(platformtest.HeaderExpectedTarget), "app-1")
	assert.Equal(t, run.Header.Get(platformtest.HeaderKey), "")
	assert.Equal(t, run.Header.Get("X-Endivecourse-Hold"), "")
	assert.Equal(t, run.Header.Get("Kv-From"), "")
	var left int
	_, err := fmt.Sscan(run.Header.Get(platformtest.HeaderDeadline), &left)
	assert.NilError(t, err)
	assert.Assert(t, left > 2500 && left <= 3000, "%d ms left of the route's 3000", left)
}

// Keys, routes and public routes.
func TestWhatIsDenied(t *testing.T) {
	b := newBed(t, "near-a")
	app := b.target("app-1", "app", "near-a")
	for name, c := range map[string]struct {
		call   call
		status int
	}{
		"unknown key":         {call{path: "/read/1", key: "other"}, 401},
		"no key":              {call{path: "/read/1", key: "none"}, 401},
		"no route":            {call{path: "/nowhere/1"}, 404},
		"public without key":  {call{path: "/open/1", key: "none"}, 200},
		"body over the limit": {call{path: "/read/1", body: strings.Repeat("x", 1<<20+1)}, 413},
	} {
		got := b.do(c.call)
		assert.NilError(t, got.err, name)
		assert.Equal(t, got.status, c.status, name)
	}
	assert.Equal(t, len(app.Runs()), 1)
	assert.Equal(t, app.Runs()[0].Header.Get(platformtest.HeaderAccount), "")
}

// A withdrawn key stops working on a connected caller, and a new version never
// gives way to an older one.
func TestNewConfigurationIsInForce(t *testing.T) {
	b := newBed(t, "near-a", "near-b")
	b.target("app-1", "app", "near-a")
	assert.Equal(t, b.do(call{path: "/read/1"}).status, 200)
	config := platformtest.BasicConfig()
	config.Tenants[0].APIKeys = []string{"key-new"}
	b.site.PutConfig(config)
	for _, vm := range b.vms {
		b.until("withdrawn", func() bool { return b.do(call{vm: vm, path: "/read/1"}).status == 401 })
		assert.Equal(t, b.do(call{vm: vm, path: "/read/1", key: "key-new"}).status, 200)
	}
}

// A VM that the store turns away serves turns through its peers, whichever way
// it is turned away.
func TestStoreIsReachedThroughPeers(t *testing.T) {
	for name, mode := range map[string]platformtest.StoreMode{
		"busy": platformtest.StoreUnavailable, "many": platformtest.StoreRateLimited,
		"reset": platformtest.StoreReset, "silent": platformtest.StoreSilent,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, "near-a", "near-b")
			b.target("engine-1", "engine", "near-a")
			b.until("peers", func() bool { return len(b.logs.lines(`"peer `)) >= 2 })
			first := b.turn(b.vms[0], "", "first ")
			assert.Equal(t, first.status, 200)
			b.vms[0].StoreServer.Set(mode)
			b.until("turn through the peer", func() bool { return b.turn(b.vms[0], first.id, "second ").status == 200 })
			config := platformtest.BasicConfig()
			config.Tenants[0].APIKeys = []string{"key-new"}
			b.site.PutConfig(config)
			b.until("configuration through the peer", func() bool { return b.do(call{vm: b.vms[0], path: "/read/1"}).status == 401 })
		})
	}
}

// A store that is away from all VMs is said so at once, with the time to come
// back; requests that need no store go on.
func TestStoreAwayFromAll(t *testing.T) {
	b := newBed(t, "near-a")
	b.target("engine-1", "engine", "near-a")
	b.target("app-1", "app", "near-a")
	b.vms[0].StoreServer.Set(platformtest.StoreUnavailable)
	b.until("away", func() bool {
		got := b.turn(b.vms[0], "", "x")
		return got.status == 503 && got.header.Get("Retry-After") != ""
	})
	start := time.Now()
	assert.Equal(t, b.turn(b.vms[0], "", "x").status, 503)
	assert.Assert(t, time.Since(start) < 200*time.Millisecond)
	assert.Equal(t, b.do(call{path: "/read/1"}).status, 200)
}
