package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/quarantine"
)

// Guards against BUDGET: whatever VMs know of the crashes of a request, the row in the store
// allows no more than maxTrials trials in the period of a quarantine, and no two at a time that
// know of the same crashes.
func TestTrialsAreBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var row trialRow
		var begun []int64 // the instants of trials, in milliseconds
		now := int64(1)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += rapid.Int64Range(0, 90_000).Draw(rt, "pause_ms")
			crashes := rapid.IntRange(3, 8).Draw(rt, "crashes")
			if !row.mayTry(now, crashes) {
				continue
			}
			if n := len(begun); n > 0 && crashes <= row.Crashes && now-begun[n-1] < trialTime.Milliseconds() {
				rt.Fatalf("a trial after %d ms without another crash", now-begun[n-1])
			}
			row = row.next(now, crashes)
			begun = append(begun, now)
			if n := len(begun); n > maxTrials && now-begun[n-1-maxTrials] < quarantine.DefaultPeriod.Milliseconds() {
				rt.Fatalf("%d trials within %d ms", maxTrials+1, now-begun[n-1-maxTrials])
			}
		}
	})
	assert.Assert(t, (&trialRow{}).mayTry(time.Now().UnixMilli(), 3))
}
