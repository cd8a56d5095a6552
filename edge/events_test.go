package edge

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The end of an event may be split over two reads at any byte.
func TestCompleteEventsOverReads(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"
	complete := strings.LastIndex(stream, "\n\n") + 2
	for split := range len(stream) {
		first := completeEvents([]byte(stream[:split]), 0)
		rest := stream[first:]
		second := completeEvents([]byte(rest), split-first)
		assert.Equal(t, first+second, complete, "split at %d", split)
	}
}
