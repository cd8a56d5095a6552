package heap

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestAgainstSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New[int, int]()
		ranks := map[int]float64{}
		for key := range rapid.IntRange(1, 60).Draw(t, "pushes") {
			rank := float64(rapid.IntRange(0, 9).Draw(t, "rank"))
			h.Push(key, key, rank)
			ranks[key] = rank
			if gone := rapid.IntRange(0, 90).Draw(t, "remove"); gone <= key {
				_, held := ranks[gone]
				assert.Equal(t, h.Remove(gone), held)
				delete(ranks, gone)
			}
		}
		want := make([]int, 0, len(ranks))
		for key := range ranks {
			want = append(want, key)
		}
		slices.SortFunc(want, func(a, b int) int {
			if ranks[a] != ranks[b] {
				return int(ranks[a] - ranks[b])
			}
			return a - b
		})
		odd := func(key int) bool { return key%2 == 1 }
		wantOdd := slices.IndexFunc(want, odd)
		if key, found := h.TakeFirst(len(want)+1, odd); found {
			assert.Equal(t, key, want[wantOdd])
			want = slices.Delete(want, wantOdd, wantOdd+1)
		} else {
			assert.Equal(t, wantOdd, -1)
		}
		assert.Equal(t, h.Len(), len(want))
		for _, key := range want {
			got, _, _ := h.Min()
			assert.Equal(t, got, key)
			assert.Assert(t, h.Remove(key))
		}
	})
}
