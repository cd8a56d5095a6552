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

// A gateway whose configuration is unconfirmed for too long refuses what needs
// a key, with run no, and serves open routes; without a limit it serves on.
func TestStaleConfiguration(t *testing.T) {
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
			s := newScheduler(t)
			var age atomic.Int64
			age.Store(int64(c.age))
			b := newBed(t, func(o *Options) {
				o.MaxStale = c.limit
				o.ConfigAge = func() time.Duration { return time.Duration(age.Load()) }
			}, s)
			assert.Equal(t, b.g.DumpState().(State).IsConfigStale, c.stale)
			for _, path := range []string{"/v1/programs", "/services/orders"} {
				answer := b.do("POST", path, `{"program": "plan"}`)
				assert.Equal(t, answer.status == http.StatusServiceUnavailable, c.stale, answer.body)
				if c.stale {
					assert.Assert(t, strings.Contains(answer.body, string(structs.RefusedStaleConfig)))
					assert.Assert(t, strings.Contains(answer.body, `"run":"no"`))
				}
			}
			open := b.do("GET", "/services/notices", "", "Authorization", "")
			assert.Equal(t, open.status, http.StatusOK)
			age.Store(0)
			assert.Equal(t, b.do("POST", "/services/orders", "").status, http.StatusOK)
		})
	}
}
