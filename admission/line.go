// Package admission orders the requests that wait for a slot of a service, since
// targets admit in the order of arrival.
//
// It answers bursts in which requests of different urgency meet full targets:
// the one that has the least time to spare goes first. It is a state machine
// without clock, goroutine or I/O.
package admission

import (
	"container/heap"

	"github.com/endivecourse/endivecourse/structs"
)

// Request is one waiting request.
type Request struct {
	// Priority ranks requests, 0 first.
	Priority int
	// ProgramDeadline is when the program should have ended; earlier ones go first among
	// equals.
	ProgramDeadline structs.Instant

	order uint64
	index int // in the heap, -1 outside
}

// Queue is the waiting requests of one service.
type Queue struct {
	waiting tickets
	added   uint64
}

// Add puts a ticket in line.
func (l *Queue) Add(t *Request) {
	l.added++
	t.order = l.added
	heap.Push(&l.waiting, t)
}

// Remove takes a ticket out, and reports whether it was in line.
func (l *Queue) Remove(t *Request) bool {
	if t.index < 0 || t.index >= len(l.waiting) || l.waiting[t.index] != t {
		return false
	}
	heap.Remove(&l.waiting, t.index)
	return true
}

// First returns the ticket whose turn it is, nil when nobody waits.
func (l *Queue) First() *Request {
	if len(l.waiting) == 0 {
		return nil
	}
	return l.waiting[0]
}

// Len returns how many wait.
func (l *Queue) Len() int { return len(l.waiting) }

// tickets implements heap.Interface.
type tickets []*Request

func (q tickets) Len() int { return len(q) }

func (q tickets) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.ProgramDeadline != b.ProgramDeadline {
		return a.ProgramDeadline < b.ProgramDeadline
	}
	return a.order < b.order
}

func (q tickets) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *tickets) Push(x any) {
	t := x.(*Request)
	t.index = len(*q)
	*q = append(*q, t)
}

func (q *tickets) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	t.index = -1
	return t
}
