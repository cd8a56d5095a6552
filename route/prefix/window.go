package prefix

import (
	"container/list"
	"time"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// minWindow is the smallest window of a target, in tokens.
	minWindow = 32 << 10
	// A cut sets the window to cutFactor times the tokens resident at the target,
	// when too many programs lose their cache there. growthFactor is the growth
	// per call while few do, as a fraction of the window.
	cutFactor    = 0.9
	growthFactor = 1.0 / 2048
	// minCutInterval is the minimum time between cuts.
	minCutInterval = 3 * time.Second
	// maxLossRate is the fraction of calls that may find their program's cache
	// lost. lossRateSmoothing is the weight of one call in the moving average of
	// that fraction.
	maxLossRate       = 0.05
	lossRateSmoothing = 1.0 / 64
	// toleratedMissing is the fraction of a program's last prompt that may be
	// missing from the cache without counting as a loss.
	toleratedMissing = 0.1
	// residencyTimeout is the time without a call after which a program's cache
	// is no longer counted.
	residencyTimeout = 60 * time.Second
)

// windowSet limits the programs that start at each target, so that the caches of
// the running programs fit into the target's memory. The window of a target
// adapts like a congestion window: it shrinks when programs lose their cache
// between two calls and grows while few do. Accounts below their weighted share
// of the window are not limited. Invariant: resident of a target is the sum of
// the tokens of its programs, and also of its accounts.
type windowSet struct {
	targets  map[structs.TargetID]*window
	programs map[structs.ProgramID]*residentProgram
	order    *list.List // of *resident, least recently used first
	weights  map[structs.AccountID]float64
}

// window is the limit on the cached tokens of one target and their current use.
type window struct {
	tokens   float64 // 0 means no limit: maxLossRate was never exceeded
	resident int64   // tokens
	accounts map[structs.AccountID]accountUse
	weight   float64 // sum over accounts
	lossRate float64 // moving average over calls; see maxLossRate
	lastCut  structs.Instant
}

// accountUse is what the programs of one account have cached at a target.
type accountUse struct {
	tokens int64
	weight float64
}

// residentProgram is a program whose cache is counted at a target.
type residentProgram struct {
	program  structs.ProgramID
	account  structs.AccountID
	target   structs.TargetID
	tokens   int64 // of its last prompt including the answer
	prompt   int64 // tokens of its last finished prompt at the target
	lastUsed structs.Instant
	element  *list.Element
}

func newWindowSet() *windowSet {
	return &windowSet{
		targets:  make(map[structs.TargetID]*window),
		programs: make(map[structs.ProgramID]*residentProgram),
		order:    list.New(),
		weights:  make(map[structs.AccountID]float64),
	}
}

// canStart reports whether a program of the item's account may start at the
// target: its window has room, or the account is below its weighted share.
func (w *windowSet) canStart(item queue.Item, id structs.TargetID) bool {
	t := w.targets[id]
	if t == nil || t.tokens == 0 || float64(t.resident) < t.tokens {
		return true
	}
	use, known := t.accounts[item.Account]
	total := t.weight
	if !known {
		total += item.Weight
	}
	return float64(use.tokens)*total < t.tokens*item.Weight
}

// recordDispatch counts a program at the target to which its call is dispatched,
// and no longer at any other.
func (w *windowSet) recordDispatch(now structs.Instant, item queue.Item, id structs.TargetID) {
	w.expire(now)
	w.weights[item.Account] = item.Weight
	r := w.programs[item.Program]
	if r != nil && r.target != id {
		w.removeProgram(item.Program)
		r = nil
	}
	if r == nil {
		r = &residentProgram{program: item.Program, account: item.Account, target: id}
		r.element = w.order.PushBack(r)
		w.programs[item.Program] = r
	}
	w.resize(r, item.PromptTokens)
	w.touch(now, r)
}

// recordAnswer records the end of a program's call. If less of its previous
// prompt was cached than toleratedMissing allows, the call counts as a loss.
func (w *windowSet) recordAnswer(now structs.Instant, item queue.Item, id structs.TargetID, cached, output int64) {
	r := w.programs[item.Program]
	if r == nil || r.target != id {
		return
	}
	if r.prompt > 0 {
		w.updateWindow(now, w.windowAt(id), float64(cached) < (1-toleratedMissing)*float64(r.prompt))
	}
	r.prompt = item.PromptTokens
	w.resize(r, item.PromptTokens+output)
	w.touch(now, r)
}

func (w *windowSet) updateWindow(now structs.Instant, t *window, isLost bool) {
	t.lossRate -= t.lossRate * lossRateSmoothing
	if isLost {
		t.lossRate += lossRateSmoothing
	}
	switch {
	case t.lossRate > maxLossRate && t.canCut(now):
		t.tokens = max(cutFactor*float64(t.resident), minWindow)
		t.lastCut = now
	case t.lossRate <= maxLossRate && t.tokens > 0:
		t.tokens += t.tokens * growthFactor
	}
}

// canCut reports whether the window may be cut: it was never cut, or the previous
// cut has taken effect, as the programs above the window have ended.
func (t *window) canCut(now structs.Instant) bool {
	return t.tokens == 0 || float64(t.resident) <= t.tokens && now.Sub(t.lastCut) > minCutInterval
}

func (w *windowSet) windowAt(id structs.TargetID) *window {
	t := w.targets[id]
	if t == nil {
		t = &window{accounts: make(map[structs.AccountID]accountUse)}
		w.targets[id] = t
	}
	return t
}

func (w *windowSet) resize(r *residentProgram, tokens int64) {
	t := w.windowAt(r.target)
	change := tokens - r.tokens
	r.tokens = tokens
	t.resident += change
	use := t.accounts[r.account]
	t.weight -= use.weight
	use.tokens += change
	use.weight = w.weights[r.account]
	if use.tokens == 0 {
		delete(t.accounts, r.account)
	} else {
		t.accounts[r.account] = use
		t.weight += use.weight
	}
	if len(t.accounts) == 0 {
		t.weight = 0
	}
}

func (w *windowSet) touch(now structs.Instant, r *residentProgram) {
	r.lastUsed = now
	w.order.MoveToBack(r.element)
}

// expire removes programs that have had no call for residencyTimeout.
func (w *windowSet) expire(now structs.Instant) {
	for e := w.order.Front(); e != nil; e = w.order.Front() {
		r := e.Value.(*residentProgram)
		if now.Sub(r.lastUsed) < residencyTimeout {
			return
		}
		w.removeProgram(r.program)
	}
}

// removeProgram stops counting a program.
func (w *windowSet) removeProgram(id structs.ProgramID) {
	r := w.programs[id]
	if r == nil {
		return
	}
	w.resize(r, 0)
	w.order.Remove(r.element)
	delete(w.programs, id)
}

// removeTarget removes a target and the programs counted there.
func (w *windowSet) removeTarget(id structs.TargetID) {
	for program, r := range w.programs {
		if r.target == id {
			w.removeProgram(program)
		}
	}
	delete(w.targets, id)
}
