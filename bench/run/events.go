package run

import (
	"container/heap"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// timeline runs functions in order of their instant; those of one instant in
// the order in which they were added.
type timeline struct {
	now    structs.Instant
	events eventHeap
	added  uint64
}

type event struct {
	at    structs.Instant
	order uint64
	do    func()
}

func (t *timeline) after(d time.Duration, do func()) {
	t.added++
	heap.Push(&t.events, event{at: t.now.Add(d), order: t.added, do: do})
}

// runUntil runs events up to the instant or until done reports true.
func (t *timeline) runUntil(end structs.Instant, done func() bool) {
	for len(t.events) > 0 && !done() {
		next := heap.Pop(&t.events).(event)
		if next.at > end {
			t.now = end
			return
		}
		t.now = next.at
		next.do()
	}
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
