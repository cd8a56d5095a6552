package connlimit

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// sweepPeriod is how often connections are checked for being overdue.
	sweepPeriod = 250 * time.Millisecond
	// refusalTimeout is how long a peer may take to read the answer to a request that was
	// refused.
	refusalTimeout = 2 * time.Second
	// refusalDrainTime and refusalDrainBytes bound what is read after a head was refused: a
	// connection that is closed with unread bytes is reset, and the answer lost.
	refusalDrainTime  = 100 * time.Millisecond
	refusalDrainBytes = 64 << 10
	// logPeriod bounds the lines about closed connections to one of each cause.
	logPeriod = time.Second
)

// Limits bound one connection.
type Limits struct {
	// MaxHeadBytes bounds a request line, and all fields of a head together.
	MaxHeadBytes  int
	MaxHeadFields int
	// HeadTimeout is the time that the rest of a head may take after its first byte,
	// IdleTimeout that before a request's first byte.
	HeadTimeout, IdleTimeout time.Duration
}

// Guard keeps the connections of one listener within its bounds.
type Guard struct {
	name   string // of the port, for logs and metrics
	limits func() Limits
	log    *slog.Logger
	// isHTTP is whether the connections carry HTTP, whose heads are followed.
	isHTTP bool

	mu       sync.Mutex
	registry *registry
	loggedAt map[string]time.Time
	closed   map[string]int // by cause
}

// Causes for which connections are closed.
const (
	causeFull    = "refused" // all connections have a request in progress
	causeEvicted = "evicted" // the oldest one in favour of a newer one
	causeOverdue = "timeout" // took too long
	causeHead    = "head"    // its head exceeds a limit
)

// New returns a guard for a port that serves HTTP. limits returns the limits in force.
func New(name string, bounds Bounds, limits func() Limits, log *slog.Logger) *Guard {
	return newGuard(name, bounds, limits, log, true)
}

// NewForFrames returns a guard for a port with a protocol of its own, whose server calls
// Conn.Accept for the first request. A connection without one is closed after firstRequest.
func NewForFrames(name string, bounds Bounds, firstRequest time.Duration, log *slog.Logger) *Guard {
	limits := Limits{IdleTimeout: firstRequest}
	return newGuard(name, bounds, func() Limits { return limits }, log, false)
}

func newGuard(name string, bounds Bounds, limits func() Limits, log *slog.Logger, isHTTP bool) *Guard {
	return &Guard{
		name: name, isHTTP: isHTTP, limits: limits, log: log, registry: newRegistry(bounds),
		loggedAt: make(map[string]time.Time), closed: make(map[string]int),
	}
}

// Run closes overdue connections until ctx ends.
func (g *Guard) Run(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		limits := g.limits()
		g.mu.Lock()
		overdue := g.registry.overdue(structs.Now(), limits)
		for _, c := range overdue {
			c.markEvicted()
		}
		g.mu.Unlock()
		for _, c := range overdue {
			g.close(c, causeOverdue)
		}
	}
}

// close closes a connection that is not in the registry any more.
func (g *Guard) close(c *Conn, cause string) {
	g.recordClosed(c, cause)
	c.Conn.Close()
}

// recordClosed counts and logs that a connection is closed for a cause.
func (g *Guard) recordClosed(c net.Conn, cause string) {
	g.mu.Lock()
	g.closed[cause]++
	count, counts := g.closed[cause], g.registry.counts()
	isDue := time.Since(g.loggedAt[cause]) >= logPeriod
	if isDue {
		g.loggedAt[cause] = time.Now()
	}
	g.mu.Unlock()
	level := slog.LevelWarn
	if cause == causeOverdue {
		level = slog.LevelDebug // most are idle ones of clients that behave
	}
	if isDue {
		g.log.Log(context.Background(), level, "client's connection closed", "port", g.name, "cause", cause, "closed", count, "client", c.RemoteAddr().String(),
			"new", counts[stateNew], "in_head", counts[stateHead], "in_body", counts[stateBody], "idle", counts[stateIdle], "active", counts[stateActive])
	}
}

