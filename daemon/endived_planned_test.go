package daemon

import (
	"context"
	"net/http"
	"strings"
	"testing"

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
