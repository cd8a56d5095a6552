package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/internal/tabletest"
)

// publishRates stores versions that differ in one account's rate.
func publishRates(t *testing.T, store *Store, versions int) {
	t.Helper()
	doc := mustParse(t)
	id := sorted(doc.Accounts)[0]
	for i := range versions {
		account := doc.Accounts[id]
		account.Rate = float64(i + 1)
		doc.Accounts[id] = account
		_, err := store.Publish(t.Context(), uint64(i), "op", doc)
		assert.NilError(t, err)
	}
}

func write(t *testing.T, table *tabletest.Table, w backing.Write) {
	t.Helper()
	_, err := table.Commit(t.Context(), backing.Txn{Writes: []backing.Write{w}})
	assert.NilError(t, err)
}

func TestAfterReadsPatchesOnly(t *testing.T) {
	table := tabletest.New()
	store := &Store{Table: table}
	publishRates(t, store, 4)
	first, err := store.Version(t.Context(), 1)
	assert.NilError(t, err)
	last, err := store.Version(t.Context(), 4)
	assert.NilError(t, err)
	for version := range uint64(4) {
		write(t, table, backing.Write{Key: VersionRow(version + 1), IsDelete: true})
	}
	got, err := store.VersionFrom(t.Context(), first, 4)
	assert.NilError(t, err)
	assert.Equal(t, got.Version(), uint64(4))
	assert.Assert(t, got.sameContent(last))
}

// Whatever is wrong with a patch, the whole document is read.
func TestAfterFallsBackToTheWhole(t *testing.T) {
	for name, w := range map[string]backing.Write{
		"missing":   {Key: PatchRow(3), IsDelete: true},
		"malformed": {Key: PatchRow(3), Value: []byte("{")},
		"no ascent": {Key: PatchRow(3), Value: []byte(`{"from": 2, "to": 2}`)},
		"wrong":     {Key: PatchRow(3), Value: []byte(`{"from": 2, "to": 3, "digest": "AAAA"}`)},
	} {
		table := tabletest.New()
		store := &Store{Table: table}
		publishRates(t, store, 4)
		first, err := store.Version(t.Context(), 1)
		assert.NilError(t, err)
		write(t, table, w)
		got, err := store.VersionFrom(t.Context(), first, 4)
		assert.NilError(t, err, name)
		want, err := store.Version(t.Context(), 4)
		assert.NilError(t, err)
		assert.Assert(t, got.Version() == 4 && got.sameContent(want), name)
	}
}
