package main

import (
	"slices"
	"sync"
	"time"
)

// maxPageRows is the most rows of one answer.
const maxPageRows = 500

type partKey struct{ table, part string }

// part holds the rows of one part of a table.
type part struct {
	keys []string // in ascending order
	rows map[string]row
}

// rowTable holds the rows of the platform's store and the history of their changes.
type rowTable struct {
	mu      sync.Mutex
	version uint64
	parts   map[partKey]*part
	history map[string][]row // by table, oldest first
	changed chan struct{}    // closed and replaced at each change
	started time.Time
}

func newRowTable() *rowTable {
	return &rowTable{parts: make(map[partKey]*part), history: make(map[string][]row), changed: make(chan struct{}), started: time.Now()}
}

// find returns a row, with version 0 if it does not exist. The caller holds the lock.
func (t *rowTable) find(k rowKey) row {
	if p := t.parts[partKey{k.Table, k.Part}]; p != nil {
		if found, exists := p.rows[k.Key]; exists {
			return found
		}
	}
	return row{rowKey: k}
}

// commit applies all changes, or none and returns the present rows of those expected.
func (t *rowTable) commit(expect, put []row, removed []rowKey) (version uint64, current []row, isApplied bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	isApplied = true
	for _, e := range expect {
		found := t.find(e.rowKey)
		isApplied = isApplied && found.Ver == e.Ver
		if found.Ver != 0 {
			current = append(current, found)
		}
	}
	if !isApplied {
		return t.version, current, false
	}
	t.version++
	for _, each := range put {
		t.set(row{rowKey: each.rowKey, Value: each.Value, Ver: t.version})
	}
	for _, key := range removed {
		t.set(row{rowKey: key, Ver: t.version, Removed: true})
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version, nil, true
}

// set records a change of a row. The caller holds the lock.
func (t *rowTable) set(r row) {
	t.history[r.Table] = append(t.history[r.Table], r)
	key := partKey{r.Table, r.Part}
	p := t.parts[key]
	if p == nil {
		p = &part{rows: make(map[string]row)}
		t.parts[key] = p
	}
	at, exists := slices.BinarySearch(p.keys, r.Key)
	switch {
	case r.Removed && exists:
		p.keys = slices.Delete(p.keys, at, at+1)
		delete(p.rows, r.Key)
		return
	case r.Removed:
		return
	case !exists:
		p.keys = slices.Insert(p.keys, at, r.Key)
	}
	p.rows[r.Key] = r
}

// put writes a row whatever it holds, as the operator and the runners do.
func (t *rowTable) put(key rowKey, value []byte) {
	t.commit(nil, []row{{rowKey: key, Value: value}}, nil)
}

// page is an answer about rows.
type page struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

// newPage returns a page without rows. The caller holds the lock.
func (t *rowTable) newPage() page {
	return page{Rows: []row{}, Ver: t.version, NowMs: time.Since(t.started).Milliseconds()}
}

// get returns the rows of a part from a key on and before another one, empty for none.
func (t *rowTable) get(table, partName, from, to string) page {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.newPage()
	p := t.parts[partKey{table, partName}]
	if p == nil {
		return out
	}
	for first, _ := slices.BinarySearch(p.keys, from); first < len(p.keys); first++ {
		if to != "" && p.keys[first] >= to {
			break
		}
		if len(out.Rows) == maxPageRows {
			out.HasMore = true
			break
		}
		out.Rows = append(out.Rows, p.rows[p.keys[first]])
	}
	return out
}

// feed returns the changes of a table after a version, and a channel that is closed at the next
// change of any.
func (t *rowTable) feed(table string, after uint64) (page, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.newPage()
	history := t.history[table]
	first, _ := slices.BinarySearchFunc(history, after+1, func(r row, version uint64) int {
		switch {
		case r.Ver < version:
			return -1
		case r.Ver > version:
			return 1
		}
		return 0
	})
	for first > 0 && history[first-1].Ver > after {
		first--
	}
	out.Rows = append(out.Rows, history[first:]...)
	return out, t.changed
}
