// Package admission orders the requests that wait for a free slot of a service, since
// targets themselves serve requests in the order of arrival.
//
// When a burst of requests of different urgency meets full targets, the most urgent
// request goes first. The package is a deterministic state machine without clock,
// goroutine or I/O.
package admission

import (
	"container/heap"

	"github.com/endivecourse/endivecourse/structs"
)

// Request is a request that waits for a slot.
type Request struct {
	// Priority is the rank of the request; 0 goes first.
	Priority int
	// ProgramDeadline is when the request's program should have ended. Among requests of
	// equal priority the earliest deadline goes first.
	ProgramDeadline structs.Instant
	// Account is the client account of the request, empty if it has none.
	Account structs.AccountID

	arrival uint64
	index   int // index in the heap, -1 if not in it
}

// Queue holds the waiting requests of one service.
type Queue struct {
	waiting requestHeap
	added   uint64
}

// Add adds a request to the queue.
func (q *Queue) Add(r *Request) {
	q.added++
	r.arrival = q.added
	heap.Push(&q.waiting, r)
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue) Remove(r *Request) bool {
	if r.index < 0 || r.index >= len(q.waiting) || q.waiting[r.index] != r {
		return false
	}
	heap.Remove(&q.waiting, r.index)
	return true
}

// First returns the request that is next to get a slot, nil if the queue is empty.
func (q *Queue) First() *Request {
	if len(q.waiting) == 0 {
		return nil
	}
	return q.waiting[0]
}

// Ahead returns the number of waiting requests that get a slot before r.
func (q *Queue) Ahead(r *Request) int {
	ahead := 0
	for _, other := range q.waiting {
		if other != r && isBefore(other, r) {
			ahead++
		}
	}
	return ahead
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// requestHeap implements heap.Interface.
type requestHeap []*Request

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool { return isBefore(h[i], h[j]) }

// isBefore reports whether a gets a slot before b.
func isBefore(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.ProgramDeadline != b.ProgramDeadline {
		return a.ProgramDeadline < b.ProgramDeadline
	}
	return a.arrival < b.arrival
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *requestHeap) Push(x any) {
	r := x.(*Request)
	r.index = len(*h)
	*h = append(*h, r)
}

func (h *requestHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	r.index = -1
	return r
}
