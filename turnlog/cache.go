package turnlog

import (
	"container/list"
	"sync"

	"github.com/endivecourse/endivecourse/structs"
)

// cache holds recent records, at most a number of bytes; the least recently
// used yield.
type cache struct {
	mu    sync.Mutex
	max   int
	used  int
	order *list.List // of *cached, the newest first
	byID  map[structs.RequestID]*list.Element
}

type cached struct {
	id     structs.RequestID
	record *Record
}

func newCache(max int) *cache {
	return &cache{max: max, order: list.New(), byID: make(map[structs.RequestID]*list.Element)}
}

func (c *cache) get(id structs.RequestID) *Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.byID[id]
	if element == nil {
		return nil
	}
	c.order.MoveToFront(element)
	return element.Value.(*cached).record
}

func (c *cache) put(id structs.RequestID, r *Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID[id] != nil {
		return // records never change
	}
	c.byID[id] = c.order.PushFront(&cached{id: id, record: r})
	c.used += r.size()
	for c.used > c.max && c.order.Len() > 1 {
		c.drop(c.order.Back())
	}
}

func (c *cache) drop(element *list.Element) {
	old := element.Value.(*cached)
	c.order.Remove(element)
	delete(c.byID, old.id)
	c.used -= old.record.size()
}

func (c *cache) state() (count, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byID), c.used
}
