package fleet

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
)

// MethodTable is the method by which a VM follows a shared table at another one.
const MethodTable = "fleet.table"

const (
	// sharedWait is how long one read of a shared table waits for a change. The answer to it
	// also tells the age of the state, so it is below maxTableAge.
	sharedWait = 500 * time.Millisecond
	// sourceSilence is how long a source may take to answer beyond that, and the longest pause
	// in a large answer; maxAnswerTime bounds that.
	sourceSilence = 400 * time.Millisecond
	maxAnswerTime = 5 * time.Second
)

// TableQuery asks for the changes of a shared table after a version.
type TableQuery struct {
	Table string `msgpack:"t"`
	// After is the version up to which the asking VM has all changes, 0 to get all rows.
	After uint64 `msgpack:"a"`
	// Wait is how long to wait for the next news of the table.
	Wait time.Duration `msgpack:"w"`
	// MaxAge is the age from which a state is of no use, so that there is no need to wait.
	MaxAge time.Duration `msgpack:"m"`
}

// TableReply answers a TableQuery.
type TableReply struct {
	Rows []TableRow `msgpack:"r,omitempty"`
	// IsFull means that Rows are all rows of the table.
	IsFull  bool          `msgpack:"f,omitempty"`
	Version uint64        `msgpack:"n"`
	Age     time.Duration `msgpack:"a"`
	// IsUnknown means that the answering VM has no rows, or older ones than the asking VM.
	IsUnknown bool `msgpack:"u,omitempty"`
}

// TableRow is a row of a shared table.
type TableRow struct {
	Key       string `msgpack:"k"`
	Value     []byte `msgpack:"v,omitempty"`
	IsPacked  bool   `msgpack:"z,omitempty"` // Value is compressed with DEFLATE
	Version   uint64 `msgpack:"n"`
	IsDeleted bool   `msgpack:"d,omitempty"`
}

// StaleSourceError reports that the sources of a shared table have no state that is new
// enough, and that it is not yet time to read the store instead.
type StaleSourceError struct{ Table string }

// Error names the table.
func (e *StaleSourceError) Error() string {
	return "no VM has a new enough state of table " + e.Table + " yet"
}

// SharedTable is a rowstore.Store whose reads of one table go to another VM of the region or,
// at the roots of the region, to the store. The table is followed with Follow, which also
// keeps the copy from which this VM serves others.
type SharedTable struct {
	rowstore.Store
	mesh  *Mesh
	table string

	mu      sync.Mutex
	replica *rowstore.Replica
	changed chan struct{} // closed and replaced at each update
	choice  *sourceChoice
	source  string // of the last update, for the log
	packed  map[string]packedValue
}

// packedValue is the compressed value of a row at a version.
type packedValue struct {
	version uint64
	value   []byte
}

// ShareTable returns the shared form of a table. It must be called before Start.
func (m *Mesh) ShareTable(table string, store rowstore.Store) *SharedTable {
	t := &SharedTable{
		Store: store, mesh: m, table: table, replica: rowstore.NewReplica(), changed: make(chan struct{}),
		choice: newSourceChoice(structs.Now()), packed: make(map[string]packedValue),
	}
	m.shared[table] = t
	return t
}

// Follow follows the table like rowstore.Follow.
func (t *SharedTable) Follow(ctx context.Context, opts rowstore.FollowOptions, report func(rowstore.TableUpdate)) error {
	return rowstore.Follow(ctx, t, opts, func(update rowstore.TableUpdate) {
		t.apply(update)
		report(update)
	})
}

// Source returns where the last update came from: "store" or a VM.
func (t *SharedTable) Source() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.source
}

// apply updates the copy and wakes the VMs that wait for news.
func (t *SharedTable) apply(update rowstore.TableUpdate) {
	now := structs.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replica.Apply(now, update)
	t.choice.recordState(now, update.Age)
	close(t.changed)
	t.changed = make(chan struct{})
}

