package daemon

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// pathMode is what happens on the paths from a VM to all targets.
type pathMode string

const (
	pathsUp     pathMode = "up"
	pathsSilent pathMode = "silent" // nothing arrives on open connections, new ones hang
	pathsReset  pathMode = "reset"  // open connections are reset, new ones as well
	pathsRefuse pathMode = "refuse" // open connections go on, new ones are refused
)

// targetPaths opens a VM's connections to targets and cuts them.
type targetPaths struct {
	mu      sync.Mutex
	mode    pathMode
	changed chan struct{} // closed when the mode changes
	conns   map[*pathConn]bool
}

func newTargetPaths() *targetPaths {
	return &targetPaths{mode: pathsUp, changed: make(chan struct{}), conns: make(map[*pathConn]bool)}
}

func (p *targetPaths) set(mode pathMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	if mode == pathsReset {
		for conn := range p.conns {
			conn.Conn.Close()
		}
	}
}

func (p *targetPaths) current() (pathMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *targetPaths) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch mode, _ := p.current(); mode {
	case pathsSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	case pathsReset, pathsRefuse:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	nc, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := &pathConn{Conn: nc, paths: p, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn] = true
	return conn, nil
}

// pathConn is a connection to a target.
type pathConn struct {
	net.Conn
	paths  *targetPaths
	once   sync.Once
	closed chan struct{}
}

// Read holds back what arrives while the paths are silent.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for {
		mode, changed := c.paths.current()
		if mode != pathsSilent {
			return n, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// Write loses what is sent while the paths are silent.
func (c *pathConn) Write(b []byte) (int, error) {
	if mode, _ := c.paths.current(); mode == pathsSilent {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *pathConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.paths.mu.Lock()
	delete(c.paths.conns, c)
	c.paths.mu.Unlock()
	return c.Conn.Close()
}
