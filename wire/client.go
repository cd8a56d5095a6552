package wire

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/singleflight"
)

// Client sends requests to any number of peers. It keeps one connection to
// each, which it opens for the first request.
type Client struct {
	opts    Options
	dials   singleflight.Group
	traffic Traffic

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

// NewClient returns a client without connections.
func NewClient(opts Options) *Client {
	return &Client{opts: opts, conns: make(map[string]*clientConn)}
}

// Call sends a request and decodes its only reply into out. It fails with
// *NotSentError, *IncompleteReplyError, *structs.Refusal or ctx.Err().
func (c *Client) Call(ctx context.Context, addr, method string, in, out any) error {
	stream, err := c.Stream(ctx, addr, method, in)
	if err != nil {
		return err
	}
	defer stream.Close()
	err = stream.Recv(out)
	if err == io.EOF {
		return &IncompleteReplyError{Addr: addr, Cause: io.ErrUnexpectedEOF}
	}
	return err
}

// Stream sends a request. Its replies are read with Stream.Recv.
func (c *Client) Stream(ctx context.Context, addr, method string, in any) (*Stream, error) {
	body, err := msgpack.Marshal(in)
	if err != nil {
		return nil, &NotSentError{Addr: addr, Cause: errors.Wrap(err, "encode request")}
	}
	req := request{Method: method, Body: body}
	if deadline, ok := ctx.Deadline(); ok {
		req.Timeout = time.Until(deadline)
	}
	encoded, err := msgpack.Marshal(&req)
	if err != nil {
		return nil, &NotSentError{Addr: addr, Cause: errors.Wrap(err, "encode request")}
	}
	if len(encoded) > c.opts.maxFrame() {
		return nil, &NotSentError{Addr: addr, Cause: &FrameTooLargeError{Length: uint64(len(encoded)), Max: uint64(c.opts.maxFrame())}}
	}
	peer, err := c.connTo(ctx, addr)
	if err != nil {
		return nil, &NotSentError{Addr: addr, Cause: err}
	}
	return peer.openStream(ctx, classOf(method), encoded)
}

func (c *Client) connTo(ctx context.Context, addr string) (*clientConn, error) {
	c.mu.Lock()
	peer, closed := c.conns[addr], c.closed
	c.mu.Unlock()
	if closed {
		return nil, &ClosedError{}
	}
	if peer != nil {
		return peer, nil
	}
	dialed := c.dials.DoChan(addr, func() (any, error) { return c.dial(addr) })
	select {
	case result := <-dialed:
		if result.Err != nil {
			return nil, result.Err
		}
		return result.Val.(*clientConn), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Client) dial(addr string) (*clientConn, error) {
	c.mu.Lock()
	peer := c.conns[addr]
	c.mu.Unlock()
	if peer != nil {
		return peer, nil
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	var nc net.Conn
	var err error
	if c.opts.Dial != nil {
		nc, err = c.opts.Dial(addr)
	} else if c.opts.TLS != nil {
		nc, err = tls.DialWithDialer(dialer, "tcp", addr, c.opts.TLS)
	} else {
		nc, err = dialer.Dial("tcp", addr)
	}
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return c.addConn(addr, nc)
}

func (c *Client) addConn(addr string, nc net.Conn) (*clientConn, error) {
	peer := &clientConn{addr: addr, streams: make(map[uint64]*Stream)}
	peer.conn = newConn(nc, c.opts.maxFrame(), &c.traffic, peer.handle, func() {
		c.removeConn(addr, peer)
		peer.closeStreams()
	})
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		nc.Close()
		return nil, &ClosedError{}
	}
	c.conns[addr] = peer
	c.mu.Unlock()
	peer.conn.start()
	return peer, nil
}

func (c *Client) removeConn(addr string, peer *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[addr] == peer {
		delete(c.conns, addr)
	}
}

// Close closes all connections. Open streams fail with *IncompleteReplyError.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	conns := make([]*clientConn, 0, len(c.conns))
	for _, peer := range c.conns {
		conns = append(conns, peer)
	}
	c.mu.Unlock()
	for _, peer := range conns {
		peer.conn.close(&ClosedError{})
		peer.conn.loops.Wait()
	}
}

// CloseConn closes the connection to a peer, if there is one. Its open streams
// fail with *IncompleteReplyError; the next request opens a new connection.
func (c *Client) CloseConn(addr string) {
	if peer := c.openConn(addr); peer != nil {
		peer.conn.close(&ClosedError{})
	}
}

// CloseSilentConn is CloseConn if nothing, not even a ping or a part of a frame, has been
// received on the connection since the given time.
func (c *Client) CloseSilentConn(addr string, since time.Time) {
	if peer := c.openConn(addr); peer != nil && peer.conn.receivedAt.Load().Before(since) {
		peer.conn.close(&ClosedError{})
	}
}

// IsFrameArriving reports whether a part of a frame that is larger than the read buffer has been
// received on the connection to a peer since the given time.
func (c *Client) IsFrameArriving(addr string, since time.Time) bool {
	peer := c.openConn(addr)
	return peer != nil && peer.conn.arriving.Load() > readBufferBytes && peer.conn.receivedAt.Load().After(since)
}

// openConn returns the connection to a peer, nil if there is none.
func (c *Client) openConn(addr string) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conns[addr]
}
