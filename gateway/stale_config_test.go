package gateway

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// A gateway whose configuration has not been confirmed within the limit refuses requests
// that need a key, with run "no", and serves open routes. Without a limit it serves all.
func TestStaleConfigRefusesKeyedRequests(t *testing.T) {
	const limit = 20 * time.Second
	cases := []struct {
		name  string
		limit time.Duration
		age   time.Duration
		stale bool
	}{
		{"at the limit", limit, limit, false},
		{"over the limit", limit, limit + 1, true},
		{"no limit", 0, 1 << 60, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newFakeScheduler(t)
			var age atomic.Int64
			age.Store(int64(c.age))
			gw := newTestGateway(t, func(o *Options) {
				o.MaxStale = c.limit
				o.ConfigAge = func() time.Duration { return time.Duration(age.Load()) }
			}, s)
			assert.Equal(t, gw.g.DumpState().(State).IsConfigStale, c.stale)
			for _, path := range []string{"/v1/programs", "/services/orders"} {
				response := gw.do("POST", path, `{"program": "plan"}`)
				assert.Equal(t, response.status == http.StatusServiceUnavailable, c.stale, response.body)
				if c.stale {
					assert.Assert(t, strings.Contains(response.body, string(structs.RefusedStaleConfig)))
					assert.Assert(t, strings.Contains(response.body, `"run":"no"`))
				}
			}
			open := gw.do("GET", "/services/notices", "", "Authorization", "")
			assert.Equal(t, open.status, http.StatusOK)
			age.Store(0)
			assert.Equal(t, gw.do("POST", "/services/orders", "").status, http.StatusOK)
		})
	}
}
