package turnlog

import (
	"container/list"
	"sync"

	"github.com/endivecourse/endivecourse/structs"
)

// cache is an LRU cache of records, bounded by their size in bytes. The most recently
// used record stays even if it exceeds the bound alone.
type cache struct {
	mu        sync.Mutex
	maxBytes  int
	usedBytes int
	lru       *list.List // of *cacheEntry, most recently used first
	byID      map[structs.RequestID]*list.Element
}

type cacheEntry struct {
	id     structs.RequestID
	record *Record
}

func newCache(maxBytes int) *cache {
	return &cache{maxBytes: maxBytes, lru: list.New(), byID: make(map[structs.RequestID]*list.Element)}
}

func (c *cache) get(id structs.RequestID) *Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.byID[id]
	if element == nil {
		return nil
	}
	c.lru.MoveToFront(element)
	return element.Value.(*cacheEntry).record
}

func (c *cache) put(id structs.RequestID, r *Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID[id] != nil {
		return // records are immutable
	}
	c.byID[id] = c.lru.PushFront(&cacheEntry{id: id, record: r})
	c.usedBytes += r.size()
	for c.usedBytes > c.maxBytes && c.lru.Len() > 1 {
		c.remove(c.lru.Back())
	}
}

func (c *cache) remove(element *list.Element) {
	old := element.Value.(*cacheEntry)
	c.lru.Remove(element)
	delete(c.byID, old.id)
	c.usedBytes -= old.record.size()
}

func (c *cache) stats() (count, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.byID), c.usedBytes
}
