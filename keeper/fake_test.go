package keeper

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

const testSlots = 32

// domain is one failure domain in memory: table, objects, links and VM list.
type domain struct {
	t       *testing.T
	slots   int
	lease   settings.Lease
	mu      sync.Mutex
	rows    map[string]backing.Row
	objects map[string][]byte
	down    bool // table and objects
	lose    int  // each so many commits lose their answer; 0 for none
	commits int
	cut     map[string]bool // addresses cut off from everything
	// storeCut is an address that reaches its peers but not the platform.
	storeCut string
	running  map[string]*running
	gone     map[structs.VMID]bool
	listed   []string // in the VM list, running or not
	calls    int      // between peers
	bytes    int      // of requests and replies between peers
	reads    int      // of the table
	read     int      // bytes of rows read
	// watch, if set, sees each request between peers with its reply, and each
	// commit, once it has taken effect.
	watch func(vm string, in, out any)
}

type running struct {
	keeper *Keeper
	stop   context.CancelFunc
	done   chan error
	held   map[structs.Slot]structs.Epoch // by the changes delivered
	losses int
	mu     sync.Mutex
}

func newDomain(t *testing.T) *domain {
	return &domain{
		t: t, slots: testSlots, lease: settings.Default().Lease, rows: make(map[string]backing.Row), objects: make(map[string][]byte),
		cut: make(map[string]bool), running: make(map[string]*running), gone: make(map[structs.VMID]bool),
	}
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func (d *domain) options(vm string, caller Sender) Options {
	terms := d.lease
	terms.Slots = d.slots
	return Options{
		Domain: "d", Self: lease.Member{Incarnation: structs.Incarnation(vm + "#1"), VM: structs.VMID(vm), Addr: vm},
		Lease:   terms,
		MaxTail: 1 << 20, Daemons: 3, GoneGrace: 5 * time.Second,
		Table: tableEnd{&endpoint{d, vm}}, Objects: objectsEnd{&endpoint{d, vm}}, Sender: caller,
		Peers: d.peers, IsVMGone: d.seenGone, Log: quiet(),
	}
}

// start runs one scheduler. The incarnation is the VM's name and number.
func (d *domain) start(vm string, number int) *running {
	opts := d.options(vm, &endpoint{d, vm})
	opts.Self.Incarnation = structs.Incarnation(fmt.Sprintf("%s#%d", vm, number))
	k, err := New(opts)
	assert.NilError(d.t, err)
	ctx, stop := context.WithCancel(context.Background())
	r := &running{keeper: k, stop: stop, done: make(chan error, 1), held: make(map[structs.Slot]structs.Epoch)}
	d.mu.Lock()
	d.running[vm] = r
	d.mu.Unlock()
	go func() { r.done <- kernel.New(quiet(), k).Run(ctx, time.Second) }()
	go r.follow(ctx)
	return r
}

func (r *running) follow(ctx context.Context) {
	for {
		select {
		case c := <-r.keeper.Changes():
			r.mu.Lock()
			if !c.IsHeld {
				r.losses++
			}
			if c.IsHeld {
				r.held[c.Slot] = c.Epoch
			} else if r.held[c.Slot] == c.Epoch {
				delete(r.held, c.Slot)
			}
			r.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// kill ends a scheduler without release.
func (d *domain) kill(vm string) {
	d.mu.Lock()
	r := d.running[vm]
	delete(d.running, vm)
	d.mu.Unlock()
	r.stop()
	assert.NilError(d.t, <-r.done)
}

func (d *domain) stopAll() {
	for _, vm := range d.vms() {
		d.kill(vm)
	}
}

func (d *domain) vms() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for vm := range d.running {
		out = append(out, vm)
	}
	slices.Sort(out)
	return out
}

func (d *domain) set(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

func (d *domain) peers() []Peer {
	var out []Peer
	vms := append(d.vms(), d.listed...)
	slices.Sort(vms)
	for _, vm := range slices.Compact(vms) {
		if !d.seenGone(structs.VMID(vm)) {
			out = append(out, Peer{VM: structs.VMID(vm), Addr: vm})
		}
	}
	return out
}

func (d *domain) seenGone(vm structs.VMID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gone[vm]
}

// owners returns how many slots each scheduler holds; each slot must be held
// by at most one.
func (d *domain) owners() map[string]int {
	counts := make(map[string]int)
	for slot := range structs.Slot(d.slots) {
		owner := ""
		for _, vm := range d.vms() {
			if _, held := d.running[vm].keeper.HeldEpoch(slot); held {
				assert.Equal(d.t, owner, "", "slot %d is held by %s too", slot, vm)
				owner = vm
				counts[vm]++
			}
		}
	}
	return counts
}

func (d *domain) total() int {
	n := 0
	for _, count := range d.owners() {
		n += count
	}
	return n
}

// waitOwned waits until every slot is held.
func (d *domain) waitOwned(limit time.Duration) {
	for end := time.Now().Add(limit); d.total() < d.slots; time.Sleep(100 * time.Millisecond) {
		assert.Assert(d.t, time.Now().Before(end), "%d of %d slots held: %v", d.total(), d.slots, d.owners())
	}
}

// endpoint is what one VM sees of the platform and of its peers.
type endpoint struct {
	d  *domain
	vm string
}

func (e *endpoint) reach(service string) error {
	time.Sleep(time.Millisecond)
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	if e.d.down || e.d.cut[e.vm] || e.d.storeCut == e.vm {
		return &backing.UnavailableError{Service: service, Cause: io.ErrUnexpectedEOF}
	}
	return nil
}

func (e *endpoint) get(key string) backing.Row {
	row := e.d.rows[key]
	row.Key = key
	return row
}

type tableEnd struct{ *endpoint }

type objectsEnd struct{ *endpoint }

func (e tableEnd) Get(_ context.Context, key string) (backing.Row, error) {
	if err := e.reach("table"); err != nil {
		return backing.Row{}, err
	}
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	return e.get(key), nil
}

func (e tableEnd) List(_ context.Context, prefix string) ([]backing.Row, error) {
	if err := e.reach("table"); err != nil {
		return nil, err
	}
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	var out []backing.Row
	e.d.reads++
	for key, row := range e.d.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, row)
			e.d.read += len(row.Key) + len(row.Value)
		}
	}
	return out, nil
}

func (e tableEnd) Commit(_ context.Context, txn backing.Txn) ([]backing.Row, error) {
	if err := e.reach("table"); err != nil {
		return nil, err
	}
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	var found []backing.Row
	conflict := false
	for _, c := range txn.Require {
		found = append(found, e.get(c.Key))
		conflict = conflict || e.d.rows[c.Key].Version != c.Version
	}
	if conflict {
		return nil, &backing.ConflictError{Found: found}
	}
	var out []backing.Row
	for _, w := range txn.Writes {
		row := backing.Row{Key: w.Key, Value: w.Value, Version: e.d.rows[w.Key].Version + 1}
		e.d.rows[w.Key] = row
		out = append(out, row)
	}
	e.d.commits++
	if e.d.watch != nil {
		e.d.watch(e.vm, txn, out)
	}
	if e.d.lose > 0 && e.d.commits%e.d.lose == 0 {
		return nil, &backing.UnknownOutcomeError{Service: "table", Cause: io.ErrUnexpectedEOF}
	}
	return out, nil
}

func (e objectsEnd) Put(_ context.Context, key string, value []byte) error {
	if err := e.reach("objects"); err != nil {
		return err
	}
	e.d.set(func() { e.d.objects[key] = value })
	return nil
}

func (e objectsEnd) Get(_ context.Context, key string) ([]byte, error) {
	if err := e.reach("objects"); err != nil {
		return nil, err
	}
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	value, ok := e.d.objects[key]
	if !ok {
		return nil, &backing.NotFoundError{Key: key}
	}
	return value, nil
}

func (e objectsEnd) List(_ context.Context, prefix string) ([]string, error) {
	if err := e.reach("objects"); err != nil {
		return nil, err
	}
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	var out []string
	for key := range e.d.objects {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	return out, nil
}

func (e objectsEnd) Delete(_ context.Context, key string) error {
	if err := e.reach("objects"); err != nil {
		return err
	}
	e.d.set(func() { delete(e.d.objects, key) })
	return nil
}

func (d *domain) countBytes(in, out any) {
	request, _ := msgpack.Marshal(in)
	reply, _ := msgpack.Marshal(out)
	d.set(func() { d.bytes += len(request) + len(reply) })
}

func (e *endpoint) seen(in, out any) {
	e.d.set(func() {
		if e.d.watch != nil {
			e.d.watch(e.vm, in, out)
		}
	})
}

// Call reaches a peer unless either end is cut off.
func (e *endpoint) Call(ctx context.Context, addr, method string, in, out any) error {
	time.Sleep(time.Millisecond)
	e.d.mu.Lock()
	peer := e.d.running[addr]
	reachable := peer != nil && !e.d.cut[addr] && !e.d.cut[e.vm]
	e.d.calls++
	defer func() {
		e.d.countBytes(in, out)
		e.seen(in, out)
	}()
	e.d.mu.Unlock()
	if !reachable {
		return &wire.NotSentError{Addr: addr, Cause: io.ErrClosedPipe}
	}
	switch method {
	case MethodExchange:
		return relay(ctx, in, out, peer.keeper.Exchange)
	case MethodAppend:
		return relay(ctx, in, out, peer.keeper.HandleAppend)
	}
	return relay(ctx, in, out, peer.keeper.HandleRead)
}

func relay[In, Out any](ctx context.Context, in, out any, handler func(context.Context, In) (Out, error)) error {
	data, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}
	var decoded In
	if err := msgpack.Unmarshal(data, &decoded); err != nil {
		return err
	}
	reply, err := handler(ctx, decoded)
	if err != nil {
		return err
	}
	if data, err = msgpack.Marshal(reply); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, out)
}

func turn(slot structs.Slot, epoch structs.Epoch, program string, seq uint64) journal.Record {
	return journal.Record{Slot: slot, Epoch: epoch, Program: structs.ProgramID(program), Seq: seq, Kind: journal.KindTurn, Body: []byte(program)}
}

// runKeeper starts a keeper and returns what ends it.
func runKeeper(t *testing.T, k *Keeper) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- kernel.New(quiet(), k).Run(ctx, time.Second) }()
	go func() {
		for {
			select {
			case <-k.Changes():
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() {
		cancel()
		assert.NilError(t, <-done)
	}
}
