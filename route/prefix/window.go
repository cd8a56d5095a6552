package prefix

import (
	"container/list"
	"time"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// leastWindow is the least window of a target in tokens.
	leastWindow = 32 << 10
	// windowCut multiplies the tokens resident at a target when too many
	// programs lose their cache there; windowGrowth is the growth for each call
	// while few do, as a share of the window.
	windowCut    = 0.9
	windowGrowth = 1.0 / 2048
	// windowSettles is the time between cuts.
	windowSettles = 3 * time.Second
	// lossGoal is the share of calls that may find their program's cache lost,
	// and lossMemory the weight of one call in that share.
	lossGoal   = 0.05
	lossMemory = 1.0 / 64
	// lossTolerated is the share of a program's last prompt that may be missing
	// without counting as a loss.
	lossTolerated = 0.1
	// residentFor is the time without a call after which a program's cache is
	// no longer counted.
	residentFor = 60 * time.Second
)

// windows bound the programs that start at each target, so that the caches of
// those under way fit. A window is learned like a congestion window: it shrinks
// when programs lose their cache between two calls and grows while few do. An
// account below its weighted share of the window is not held back. Invariant:
// resident of a target is the sum of the tokens of its programs, and of its
// accounts.
type windows struct {
	targets  map[structs.TargetID]*window
	programs map[structs.ProgramID]*resident
	order    *list.List // of *resident, least recently used first
	weights  map[structs.AccountID]float64
}

type window struct {
	tokens   float64 // 0 while losses stay below the goal: no bound
	resident int64   // tokens
	accounts map[structs.AccountID]share
	weight   float64 // sum over the accounts
	loss     float64 // share of recent calls
	cut      structs.Instant
}

// share is what the programs of one account have resident at a target.
type share struct {
	tokens int64
	weight float64
}

// resident is a program whose cache is counted at a target.
type resident struct {
	program structs.ProgramID
	account structs.AccountID
	target  structs.TargetID
	tokens  int64 // of its last prompt with the answer
	prompt  int64 // tokens of its last finished prompt there
	used    structs.Instant
	place   *list.Element
}

func newWindows() *windows {
	return &windows{
		targets:  make(map[structs.TargetID]*window),
		programs: make(map[structs.ProgramID]*resident),
		order:    list.New(),
		weights:  make(map[structs.AccountID]float64),
	}
}

// open reports whether a program of the item's account may start at the target.
func (w *windows) open(item queue.Item, id structs.TargetID) bool {
	t := w.targets[id]
	if t == nil || t.tokens == 0 || float64(t.resident) < t.tokens {
		return true
	}
	held, known := t.accounts[item.Account]
	total := t.weight
	if !known {
		total += item.Weight
	}
	return float64(held.tokens)*total < t.tokens*item.Weight
}

// enter counts a program at the target that it is sent to.
func (w *windows) enter(now structs.Instant, item queue.Item, id structs.TargetID) {
	w.expire(now)
	w.weights[item.Account] = item.Weight
	r := w.programs[item.Program]
	if r != nil && r.target != id {
		w.leave(item.Program)
		r = nil
	}
	if r == nil {
		r = &resident{program: item.Program, account: item.Account, target: id}
		r.place = w.order.PushBack(r)
		w.programs[item.Program] = r
	}
	w.resize(r, item.PromptTokens)
	w.use(now, r)
}

// answered records the end of a program's call and learns from what was cached.
func (w *windows) answered(now structs.Instant, item queue.Item, id structs.TargetID, cached, output int64) {
	r := w.programs[item.Program]
	if r == nil || r.target != id {
		return
	}
	if r.prompt > 0 {
		w.learn(now, w.at(id), float64(cached) < (1-lossTolerated)*float64(r.prompt))
	}
	r.prompt = item.PromptTokens
	w.resize(r, item.PromptTokens+output)
	w.use(now, r)
}

func (w *windows) learn(now structs.Instant, t *window, lost bool) {
	t.loss -= t.loss * lossMemory
	if lost {
		t.loss += lossMemory
	}
	switch {
	case t.loss > lossGoal && t.settled(now):
		t.tokens = max(windowCut*float64(t.resident), leastWindow)
		t.cut = now
	case t.loss <= lossGoal && t.tokens > 0:
		t.tokens += t.tokens * windowGrowth
	}
}

// settled reports whether the cut before has had its effect: the programs above
// it have ended.
func (t *window) settled(now structs.Instant) bool {
	return t.tokens == 0 || float64(t.resident) <= t.tokens && now.Sub(t.cut) > windowSettles
}

func (w *windows) at(id structs.TargetID) *window {
	t := w.targets[id]
	if t == nil {
		t = &window{accounts: make(map[structs.AccountID]share)}
		w.targets[id] = t
	}
	return t
}

func (w *windows) resize(r *resident, tokens int64) {
	t := w.at(r.target)
	change := tokens - r.tokens
	r.tokens = tokens
	t.resident += change
	s := t.accounts[r.account]
	t.weight -= s.weight
	s.tokens += change
	s.weight = w.weights[r.account]
	if s.tokens == 0 {
		delete(t.accounts, r.account)
	} else {
		t.accounts[r.account] = s
		t.weight += s.weight
	}
	if len(t.accounts) == 0 {
		t.weight = 0
	}
}

func (w *windows) use(now structs.Instant, r *resident) {
	r.used = now
	w.order.MoveToBack(r.place)
}

// expire drops programs that have had no call for long.
func (w *windows) expire(now structs.Instant) {
	for e := w.order.Front(); e != nil; e = w.order.Front() {
		r := e.Value.(*resident)
		if now.Sub(r.used) < residentFor {
			return
		}
		w.leave(r.program)
	}
}

// leave stops counting a program.
func (w *windows) leave(id structs.ProgramID) {
	r := w.programs[id]
	if r == nil {
		return
	}
	w.resize(r, 0)
	w.order.Remove(r.place)
	delete(w.programs, id)
}

// forget drops a target with the programs counted there.
func (w *windows) forget(id structs.TargetID) {
	for program, r := range w.programs {
		if r.target == id {
			w.leave(program)
		}
	}
	delete(w.targets, id)
}
