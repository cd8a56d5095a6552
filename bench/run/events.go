package run

import (
	"container/heap"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// eventLoop runs events in order of virtual time. Events of the same instant run in the
// order in which they were scheduled, so that a run is deterministic.
type eventLoop struct {
	now       structs.Instant
	events    eventHeap
	scheduled uint64 // number of events scheduled so far
}

type event struct {
	at  structs.Instant
	seq uint64
	run func()
}

// after schedules a function to run once d has passed.
func (l *eventLoop) after(d time.Duration, run func()) {
	l.scheduled++
	heap.Push(&l.events, event{at: l.now.Add(d), seq: l.scheduled, run: run})
}

// runUntil runs events until the instant end, until done returns true, or until no event is
// left.
func (l *eventLoop) runUntil(end structs.Instant, done func() bool) {
	for len(l.events) > 0 && !done() {
		next := heap.Pop(&l.events).(event)
		if next.at > end {
			l.now = end
			return
		}
		l.now = next.at
		next.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
