// Package las registers "queue.las", the queue policy that serves the call
// first whose program has had the least service.
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
	// maxWait is the time after which a call goes before all that came later,
	// so that programs with much service are not starved.
	maxWait = 30 * time.Second
	// maxAsked bounds the calls that one decision asks fits about.
	maxAsked = 16
)

// Policy orders calls by the service that their programs have attained. Calls
// of programs that have run go before first calls: what an engine has cached
// for a program is lost when too many programs are under way.
type Policy struct {
	started   *heap.Heap[uint64, queue.Item] // calls of programs that have run, by service
	fresh     *heap.Heap[uint64, queue.Item] // first calls of programs, by service
	byArrival *heap.Heap[uint64, queue.Item]
	attained  map[structs.ProgramID]int64
}

// New makes an empty queue.
func New() *Policy {
	return &Policy{
		started:   heap.New[uint64, queue.Item](),
		fresh:     heap.New[uint64, queue.Item](),
		byArrival: heap.New[uint64, queue.Item](),
		attained:  make(map[structs.ProgramID]int64),
	}
}

// Push adds an item.
func (p *Policy) Push(_ structs.Instant, item queue.Item) {
	calls := p.fresh
	if item.IsContinuation() {
		calls = p.started
	}
	calls.Push(item.ID, item, float64(p.serviceOf(item)))
	p.byArrival.Push(item.ID, item, float64(item.ArrivedAt))
}

// serviceOf returns the service of the item's program as charged here, or as
// its owner tells when it was charged elsewhere.
func (p *Policy) serviceOf(item queue.Item) int64 {
	if known, seen := p.attained[item.Program]; seen {
		return known
	}
	return item.AttainedService
}

// TakeNext returns the oldest item when it has waited for too long, else the one
// whose program has had the least service among those that have run, else a
// first call.
func (p *Policy) TakeNext(now structs.Instant, fits func(queue.Item) bool) (queue.Item, bool) {
	oldest, _, found := p.byArrival.Min()
	if found && now.Sub(oldest.ArrivedAt) > maxWait && fits(oldest) {
		p.Remove(oldest.ID)
		return oldest, true
	}
	item, found := p.started.TakeFirst(maxAsked, fits)
	if !found {
		item, found = p.fresh.TakeFirst(maxAsked, fits)
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

// Remove drops a waiting item.
func (p *Policy) Remove(id uint64) bool {
	p.byArrival.Remove(id)
	return p.started.Remove(id) || p.fresh.Remove(id)
}

// Charge adds to the service of the program.
func (p *Policy) Charge(_ structs.Instant, _ structs.AccountID, program structs.ProgramID, tokens int64) {
	p.attained[program] += tokens
}

// Forget drops the service of an ended program.
func (p *Policy) Forget(program structs.ProgramID) { delete(p.attained, program) }

// Len returns the number of waiting items.
func (p *Policy) Len() int { return p.byArrival.Len() }
