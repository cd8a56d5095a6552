package connlimit

import "sync"

// Budget bounds the bytes that are kept at a time for many peers. The zero value and nil have
// no bound.
type Budget struct {
	mu   sync.Mutex
	max  int // 0 means no bound
	used int
}

// largePartDivisor sets the part of a budget that only small amounts may take, so that a few
// peers with large ones don't keep out all others: the budget divided by it.
const largePartDivisor = 4

// NewBudget returns a budget of a number of bytes, 0 for no bound.
func NewBudget(maxBytes int) *Budget { return &Budget{max: maxBytes} }

// Take reserves bytes and reports whether they were free.
func (b *Budget) Take(bytes int) bool { return b.take(bytes, 0) }

// TakeLarge is Take for an amount that leaves a part of the budget to small ones.
func (b *Budget) TakeLarge(bytes int) bool {
	if b == nil {
		return true
	}
	return b.take(bytes, b.max/largePartDivisor)
}

func (b *Budget) take(bytes, left int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.max > 0 && b.used+bytes > b.max-left {
		return false
	}
	b.used += bytes
	return true
}

// Give ends a reservation.
func (b *Budget) Give(bytes int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= bytes
}