// Watch implements rowstore.Store.
func (t *SharedTable) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Page, error) {
	return t.read(ctx, after, func() (rowstore.Page, error) {
		if t.mesh.sharesTables() {
			wait = min(wait, sharedWait)
		}
		return t.Store.Watch(ctx, table, after, wait)
	})
}

// Scan implements rowstore.Store.
func (t *SharedTable) Scan(ctx context.Context, r rowstore.Range) (rowstore.Page, error) {
	if r.From != "" {
		return t.Store.Scan(ctx, r) // a further page of the store's own
	}
	return t.read(ctx, 0, func() (rowstore.Page, error) { return t.Store.Scan(ctx, r) })
}

// read reads the changes after a version at a source, or with readStore.
func (t *SharedTable) read(ctx context.Context, after uint64, readStore func() (rowstore.Page, error)) (rowstore.Page, error) {
	if !t.mesh.IsMembershipKnown() {
		return rowstore.Page{}, &StaleSourceError{Table: t.table}
	}
	sources := t.mesh.tableSources()
	isAnswered := false
	for _, vm := range t.usableSources(sources) {
		reply, err := t.ask(ctx, vm, after)
		if err != nil {
			continue
		}
		isAnswered = true
		if reply.IsUnknown || reply.Age > maxTableAge {
			continue
		}
		page, err := t.toPage(vm, after, reply)
		if err == nil || isHistoryGone(err) {
			return page, err
		}
	}
	if len(sources) > 0 && !t.mayReadStore(isAnswered) {
		return rowstore.Page{}, &StaleSourceError{Table: t.table}
	}
	page, err := readStore()
	if err == nil {
		t.setSource(storeSource)
	}
	return page, err
}

func isHistoryGone(err error) bool {
	var gone *rowstore.HistoryGoneError
	return errors.As(err, &gone)
}

func (t *SharedTable) usableSources(sources []structs.VMID) []structs.VMID {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.choice.usable(structs.Now(), sources)
}

func (t *SharedTable) mayReadStore(isAnswered bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pause := minStorePause + rand.N(maxStorePause-minStorePause)
	return t.choice.mayReadStore(structs.Now(), isAnswered, pause)
}

func (t *SharedTable) setSource(source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.source = source
	t.choice.recordRead(source == storeSource)
}

// storeSource is the source of a state that this VM has read from the store.
const storeSource = "store"

// ask asks a source for its changes after a version.
func (t *SharedTable) ask(ctx context.Context, vm structs.VMID, after uint64) (*TableReply, error) {
	callCtx, cancel := context.WithTimeout(ctx, maxAnswerTime)
	defer cancel()
	go t.mesh.cancelIfSilent(callCtx, cancel, vm)
	var reply TableReply
	err := t.mesh.callVM(callCtx, vm, MethodTable, TableQuery{Table: t.table, After: after, Wait: sharedWait, MaxAge: maxTableAge}, &reply)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.choice.recordFailure(structs.Now(), vm)
		t.mesh.opts.Log.Warn("shared table not read at a VM", "table", t.table, "peer", string(vm), "cause", err.Error())
		return nil, err
	}
	t.choice.recordAnswer(vm)
	return &reply, nil
}

// cancelIfSilent ends a call for news of a table when the answer is overdue and none is arriving.
func (m *Mesh) cancelIfSilent(ctx context.Context, cancel context.CancelFunc, vm structs.VMID) {
	timer := time.NewTimer(sharedWait + sourceSilence)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if !m.client.IsFrameArriving(m.addressOf(vm), time.Now().Add(-sourceSilence)) {
			cancel()
			return
		}
		timer.Reset(sourceSilence)
	}
}

