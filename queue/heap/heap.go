// Package heap is a priority queue with removal by key, for queue policies.
package heap

// Heap holds values by a unique key, the lowest rank first; equal ranks in the
// order in which they were added. The zero value is not usable; see New.
type Heap[K comparable, V any] struct {
	entries []entry[K, V]
	index   map[K]int
	added   uint64
}

type entry[K comparable, V any] struct {
	key   K
	value V
	rank  float64
	order uint64
}

// New makes an empty heap.
func New[K comparable, V any]() *Heap[K, V] {
	return &Heap[K, V]{index: make(map[K]int)}
}

// Len returns the number of values.
func (h *Heap[K, V]) Len() int { return len(h.entries) }

// Push adds a value; a value with the same key is replaced.
func (h *Heap[K, V]) Push(key K, value V, rank float64) {
	h.Remove(key)
	h.added++
	h.insert(entry[K, V]{key: key, value: value, rank: rank, order: h.added})
}

func (h *Heap[K, V]) insert(e entry[K, V]) {
	h.index[e.key] = len(h.entries)
	h.entries = append(h.entries, e)
	h.up(len(h.entries) - 1)
}

// Min returns the first value without removing it.
func (h *Heap[K, V]) Min() (value V, rank float64, found bool) {
	if len(h.entries) == 0 {
		return value, 0, false
	}
	return h.entries[0].value, h.entries[0].rank, true
}

// Get returns the value of a key.
func (h *Heap[K, V]) Get(key K) (value V, found bool) {
	i, found := h.index[key]
	if !found {
		return value, false
	}
	return h.entries[i].value, true
}

// Remove drops the value of a key and reports whether there was one.
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
		h.down(i)
		h.up(i)
	}
	return true
}

// TakeFirst removes and returns the first value that fits reports true for,
// among the first most values.
func (h *Heap[K, V]) TakeFirst(most int, fits func(V) bool) (value V, found bool) {
	var passed []entry[K, V]
	for len(passed) < most && len(h.entries) > 0 && !found {
		first := h.entries[0]
		h.Remove(first.key)
		if found = fits(first.value); found {
			value = first.value
			break
		}
		passed = append(passed, first)
	}
	for _, e := range passed {
		h.insert(e)
	}
	return value, found
}

func (h *Heap[K, V]) less(i, j int) bool {
	a, b := &h.entries[i], &h.entries[j]
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.order < b.order
}

func (h *Heap[K, V]) swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.index[h.entries[i].key] = i
	h.index[h.entries[j].key] = j
}

func (h *Heap[K, V]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *Heap[K, V]) down(i int) {
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
