// Package fair registers "queue.fair", the queue policy that shares service among
// client accounts by weighted virtual token counters. Within an account, the
// program with the least attained service is served first.
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
	// maxCandidates bounds the accounts that one decision considers.
	maxCandidates = 8
	// outputTokenCost is the cost of an output token in prompt tokens.
	outputTokenCost = 4
)

// Policy shares service among accounts. The counter of an account is the service
// that it has received, divided by its weight; calls at targets count with their
// estimate. Invariants: the virtual time never decreases, the charged part of a
// counter never decreases, and the waiting calls of all accounts add up to the
// number of known items.
type Policy struct {
	accounts      map[structs.AccountID]*account
	backlogged    *heap.Heap[structs.AccountID, *account] // accounts with waiting calls
	accountByItem map[uint64]*account                     // accounts of the waiting calls, by item ID
	programs      map[structs.ProgramID]*programState
	virtualTime   float64 // highest counter of an account at the time it was served
}

// account is the state of one client account.
type account struct {
	id       structs.AccountID
	weight   float64
	charged  float64 // charged tokens, including increases up to the virtual time
	inFlight int64   // estimated tokens of the calls at targets
	calls    *las.Policy
}

// programState is the state of one program until it ends.
type programState struct {
	account  *account
	inFlight int64 // estimated tokens of its call at a target
}

func (a *account) counter() float64 { return (a.charged + float64(a.inFlight)) / a.weight }

// New returns an empty queue.
func New() *Policy {
	return &Policy{
		accounts:      make(map[structs.AccountID]*account),
		backlogged:    heap.New[structs.AccountID, *account](),
		accountByItem: make(map[uint64]*account),
		programs:      make(map[structs.ProgramID]*programState),
	}
}

// Push adds an item. An account without waiting calls or calls at targets starts
// at the virtual time, so that idle time earns no credit.
func (p *Policy) Push(now structs.Instant, item queue.Item) {
	a := p.account(item.Account)
	if item.Weight > 0 && item.Weight != a.weight {
		a.charged *= item.Weight / a.weight
		a.weight = item.Weight
	}
	if a.calls.Len() == 0 && a.inFlight == 0 {
		a.charged = max(a.charged, p.virtualTime*a.weight)
	}
	a.calls.Push(now, item)
	p.accountByItem[item.ID] = a
	p.programFor(a, item.Program)
	p.updateBacklog(a)
}

func (p *Policy) account(id structs.AccountID) *account {
	a := p.accounts[id]
	if a == nil {
		a = &account{id: id, weight: 1, charged: p.virtualTime, calls: las.New()}
		p.accounts[id] = a
	}
	return a
}

func (p *Policy) programFor(a *account, id structs.ProgramID) *programState {
	state := p.programs[id]
	if state == nil {
		state = &programState{account: a}
		p.programs[id] = state
	}
	return state
}

// updateBacklog adds an account with waiting calls to the backlog, ordered by its
// counter, and removes an account without any.
func (p *Policy) updateBacklog(a *account) {
	if a.calls.Len() == 0 {
		p.backlogged.Remove(a.id)
		return
	}
	p.backlogged.Push(a.id, a, a.counter())
}

// TakeNext removes and returns a call of the account that has the lowest counter
// among the accounts with a call that fits.
func (p *Policy) TakeNext(now structs.Instant, fits func(queue.Item) bool) (queue.Item, bool) {
	var item queue.Item
	a, found := p.backlogged.TakeFirst(maxCandidates, func(a *account) bool {
		var found bool
		item, found = a.calls.TakeNext(now, fits)
		return found
	})
	if !found {
		return queue.Item{}, false
	}
	delete(p.accountByItem, item.ID)
	p.virtualTime = max(p.virtualTime, a.counter())
	state := p.programFor(a, item.Program)
	a.inFlight -= state.inFlight
	state.inFlight = estimateService(item)
	a.inFlight += state.inFlight
	p.updateBacklog(a)
	return item, true
}

// estimateService returns the estimated cost of a call in prompt tokens: its
// output and the part of its prompt that the previous call of the program did not
// have.
func estimateService(item queue.Item) int64 {
	newTokens := item.PromptTokens
	if n := len(item.Prefixes); n > 1 {
		newTokens -= item.Prefixes[n-2].Tokens
	}
	return max(newTokens, 0) + outputTokenCost*item.OutputTokens
}

// Charge replaces the estimate of a program's call by the tokens that it used.
func (p *Policy) Charge(now structs.Instant, id structs.AccountID, program structs.ProgramID, tokens int64) {
	a := p.account(id)
	a.charged += float64(max(tokens, 0))
	if state := p.programs[program]; state != nil {
		a.calls.Charge(now, id, program, tokens)
		a.inFlight -= state.inFlight
		state.inFlight = 0
	}
	p.updateBacklog(a)
}

// Remove removes a waiting item and reports whether it was present.
func (p *Policy) Remove(id uint64) bool {
	a := p.accountByItem[id]
	if a == nil {
		return false
	}
	delete(p.accountByItem, id)
	a.calls.Remove(id)
	p.updateBacklog(a)
	return true
}

// Forget drops the state of an ended program.
func (p *Policy) Forget(program structs.ProgramID) {
	state := p.programs[program]
	if state == nil {
		return
	}
	state.account.inFlight -= state.inFlight
	state.account.calls.Forget(program)
	delete(p.programs, program)
	p.updateBacklog(state.account)
}

// Len returns the number of waiting items.
func (p *Policy) Len() int { return len(p.accountByItem) }

// CheckInvariants returns a *structs.InvariantError if an invariant is violated.
func (p *Policy) CheckInvariants() error {
	sum := 0
	for _, a := range p.accounts {
		sum += a.calls.Len()
		if _, isListed := p.backlogged.Get(a.id); isListed != (a.calls.Len() > 0) {
			return invariantError("backlog", "account %s in the backlog: %v, with %d waiting calls", a.id, isListed, a.calls.Len())
		}
		if a.inFlight < 0 {
			return invariantError("open", "account %s has a negative estimate of %d tokens for its calls at targets", a.id, a.inFlight)
		}
	}
	if sum != len(p.accountByItem) {
		return invariantError("waiting", "the accounts have %d waiting calls, but %d items are known", sum, len(p.accountByItem))
	}
	return nil
}

func invariantError(name, format string, args ...any) error {
	return &structs.InvariantError{Package: "queue.fair", Name: name, Detail: fmt.Sprintf(format, args...)}
}
