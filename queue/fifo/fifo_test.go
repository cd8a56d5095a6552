package fifo

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/queue"
)

func TestOrderOfArrival(t *testing.T) {
	factory, err := kernel.Lookup[queue.Factory]("queue.fifo")
	assert.NilError(t, err)
	policy := factory()
	for id := uint64(1); id <= 4; id++ {
		policy.Push(0, queue.Item{ID: id})
	}
	assert.Assert(t, policy.Remove(2))
	assert.Assert(t, !policy.Remove(2))
	any := func(queue.Item) bool { return true }
	for _, want := range []uint64{1, 3, 4} {
		item, found := policy.TakeNext(0, any)
		assert.Assert(t, found)
		assert.Equal(t, item.ID, want)
	}
	_, found := policy.TakeNext(0, any)
	assert.Assert(t, !found)
}

func TestFirstItemIsNotOvertaken(t *testing.T) {
	policy := &Policy{}
	policy.Push(0, queue.Item{ID: 1})
	policy.Push(0, queue.Item{ID: 2})
	_, found := policy.TakeNext(0, func(item queue.Item) bool { return item.ID == 2 })
	assert.Assert(t, !found)
	assert.Equal(t, policy.Len(), 2)
}
