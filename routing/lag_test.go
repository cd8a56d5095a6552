package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// Guards against a VM that lags all the time during a series of changes and whose reported
// lag starts again with each one.
func TestLagCountsFromTheOldestVersionThatIsMissing(t *testing.T) {
	at := func(ms int) structs.Instant { return structs.Instant(time.Duration(ms) * time.Millisecond) }
	var l lag
	assert.DeepEqual(t, l.state(at(50)), Lag{})
	assert.Assert(t, l.note(at(100), 4, "a"))
	assert.Assert(t, !l.note(at(200), 4, "b"))
	assert.Assert(t, l.note(at(300), 7, "b"))
	assert.Assert(t, !l.note(at(400), 4, "c"), "an older version than the newest one known")
	assert.DeepEqual(t, l.state(at(500)), Lag{Version: 7, Source: "a", For: 400 * time.Millisecond, HeardAgo: 100 * time.Millisecond})
	l.apply(5)
	assert.DeepEqual(t, l.state(at(500)), Lag{Version: 7, Source: "b", For: 200 * time.Millisecond, HeardAgo: 100 * time.Millisecond})
	l.apply(7)
	assert.DeepEqual(t, l.state(at(600)), Lag{})
}
