package edge

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The end of an event may be split over two reads at any byte, and its lines may end with a
// line feed or with CRLF.
func TestCompleteEventsOverReads(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n"} {
		stream := strings.ReplaceAll("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", "\n", lineEnd)
		complete := strings.LastIndex(stream, "id: 3")
		assert.Equal(t, firstEvent([]byte(stream)), strings.Index(stream, "id: 2"))
		for split := range len(stream) {
			first := completeEvents([]byte(stream[:split]), 0)
			rest := stream[first:]
			second := completeEvents([]byte(rest), split-first)
			assert.Equal(t, first+second, complete, "split at %d", split)
		}
	}
}
