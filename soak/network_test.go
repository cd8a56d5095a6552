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

// store is the platform's address in network.cut.
const store = "store"

// dialTimeout bounds a dial to an unreachable peer.
const dialTimeout = 2 * time.Second

// pollInterval is how often a blocked operation checks whether it may continue.
const pollInterval = 20 * time.Millisecond

type direction struct{ from, to string }

// network connects processes in memory. As with TCP, bytes on a failed link wait
// until the link is restored or the write deadline of the connection passes.
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

func (n *network) withLock(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

func (n *network) isBlocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[direction{from, to}] || n.frozen[from] || n.frozen[to]
}

// waitWhileFrozen returns once the process is not frozen.
func (n *network) waitWhileFrozen(name string) {
	for n.isBlocked(name, name) {
		time.Sleep(pollInterval)
	}
}

func (n *network) dial(from, to string) (net.Conn, error) {
	time.Sleep(n.delay)
	for end := time.Now().Add(dialTimeout); n.isBlocked(from, to) || n.isBlocked(to, from); time.Sleep(pollInterval) {
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
	n.withLock(func() { n.listeners[addr] = l })
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
		if !l.net.isBlocked(l.from, l.to) {
			return l.Conn.Write(data)
		}
		if time.Now().After(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		wait = pollInterval
	}
}

func (l *link) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Conn.Close()
}

// platformAccess is one process's connection to the platform, subject to the
// faults of the network.
type platformAccess struct {
	n        *node
	services backing.Services
}

// beginRequest waits while the process is frozen, so that its request is as late
// as in a real process, and fails if the store is unreachable.
func (a platformAccess) beginRequest(ctx context.Context, service string) error {
	a.n.f.net.waitWhileFrozen(a.n.addr)
	if a.n.isDead.Load() || a.n.f.net.isBlocked(a.n.addr, store) {
		return &backing.UnavailableError{Service: service, Cause: io.ErrUnexpectedEOF}
	}
	return ctx.Err()
}

// endRequest drops the response, so that the outcome is unknown, if the link from
// the store to the process is cut.
func (a platformAccess) endRequest(service string, err error) error {
	if err == nil && (a.n.isDead.Load() || a.n.f.net.isBlocked(store, a.n.addr)) {
		return &backing.UnknownOutcomeError{Service: service, Cause: io.ErrUnexpectedEOF}
	}
	return err
}

type table struct{ platformAccess }

func (t table) Get(ctx context.Context, key string) (backing.Row, error) {
	if err := t.beginRequest(ctx, "table"); err != nil {
		return backing.Row{}, err
	}
	row, err := t.services.Table.Get(ctx, key)
	return row, t.endRequest("table", err)
}

func (t table) List(ctx context.Context, prefix string) ([]backing.Row, error) {
	if err := t.beginRequest(ctx, "table"); err != nil {
		return nil, err
	}
	rows, err := t.services.Table.List(ctx, prefix)
	return rows, t.endRequest("table", err)
}

func (t table) Commit(ctx context.Context, txn backing.Txn) ([]backing.Row, error) {
	if err := t.beginRequest(ctx, "table"); err != nil {
		return nil, err
	}
	rows, err := t.services.Table.Commit(ctx, txn)
	return rows, t.endRequest("table", err)
}

type objects struct{ platformAccess }

func (o objects) Put(ctx context.Context, key string, value []byte) error {
	if err := o.beginRequest(ctx, "objects"); err != nil {
		return err
	}
	return o.endRequest("objects", o.services.Objects.Put(ctx, key, value))
}

func (o objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.beginRequest(ctx, "objects"); err != nil {
		return nil, err
	}
	value, err := o.services.Objects.Get(ctx, key)
	return value, o.endRequest("objects", err)
}

func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	if err := o.beginRequest(ctx, "objects"); err != nil {
		return nil, err
	}
	keys, err := o.services.Objects.List(ctx, prefix)
	return keys, o.endRequest("objects", err)
}

func (o objects) Delete(ctx context.Context, key string) error {
	if err := o.beginRequest(ctx, "objects"); err != nil {
		return err
	}
	return o.endRequest("objects", o.services.Objects.Delete(ctx, key))
}

type vmList struct{ platformAccess }

func (v vmList) VMs(ctx context.Context) ([]backing.VM, error) {
	if err := v.beginRequest(ctx, "vms"); err != nil {
		return nil, err
	}
	vms, err := v.services.VMs.VMs(ctx)
	return vms, v.endRequest("vms", err)
}
