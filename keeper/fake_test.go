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

// domain is an in-memory failure domain: the table, the object store, the network
// between the VMs and the VM list.
type domain struct {
	t           *testing.T
	slots       int
	lease       settings.Lease
	mu          sync.Mutex
	rows        map[string]backing.Row
	objects     map[string][]byte
	isStoreDown bool // table and object store return errors
	loseEvery   int  // every loseEvery-th commit loses its reply; 0 for none
	commits     int
	cutOff      map[string]bool // addresses cut off from peers and platform
	// storeCutOff is an address that is cut off from the platform only.
	storeCutOff  string
	scheduler    map[string]*scheduler
	gone         map[structs.VMID]bool
	listed       []string // VMs in the VM list, even if they run no scheduler
	peerCalls    int      // requests between peers
	peerBytes    int      // of requests and replies between peers
	tableReads   int      // lists of table rows
	rowBytesRead int      // bytes of rows read
	// observe, if set, is called with each request between peers and its reply, and
	// with each commit after it has taken effect.
	observe func(vm string, in, out any)
}

type scheduler struct {
	keeper *Keeper
	stop   context.CancelFunc
	done   chan error
	held   map[structs.Slot]structs.Epoch // according to the changes delivered
	losses int
	mu     sync.Mutex
}

func newDomain(t *testing.T) *domain {
	return &domain{
		t: t, slots: testSlots, lease: settings.Default().Lease, rows: make(map[string]backing.Row), objects: make(map[string][]byte),
		cutOff: make(map[string]bool), scheduler: make(map[string]*scheduler), gone: make(map[structs.VMID]bool),
	}
}

func discardLog() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func (d *domain) options(vm string, sender Sender) Options {
	leaseSettings := d.lease
	leaseSettings.Slots = d.slots
	return Options{
		Domain: "d", Self: lease.Member{Incarnation: structs.Incarnation(vm + "#1"), VM: structs.VMID(vm), Addr: vm},
		Lease:   leaseSettings,
		MaxTail: 1 << 20, Daemons: 3, ExitGrace: 5 * time.Second,
		Table: fakeTable{&endpoint{d, vm}}, Objects: fakeObjects{&endpoint{d, vm}}, Sender: sender,
		Peers: d.peers, IsVMGone: d.isVMGone, Log: discardLog(),
	}
}

// startScheduler starts a scheduler on a VM. Its incarnation is "vm#number".
func (d *domain) startScheduler(vm string, number int) *scheduler {
	opts := d.options(vm, &endpoint{d, vm})
	opts.Self.Incarnation = structs.Incarnation(fmt.Sprintf("%s#%d", vm, number))
	k, err := New(opts)
	assert.NilError(d.t, err)
	ctx, stop := context.WithCancel(context.Background())
	r := &scheduler{keeper: k, stop: stop, done: make(chan error, 1), held: make(map[structs.Slot]structs.Epoch)}
	d.mu.Lock()
	d.scheduler[vm] = r
	d.mu.Unlock()
	go func() { r.done <- kernel.New(discardLog(), k).Run(ctx, time.Second) }()
	go r.followChanges(ctx)
	return r
}

