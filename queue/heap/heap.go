// Package heap implements a priority queue that supports removal by key.
package heap

// Heap is a min-heap of values with unique keys. Values of equal priority are
// ordered by the time of insertion. The zero value cannot be used; call New.
type Heap[K comparable, V any] struct {
	entries []entry[K, V]
	index   map[K]int
	lastSeq uint64
}

type entry[K comparable, V any] struct {
	key      K
	value    V
	priority float64
	seq      uint64
}

// New returns an empty heap.
func New[K comparable, V any]() *Heap[K, V] {
	return &Heap[K, V]{index: make(map[K]int)}
}

// Len returns the number of values.
func (h *Heap[K, V]) Len() int { return len(h.entries) }

// Push adds a value. It replaces a value with the same key.
func (h *Heap[K, V]) Push(key K, value V, priority float64) {
	h.Remove(key)
	h.lastSeq++
	h.insert(entry[K, V]{key: key, value: value, priority: priority, seq: h.lastSeq})
}

func (h *Heap[K, V]) insert(e entry[K, V]) {
	h.index[e.key] = len(h.entries)
	h.entries = append(h.entries, e)
	h.siftUp(len(h.entries) - 1)
}

// Min returns the value with the lowest priority number without removing it.
func (h *Heap[K, V]) Min() (value V, priority float64, found bool) {
	if len(h.entries) == 0 {
		return value, 0, false
	}
	return h.entries[0].value, h.entries[0].priority, true
}

// Get returns the value of a key.
func (h *Heap[K, V]) Get(key K) (value V, found bool) {
	i, found := h.index[key]
	if !found {
		return value, false
	}
	return h.entries[i].value, true
}

// Remove removes the value of a key and reports whether there was one.
func (h *Heap[K, V]) Remove(key K) bool {
	i, found := h.index[key]
	if !found {
		return false
	}
	last := len(h.entries) - 1
	h.swap(i, last)
	h.entries[last] = entry[K, V]{}
	h.entries = h.entries[:last]
	delete(h.index, key)
	if i < last {
		h.siftDown(i)
		h.siftUp(i)
	}
	return true
}

// TakeFirst removes and returns the first value for which fits returns true. It
// looks at no more than limit values.
func (h *Heap[K, V]) TakeFirst(limit int, fits func(V) bool) (value V, found bool) {
	var skipped []entry[K, V]
	for len(skipped) < limit && len(h.entries) > 0 && !found {
		first := h.entries[0]
		h.Remove(first.key)
		if found = fits(first.value); found {
			value = first.value
			break
		}
		skipped = append(skipped, first)
	}
	for _, e := range skipped {
		h.insert(e)
	}
	return value, found
}

func (h *Heap[K, V]) less(i, j int) bool {
	a, b := &h.entries[i], &h.entries[j]
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	return a.seq < b.seq
}

func (h *Heap[K, V]) swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.index[h.entries[i].key] = i
	h.index[h.entries[j].key] = j
}

func (h *Heap[K, V]) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap[K, V]) siftDown(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.entries); child++ {
			if h.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