// toPage decodes a source's reply. A reply with all rows to a question for changes is a
// *rowstore.HistoryGoneError, so that the reader asks for all rows and drops its own.
func (t *SharedTable) toPage(vm structs.VMID, after uint64, reply *TableReply) (rowstore.Page, error) {
	if reply.IsFull && after != 0 {
		return rowstore.Page{}, &rowstore.HistoryGoneError{After: after}
	}
	page := rowstore.Page{Version: reply.Version, Age: reply.Age}
	for _, row := range reply.Rows {
		value, err := t.unpack(row)
		if err != nil {
			t.mesh.opts.Log.Error("row of a shared table can't be read", "table", t.table, "key", row.Key, "peer", string(vm), "cause", err.Error())
			return rowstore.Page{}, err
		}
		page.Rows = append(page.Rows, rowstore.Row{
			Key: rowstore.Key{Table: t.table, Key: row.Key}, Value: value, Version: row.Version, IsDeleted: row.IsDeleted,
		})
	}
	t.setSource(string(vm))
	return page, nil
}

// unpack returns a row's value, and keeps the compressed form for the VMs that follow the
// table here.
func (t *SharedTable) unpack(row TableRow) ([]byte, error) {
	if !row.IsPacked {
		return row.Value, nil
	}
	value, err := decompress(row.Value)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.packed[row.Key] = packedValue{version: row.Version, value: row.Value}
	return value, nil
}

// tableSources returns the VMs at which this VM follows shared tables.
func (m *Mesh) tableSources() []structs.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentGroups().tableSources
}

// sharesTables reports whether VMs follow shared tables at each other.
func (m *Mesh) sharesTables() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentGroups().hasCoordinators()
}

// handleTable serves a VM that follows a shared table here.
func (m *Mesh) handleTable(ctx context.Context, q TableQuery) (TableReply, error) {
	t := m.shared[q.Table]
	if t == nil {
		return TableReply{IsUnknown: true}, nil
	}
	t.awaitNews(ctx, q, m.stopping)
	return t.reply(q)
}

// awaitNews waits until the copy has changes after the version of a query, or a new
// confirmation that it has none.
func (t *SharedTable) awaitNews(ctx context.Context, q TableQuery, stopping <-chan struct{}) {
	t.mu.Lock()
	now := structs.Now()
	isUseless := !t.replica.IsKnown() || t.replica.Version() < q.After || t.replica.Age(now) > q.MaxAge
	hasNews := q.After == 0 || t.hasRowsAfter(now, q.After)
	changed := t.changed
	t.mu.Unlock()
	if isUseless || hasNews {
		return
	}
	timer := time.NewTimer(min(q.Wait, sharedWait))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-stopping:
	case <-ctx.Done():
	}
}

// hasRowsAfter reports whether the copy has changes after a version. The caller holds the lock.
func (t *SharedTable) hasRowsAfter(now structs.Instant, after uint64) bool {
	update := t.replica.ChangesAfter(now, after)
	return update.IsFull || len(update.Rows) > 0
}

// reply returns the changes after the version of a query.
func (t *SharedTable) reply(q TableQuery) (TableReply, error) {
	now := structs.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.replica.IsKnown() || t.replica.Version() < q.After {
		return TableReply{IsUnknown: true}, nil
	}
	update := t.replica.ChangesAfter(now, q.After)
	reply := TableReply{IsFull: update.IsFull, Version: update.Version, Age: update.Age}
	for _, row := range update.Rows {
		packed, err := t.pack(row)
		if err != nil {
			return TableReply{}, err
		}
		reply.Rows = append(reply.Rows, packed)
	}
	return reply, nil
}

// pack returns a row in the form for other VMs. Each version of a row is compressed once. The
// caller holds the lock.
func (t *SharedTable) pack(row rowstore.Row) (TableRow, error) {
	out := TableRow{Key: row.Key.Key, Value: row.Value, Version: row.Version, IsDeleted: row.IsDeleted}
	if len(row.Value) < minPackedBytes {
		return out, nil
	}
	known := t.packed[out.Key]
	if known.version != row.Version {
		value, err := compress(row.Value)
		if err != nil {
			return out, err
		}
		known = packedValue{version: row.Version, value: value}
		t.packed[out.Key] = known
	}
	out.Value, out.IsPacked = known.value, true
	return out, nil
}
