package edge

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

func TestRecentTargetsAreBoundedAndKeepNewest(t *testing.T) {
	var recent recentTargets
	const lines = 5 * maxRecentLines
	for line := range lines {
		recent.put(fmt.Sprint(line), structs.TargetID(fmt.Sprint("target-", line)))
	}
	assert.Assert(t, len(recent.newer)+len(recent.older) <= 2*maxRecentLines)
	for line := lines - maxRecentLines; line < lines; line++ {
		assert.Equal(t, recent.get(fmt.Sprint(line)), structs.TargetID(fmt.Sprint("target-", line)))
	}
	assert.Equal(t, recent.get("0"), structs.TargetID(""))
}
