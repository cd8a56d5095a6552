package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// laterSnapshot is a fakeSnapshot of a later version.
type laterSnapshot struct {
	*fakeSnapshot
	version uint64
}

func (s laterSnapshot) Version() uint64 { return s.version }

// drainTarget puts a version in force that drains, or no longer drains, a
// target of the service llm.
func (n *node) drainTarget(t *testing.T, version uint64, id structs.TargetID, drain bool) {
	t.Helper()
	doc := testDocument()
	target := doc.Services["llm"].Targets[id]
	target.IsDraining = drain
	doc.Services["llm"].Targets[id] = target
	snapshot := laterSnapshot{fakeSnapshot: &fakeSnapshot{doc: doc}, version: version}
	assert.NilError(t, n.ask(background, func(l *loop) {
		l.s.opts.Config = func() Snapshot { return snapshot }
		l.syncTargets()
	}))
}

func TestDrainedTargetGetsNothing(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		site := newSite()
		n := site.start("one")
		owned(n)
		n.create(t, "north/p")
		n.drainTarget(t, 2, "a", true)
		for number := uint64(1); number <= 5; number++ {
			_, err := n.do(background, ask("north/p", number, "text"))
			assert.NilError(t, err)
		}
		assert.Equal(t, site.targets["a"].requests(), 0)
		state := n.DumpState().(State)
		assert.Assert(t, state.Services["llm"].Targets["a"].IsDrained)
		n.drainTarget(t, 3, "a", false)
		for number := uint64(6); number <= 10; number++ {
			_, err := n.do(background, ask("north/p", number, "text"))
			assert.NilError(t, err)
		}
		assert.Assert(t, site.targets["a"].requests() > 0)
		n.stop(t)
	})
}
