package config

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/tabletest"
)

func TestPublishAndRead(t *testing.T) {
	doc := mustParse(t)
	store := &Store{Table: tabletest.New()}
	none, err := store.Current(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, none == nil)
	for i := range uint64(3) {
		version, err := store.Publish(t.Context(), i, fmt.Sprintf("op%d", i+1), doc)
		assert.NilError(t, err)
		assert.Equal(t, version, i+1)
	}
	current, err := store.Current(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, current.Version(), uint64(3))
	assert.Equal(t, current.Author(), "op3")
	assert.DeepEqual(t, current.Document(), doc)
	assert.Assert(t, current.sameContent(NewSnapshot(3, "op3", doc)))
	history, err := store.History(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(history), 3)
	assert.Equal(t, history[1].Author, "op2")
	_, err = store.Version(t.Context(), 9)
	var missing *VersionNotFoundError
	assert.Assert(t, errors.As(err, &missing))
}

func TestPublishRefusesBadDocument(t *testing.T) {
	table := tabletest.New()
	_, err := (&Store{Table: table}).Publish(t.Context(), 0, "op", Document{})
	assert.Assert(t, len(problemsOf(t, err)) > 0)
	assert.Equal(t, table.CommitCount(), 0)
}

// Of any number of publishers that start from the same version exactly one
// wins; each other is told the winner.
func TestRacingPublishers(t *testing.T) {
	const publishers = 8
	doc := mustParse(t)
	store := &Store{Table: tabletest.New()}
	errs := make([]error, publishers)
	var group sync.WaitGroup
	for i := range publishers {
		group.Go(func() { _, errs[i] = store.Publish(t.Context(), 0, fmt.Sprintf("op%d", i), doc) })
	}
	group.Wait()
	current, err := store.Current(t.Context())
	assert.NilError(t, err)
	winners := 0
	for i, err := range errs {
		if err == nil {
			winners++
			assert.Equal(t, current.Author(), fmt.Sprintf("op%d", i))
			continue
		}
		var lost *VersionConflictError
		assert.Assert(t, errors.As(err, &lost), "%v", err)
		assert.DeepEqual(t, *lost, VersionConflictError{Version: 1, Author: current.Author()})
	}
	assert.Equal(t, winners, 1)
}

func TestPublishFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  []tabletest.Fault
		rival   bool // another operator publishes before the second try
		stored  bool
		commits int
		check   func(t *testing.T, err error)
	}{
		{"answer lost after the write", []tabletest.Fault{tabletest.ReplyLostAfterWrite}, false, true, 2, isNil},
		{"answer lost before the write", []tabletest.Fault{tabletest.ReplyLostBeforeWrite}, false, true, 2, isNil},
		{"lost twice", []tabletest.Fault{tabletest.ReplyLostAfterWrite, tabletest.ReplyLostBeforeWrite}, false, true, 3, isNil},
		{"unavailable", []tabletest.Fault{tabletest.Unavailable}, false, false, 1, isError[*NotStoredError]},
		{"unavailable after a lost answer", []tabletest.Fault{tabletest.ReplyLostAfterWrite, tabletest.Unavailable}, false, true, 3, isNil},
		{"never answered", []tabletest.Fault{tabletest.ReplyLostBeforeWrite, tabletest.ReplyLostBeforeWrite, tabletest.ReplyLostBeforeWrite, tabletest.ReplyLostBeforeWrite}, false, false, 4, isError[*UnknownOutcomeError]},
		{"lost before the write, rival wins", []tabletest.Fault{tabletest.ReplyLostBeforeWrite}, true, false, 3, isError[*VersionConflictError]},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				doc := mustParse(t)
				table := tabletest.New()
				table.FailCommits(c.faults...)
				store := &Store{Table: table}
				if c.rival {
					go func() {
						pause(t.Context(), publishPause/2)
						_, err := (&Store{Table: table}).Publish(t.Context(), 0, "rival", doc)
						assert.Check(t, err)
					}()
				}
				_, err := store.Publish(t.Context(), 0, "op", doc)
				c.check(t, err)
				assert.Equal(t, table.CommitCount(), c.commits)
				current, err := store.Current(t.Context())
				assert.NilError(t, err)
				assert.Equal(t, current != nil && current.Author() == "op", c.stored)
			})
		})
	}
}

func isNil(t *testing.T, err error) { assert.NilError(t, err) }

func isError[E error](t *testing.T, err error) {
	var want E
	assert.Assert(t, errors.As(err, &want), "%v", err)
}

func TestStoreDown(t *testing.T) {
	table := tabletest.New()
	table.SetDown(true)
	_, err := (&Store{Table: table}).Publish(t.Context(), 0, "op", mustParse(t))
	isError[*NotStoredError](t, err)
	assert.Equal(t, table.CommitCount(), 0)
}
