package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/queue/fair"
	"github.com/endivecourse/endivecourse/queue/fifo"
	"github.com/endivecourse/endivecourse/queue/las"
	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/route/leastloaded"
	"github.com/endivecourse/endivecourse/route/prefix"
	"github.com/endivecourse/endivecourse/structs"
)

var policies = []struct {
	name  string
	queue queue.Factory
	route route.Factory
}{
	{"fifo, leastloaded", func() queue.Policy { return &fifo.Policy{} }, func() route.Policy { return &leastloaded.Policy{} }},
	{"las, prefix", func() queue.Policy { return las.New() }, func() route.Policy { return prefix.New() }},
	{"fair, prefix", func() queue.Policy { return fair.New() }, func() route.Policy { return prefix.New() }},
}

// overLimit chooses the first target whatever its limit.
type overLimit struct{ leastloaded.Policy }

func (*overLimit) Choose(_ structs.Instant, _ queue.Item, candidates []route.Target) (structs.TargetID, bool) {
	return candidates[0].ID, true
}

func TestTargetAtItsLimitIsAnInvariant(t *testing.T) {
	d := New(Options{Domain: "north", Queue: &fifo.Policy{}, Route: &overLimit{}})
	d.SetTarget(TargetSpec{ID: "a", Domain: "north", MaxCalls: 1})
	d.SetTarget(TargetSpec{ID: "b", Domain: "north", MaxCalls: 1})
	d.Push(0, queue.Item{ID: 1})
	d.Push(0, queue.Item{ID: 2})
	_, _, found, err := d.Next(0)
	assert.NilError(t, err)
	assert.Assert(t, found)
	_, _, _, err = d.Next(0)
	var violated *structs.InvariantError
	assert.Assert(t, errorsAs(err, &violated))
	assert.Equal(t, d.Waiting(), 1)
}

func errorsAs(err error, target **structs.InvariantError) bool {
	violated, ok := err.(*structs.InvariantError)
	*target = violated
	return ok
}

// Whatever arrives, ends, fails, is reported or leaves: no call is lost or
// given twice, no target gets more than its most, closed and down ones get
// nothing, and all calls are served in the end.
func TestNoCallIsLostAndNoLimitPassed(t *testing.T) {
	for _, p := range policies {
		t.Run(p.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(New(Options{Domain: "north", Queue: p.queue(), Route: p.route()}))
				for range rapid.IntRange(1, 150).Draw(t, "steps") {
					m.now = m.now.Add(100 * time.Millisecond)
					m.step(t)
					m.serve(t)
				}
				m.finishAll(t)
			})
		})
	}
}

type model struct {
	d       *Dispatcher
	now     structs.Instant
	next    uint64
	waiting map[uint64]queue.Item
	flying  map[uint64]structs.TargetID
	specs   map[structs.TargetID]TargetSpec
}

func newModel(d *Dispatcher) *model {
	m := &model{d: d, now: 1, waiting: map[uint64]queue.Item{}, flying: map[uint64]structs.TargetID{}, specs: map[structs.TargetID]TargetSpec{}}
	for i, domain := range []structs.DomainID{"north", "north", "south"} {
		m.set(TargetSpec{ID: structs.TargetID(fmt.Sprint("t", i)), Domain: domain, MaxCalls: 3, LearnsLimit: i == 1})
	}
	return m
}

func (m *model) set(spec TargetSpec) {
	m.specs[spec.ID] = spec
	m.d.SetTarget(spec)
}

func (m *model) step(t *rapid.T) {
	id := structs.TargetID(fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "target")))
	switch rapid.IntRange(0, 7).Draw(t, "step") {
	case 0, 1, 2:
		m.push(t)
	case 3, 4:
		m.end(t, rapid.Bool().Draw(t, "ok"))
	case 5:
		m.d.RecordLoad(m.now, id, Load{Running: rapid.IntRange(0, 5).Draw(t, "running"), Waiting: rapid.IntRange(0, 2).Draw(t, "waiting")})
	case 6:
		spec := m.specs[id]
		spec.Closed = rapid.Bool().Draw(t, "closed")
		m.set(spec)
	case 7:
		gone := rapid.Uint64Range(0, m.next).Draw(t, "remove")
		_, waits := m.waiting[gone]
		assert.Equal(t, m.d.Remove(gone), waits)
		delete(m.waiting, gone)
	}
}

func (m *model) push(t *rapid.T) {
	m.next++
	name := fmt.Sprint("p", m.next)
	item := queue.Item{
		ID: m.next, Account: structs.AccountID(fmt.Sprint(m.next % 3)), Program: structs.ProgramID(name), Number: m.next % 2,
		PromptTokens: 1000, OutputTokens: 10, Weight: 1, ArrivedAt: m.now,
		Prefixes: []queue.Prefix{{Hash: 1, Tokens: 500}, {Hash: rapid.Uint64Range(2, 9).Draw(t, "prefix"), Tokens: 1000}},
	}
	m.waiting[item.ID] = item
	m.d.Push(m.now, item)
}

func (m *model) serve(t *rapid.T) {
	for {
		item, id, found, err := m.d.Next(m.now)
		assert.NilError(t, err)
		if !found {
			return
		}
		_, waits := m.waiting[item.ID]
		assert.Assert(t, waits, "call %d was not waiting", item.ID)
		delete(m.waiting, item.ID)
		m.flying[item.ID] = id
		assert.Assert(t, !m.specs[id].Closed)
		at := 0
		for _, other := range m.flying {
			if other == id {
				at++
			}
		}
		assert.Assert(t, at <= m.specs[id].MaxCalls)
	}
}

func (m *model) end(t *rapid.T, ok bool) {
	for call := range m.next + 1 {
		if id, flies := m.flying[call]; flies {
			usage := structs.Usage{PromptTokens: 1000, CachedTokens: rapid.Int64Range(0, 1000).Draw(t, "cached"), OutputTokens: 10}
			item, known := m.d.RecordFinish(m.now, call, id, usage, ok)
			assert.Assert(t, known)
			m.d.ForgetProgram(item.Program)
			delete(m.flying, call)
			return
		}
	}
}

func (m *model) finishAll(t *rapid.T) {
	for id, spec := range m.specs {
		spec.Closed = false
		m.specs[id] = spec
		m.d.SetTarget(spec)
	}
	for range 4 * (m.next + 1) {
		m.now = m.now.Add(time.Second)
		m.serve(t)
		m.end(t, true)
	}
	assert.Equal(t, len(m.waiting), 0)
	assert.Equal(t, m.d.Waiting(), 0)
	assert.Equal(t, len(m.flying), 0)
}
