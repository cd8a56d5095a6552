package heap

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Removals and TakeFirst must not disturb the order of the remaining values. The
// heap is compared with a sorted list.
func TestOrderMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New[int, int]()
		priorities := map[int]float64{}
		for key := range rapid.IntRange(1, 60).Draw(t, "pushes") {
			priority := float64(rapid.IntRange(0, 9).Draw(t, "rank"))
			h.Push(key, key, priority)
			priorities[key] = priority
			if removed := rapid.IntRange(0, 90).Draw(t, "remove"); removed <= key {
				_, isPresent := priorities[removed]
				assert.Equal(t, h.Remove(removed), isPresent)
				delete(priorities, removed)
			}
		}
		want := make([]int, 0, len(priorities))
		for key := range priorities {
			want = append(want, key)
		}
		slices.SortFunc(want, func(a, b int) int {
			if priorities[a] != priorities[b] {
				return int(priorities[a] - priorities[b])
			}
			return a - b
		})
		isOdd := func(key int) bool { return key%2 == 1 }
		firstOdd := slices.IndexFunc(want, isOdd)
		if key, found := h.TakeFirst(len(want)+1, isOdd); found {
			assert.Equal(t, key, want[firstOdd])
			want = slices.Delete(want, firstOdd, firstOdd+1)
		} else {
			assert.Equal(t, firstOdd, -1)
		}
		assert.Equal(t, h.Len(), len(want))
		for _, key := range want {
			got, _, _ := h.Min()
			assert.Equal(t, got, key)
			assert.Assert(t, h.Remove(key))
		}
	})
}
