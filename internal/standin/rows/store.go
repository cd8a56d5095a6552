// Package rows is an in-memory stand-in of the platform's row store, with the
// faults that the real one has. It implements rowstore.Store.
package rows

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/rowstore"
)

// Faults are what a call may suffer. The zero value is a healthy store.
type Faults struct {
	// IsDown calls do nothing and fail at once; IsSilent ones wait for the
	// caller to give up.
	IsDown, IsSilent bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseEveryNth makes each n-th write succeed without an answer; 0 none.
	LoseEveryNth int
	// LostWriteDelay applies the writes whose answer is lost only after a time.
	LostWriteDelay time.Duration
}

// Store keeps rows and their history.
type Store struct {
	mu      sync.Mutex
	rows    map[rowstore.Key]rowstore.Row
	history []rowstore.Row // of all changes, oldest first
	dropped uint64         // changes up to this version are forgotten
	version uint64
	changed chan struct{} // closed at the next change
	faults  Faults
	writes  int
	calls   int
	started time.Time
}

// New makes an empty store.
func New() *Store {
	return &Store{rows: make(map[rowstore.Key]rowstore.Row), changed: make(chan struct{}), started: time.Now()}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory drops the history, so that watches have to read everything again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.version
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// FaultError is the cause of a failure that the stand-in plays.
type FaultError struct{ Fault string }

// Error names the fault.
func (e *FaultError) Error() string { return "stand-in: " + e.Fault }

func (s *Store) enter(ctx context.Context) (Faults, error) {
	s.mu.Lock()
	faults := s.faults
	s.calls++
	s.mu.Unlock()
	if faults.IsSilent {
		<-ctx.Done()
		return faults, &rowstore.OutcomeUnknownError{Cause: ctx.Err()}
	}
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-ctx.Done():
			return faults, &rowstore.OutcomeUnknownError{Cause: ctx.Err()}
		}
	}
	if faults.IsDown {
		return faults, &rowstore.UnavailableError{Cause: &FaultError{Fault: "down"}}
	}
	return faults, nil
}

// Commit implements rowstore.Store.
func (s *Store) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	faults, err := s.enter(ctx)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.writes++
	lose := faults.LoseEveryNth > 0 && s.writes%faults.LoseEveryNth == 0
	s.mu.Unlock()
	if !lose {
		return s.apply(tx)
	}
	if faults.LostWriteDelay > 0 {
		time.AfterFunc(faults.LostWriteDelay, func() { _, _ = s.apply(tx) })
	} else if version, err := s.apply(tx); err != nil {
		return version, err
	}
	<-ctx.Done()
	return 0, &rowstore.OutcomeUnknownError{Cause: &FaultError{Fault: "answer lost"}}
}

func (s *Store) apply(tx rowstore.Tx) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conflict := s.check(tx); conflict != nil {
		return 0, conflict
	}
	s.version++
	for _, put := range tx.Put {
		s.record(rowstore.Row{Key: put.Key, Value: slices.Clone(put.Value), Version: s.version})
	}
	for _, key := range tx.Delete {
		s.record(rowstore.Row{Key: key, Version: s.version, IsDeleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

func (s *Store) check(tx rowstore.Tx) error {
	partition := ""
	for i, e := range tx.Expect {
		if i > 0 && e.Partition != partition {
			return &rowstore.RejectedError{Status: 400, Detail: "rows of several partitions"}
		}
		partition = e.Partition
	}
	conflict := &rowstore.ConflictError{}
	failed := false
	for _, e := range tx.Expect {
		row, exists := s.rows[e.Key]
		if exists {
			conflict.Current = append(conflict.Current, row)
		}
		failed = failed || row.Version != e.Version
	}
	if failed {
		return conflict
	}
	return nil
}

func (s *Store) record(row rowstore.Row) {
	s.history = append(s.history, row)
	if row.IsDeleted {
		delete(s.rows, row.Key)
		return
	}
	s.rows[row.Key] = row
}

// Put writes a row whatever it was, as the operator and the targets do.
func (s *Store) Put(key rowstore.Key, value []byte) uint64 {
	s.mu.Lock()
	current := s.rows[key].Version
	s.mu.Unlock()
	version, err := s.apply(rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: key, Version: current}},
		Put:    []rowstore.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return s.Put(key, value) // outrun by another writer
	}
	return version
}

// Delete removes a row.
func (s *Store) Delete(key rowstore.Key) {
	// Without expectations nothing can conflict.
	_, _ = s.apply(rowstore.Tx{Delete: []rowstore.Key{key}})
}

// maxPage is the rows of one answer.
const maxPage = 500

// Scan implements rowstore.Store.
func (s *Store) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	if _, err := s.enter(ctx); err != nil {
		return rowstore.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rowstore.Page{Version: s.version, Clock: s.clock()}
	for key, row := range s.rows {
		inside := key.Table == r.Table && key.Partition == r.Partition && key.Key >= r.From && (r.To == "" || key.Key < r.To)
		if inside {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Key.Key, b.Key.Key) })
	if len(page.Rows) > maxPage {
		page.Rows, page.HasMore = page.Rows[:maxPage], true
	}
	return page, nil
}

func (s *Store) clock() int64 { return time.Since(s.started).Milliseconds() }

// Watch implements rowstore.Store.
func (s *Store) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	if _, err := s.enter(ctx); err != nil {
		return rowstore.Page{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		page, changed, err := s.changes(table, after)
		if err != nil || len(page.Rows) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-deadline.C:
			return page, nil
		case <-ctx.Done():
			return page, &rowstore.OutcomeUnknownError{Cause: ctx.Err()}
		}
	}
}

func (s *Store) changes(table string, after uint64) (rowstore.Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.dropped {
		return rowstore.Page{}, nil, &rowstore.HistoryGoneError{After: after}
	}
	page := rowstore.Page{Version: s.version, Clock: s.clock()}
	for _, row := range s.history {
		if row.Version > after && row.Table == table {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, s.changed, nil
}
