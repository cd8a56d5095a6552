package leastloaded

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/structs"
)

func TestChooseReturnsLeastLoadedTarget(t *testing.T) {
	cases := []struct {
		name       string
		candidates []route.Target
		want       structs.TargetID
	}{
		{"none", nil, ""},
		{"full", []route.Target{{ID: "a", InFlight: 2, Limit: 2}}, ""},
		{"own calls", []route.Target{{ID: "a", InFlight: 2, Limit: 4, ReportAge: -1}, {ID: "b", InFlight: 1, Limit: 4, ReportAge: -1}}, "b"},
		{"report", []route.Target{{ID: "a", Running: 3, Limit: 4}, {ID: "b", Running: 1, Waiting: 1, Limit: 4}}, "b"},
		{"sent since the report", []route.Target{{ID: "a", Running: 1, SinceReport: 3, Limit: 4}, {ID: "b", Running: 3, Limit: 4}}, "b"},
		{"lowest is full", []route.Target{{ID: "a", Limit: 0}, {ID: "b", Running: 9, Limit: 4}}, "b"},
	}
	factory, err := kernel.Lookup[route.Factory]("route.leastloaded")
	assert.NilError(t, err)
	for _, c := range cases {
		got, found := factory().Choose(0, queue.Item{}, c.candidates)
		assert.Equal(t, got, c.want, c.name)
		assert.Equal(t, found, c.want != "", c.name)
	}
}
