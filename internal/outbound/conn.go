package outbound

import (
	"crypto/tls"
	"net"
	"sync"
)

// countingConn counts the writes to a connection. Once sealed, it refuses writes.
type countingConn struct {
	net.Conn
	mu       sync.Mutex
	writes   uint64
	isSealed bool
}

// Write counts the write before passing it on, so that a byte sent is always counted.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.isSealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// NetConn returns the connection below.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

func (c *countingConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnwritten reports whether there was no write since the count was writesBefore. If
// so, it seals the connection, so that no later write can make the result wrong.
func (c *countingConn) sealIfUnwritten(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.isSealed = true
	return true
}

// underlyingConn returns the countingConn below conn, unwrapping a TLS connection. It
// returns nil if there is none.
func underlyingConn(conn net.Conn) *countingConn {
	if layered, isTLS := conn.(*tls.Conn); isTLS {
		conn = layered.NetConn()
	}
	counted, _ := conn.(*countingConn)
	return counted
}
