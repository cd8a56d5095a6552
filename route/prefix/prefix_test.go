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

// newItem returns a call whose prompt consists of messages of the given lengths in
// tokens. The first message is the same for all programs.
func newItem(program string, number uint64, lengths ...int64) queue.Item {
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

func TestNextCallGoesToTargetWithCachedPrompt(t *testing.T) {
	p := New()
	first := newItem("p", 1, 1000, 2000)
	p.RecordDispatch(0, first, "b")
	p.RecordFinish(0, first, "b", 0, 100, true)
	next := newItem("p", 2, 1000, 2000, 100, 300)
	targets := twoTargets()
	id, found := p.Choose(0, next, targets)
	assert.Assert(t, found)
	assert.Equal(t, id, structs.TargetID("b"))
	targets[1].InFlight = 15
	id, _ = p.Choose(0, next, targets)
	assert.Equal(t, id, structs.TargetID("a"), "the cached tokens do not outweigh the load")
}

func TestCacheEstimateIsCorrected(t *testing.T) {
	first, next := newItem("p", 1, 1000, 2000), newItem("p", 2, 1000, 2000, 100, 300)
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
		assert.Equal(t, p.index.cachedTokens("b", next.Prefixes), int64(3000))
		c.correct(p)
		assert.Assert(t, p.index.cachedTokens("b", next.Prefixes) < 3000, c.name)
	}
	p := New()
	p.RecordCacheEvent(0, route.CacheEvent{Target: "a", Prefix: first.Prefixes[1].Hash, Tokens: 3000})
	assert.Equal(t, p.index.cachedTokens("a", next.Prefixes), int64(3000))
}

func TestCallWaitsForCachedTargetForBoundedTime(t *testing.T) {
	p := New()
	p.RecordDispatch(0, newItem("p", 1, 1000, 2000), "b")
	targets := twoTargets()
	targets[1].InFlight = targets[1].Limit
	next := newItem("p", 2, 1000, 2000, 300)
	_, found := p.Choose(0, next, targets)
	assert.Assert(t, !found)
	id, found := p.Choose(structs.Instant(maxDelay), next, targets)
	assert.Assert(t, found)
	assert.Equal(t, id, structs.TargetID("a"))
}

// A full window must delay the first calls of programs whose account is above
// its share. It must not delay later calls of running programs or the programs
// of accounts below their share.
func TestWindowDelaysOnlyAccountsAboveTheirShare(t *testing.T) {
	w := newWindowSet()
	now := structs.Instant(1)
	for i := range 100 {
		item := newItem(fmt.Sprint(i), 1, 1000, 2000)
		w.recordDispatch(now, item, "b")
		w.recordAnswer(now, item, "b", 0, 100)
	}
	assert.Assert(t, w.canStart(newItem("x", 1, 10), "b"), "the window limits programs before any loss")
	for i := range 100 {
		w.recordAnswer(now, newItem(fmt.Sprint(i), 2, 1000, 2000, 300), "b", 1000, 100)
	}
	assert.Assert(t, !w.canStart(newItem("x", 1, 10), "b"))
	other := newItem("x", 1, 10)
	other.Account = "other"
	assert.Assert(t, w.canStart(other, "b"))
	p := &Policy{index: newCacheIndex(), windows: w, rng: 1}
	targets := []route.Target{{ID: "b", Limit: 9}}
	_, found := p.Choose(now, newItem("x", 1, 10), targets)
	assert.Assert(t, !found)
	_, found = p.Choose(now, newItem("x", 2, 10), targets)
	assert.Assert(t, found)
	w.recordDispatch(now.Add(2*residencyTimeout), newItem("y", 1, 10), "b")
	assert.Assert(t, w.canStart(newItem("x", 1, 10), "b"), "programs without recent calls are still counted")
}

// The tokens and weights of a target must be the sums over its programs and
// accounts, and a chosen target must never be at its limit.
func TestWindowSumsAndTargetLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New()
		var now structs.Instant
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			item := newItem(rapid.SampledFrom([]string{"p", "q", "r", "s"}).Draw(t, "program"), rapid.Uint64Range(1, 3).Draw(t, "number"), 1000, 500, 70)
			item.Account = structs.AccountID(item.Program[:1])
			targets := twoTargets()
			for i := range targets {
				targets[i].InFlight = rapid.IntRange(18, 20).Draw(t, "in flight")
			}
			id, found := p.Choose(now, item, targets)
			if found {
				target, _ := targetSlice(targets).Find(id)
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

func checkSums(t *rapid.T, w *windowSet) {
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
