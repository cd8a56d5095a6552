package edge

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a response that is passed on although the request is about to be abandoned.
func TestResponseAfterAbandonIsNotUsed(t *testing.T) {
	paths := newTargetPaths()
	answered, end := paths.begin(func() {})
	delete(paths.abandon, paths.lastAttempt) // as checkPaths does before it cancels the request
	assert.Assert(t, !answered())
	end()
	for _, abandon := range []func(){nil, func() {}} {
		answered, end := paths.begin(abandon)
		assert.Assert(t, answered())
		end()
	}
}
