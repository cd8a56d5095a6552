// Package hop sends requests to targets over pooled HTTP/1.1 connections. It sends
// each request once and matches responses to requests by their ID, since a faulty
// target may send responses that belong to no request.
package hop

import (
	"context"
	"net"
	"slices"
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
	// maxIdleTimeout bounds the idle timeout that a target states.
	maxIdleTimeout = 10 * time.Minute
	// MaxPooled bounds the idle connections to one target.
	MaxPooled = 16
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
	idle  map[string][]*Conn // the one that expires last is last
	dials uint64
}

// NewPool returns an empty pool whose connections dial opens; nil means TCP.
func NewPool(dial DialFunc) *Pool {
	if dial == nil {
		dial = sockopt.DialerWithReceiveBuffer(probes, receiveBufferBytes).DialContext
	}
	return &Pool{dial: dial, idle: make(map[string][]*Conn)}
}

// Order says which of the idle connections to a target is used.
type Order uint8

const (
	// LatestFirst uses the connection that expires last, so that those beyond what is
	// needed expire.
	LatestFirst Order = iota
	// SoonestFirst uses the connection that expires first, so that all of them stay open
	// for a later peak.
	SoonestFirst
)

// Get returns a pooled connection that is still open, or a new one. Its error is a
// *DialError or that of ctx.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	return p.GetInOrder(ctx, address, LatestFirst)
}

// GetInOrder is like Get with the given order of idle connections.
func (p *Pool) GetInOrder(ctx context.Context, address string, order Order) (*Conn, error) {
	for {
		c := p.takeIdle(address, order)
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

func (p *Pool) takeIdle(address string, order Order) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	n := len(idle) - 1
	if order == SoonestFirst {
		n = 0
	}
	c := idle[n]
	p.idle[address] = slices.Delete(idle, n, n+1)
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
func (p *Pool) Put(c *Conn) { p.PutWithin(c, MaxPooled) }

// PutWithin is like Put with a lower bound on the idle connections to the target. Of those
// beyond it, the ones that expire first are closed.
func (p *Pool) PutWithin(c *Conn, maxIdle int) {
	if !c.isReusable() {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[c.address]
	n, _ := slices.BinarySearchFunc(idle, c, func(a, b *Conn) int { return a.expires.Compare(b.expires) })
	idle = slices.Insert(idle, n, c)
	for len(idle) > max(min(maxIdle, MaxPooled), 1) {
		idle[0].Close()
		idle = slices.Delete(idle, 0, 1)
	}
	p.idle[c.address] = idle
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
