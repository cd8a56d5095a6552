package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

// More urgent requests go first; equals in the order of their programs' ends,
// then of arrival.
func TestOrder(t *testing.T) {
	var l Queue
	tickets := []*Request{{Priority: 1, ProgramDeadline: 5}, {Priority: 0, ProgramDeadline: 9}, {Priority: 0, ProgramDeadline: 3}, {Priority: 0, ProgramDeadline: 3}}
	for _, ticket := range tickets {
		l.Add(ticket)
	}
	var got []int
	for l.Len() > 0 {
		first := l.First()
		assert.Assert(t, l.Remove(first))
		for i, ticket := range tickets {
			if ticket == first {
				got = append(got, i)
			}
		}
	}
	assert.DeepEqual(t, got, []int{2, 3, 1, 0})
	assert.Assert(t, !l.Remove(tickets[0]))
	assert.Assert(t, l.First() == nil)
}
