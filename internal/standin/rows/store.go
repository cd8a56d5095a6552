// Package rows is an in-memory stand-in for the platform's row store with fault injection.
// It implements rowstore.Store.
package rows

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/endivecourse/endivecourse/rowstore"
)

// Faults are the faults that calls are subject to. The zero value injects none.
type Faults struct {
	// IsDown makes calls fail without effect. IsSilent makes calls hang without effect
	// until their context ends.
	IsDown, IsSilent bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseEveryNth makes every n-th commit take effect without a response; 0 is none.
	LoseEveryNth int
	// LostWriteDelay is the time after which a commit whose response is lost takes effect.
	LostWriteDelay time.Duration
}

// Store holds rows and the history of their changes.
type Store struct {
	mu             sync.Mutex
	rows           map[rowstore.Key]rowstore.Row
	history        []rowstore.Row // of all changes, oldest first
	droppedVersion uint64         // history starts after this version
	version        uint64
	changed        chan struct{} // closed and replaced at the next change
	faults         Faults
	writes         int
	calls          int
	started        time.Time
}

// New creates an empty store.
func New() *Store {
	return &Store{rows: make(map[rowstore.Key]rowstore.Row), changed: make(chan struct{}), started: time.Now()}
}

// SetFaults replaces the faults that are injected.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// DropHistory discards the history, so that watches from an older version fail and their
// callers must read all rows again.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.version
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// FaultError is the cause of an error from an injected fault.
type FaultError struct{ Fault string }

// Error returns the fault.
func (e *FaultError) Error() string { return "injected fault: " + e.Fault }

func (s *Store) applyFaults(ctx context.Context) (Faults, error) {
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
	faults, err := s.applyFaults(ctx)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.writes++
	isLost := faults.LoseEveryNth > 0 && s.writes%faults.LoseEveryNth == 0
	s.mu.Unlock()
	if !isLost {
		return s.applyTx(tx)
	}
	if faults.LostWriteDelay > 0 {
		time.AfterFunc(faults.LostWriteDelay, func() { _, _ = s.applyTx(tx) })
	} else if version, err := s.applyTx(tx); err != nil {
		return version, err
	}
	<-ctx.Done()
	return 0, &rowstore.OutcomeUnknownError{Cause: &FaultError{Fault: "response lost"}}
}

func (s *Store) applyTx(tx rowstore.Tx) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, put := range tx.Put {
		if len(put.Key.Key) > rowstore.MaxKeyBytes || !utf8.ValidString(put.Key.Key) {
			return 0, &rowstore.RejectedError{Status: 400, Detail: "key of " + strconv.Itoa(len(put.Key.Key)) + " bytes"}
		}
	}
	if conflict := s.checkExpectations(tx); conflict != nil {
		return 0, conflict
	}
	s.version++
	for _, put := range tx.Put {
		s.recordChange(rowstore.Row{Key: put.Key, Value: slices.Clone(put.Value), Version: s.version})
	}
	for _, key := range tx.Delete {
		s.recordChange(rowstore.Row{Key: key, Version: s.version, IsDeleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

func (s *Store) checkExpectations(tx rowstore.Tx) error {
	partition := ""
	for i, e := range tx.Expect {
		if i > 0 && e.Partition != partition {
			return &rowstore.RejectedError{Status: 400, Detail: "rows of several partitions"}
		}
		partition = e.Partition
	}
	conflict := &rowstore.ConflictError{}
	hasConflict := false
	for _, e := range tx.Expect {
		row, exists := s.rows[e.Key]
		if exists {
			conflict.Current = append(conflict.Current, row)
		}
		hasConflict = hasConflict || row.Version != e.Version
	}
	if hasConflict {
		return conflict
	}
	return nil
}

func (s *Store) recordChange(row rowstore.Row) {
	s.history = append(s.history, row)
	if row.IsDeleted {
		delete(s.rows, row.Key)
		return
	}
	s.rows[row.Key] = row
}

// Put writes a row whatever its current version, as operators and targets do.
func (s *Store) Put(key rowstore.Key, value []byte) uint64 {
	s.mu.Lock()
	current := s.rows[key].Version
	s.mu.Unlock()
	version, err := s.applyTx(rowstore.Tx{
		Expect: []rowstore.Expectation{{Key: key, Version: current}},
		Put:    []rowstore.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return s.Put(key, value) // another writer changed the row in between
	}
	return version
}

// Delete removes a row.
func (s *Store) Delete(key rowstore.Key) {
	// A transaction without expectations can't conflict.
	_, _ = s.applyTx(rowstore.Tx{Delete: []rowstore.Key{key}})
}

// maxPageRows is the maximum number of rows in a page.
const maxPageRows = 500

// Scan implements rowstore.Store.
func (s *Store) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	if _, err := s.applyFaults(ctx); err != nil {
		return rowstore.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := rowstore.Page{Version: s.version, Clock: s.clock()}
	for key, row := range s.rows {
		inRange := key.Table == r.Table && key.Partition == r.Partition && key.Key >= r.From && (r.To == "" || key.Key < r.To)
		if inRange {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Key.Key, b.Key.Key) })
	if len(page.Rows) > maxPageRows {
		page.Rows, page.HasMore = page.Rows[:maxPageRows], true
	}
	return page, nil
}

func (s *Store) clock() int64 { return time.Since(s.started).Milliseconds() }

// Watch implements rowstore.Store.
func (s *Store) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	if _, err := s.applyFaults(ctx); err != nil {
		return rowstore.Page{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		page, changed, err := s.changesAfter(table, after)
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

func (s *Store) changesAfter(table string, after uint64) (rowstore.Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedVersion {
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
