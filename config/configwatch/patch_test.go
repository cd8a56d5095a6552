package configwatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

// holderWithVersions returns a holder to which versions 1 to n were applied, which
// differ in the rate of one account.
func holderWithVersions(t *testing.T, n int) *config.Holder {
	t.Helper()
	holder := &config.Holder{}
	for i := range n {
		doc, err := config.Load("../../examples/tayside/base.jsonc", "../../examples/tayside/overlay.jsonc")
		assert.NilError(t, err)
		account := doc.Accounts["council-dundee"]
		account.Rate = float64(i + 1)
		doc.Accounts["council-dundee"] = account
		holder.Apply(config.NewSnapshot(uint64(i+1), "op", doc))
	}
	return holder
}

func TestReplyHoldsPatchOrDocument(t *testing.T) {
	s := server{holder: holderWithVersions(t, 3)}
	for name, c := range map[string]struct {
		query structs.ConfigQuery
		patch bool
	}{
		"one behind":       {structs.ConfigQuery{HaveVersion: 2, AcceptsPatch: true}, true},
		"two behind":       {structs.ConfigQuery{HaveVersion: 1, AcceptsPatch: true}, true},
		"takes no patches": {structs.ConfigQuery{HaveVersion: 2}, false},
		"has none":         {structs.ConfigQuery{AcceptsPatch: true}, false},
	} {
		reply, err := s.watch(t.Context(), c.query)
		assert.NilError(t, err)
		assert.Equal(t, len(reply.Patch) > 0, c.patch, name)
		assert.Equal(t, len(reply.Document) > 0, !c.patch, name)
		a := querier{holder: holderWithVersions(t, int(c.query.HaveVersion))}
		assert.NilError(t, a.apply(reply))
		assert.Equal(t, a.holder.Current().Version(), uint64(3))
		account, _ := a.holder.Current().Account("council-dundee")
		assert.Equal(t, account.Rate, 3.0)
		if c.patch {
			assert.Assert(t, len(reply.Patch) < 1000, "%d bytes", len(reply.Patch))
		}
	}
}

// After a patch that does not fit, the next query must request the full document:
// the same patch would fail again.
func TestRejectedPatchRequestsDocument(t *testing.T) {
	s := server{holder: holderWithVersions(t, 3)}
	reply, err := s.watch(t.Context(), structs.ConfigQuery{HaveVersion: 2, AcceptsPatch: true})
	assert.NilError(t, err)
	a := querier{holder: holderWithVersions(t, 1)}
	assert.ErrorContains(t, a.apply(reply), "another version")
	assert.Assert(t, a.needsDocument)
	reply, err = s.watch(t.Context(), structs.ConfigQuery{HaveVersion: 1, AcceptsPatch: !a.needsDocument})
	assert.NilError(t, err)
	assert.NilError(t, a.apply(reply))
	assert.Equal(t, a.holder.Current().Version(), uint64(3))
	assert.Assert(t, !a.needsDocument)
}
