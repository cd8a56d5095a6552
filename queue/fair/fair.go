// Package fair registers "queue.fair", the queue policy that shares service
// among client accounts by weighted virtual token counters and serves, within
// an account, the program first that has had the least service.
package fair

import (
	"fmt"

	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/queue/heap"
	"github.com/endivecourse/endivecourse/queue/las"
	"github.com/endivecourse/endivecourse/structs"
)

func init() {
	kernel.Register("queue.fair", queue.Factory(func() queue.Policy { return New() }))
}

const (
	// maxAccounts bounds the accounts that one decision looks at.
	maxAccounts = 8
	// outputCost is what an output token costs in prompt tokens.
	outputCost = 4
)

// Policy shares service among accounts. The counter of an account is the
// service that it has had over its weight, calls at targets included by their
// estimate. Invariants: floor never falls; the settled part of a counter never
// falls; the waiting calls of all accounts sum to waiting.
type Policy struct {
	accounts map[structs.AccountID]*account
	backlog  *heap.Heap[structs.AccountID, *account] // accounts with waiting calls
	items    map[uint64]*account                     // of waiting calls
	programs map[structs.ProgramID]*programState
	floor    float64 // counter of the account served last
}

// account is one client account.
type account struct {
	id      structs.AccountID
	weight  float64
	settled float64 // tokens charged, and lifts to the floor
	open    int64   // tokens, estimates of calls at targets
	calls   *las.Policy
}

// programState is what is remembered of a program until it ends.
type programState struct {
	account *account
	open    int64 // tokens, estimate of its call at a target
}

func (a *account) counter() float64 { return (a.settled + float64(a.open)) / a.weight }

// New makes an empty queue.
func New() *Policy {
	return &Policy{
		accounts: make(map[structs.AccountID]*account),
		backlog:  heap.New[structs.AccountID, *account](),
		items:    make(map[uint64]*account),
		programs: make(map[structs.ProgramID]*programState),
	}
}

// Push adds an item. An account that had no call here or at a target starts at
// the floor: service that it did not ask for is not saved up.
func (p *Policy) Push(now structs.Instant, item queue.Item) {
	a := p.account(item.Account)
	if item.Weight > 0 && item.Weight != a.weight {
		a.settled *= item.Weight / a.weight
		a.weight = item.Weight
	}
	if a.calls.Len() == 0 && a.open == 0 {
		a.settled = max(a.settled, p.floor*a.weight)
	}
	a.calls.Push(now, item)
	p.items[item.ID] = a
	p.program(a, item.Program)
	p.rank(a)
}

func (p *Policy) account(id structs.AccountID) *account {
	a := p.accounts[id]
	if a == nil {
		a = &account{id: id, weight: 1, settled: p.floor, calls: las.New()}
		p.accounts[id] = a
	}
	return a
}

func (p *Policy) program(a *account, id structs.ProgramID) *programState {
	state := p.programs[id]
	if state == nil {
		state = &programState{account: a}
		p.programs[id] = state
	}
	return state
}

// rank keeps an account in the backlog exactly while it has waiting calls.
func (p *Policy) rank(a *account) {
	if a.calls.Len() == 0 {
		p.backlog.Remove(a.id)
		return
	}
	p.backlog.Push(a.id, a, a.counter())
}

// TakeNext serves the account with the lowest counter that has a call that fits.
func (p *Policy) TakeNext(now structs.Instant, fits func(queue.Item) bool) (queue.Item, bool) {
	var item queue.Item
	a, found := p.backlog.TakeFirst(maxAccounts, func(a *account) bool {
		var taken bool
		item, taken = a.calls.TakeNext(now, fits)
		return taken
	})
	if !found {
		return queue.Item{}, false
	}
	delete(p.items, item.ID)
	p.floor = max(p.floor, a.counter())
	state := p.program(a, item.Program)
	a.open -= state.open
	state.open = estimateOf(item)
	a.open += state.open
	p.rank(a)
	return item, true
}

// estimateOf counts the output and the part of the prompt that the program's
// call before did not have.
func estimateOf(item queue.Item) int64 {
	fresh := item.PromptTokens
	if n := len(item.Prefixes); n > 1 {
		fresh -= item.Prefixes[n-2].Tokens
	}
	return max(fresh, 0) + outputCost*item.OutputTokens
}

// Charge replaces the estimate of a program's call by what it took.
func (p *Policy) Charge(now structs.Instant, id structs.AccountID, program structs.ProgramID, tokens int64) {
	a := p.account(id)
	a.settled += float64(max(tokens, 0))
	if state := p.programs[program]; state != nil {
		a.calls.Charge(now, id, program, tokens)
		a.open -= state.open
		state.open = 0
	}
	p.rank(a)
}

// Remove drops a waiting item.
func (p *Policy) Remove(id uint64) bool {
	a := p.items[id]
	if a == nil {
		return false
	}
	delete(p.items, id)
	a.calls.Remove(id)
	p.rank(a)
	return true
}

// Forget drops what is remembered of an ended program.
func (p *Policy) Forget(program structs.ProgramID) {
	state := p.programs[program]
	if state == nil {
		return
	}
	state.account.open -= state.open
	state.account.calls.Forget(program)
	delete(p.programs, program)
	p.rank(state.account)
}

// Len returns the number of waiting items.
func (p *Policy) Len() int { return len(p.items) }

// CheckInvariants returns a *structs.InvariantError when an invariant does not hold.
func (p *Policy) CheckInvariants() error {
	sum := 0
	for _, a := range p.accounts {
		sum += a.calls.Len()
		if _, listed := p.backlog.Get(a.id); listed != (a.calls.Len() > 0) {
			return violated("backlog", "account %s is listed: %v, with %d calls", a.id, listed, a.calls.Len())
		}
		if a.open < 0 {
			return violated("open", "account %s has %d tokens open", a.id, a.open)
		}
	}
	if sum != len(p.items) {
		return violated("waiting", "%d calls wait and %d are known", sum, len(p.items))
	}
	return nil
}

func violated(name, format string, args ...any) error {
	return &structs.InvariantError{Package: "queue.fair", Name: name, Detail: fmt.Sprintf(format, args...)}
}
