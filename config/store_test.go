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
	doc := parseExample(t)
	store := &Store{Table: tabletest.New()}
	initial, err := store.Current(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, initial == nil)
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

// If several operators publish from the same version at once, exactly one must
// succeed, and the error of each other one must name the stored version and its
// author.
func TestOnlyOneConcurrentPublishSucceeds(t *testing.T) {
	const publishers = 8
	doc := parseExample(t)
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
		var conflict *VersionConflictError
		assert.Assert(t, errors.As(err, &conflict), "%v", err)
		assert.DeepEqual(t, *conflict, VersionConflictError{Version: 1, Author: current.Author()})
	}
	assert.Equal(t, winners, 1)
}

func TestPublishUnderTableFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  []tabletest.Fault
		rival   bool // another operator publishes before the second attempt
		stored  bool
		commits int
		check   func(t *testing.T, err error)
	}{
		{"response lost after the write", []tabletest.Fault{tabletest.ReplyLostAfterWrite}, false, true, 2, requireNoError},
		{"response lost before the write", []tabletest.Fault{tabletest.ReplyLostBeforeWrite}, false, true, 2, requireNoError},
		{"response lost twice", []tabletest.Fault{tabletest.ReplyLostAfterWrite, tabletest.ReplyLostBeforeWrite}, false, true, 3, requireNoError},
		{"unavailable", []tabletest.Fault{tabletest.Unavailable}, false, false, 1, requireErrorAs[*NotStoredError]},
		{"unavailable after a lost response", []tabletest.Fault{tabletest.ReplyLostAfterWrite, tabletest.Unavailable}, false, true, 3, requireNoError},
		{"no response at all", []tabletest.Fault{tabletest.ReplyLostBeforeWrite, tabletest.ReplyLostBeforeWrite, tabletest.ReplyLostBeforeWrite, tabletest.ReplyLostBeforeWrite}, false, false, 4, requireErrorAs[*UnknownOutcomeError]},
		{"response lost before the write, rival is first", []tabletest.Fault{tabletest.ReplyLostBeforeWrite}, true, false, 3, requireErrorAs[*VersionConflictError]},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				doc := parseExample(t)
				table := tabletest.New()
				table.FailCommits(c.faults...)
				store := &Store{Table: table}
				if c.rival {
					go func() {
						sleep(t.Context(), publishRetryDelay/2)
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

func requireNoError(t *testing.T, err error) { assert.NilError(t, err) }

func requireErrorAs[E error](t *testing.T, err error) {
	var want E
	assert.Assert(t, errors.As(err, &want), "%v", err)
}

func TestPublishFailsWhenTableIsDown(t *testing.T) {
	table := tabletest.New()
	table.SetDown(true)
	_, err := (&Store{Table: table}).Publish(t.Context(), 0, "op", parseExample(t))
	requireErrorAs[*NotStoredError](t, err)
	assert.Equal(t, table.CommitCount(), 0)
}
