package config

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform"
)

// fakeTable is an in-memory table. faults holds what the next commits do
// instead of answering.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	down    bool
	faults  []fault
	commits int
}

type fault int

const (
	none          fault = iota
	lostAfter           // takes effect, the answer is lost
	lostBefore          // does not take effect, the answer is lost
	refusedBefore       // unavailable
)

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]platform.Row)} }

func (f *fakeTable) unavailable() error {
	return &platform.UnavailableError{Service: "table", Cause: errors.New("down")}
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return platform.Row{}, f.unavailable()
	}
	row := f.rows[key]
	row.Key = key
	return row, nil
}

func (f *fakeTable) List(_ context.Context, prefix string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	now := none
	if len(f.faults) > 0 {
		now, f.faults = f.faults[0], f.faults[1:]
	}
	unknown := &platform.UnknownOutcomeError{Service: "table", Cause: errors.New("timeout")}
	switch now {
	case lostBefore:
		return nil, unknown
	case refusedBefore:
		return nil, f.unavailable()
	}
	for _, c := range txn.Require {
		if f.rows[c.Key].Version != c.Version {
			return nil, &platform.ConflictError{Found: []platform.Row{f.rows[c.Key]}}
		}
	}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: f.rows[w.Key].Version + 1}
	}
	if now == lostAfter {
		return nil, unknown
	}
	return nil, nil
}

func TestPublishAndRead(t *testing.T) {
	doc := mustParse(t)
	store := &Store{Table: newFakeTable()}
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
	var missing *NoVersionError
	assert.Assert(t, errors.As(err, &missing))
}

func TestPublishRefusesBadDocument(t *testing.T) {
	table := newFakeTable()
	_, err := (&Store{Table: table}).Publish(t.Context(), 0, "op", Document{})
	assert.Assert(t, len(problemsOf(t, err)) > 0)
	assert.Equal(t, table.commits, 0)
}

// Of any number of publishers that start from the same version exactly one
// wins; each other is told the winner.
func TestRacingPublishers(t *testing.T) {
	const publishers = 8
	doc := mustParse(t)
	store := &Store{Table: newFakeTable()}
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
		var lost *LostRaceError
		assert.Assert(t, errors.As(err, &lost), "%v", err)
		assert.DeepEqual(t, *lost, LostRaceError{Version: 1, Author: current.Author()})
	}
	assert.Equal(t, winners, 1)
}

func TestPublishFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  []fault
		rival   bool // another operator publishes before the second try
		stored  bool
		commits int
		check   func(t *testing.T, err error)
	}{
		{"answer lost after the write", []fault{lostAfter}, false, true, 2, isNil},
		{"answer lost before the write", []fault{lostBefore}, false, true, 2, isNil},
		{"lost twice", []fault{lostAfter, lostBefore}, false, true, 3, isNil},
		{"unavailable", []fault{refusedBefore}, false, false, 1, isError[*NotStoredError]},
		{"unavailable after a lost answer", []fault{lostAfter, refusedBefore}, false, true, 3, isNil},
		{"never answered", []fault{lostBefore, lostBefore, lostBefore, lostBefore}, false, false, 4, isError[*UncertainError]},
		{"lost before the write, rival wins", []fault{lostBefore}, true, false, 3, isError[*LostRaceError]},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				doc := mustParse(t)
				table := newFakeTable()
				table.faults = c.faults
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
				assert.Equal(t, table.commits, c.commits)
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
	table := newFakeTable()
	table.down = true
	_, err := (&Store{Table: table}).Publish(t.Context(), 0, "op", mustParse(t))
	isError[*NotStoredError](t, err)
	assert.Equal(t, table.commits, 0)
}
