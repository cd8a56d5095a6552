// Package hop sends requests to targets over pooled HTTP/1.1 connections. It sends
// each request once and matches responses to requests by their ID, since a faulty
// target may send responses that belong to no request.
package hop

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/internal/sockopt"
)

const (
	// dialTimeout leaves time for ten round trips between regions.
	dialTimeout = 350 * time.Millisecond
	// DefaultIdleTimeout is how long a connection stays pooled if the target
	// states no idle timeout.
	DefaultIdleTimeout = 8 * time.Second
	// idleMargin is subtracted from the idle timeout that a target states, so that
	// no request is sent while the target closes the connection.
	idleMargin = 700 * time.Millisecond
	// maxPooled bounds the idle connections to one target.
	maxPooled = 16
	// receiveBufferBytes bounds what the kernel holds of a response that is read slowly.
	// Left to itself it grows to 32 MB a connection, which counts against the VM's memory.
	receiveBufferBytes = 256 << 10
)

// probes close the connections to a target that has lost power. A target that is silent
// for a second or two keeps them.
var probes = sockopt.Probes{Idle: time.Second, Interval: time.Second, Count: 2}

// DialError reports that no connection was made, so that no byte of the request was
// sent.
type DialError struct {
	Address string
	Cause   error
}

// Error names the target's address.
func (e *DialError) Error() string { return "connect to target " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Pool keeps idle connections by address.
type Pool struct {
	dial DialFunc

	mu    sync.Mutex
	idle  map[string][]*Conn // the most recently used one is last
	dials uint64
}

// NewPool returns an empty pool whose connections dial opens; nil means TCP.
func NewPool(dial DialFunc) *Pool {
	if dial == nil {
		dial = sockopt.DialerWithReceiveBuffer(probes, receiveBufferBytes).DialContext
	}
	return &Pool{dial: dial, idle: make(map[string][]*Conn)}
}

// Get returns a pooled connection that is still open, or a new one. Its error is a
// *DialError or that of ctx.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if c.isUsable(time.Now()) {
			c.isReused = true
			return c, nil
		}
		c.Close()
	}
	start := time.Now()
	nc, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	c := newConn(nc, address)
	c.connectTime = time.Since(start)
	return c, nil
}

func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.dial(dialCtx, "tcp", address)
	if err != nil {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return nil, &DialError{Address: address, Cause: err}
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	return nc, nil
}

// Probe makes a new connection and closes it. Its error is that of Get.
func (p *Pool) Probe(ctx context.Context, address string) error {
	nc, err := p.connect(ctx, address)
	if err != nil {
		return err
	}
	nc.Close()
	return nil
}

func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

// HasIdle reports whether an idle connection to an address has not expired.
func (p *Pool) HasIdle(now time.Time, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return unexpired(now, p.idle[address]) > 0
}

// IdleByAddress returns the number of idle connections that have not expired.
func (p *Pool) IdleByAddress(now time.Time) map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int, len(p.idle))
	for address, idle := range p.idle {
		if count := unexpired(now, idle); count > 0 {
			counts[address] = count
		}
	}
	return counts
}

func unexpired(now time.Time, idle []*Conn) int {
	count := 0
	for _, c := range idle {
		if now.Before(c.expires) {
			count++
		}
	}
	return count
}

// Put returns a connection to the pool after its response was read completely. It
// closes a connection that can't carry another request.
func (p *Pool) Put(c *Conn) {
	if !c.isReusable() {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxPooled {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections whose idle timeout has expired.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Stats returns the number of idle connections and the number of all connections
// opened so far.
func (p *Pool) Stats() (idle int, dials uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conns := range p.idle {
		idle += len(conns)
	}
	return idle, p.dials
}
