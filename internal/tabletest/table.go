// Package tabletest gives tests an in-memory backing.Table whose commits can
// be made to fail in each way that the platform's can.
package tabletest

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/endivecourse/endivecourse/backing"
)

// Fault is what happens to one commit.
type Fault int

// Faults of a commit.
const (
	NoFault              Fault = iota
	ReplyLostAfterWrite        // takes effect, the answer is lost
	ReplyLostBeforeWrite       // does not take effect, the answer is lost
	Unavailable                // unavailable
)

// InjectedError is the cause of every injected failure.
type InjectedError struct{ Fault string }

// Error names the fault.
func (e *InjectedError) Error() string { return fmt.Sprintf("injected: %s", e.Fault) }

// Table is the table. The zero value is not usable; see New.
type Table struct {
	mu       sync.Mutex
	rows     map[string]backing.Row
	down     bool
	faults   []Fault
	reads    int
	commits  int
	onCommit func(backing.Txn)
}

// New makes an empty table.
func New() *Table { return &Table{rows: make(map[string]backing.Row)} }

// SetDown makes every request fail as unavailable, or succeed again.
func (t *Table) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

// FailCommits sets what happens to the next commits.
func (t *Table) FailCommits(faults ...Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = faults
}

// OnCommit sets a function that is called after each commit that took effect.
// It may use the table.
func (t *Table) OnCommit(f func(backing.Txn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onCommit = f
}

// ReadCount returns how often Get was called.
func (t *Table) ReadCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads
}

// CommitCount returns how often Commit was called.
func (t *Table) CommitCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

func unavailable(fault string) error {
	return &backing.UnavailableError{Service: "table", Cause: &InjectedError{Fault: fault}}
}

// Get implements backing.Table.
func (t *Table) Get(_ context.Context, key string) (backing.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down {
		return backing.Row{}, unavailable("down")
	}
	row := t.rows[key]
	row.Key = key
	return row, nil
}

// List implements backing.Table.
func (t *Table) List(_ context.Context, prefix string) ([]backing.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, unavailable("down")
	}
	var rows []backing.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Commit implements backing.Table.
func (t *Table) Commit(_ context.Context, txn backing.Txn) ([]backing.Row, error) {
	written, hook, err := t.commit(txn)
	if hook != nil {
		hook(txn)
	}
	return written, err
}

func (t *Table) commit(txn backing.Txn) (written []backing.Row, hook func(backing.Txn), err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	switch fault := t.nextFault(); {
	case t.down:
		return nil, nil, unavailable("down")
	case fault == Unavailable:
		return nil, nil, unavailable("refused")
	case fault == ReplyLostBeforeWrite:
		return nil, nil, lost("before")
	case fault == ReplyLostAfterWrite:
		if _, err := t.apply(txn); err != nil {
			return nil, nil, err
		}
		return nil, t.onCommit, lost("after")
	}
	written, err = t.apply(txn)
	if err != nil {
		return nil, nil, err
	}
	return written, t.onCommit, nil
}

func lost(when string) error {
	return &backing.UnknownOutcomeError{Service: "table", Cause: &InjectedError{Fault: "answer lost " + when + " the write"}}
}

func (t *Table) nextFault() Fault {
	if len(t.faults) == 0 {
		return NoFault
	}
	next := t.faults[0]
	t.faults = t.faults[1:]
	return next
}

func (t *Table) apply(txn backing.Txn) ([]backing.Row, error) {
	var found []backing.Row
	for _, c := range txn.Require {
		if row := t.rows[c.Key]; row.Version != c.Version {
			row.Key = c.Key
			found = append(found, row)
		}
	}
	if len(found) > 0 {
		return nil, &backing.ConflictError{Found: found}
	}
	var written []backing.Row
	for _, w := range txn.Writes {
		if w.IsDelete {
			delete(t.rows, w.Key)
			continue
		}
		row := backing.Row{Key: w.Key, Value: w.Value, Version: t.rows[w.Key].Version + 1}
		t.rows[w.Key] = row
		written = append(written, row)
	}
	return written, nil
}
