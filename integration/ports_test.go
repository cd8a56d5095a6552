package integration

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two runs side by side that choose the same ports before either listens on them.
func TestRunsSideBySideGetDifferentPorts(t *testing.T) {
	const dir = "../examples/accra"
	first, second := newPortMap(t, dir), newPortMap(t, dir)
	for addr := range exampleAddrs(t, dir) {
		assert.Assert(t, addr != portMarker)
		assert.Assert(t, first(addr) != second(addr), "both runs got %s", first(addr))
	}
}