func (r *scheduler) followChanges(ctx context.Context) {
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

// kill ends a scheduler that does not release its groups.
func (d *domain) kill(vm string) {
	d.mu.Lock()
	r := d.scheduler[vm]
	delete(d.scheduler, vm)
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
	for vm := range d.scheduler {
		out = append(out, vm)
	}
	slices.Sort(out)
	return out
}

func (d *domain) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

func (d *domain) peers() []Peer {
	var out []Peer
	vms := append(d.vms(), d.listed...)
	slices.Sort(vms)
	for _, vm := range slices.Compact(vms) {
		if !d.isVMGone(structs.VMID(vm)) {
			out = append(out, Peer{VM: structs.VMID(vm), Addr: vm})
		}
	}
	return out
}

func (d *domain) isVMGone(vm structs.VMID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gone[vm]
}

// heldByVM returns the number of slots that each scheduler holds, and fails the test
// if two schedulers hold the same slot.
func (d *domain) heldByVM() map[string]int {
	counts := make(map[string]int)
	for slot := range structs.Slot(d.slots) {
		owner := ""
		for _, vm := range d.vms() {
			if _, held := d.scheduler[vm].keeper.HeldEpoch(slot); held {
				assert.Equal(d.t, owner, "", "slot %d is also held by %s", slot, vm)
				owner = vm
				counts[vm]++
			}
		}
	}
	return counts
}

func (d *domain) heldSlots() int {
	n := 0
	for _, count := range d.heldByVM() {
		n += count
	}
	return n
}

// waitOwned waits until every slot is held, and fails the test after limit.
func (d *domain) waitOwned(limit time.Duration) {
	for end := time.Now().Add(limit); d.heldSlots() < d.slots; time.Sleep(100 * time.Millisecond) {
		assert.Assert(d.t, time.Now().Before(end), "%d of %d slots held: %v", d.heldSlots(), d.slots, d.heldByVM())
	}
}

// endpoint is the access of one VM to the platform and to its peers.
type endpoint struct {
	d  *domain
	vm string
}

func (e *endpoint) checkReachable(service string) error {
	time.Sleep(time.Millisecond)
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	if e.d.isStoreDown || e.d.cutOff[e.vm] || e.d.storeCutOff == e.vm {
		return &backing.UnavailableError{Service: service, Cause: io.ErrUnexpectedEOF}
	}
	return nil
}

func (e *endpoint) get(key string) backing.Row {
	row := e.d.rows[key]
	row.Key = key
	return row
}

type fakeTable struct{ *endpoint }

type fakeObjects struct{ *endpoint }

func (e fakeTable) Get(_ context.Context, key string) (backing.Row, error) {
	if err := e.checkReachable("table"); err != nil {
		return backing.Row{}, err
	}
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	return e.get(key), nil
}

func (e fakeTable) List(_ context.Context, prefix string) ([]backing.Row, error) {
	if err := e.checkReachable("table"); err != nil {
		return nil, err
	}
	e.d.mu.Lock()
	defer e.d.mu.Unlock()
	var out []backing.Row
	e.d.tableReads++
	for key, row := range e.d.rows {
		if strings.HasPrefix(key, prefix) {
			out = append(out, row)
			e.d.rowBytesRead += len(row.Key) + len(row.Value)
		}
	}
	return out, nil
}

func (e fakeTable) Commit(_ context.Context, txn backing.Txn) ([]backing.Row, error) {
	if err := e.checkReachable("table"); err != nil {
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
	if e.d.observe != nil {
		e.d.observe(e.vm, txn, out)
	}
	if e.d.loseEvery > 0 && e.d.commits%e.d.loseEvery == 0 {
		return nil, &backing.UnknownOutcomeError{Service: "table", Cause: io.ErrUnexpectedEOF}
	}
	return out, nil
}

func (e fakeObjects) Put(_ context.Context, key string, value []byte) error {
	if err := e.checkReachable("objects"); err != nil {
		return err
	}
	e.d.update(func() { e.d.objects[key] = value })
	return nil
}

func (e fakeObjects) Get(_ context.Context, key string) ([]byte, error) {
	if err := e.checkReachable("objects"); err != nil {
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

func (e fakeObjects) List(_ context.Context, prefix string) ([]string, error) {
	if err := e.checkReachable("objects"); err != nil {
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

func (e fakeObjects) Delete(_ context.Context, key string) error {
	if err := e.checkReachable("objects"); err != nil {
		return err
	}
	e.d.update(func() { delete(e.d.objects, key) })
	return nil
}

func (d *domain) countBytes(in, out any) {
	request, _ := msgpack.Marshal(in)
	reply, _ := msgpack.Marshal(out)
	d.update(func() { d.peerBytes += len(request) + len(reply) })
}

func (e *endpoint) observe(in, out any) {
	e.d.update(func() {
		if e.d.observe != nil {
			e.d.observe(e.vm, in, out)
		}
	})
}

// Call sends a request to a peer. It fails when either end is cut off.
func (e *endpoint) Call(ctx context.Context, addr, method string, in, out any) error {
	time.Sleep(time.Millisecond)
	e.d.mu.Lock()
	peer := e.d.scheduler[addr]
	reachable := peer != nil && !e.d.cutOff[addr] && !e.d.cutOff[e.vm]
	e.d.peerCalls++
	defer func() {
		e.d.countBytes(in, out)
		e.observe(in, out)
	}()
	e.d.mu.Unlock()
	if !reachable {
		return &wire.NotSentError{Addr: addr, Cause: io.ErrClosedPipe}
	}
	switch method {
	case MethodExchange:
		return invoke(ctx, in, out, peer.keeper.Exchange)
	case MethodAppend:
		return invoke(ctx, in, out, peer.keeper.HandleAppend)
	}
	return invoke(ctx, in, out, peer.keeper.HandleRead)
}

func invoke[In, Out any](ctx context.Context, in, out any, handler func(context.Context, In) (Out, error)) error {
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

func turnRecord(slot structs.Slot, epoch structs.Epoch, program string, seq uint64) journal.Record {
	return journal.Record{Slot: slot, Epoch: epoch, Program: structs.ProgramID(program), Seq: seq, Kind: journal.KindTurn, Body: []byte(program)}
}

// runKeeper starts a Keeper and returns a function that stops it.
func runKeeper(t *testing.T, k *Keeper) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- kernel.New(discardLog(), k).Run(ctx, time.Second) }()
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
