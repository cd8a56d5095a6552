package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// versionedSnapshot is a fakeSnapshot with a given version.
type versionedSnapshot struct {
	*fakeSnapshot
	version uint64
}

func (s versionedSnapshot) Version() uint64 { return s.version }

// drainTarget applies a new configuration version that sets whether a target of the
// service llm is drained.
func (n *testNode) drainTarget(t *testing.T, version uint64, id structs.TargetID, isDrained bool) {
	t.Helper()
	doc := testDocument()
	target := doc.Services["llm"].Targets[id]
	target.IsDraining = isDrained
	doc.Services["llm"].Targets[id] = target
	snapshot := versionedSnapshot{fakeSnapshot: &fakeSnapshot{doc: doc}, version: version}
	assert.NilError(t, n.runOnLoop(background, func(l *loop) {
		l.s.opts.Config = func() Snapshot { return snapshot }
		l.syncTargets()
	}))
}

func TestDrainedTargetGetsNoCalls(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newTestSite()
		n := site.start("one")
		waitForSlots(n)
		n.create(t, "north/p")
		n.drainTarget(t, 2, "a", true)
		for number := uint64(1); number <= 5; number++ {
			_, err := n.sendCall(background, modelCall("north/p", number, "text"))
			assert.NilError(t, err)
		}
		assert.Equal(t, site.targets["a"].requests(), 0)
		state := n.DumpState().(State)
		assert.Assert(t, state.Services["llm"].Targets["a"].IsDrained)
		n.drainTarget(t, 3, "a", false)
		for number := uint64(6); number <= 10; number++ {
			_, err := n.sendCall(background, modelCall("north/p", number, "text"))
			assert.NilError(t, err)
		}
		assert.Assert(t, site.targets["a"].requests() > 0)
		n.stop(t)
	})
}
