package soak

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/backing"
)

// store is the name of the platform in cuts.
const store = "store"

// dialWait is how long a dial waits for a peer that does not answer.
const dialWait = 2 * time.Second

// holdStep is how often held bytes look whether they may go on.
const holdStep = 20 * time.Millisecond

type direction struct{ from, to string }

// network connects processes in memory. Bytes on a cut link wait, as TCP's
// do, until the link heals or their connection gives up.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[direction]bool
	frozen    map[string]bool
	delay     time.Duration
}

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*listener), cut: make(map[direction]bool),
		frozen: make(map[string]bool), delay: time.Millisecond,
	}
}

func (n *network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *network) holds(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[direction{from, to}] || n.frozen[from] || n.frozen[to]
}

// thaw waits until the process may go on.
func (n *network) thaw(name string) {
	for n.holds(name, name) {
		time.Sleep(holdStep)
	}
}

func (n *network) dial(from, to string) (net.Conn, error) {
	time.Sleep(n.delay)
	for end := time.Now().Add(dialWait); n.holds(from, to) || n.holds(to, from); time.Sleep(holdStep) {
		if time.Now().After(end) {
			return nil, os.ErrDeadlineExceeded
		}
	}
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	here, there := net.Pipe()
	select {
	case l.conns <- &link{Conn: there, net: n, from: to, to: from, done: make(chan struct{})}:
		return &link{Conn: here, net: n, from: from, to: to, done: make(chan struct{})}, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (n *network) listen(addr string) *listener {
	l := &listener{addr: addr, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.set(func() { n.listeners[addr] = l })
	return l
}

type listener struct {
	addr   string
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

// link is one end of a connection.
type link struct {
	net.Conn
	net      *network
	from, to string
	once     sync.Once
	done     chan struct{}
	mu       sync.Mutex
	deadline time.Time
}

func (l *link) SetWriteDeadline(t time.Time) error {
	l.mu.Lock()
	l.deadline = t
	l.mu.Unlock()
	return l.Conn.SetWriteDeadline(t)
}

func (l *link) Write(data []byte) (int, error) {
	wait := l.net.delay
	for {
		select {
		case <-l.done:
			return 0, net.ErrClosed
		case <-time.After(wait):
		}
		l.mu.Lock()
		deadline := l.deadline
		l.mu.Unlock()
		if !l.net.holds(l.from, l.to) {
			return l.Conn.Write(data)
		}
		if time.Now().After(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		wait = holdStep
	}
}

func (l *link) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Conn.Close()
}

// access is one process's way to the platform.
type access struct {
	n        *node
	services backing.Services
}

// enter waits while the process is paused. What goes on after a pause is as
// late as the pause.
func (a access) enter(ctx context.Context, service string) error {
	a.n.f.net.thaw(a.n.addr)
	if a.n.dead.Load() || a.n.f.net.holds(a.n.addr, store) {
		return &backing.UnavailableError{Service: service, Cause: io.ErrUnexpectedEOF}
	}
	return ctx.Err()
}

// leave loses the answer on a link that is cut the other way.
func (a access) leave(service string, err error) error {
	if err == nil && (a.n.dead.Load() || a.n.f.net.holds(store, a.n.addr)) {
		return &backing.UnknownOutcomeError{Service: service, Cause: io.ErrUnexpectedEOF}
	}
	return err
}

type table struct{ access }

func (t table) Get(ctx context.Context, key string) (backing.Row, error) {
	if err := t.enter(ctx, "table"); err != nil {
		return backing.Row{}, err
	}
	row, err := t.services.Table.Get(ctx, key)
	return row, t.leave("table", err)
}

func (t table) List(ctx context.Context, prefix string) ([]backing.Row, error) {
	if err := t.enter(ctx, "table"); err != nil {
		return nil, err
	}
	rows, err := t.services.Table.List(ctx, prefix)
	return rows, t.leave("table", err)
}

func (t table) Commit(ctx context.Context, txn backing.Txn) ([]backing.Row, error) {
	if err := t.enter(ctx, "table"); err != nil {
		return nil, err
	}
	rows, err := t.services.Table.Commit(ctx, txn)
	return rows, t.leave("table", err)
}

type objects struct{ access }

func (o objects) Put(ctx context.Context, key string, value []byte) error {
	if err := o.enter(ctx, "objects"); err != nil {
		return err
	}
	return o.leave("objects", o.services.Objects.Put(ctx, key, value))
}

func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.enter(ctx, "objects"); err != nil {
		return nil, err
	}
	value, err := o.services.Objects.Get(ctx, key)
	return value, o.leave("objects", err)
}

func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.enter(ctx, "objects"); err != nil {
		return nil, err
	}
	keys, err := o.services.Objects.List(ctx, prefix)
	return keys, o.leave("objects", err)
}

func (o objects) Delete(ctx context.Context, key string) error {
	if err := o.enter(ctx, "objects"); err != nil {
		return err
	}
	return o.leave("objects", o.services.Objects.Delete(ctx, key))
}

type vmList struct{ access }

func (v vmList) VMs(ctx context.Context) ([]backing.VM, error) {
	if err := v.enter(ctx, "vms"); err != nil {
		return nil, err
	}
	vms, err := v.services.VMs.VMs(ctx)
	return vms, v.leave("vms", err)
}
