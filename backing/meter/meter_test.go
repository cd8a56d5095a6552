package meter

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/internal/tabletest"
)

func TestCountsOutcomesAndBytes(t *testing.T) {
	m := New()
	fake := tabletest.New()
	services := m.Wrap(backing.Services{Table: fake})
	txn := backing.Txn{
		Require: []backing.Condition{{Key: "key", Version: 0}},
		Writes:  []backing.Write{{Key: "key", Value: []byte("value")}},
	}
	_, err := services.Table.Commit(t.Context(), txn)
	assert.NilError(t, err)
	_, err = services.Table.Commit(t.Context(), txn)
	assert.ErrorContains(t, err, "conflict")
	fake.SetDown(true)
	_, err = services.Table.Get(t.Context(), "key")
	assert.Assert(t, err != nil)
	var out strings.Builder
	m.WriteMetrics(&out)
	for _, want := range []string{
		`endive_platform_requests_total{op="table.commit",outcome="ok"} 1`,
		`endive_platform_requests_total{op="table.commit",outcome="conflict"} 1`,
		`endive_platform_requests_total{op="table.get",outcome="unavailable"} 1`,
		`endive_platform_bytes_total{direction="sent"} 25`,
	} {
		assert.Assert(t, strings.Contains(out.String(), want), "%s\n%s", want, out.String())
	}
}
