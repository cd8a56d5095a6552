package strictclient

import (
	"crypto/tls"
	"net"
	"sync"
	"syscall"

	"github.com/endivecourse/endivecourse/internal/connend"
)

// conn checks responses as they arrive, before net/http has read them.
type conn struct {
	*connend.Conn
	over     chan struct{} // closed once nothing more can be read
	markOver func()

	mu          sync.Mutex
	checker     checker
	isExpecting bool // a response was expected once
}

// NewConn returns a connection that a Transport checks.
func NewConn(nc net.Conn) net.Conn {
	c := &conn{Conn: connend.New(nc), over: make(chan struct{})}
	c.markOver = sync.OnceFunc(func() { close(c.over) })
	return c
}

// checkedConn returns the conn below others, nil if there is none or if it carries TLS.
func checkedConn(nc net.Conn) *conn {
	for {
		switch below := nc.(type) {
		case *conn:
			return below
		case *tls.Conn:
			return nil
		case interface{ NetConn() net.Conn }:
			nc = below.NetConn()
		default:
			return nil
		}
	}
}

// expectResponse says that the next bytes to arrive are the response to a request.
func (c *conn) expectResponse(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checker.expect(method)
	c.isExpecting = true
}

// Read implements net.Conn. Its error is an *httpgrammar.Error if the bytes end a part of a
// response that the grammar does not allow, or a *connend.LostError.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	invalid := c.checker.check(p[:n])
	c.mu.Unlock()
	if invalid != nil {
		n, err = 0, invalid
	}
	if err != nil {
		c.markOver()
	}
	return n, err
}

// Write implements net.Conn. net/http drops what has arrived of a response once a write has
// failed, so the failure is reported after the response has been read.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	isExpecting := c.isExpecting
	c.mu.Unlock()
	if err != nil && isExpecting {
		<-c.over
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.markOver()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return nil, syscall.EOPNOTSUPP
	}
	return raw.SyscallConn()
}
