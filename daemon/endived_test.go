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

// A request reaches the target as the caller sent it, except that the account's name
// replaces the key, the deadline is the remaining time, and reserved headers are removed.
// The response comes back unchanged.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	b := newTestSite(t, "near-a")
	app := b.addTarget("app-1", "app", "near-a")
	got := b.send(request{method: http.MethodPost, path: "/order/7?x=%2F&y", body: "payload", header: map[string]string{
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

// Requests with an unknown key, no key, no route or a body that is too large are refused
// before they reach a target. A public route needs no key.
func TestInvalidRequestsAreRefused(t *testing.T) {
	b := newTestSite(t, "near-a")
	app := b.addTarget("app-1", "app", "near-a")
	for name, c := range map[string]struct {
		request request
		status  int
	}{
		"unknown key":         {request{path: "/read/1", key: "other"}, 401},
		"no key":              {request{path: "/read/1", key: "none"}, 401},
		"no route":            {request{path: "/nowhere/1"}, 404},
		"public without key":  {request{path: "/open/1", key: "none"}, 200},
		"body over the limit": {request{path: "/read/1", body: strings.Repeat("x", 1<<20+1)}, 413},
	} {
		got := b.send(c.request)
		assert.NilError(t, got.err, name)
		assert.Equal(t, got.status, c.status, name)
	}
	assert.Equal(t, len(app.Runs()), 1)
	assert.Equal(t, app.Runs()[0].Header.Get(platformtest.HeaderAccount), "")
}

// A withdrawn key stops working on every VM, also on connections that are already open, and
// the new key works there. An older version never replaces a newer one.
func TestNewConfigurationTakesEffect(t *testing.T) {
	b := newTestSite(t, "near-a", "near-b")
	b.addTarget("app-1", "app", "near-a")
	assert.Equal(t, b.send(request{path: "/read/1"}).status, 200)
	config := platformtest.BasicConfig()
	config.Tenants[0].APIKeys = []string{"key-new"}
	b.site.PutConfig(config)
	for _, vm := range b.vms {
		b.waitUntil("withdrawn", func() bool { return b.send(request{vm: vm, path: "/read/1"}).status == 401 })
		assert.Equal(t, b.send(request{vm: vm, path: "/read/1", key: "key-new"}).status, 200)
	}
}

// A VM that gets no direct access to the store serves turns and follows the configuration
// through its peers, whichever way the store fails.
func TestStoreIsReachedThroughPeers(t *testing.T) {
	for name, mode := range map[string]platformtest.StoreMode{
		"busy": platformtest.StoreUnavailable, "many": platformtest.StoreRateLimited,
		"reset": platformtest.StoreReset, "silent": platformtest.StoreSilent,
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestSite(t, "near-a", "near-b")
			b.addTarget("engine-1", "engine", "near-a")
			b.waitUntil("peers", func() bool { return len(b.logs.lines(`"peer `)) >= 2 })
			first := b.sendTurn(b.vms[0], "", "first ")
			assert.Equal(t, first.status, 200)
			b.vms[0].StoreServer.Set(mode)
			b.waitUntil("turn through the peer", func() bool { return b.sendTurn(b.vms[0], first.id, "second ").status == 200 })
			config := platformtest.BasicConfig()
			config.Tenants[0].APIKeys = []string{"key-new"}
			b.site.PutConfig(config)
			b.waitUntil("configuration through the peer", func() bool { return b.send(request{vm: b.vms[0], path: "/read/1"}).status == 401 })
		})
	}
}

// While no VM reaches the store, requests that need it are refused at once with a
// Retry-After header, and requests that don't need it are served.
func TestStoreUnreachableFromAllVMs(t *testing.T) {
	b := newTestSite(t, "near-a")
	b.addTarget("engine-1", "engine", "near-a")
	b.addTarget("app-1", "app", "near-a")
	b.vms[0].StoreServer.Set(platformtest.StoreUnavailable)
	b.waitUntil("away", func() bool {
		got := b.sendTurn(b.vms[0], "", "x")
		return got.status == 503 && got.header.Get("Retry-After") != ""
	})
	start := time.Now()
	assert.Equal(t, b.sendTurn(b.vms[0], "", "x").status, 503)
	assert.Assert(t, time.Since(start) < 200*time.Millisecond)
	assert.Equal(t, b.send(request{path: "/read/1"}).status, 200)
}
