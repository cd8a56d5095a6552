package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// Guards against slots that stay taken by callers which leave in the middle of a whole answer.
func TestCallersThatLeaveMidAnswerKeepNoSlots(t *testing.T) {
	const slots = 4
	b := newTestSite(t, "near-a")
	app := b.addTarget("app-1", "app", "near-a")
	app.Set(platformtest.Behaviour{AnswerBytes: 12 << 20})
	for range 2 * slots {
		ctx, leave := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.vms[0].CallerAddress+"/read/1", strings.NewReader("x"))
		assert.NilError(t, err)
		req.Host = platformtest.Host
		req.Header.Set(platformtest.HeaderRequestID, "left")
		req.Header.Set(platformtest.HeaderKey, "key-one")
		resp, err := b.client.Do(req)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		leave()
		resp.Body.Close()
	}
	app.Set(platformtest.Behaviour{})
	r := b.send(request{path: "/read/1"})
	assert.Equal(t, r.status, http.StatusOK, r.body)
}

// Guards against kept connections that are idle when they are closed, although an answer has
// begun on them since the VM left the rotation.
func TestResponseThatBeginsDuringDrainClosesConnection(t *testing.T) {
	b := newTestSite(t)
	vm := b.site.AddVM("near-a")
	b.vms = []*platformtest.VM{vm}
	stop := b.startWithDrain(vm, 7*time.Second)
	b.waitReady(vm)
	app := b.addTarget("app-1", "app", "near-a")
	app.Set(platformtest.Behaviour{Duration: 500 * time.Millisecond})
	done := make(chan response, 1)
	go func() { done <- b.send(request{path: "/read/1"}) }()
	b.waitUntil("running", func() bool { return app.Running() == 1 })
	go stop()
	r := <-done
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Assert(t, r.closes)
}
