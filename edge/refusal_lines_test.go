package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// Guards against clients that fill the log, and take its processor time, with requests that
// are refused.
func TestLinesAboutRefusedRequestsAreBounded(t *testing.T) {
	at := func(ms int) structs.Instant { return structs.Instant(time.Duration(ms) * time.Millisecond) }
	var l refusalLines
	lines, reported := 0, 0
	for ms := 1; ms <= 10_000; ms++ {
		for range 3 {
			isAllowed, dropped := l.take(at(ms))
			reported += dropped
			if isAllowed {
				lines++
			}
		}
	}
	assert.Assert(t, lines <= 11*maxRefusalLines, "%d lines in 10 s", lines)
	_, dropped := l.take(at(20_000))
	assert.Equal(t, lines+reported+dropped, 30_000)
	isAllowed, dropped := l.take(at(20_001))
	assert.Assert(t, isAllowed && dropped == 0)
}
