package edge

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a few callers whose long bodies, which have not arrived, keep out all requests
// with a body.
func TestLongBodiesLeaveMemoryForShortOnes(t *testing.T) {
	placer := -1
	const memory = 100 << 20
	s := New(Options{MemoryBytes: memory, Store: newServersInRegions(1, &placer)[0].opts.Store, Local: newServersInRegions(1, &placer)[0].opts.Local})
	long := 0
	for ; s.ReserveRequestBody(1<<20, 0) == nil; long++ {
	}
	assert.Equal(t, long, 15, "MB of long bodies")
	short := 0
	for ; s.ReserveRequestBody(10<<10, 0) == nil; short++ {
	}
	assert.Equal(t, short, 512, "short bodies beside them")
	refusal := s.ReserveRequestBody(10<<10, 0)
	assert.Assert(t, refusal.RetryAfter > 0)
	s.ReleaseRequestBody(1 << 20)
	assert.Assert(t, s.ReserveRequestBody(10<<10, 0) == nil)
}
