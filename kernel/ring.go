package kernel

import "context"

// Ring is a bounded FIFO queue between workers. Its capacity and depth are
// part of the state dump.
type Ring[T any] struct {
	name string
	ch   chan T
}

// NewRing returns a ring of the given capacity and adds it to the dump of k.
// With a nil k the ring is in no dump.
func NewRing[T any](k *Kernel, name string, capacity int) *Ring[T] {
	r := &Ring[T]{name: name, ch: make(chan T, capacity)}
	if k != nil {
		k.addRing(name, r)
	}
	return r
}

// TryPut adds an item, or returns false when the ring is full.
func (r *Ring[T]) TryPut(item T) bool {
	select {
	case r.ch <- item:
		return true
	default:
		return false
	}
}

// Put adds an item. It waits for room until ctx is done.
func (r *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case r.ch <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// C returns the channel to receive from.
func (r *Ring[T]) C() <-chan T { return r.ch }

// Depth returns the number of queued items.
func (r *Ring[T]) Depth() int { return len(r.ch) }

// Cap returns the capacity.
func (r *Ring[T]) Cap() int { return cap(r.ch) }
