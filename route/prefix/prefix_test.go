package prefix

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/structs"
)

func call(program string, number uint64, lengths ...int64) queue.Item {
	item := queue.Item{ID: number, Program: structs.ProgramID(program), Account: "a", Weight: 1, Number: number}
	for i, length := range lengths {
		item.PromptTokens += length
		hash := uint64(1)
		if i > 0 {
			hash = uint64(program[0])*1000 + uint64(i)
		}
		item.Prefixes = append(item.Prefixes, queue.Prefix{Hash: hash, Tokens: item.PromptTokens})
	}
	return item
}

func twoTargets() []route.Target {
	return []route.Target{{ID: "a", Limit: 20, ReportAge: -1}, {ID: "b", Limit: 20, ReportAge: -1}}
}

func TestNextCallGoesWhereThePromptIsCached(t *testing.T) {
	p := New()
	first := call("p", 1, 1000, 2000)
	p.RecordDispatch(0, first, "b")
	p.RecordFinish(0, first, "b", 0, 100, true)
	next := call("p", 2, 1000, 2000, 100, 300)
	targets := twoTargets()
	id, found := p.Choose(0, next, targets)
	assert.Assert(t, found)
	assert.Equal(t, id, structs.TargetID("b"))
	targets[1].InFlight = 15
	id, _ = p.Choose(0, next, targets)
	assert.Equal(t, id, structs.TargetID("a"), "too much load for what is cached")
}

func TestEstimateIsCorrected(t *testing.T) {
	first, next := call("p", 1, 1000, 2000), call("p", 2, 1000, 2000, 100, 300)
	cases := []struct {
		name    string
		correct func(*Policy)
	}{
		{"by a cache event", func(p *Policy) {
			p.RecordCacheEvent(0, route.CacheEvent{Target: "b", Prefix: first.Prefixes[1].Hash, Evicted: true})
		}},
		{"by a failed call", func(p *Policy) { p.RecordFinish(0, first, "b", 0, 0, false) }},
		{"by a target that left", func(p *Policy) { p.ForgetTarget("b") }},
	}
	for _, c := range cases {
		p := New()
		p.RecordDispatch(0, first, "b")
		assert.Equal(t, p.index.cachedAt("b", next.Prefixes), int64(3000))
		c.correct(p)
		assert.Assert(t, p.index.cachedAt("b", next.Prefixes) < 3000, c.name)
	}
	p := New()
	p.RecordCacheEvent(0, route.CacheEvent{Target: "a", Prefix: first.Prefixes[1].Hash, Tokens: 3000})
	assert.Equal(t, p.index.cachedAt("a", next.Prefixes), int64(3000))
}

func TestItemWaitsForItsCacheOnlyForAWhile(t *testing.T) {
	p := New()
	p.RecordDispatch(0, call("p", 1, 1000, 2000), "b")
	targets := twoTargets()
	targets[1].InFlight = targets[1].Limit
	next := call("p", 2, 1000, 2000, 300)
	_, found := p.Choose(0, next, targets)
	assert.Assert(t, !found)
	id, found := p.Choose(structs.Instant(maxHold), next, targets)
	assert.Assert(t, found)
	assert.Equal(t, id, structs.TargetID("a"))
}

// A full window holds the programs of an account above its share back, and
// neither calls of programs under way nor accounts below their share.
func TestWindow(t *testing.T) {
	w := newWindows()
	now := structs.Instant(1)
	for i := range 100 {
		item := call(fmt.Sprint(i), 1, 1000, 2000)
		w.enter(now, item, "b")
		w.answered(now, item, "b", 0, 100)
	}
	assert.Assert(t, w.open(call("x", 1, 10), "b"), "no loss was seen")
	for i := range 100 {
		w.answered(now, call(fmt.Sprint(i), 2, 1000, 2000, 300), "b", 1000, 100)
	}
	assert.Assert(t, !w.open(call("x", 1, 10), "b"))
	other := call("x", 1, 10)
	other.Account = "other"
	assert.Assert(t, w.open(other, "b"))
	p := &Policy{index: newIndex(), windows: w, rng: 1}
	only := []route.Target{{ID: "b", Limit: 9}}
	_, found := p.Choose(now, call("x", 1, 10), only)
	assert.Assert(t, !found)
	_, found = p.Choose(now, call("x", 2, 10), only)
	assert.Assert(t, found)
	w.enter(now.Add(2*residentFor), call("y", 1, 10), "b")
	assert.Assert(t, w.open(call("x", 1, 10), "b"), "programs without calls still count")
}

// Tokens and weights of a target are the sums over its programs and accounts,
// and a chosen target is never at its limit.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New()
		var now structs.Instant
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			item := call(rapid.SampledFrom([]string{"p", "q", "r", "s"}).Draw(t, "program"), rapid.Uint64Range(1, 3).Draw(t, "number"), 1000, 500, 70)
			item.Account = structs.AccountID(item.Program[:1])
			targets := twoTargets()
			for i := range targets {
				targets[i].InFlight = rapid.IntRange(18, 20).Draw(t, "in flight")
			}
			id, found := p.Choose(now, item, targets)
			if found {
				target, _ := slice(targets).Find(id)
				assert.Assert(t, target.HasRoom())
				p.RecordDispatch(now, item, id)
				p.RecordFinish(now, item, id, rapid.Int64Range(0, 1500).Draw(t, "cached"), 20, rapid.Bool().Draw(t, "ok"))
			}
			if rapid.IntRange(0, 9).Draw(t, "end") == 0 {
				p.ForgetProgram(item.Program)
			}
			checkSums(t, p.windows)
		}
	})
}

func checkSums(t *rapid.T, w *windows) {
	for id, target := range w.targets {
		var tokens, accounts int64
		var weight float64
		for _, r := range w.programs {
			if r.target == id {
				tokens += r.tokens
			}
		}
		for _, s := range target.accounts {
			accounts += s.tokens
			weight += s.weight
		}
		assert.Equal(t, target.resident, tokens)
		assert.Equal(t, target.resident, accounts)
		assert.Equal(t, target.weight, weight)
	}
}
