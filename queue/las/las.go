// Package las registers "queue.las", the queue policy that orders calls by least
// attained service (LAS): the program that has received the least service is
// served first.
package las

import (
	"time"

	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/queue/heap"
	"github.com/endivecourse/endivecourse/structs"
)

func init() {
	kernel.Register("queue.las", queue.Factory(func() queue.Policy { return New() }))
}

const (
	// maxWait is the time after which a call is served before all that arrived
	// later, so that programs with much attained service do not starve.
	maxWait = 30 * time.Second
	// maxCandidates bounds the calls of each heap for which one decision calls
	// fits.
	maxCandidates = 16
)

// Policy orders calls by the attained service of their programs. Calls that
// continue a program are served before first calls, because an engine evicts what
// it has cached for a program when too many programs are in progress.
type Policy struct {
	continuations *heap.Heap[uint64, queue.Item] // calls that continue a program, by attained service
	firstCalls    *heap.Heap[uint64, queue.Item] // first calls of programs, by attained service
	byArrival     *heap.Heap[uint64, queue.Item]
	attained      map[structs.ProgramID]int64
}

// New returns an empty queue.
func New() *Policy {
	return &Policy{
		continuations: heap.New[uint64, queue.Item](),
		firstCalls:    heap.New[uint64, queue.Item](),
		byArrival:     heap.New[uint64, queue.Item](),
		attained:      make(map[structs.ProgramID]int64),
	}
}

// Push adds an item.
func (p *Policy) Push(_ structs.Instant, item queue.Item) {
	calls := p.firstCalls
	if item.IsContinuation() {
		calls = p.continuations
	}
	calls.Push(item.ID, item, float64(p.serviceOf(item)))
	p.byArrival.Push(item.ID, item, float64(item.ArrivedAt))
}

// serviceOf returns the attained service of the item's program: the amount
// charged here or, if nothing was charged here yet, the amount that the item
// carries.
func (p *Policy) serviceOf(item queue.Item) int64 {
	if charged, found := p.attained[item.Program]; found {
		return charged
	}
	return item.AttainedService
}

// TakeNext removes and returns the oldest item if it has waited longer than
// maxWait. Otherwise it takes the item whose program has the least attained
// service, first among continuations and then among first calls.
func (p *Policy) TakeNext(now structs.Instant, fits func(queue.Item) bool) (queue.Item, bool) {
	oldest, _, found := p.byArrival.Min()
	if found && now.Sub(oldest.ArrivedAt) > maxWait && fits(oldest) {
		p.Remove(oldest.ID)
		return oldest, true
	}
	item, found := p.continuations.TakeFirst(maxCandidates, fits)
	if !found {
		item, found = p.firstCalls.TakeFirst(maxCandidates, fits)
	}
	if found {
		p.byArrival.Remove(item.ID)
	}
	return item, found
}

// Oldest returns the item that has waited longest.
func (p *Policy) Oldest() (queue.Item, bool) {
	item, _, found := p.byArrival.Min()
	return item, found
}

// Remove removes a waiting item and reports whether it was present.
func (p *Policy) Remove(id uint64) bool {
	p.byArrival.Remove(id)
	return p.continuations.Remove(id) || p.firstCalls.Remove(id)
}

// Charge adds tokens to the attained service of the program.
func (p *Policy) Charge(_ structs.Instant, _ structs.AccountID, program structs.ProgramID, tokens int64) {
	p.attained[program] += tokens
}

// Forget drops the attained service of an ended program.
func (p *Policy) Forget(program structs.ProgramID) { delete(p.attained, program) }

// Len returns the number of waiting items.
func (p *Policy) Len() int { return p.byArrival.Len() }
