// Package fifo registers "queue.fifo", the queue policy that serves calls in
// the order of their arrival.
package fifo

import (
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

func init() {
	kernel.Register("queue.fifo", queue.Factory(func() queue.Policy { return &Policy{} }))
}

// Policy is a queue in the order of arrival.
type Policy struct {
	items []queue.Item
}

// Push adds an item at the end.
func (p *Policy) Push(_ structs.Instant, item queue.Item) { p.items = append(p.items, item) }

// TakeNext returns the oldest item if it fits. Later items never overtake it.
func (p *Policy) TakeNext(_ structs.Instant, fits func(queue.Item) bool) (queue.Item, bool) {
	if len(p.items) == 0 || !fits(p.items[0]) {
		return queue.Item{}, false
	}
	item := p.items[0]
	p.items[0] = queue.Item{}
	p.items = p.items[1:]
	return item, true
}

// Remove drops a waiting item.
func (p *Policy) Remove(id uint64) bool {
	for i := range p.items {
		if p.items[i].ID == id {
			p.items = append(p.items[:i], p.items[i+1:]...)
			return true
		}
	}
	return false
}

// Charge does nothing: the order does not depend on service received.
func (p *Policy) Charge(structs.Instant, structs.AccountID, structs.ProgramID, int64) {}

// Forget does nothing.
func (p *Policy) Forget(structs.ProgramID) {}

// Len returns the number of waiting items.
func (p *Policy) Len() int { return len(p.items) }
