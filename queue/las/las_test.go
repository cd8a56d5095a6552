package las

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

func fitsAll(queue.Item) bool { return true }

func TestLeastServiceFirst(t *testing.T) {
	p := New()
	p.Charge(0, "", "long", 900)
	p.Charge(0, "", "short", 10)
	p.Push(0, queue.Item{ID: 1, Program: "long"})
	p.Push(1, queue.Item{ID: 2, Program: "short", ArrivedAt: 1})
	p.Push(2, queue.Item{ID: 3, Program: "moved here", AttainedService: 400, ArrivedAt: 2})
	for _, want := range []uint64{2, 3, 1} {
		item, found := p.TakeNext(3, fitsAll)
		assert.Assert(t, found)
		assert.Equal(t, item.ID, want)
	}
	assert.Equal(t, p.Len(), 0)
}

func TestItemThatDoesNotFitIsOvertakenAndKept(t *testing.T) {
	p := New()
	p.Push(0, queue.Item{ID: 1, Program: "a"})
	p.Push(0, queue.Item{ID: 2, Program: "b", AttainedService: 5})
	item, found := p.TakeNext(0, func(item queue.Item) bool { return item.ID != 1 })
	assert.Assert(t, found)
	assert.Equal(t, item.ID, uint64(2))
	assert.Equal(t, p.Len(), 1)
}

// With one item served at a time and ever new programs arriving, an old item
// is served soon after the bound.
func TestNoProgramStarves(t *testing.T) {
	p := New()
	p.Charge(0, "", "old", 1e9)
	p.Push(0, queue.Item{ID: 1, Program: "old"})
	step := 100 * time.Millisecond
	var now structs.Instant
	for id := uint64(2); ; id++ {
		now = now.Add(step)
		p.Push(now, queue.Item{ID: id, Program: structs.ProgramID(rune(id)), ArrivedAt: now})
		p.Push(now, queue.Item{ID: 1_000_000 + id, Program: structs.ProgramID(rune(id)), ArrivedAt: now})
		item, found := p.TakeNext(now, fitsAll)
		assert.Assert(t, found)
		if item.ID == 1 {
			break
		}
		assert.Assert(t, now <= structs.Instant(maxWait+step))
	}
}