// WriteMetrics writes the numbers of connections and why they were closed.
func (g *Guard) WriteMetrics(w io.Writer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s, name := range [numStates]string{"new", "head", "body", "refused", "idle", "active"} {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`endive_connections{port=%q,state=%q}`, g.name, name), uint64(g.registry.lists[s].Len()))
	}
	for _, cause := range []string{causeFull, causeEvicted, causeOverdue, causeHead} {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`endive_connections_closed_total{port=%q,cause=%q}`, g.name, cause), uint64(g.closed[cause]))
	}
}

// Listen returns a listener whose connections the guard keeps.
func (g *Guard) Listen(listener net.Listener) net.Listener { return &guardedListener{listener, g} }

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: nc, guard: l.guard}
		l.guard.mu.Lock()
		victim, isKept := l.guard.registry.open(structs.Now(), c)
		victim.markEvicted()
		l.guard.mu.Unlock()
		if victim != nil {
			l.guard.close(victim, causeEvicted)
		}
		if isKept {
			return c, nil
		}
		l.guard.close(c, causeFull)
	}
}

func (g *Guard) set(c *Conn, s state) {
	limits := g.limits()
	g.mu.Lock()
	victim := g.registry.set(structs.Now(), c, s, limits)
	victim.markEvicted()
	g.mu.Unlock()
	if victim != nil {
		g.close(victim, causeEvicted)
	}
}

// RecordState is an http.Server.ConnState hook.
func (g *Guard) RecordState(nc net.Conn, s http.ConnState) {
	c, isGuarded := nc.(*Conn)
	if !isGuarded {
		return
	}
	switch s {
	case http.StateActive:
		g.set(c, stateActive)
	case http.StateIdle:
		c.expectHead()
		g.set(c, stateIdle)
	}
}

// Conn is a guarded connection.
type Conn struct {
	net.Conn
	guard *Guard

	// isEvicted is set by the guard, which holds its lock then.
	isEvicted atomic.Bool

	mu     sync.Mutex
	head   headScan
	inBody bool // the head has arrived whole
}

// markEvicted marks a connection that is closed in favour of others. The caller holds the
// guard's lock; c may be nil.
func (c *Conn) markEvicted() {
	if c != nil {
		c.isEvicted.Store(true)
	}
}

// IsEvicted reports whether the guard has closed the connection. The server may have read a
// request from it meanwhile, which must not be accepted then.
func (c *Conn) IsEvicted() bool { return c.isEvicted.Load() }

// expectHead says that the bytes that follow belong to the next request.
func (c *Conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head, c.inBody = headScan{}, false
}

// Read implements net.Conn. A head over a limit is answered with 431 and ends the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.guard.isHTTP {
		return n, err
	}
	next, tooLarge := c.follow(p[:n])
	if tooLarge != nil {
		c.guard.recordClosed(c, causeHead)
		c.refuseHead()
		// net/http answers with 400 unless the error is one of reading the connection.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: tooLarge}
	}
	if next != stateActive {
		c.guard.set(c, next)
	}
	return n, err
}

// follow follows the bytes of a head. It returns stateHead while that has not arrived whole.
func (c *Conn) follow(p []byte) (state, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inBody {
		return stateActive, nil
	}
	if err := c.head.feed(p, c.guard.limits()); err != nil {
		return stateHead, err
	}
	if c.head.isWhole {
		c.inBody = true
		return stateActive, nil
	}
	return stateHead, nil
}

const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refuseHead answers a head that is too large.
func (c *Conn) refuseHead() {
	_ = c.Conn.SetDeadline(time.Now().Add(refusalDrainTime))
	if _, err := io.WriteString(c.Conn, headRefusal); err != nil {
		return // the client has gone, or does not read
	}
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, refusalDrainBytes)
}

// Accept says that a request has been accepted on the connection.
func (c *Conn) Accept() { c.guard.set(c, stateActive) }

// BeginBody says that the body of a request is read; EndBody that it has arrived whole.
func (c *Conn) BeginBody() { c.guard.set(c, stateBody) }

// EndBody ends what BeginBody has begun.
func (c *Conn) EndBody() { c.guard.set(c, stateActive) }

// Refuse says that the request in progress is refused: the client has to read the answer in a
// short time.
func (c *Conn) Refuse() { c.guard.set(c, stateRefuse) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.guard.mu.Lock()
	c.guard.registry.remove(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends this side of the connection.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what Close does with data that the peer has not taken.
func (c *Conn) SetLinger(seconds int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}
