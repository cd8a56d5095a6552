package outbound

import (
	"net"
	"sync"
)

// countingConn counts the writes to a connection and can refuse further ones.
type countingConn struct {
	net.Conn
	mu       sync.Mutex
	writes   uint64
	isSealed bool
}

// Write counts the write before a byte leaves.
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

func (c *countingConn) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealIfUnwritten reports whether nothing was written since the count was
// since. If so, it refuses all later writes, so that the report stays true.
func (c *countingConn) sealIfUnwritten(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.isSealed = true
	return true
}

// underlyingConn returns the countingConn below conn, through TLS if need be.
func underlyingConn(conn net.Conn) *countingConn {
	if layered, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = layered.NetConn()
	}
	counted, _ := conn.(*countingConn)
	return counted
}
