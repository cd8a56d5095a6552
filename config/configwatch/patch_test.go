package configwatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

// versions returns a holder that has had versions 1 to n in force, which
// differ in one account's rate.
func versions(t *testing.T, n int) *config.Holder {
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

func TestAnswerIsPatchOrWhole(t *testing.T) {
	s := server{holder: versions(t, 3)}
	for name, c := range map[string]struct {
		query structs.ConfigQuery
		patch bool
	}{
		"one behind":       {structs.ConfigQuery{HaveVersion: 2, AcceptsPatch: true}, true},
		"two behind":       {structs.ConfigQuery{HaveVersion: 1, AcceptsPatch: true}, true},
		"takes no patches": {structs.ConfigQuery{HaveVersion: 2}, false},
		"has none":         {structs.ConfigQuery{AcceptsPatch: true}, false},
	} {
		answer, err := s.watch(t.Context(), c.query)
		assert.NilError(t, err)
		assert.Equal(t, len(answer.Patch) > 0, c.patch, name)
		assert.Equal(t, len(answer.Document) > 0, !c.patch, name)
		a := asker{holder: versions(t, int(c.query.HaveVersion))}
		assert.NilError(t, a.apply(answer))
		assert.Equal(t, a.holder.Current().Version(), uint64(3))
		account, _ := a.holder.Current().Account("council-dundee")
		assert.Equal(t, account.Rate, 3.0)
		if c.patch {
			assert.Assert(t, len(answer.Patch) < 1000, "%d bytes", len(answer.Patch))
		}
	}
}

// After a patch that does not fit, the asker takes the whole document.
func TestMisfitPatchAsksForTheWhole(t *testing.T) {
	s := server{holder: versions(t, 3)}
	answer, err := s.watch(t.Context(), structs.ConfigQuery{HaveVersion: 2, AcceptsPatch: true})
	assert.NilError(t, err)
	a := asker{holder: versions(t, 1)}
	assert.ErrorContains(t, a.apply(answer), "another version")
	assert.Assert(t, a.whole)
	answer, err = s.watch(t.Context(), structs.ConfigQuery{HaveVersion: 1, AcceptsPatch: !a.whole})
	assert.NilError(t, err)
	assert.NilError(t, a.apply(answer))
	assert.Equal(t, a.holder.Current().Version(), uint64(3))
	assert.Assert(t, !a.whole)
}
