package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Requests must be ordered by priority, then by the deadline of their program, then by
// arrival.
func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	var q Queue
	requests := []*Request{{Priority: 1, ProgramDeadline: 5}, {Priority: 0, ProgramDeadline: 9}, {Priority: 0, ProgramDeadline: 3}, {Priority: 0, ProgramDeadline: 3}}
	for _, request := range requests {
		q.Add(0, request)
	}
	var got []int
	for q.Len() > 0 {
		first := q.First(0)
		assert.Assert(t, q.Remove(first))
		for i, request := range requests {
			if request == first {
				got = append(got, i)
			}
		}
	}
	assert.DeepEqual(t, got, []int{2, 3, 1, 0})
	assert.Assert(t, !q.Remove(requests[0]))
	assert.Assert(t, q.First(0) == nil)
}

func TestAheadCountsRequestsThatGoFirst(t *testing.T) {
	var q Queue
	requests := []*Request{{Priority: 1, ProgramDeadline: 5}, {Priority: 0, ProgramDeadline: 9}, {Priority: 1, ProgramDeadline: 3}, {Priority: 1, ProgramDeadline: 5}}
	for _, r := range requests {
		q.Add(0, r)
	}
	for i, want := range []int{2, 0, 1, 3} {
		assert.Equal(t, q.Ahead(0, requests[i]), want)
	}
}
