package wire

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/endivecourse/endivecourse/connlimit"
)

// writeQueueLen is the maximum number of frames that wait for one connection's
// writer.
const writeQueueLen = 256

// readBufferBytes is the size of a connection's read buffer. Longer bodies are read past it.
const readBufferBytes = 4 << 10

// conn is one TCP connection with a reader and a writer goroutine.
type conn struct {
	netConn    net.Conn
	maxBody    int
	outgoing   chan frame
	closed     chan struct{}
	closeOnce  sync.Once
	finishing  chan struct{} // closed when no frame may be sent any more
	finishOnce sync.Once
	closeCause atomic.Pointer[error]
	// receivedAt is when the last byte was received, the time of the connection before the
	// first one. A large frame may take longer than a caller waits.
	receivedAt atomic.Pointer[time.Time]
	// arriving is the number of bytes that were received since the last whole frame.
	arriving atomic.Int64
	handle   func(frame)
	traffic  *Traffic
	onClose  func()
	loops    sync.WaitGroup
	received *connlimit.Budget // of frames that arrive, nil for no bound
	written  []chan struct{}   // of the frames in the write loop's buffer
}

func newConn(nc net.Conn, maxBody int, traffic *Traffic, handle func(frame), onClose func()) *conn {
	c := &conn{
		netConn:   nc,
		maxBody:   maxBody,
		traffic:   traffic,
		outgoing:  make(chan frame, writeQueueLen),
		closed:    make(chan struct{}),
		finishing: make(chan struct{}),
		handle:    handle,
		onClose:   onClose,
	}
	c.recordReceived()
	return c
}

func (c *conn) recordReceived() {
	now := time.Now()
	c.receivedAt.Store(&now)
}

func (c *conn) start() {
	c.loops.Add(2)
	go c.readLoop()
	go c.writeLoop()
}

// send queues a frame. It returns false when the connection is closed.
func (c *conn) send(f frame) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.outgoing <- f:
		return true
	case <-c.closed:
		return false
	}
}

// finish writes the queued frames and closes the connection once the peer has read them,
// after finishTimeout at the latest. Closing at once would also reset a connection on which
// the peer has sent something that is not read yet, and lose what the peer has not read.
func (c *conn) finish(cause error) {
	c.finishOnce.Do(func() { close(c.finishing) })
	select {
	case <-c.closed:
	case <-time.After(finishTimeout):
	}
	c.close(cause)
}

// writeLast writes the queued frames, ends this side of the connection and discards later
// frames until the connection is closed.
func (c *conn) writeLast() {
	var buf []byte
	for len(c.outgoing) > 0 { // no other goroutine receives from it
		buf = c.encode(buf, <-c.outgoing)
	}
	if err := c.write(buf); err != nil {
		c.close(err)
		return
	}
	if half, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // finish closes the connection in any case
	}
	for {
		select {
		case <-c.outgoing:
		case <-c.closed:
			return
		}
	}
}

func (c *conn) close(cause error) {
	c.closeOnce.Do(func() {
		c.closeCause.Store(&cause)
		close(c.closed)
		c.netConn.Close()
		c.onClose()
	})
}

func (c *conn) err() error {
	if cause := c.closeCause.Load(); cause != nil && *cause != nil {
		return *cause
	}
	return &ClosedError{}
}

func (c *conn) readLoop() {
	defer c.loops.Done()
	received := &receivingReader{conn: c}
	reader := bufio.NewReaderSize(received, readBufferBytes)
	for {
		if err := received.extend(); err != nil {
			c.close(err)
			return
		}
		f, err := readFrameWithin(reader, c.maxBody, c.received)
		if err != nil {
			c.close(err)
			return
		}
		c.arriving.Store(0)
		c.traffic.countReceived(f)
		if f.kind == framePing {
			c.received.Give(f.taken)
			continue
		}
		c.handle(f)
	}
}

// receivingReader reads from a connection and records when bytes arrive. The next frame, and
// each bodyChunk of a longer one, must arrive within idleTimeout.
type receivingReader struct {
	conn *conn
	left int // bytes that may be read before the deadline is moved
}

// Read implements io.Reader.
func (r *receivingReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		if err := r.extend(); err != nil {
			return 0, err
		}
	}
	n, err := r.conn.netConn.Read(p)
	if n > 0 {
		r.conn.recordReceived()
		r.conn.arriving.Add(int64(n))
	}
	r.left -= n
	return n, err
}

// extend moves the deadline, at the start of a frame and after each bodyChunk.
func (r *receivingReader) extend() error {
	r.left = bodyChunk
	return r.conn.netConn.SetReadDeadline(time.Now().Add(idleTimeout))
}

func (c *conn) writeLoop() {
	defer c.loops.Done()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	var buf []byte
	for {
		select {
		case f := <-c.outgoing:
			buf = c.encodeBatch(buf[:0], f)
		case <-ping.C:
			buf = c.encode(buf[:0], frame{kind: framePing})
		case <-c.finishing:
			c.writeLast()
			return
		case <-c.closed:
			return
		}
		if err := c.write(buf); err != nil {
			c.close(err)
			return
		}
	}
}

func (c *conn) encode(buf []byte, f frame) []byte {
	c.traffic.countSent(f)
	if f.sent != nil {
		c.written = append(c.written, f.sent)
	}
	return appendFrame(buf, f)
}

// encodeBatch encodes the first frame and the queued ones for a single write,
// up to about bodyChunk bytes.
func (c *conn) encodeBatch(buf []byte, first frame) []byte {
	buf = c.encode(buf, first)
	for len(buf) < bodyChunk {
		select {
		case f := <-c.outgoing:
			buf = c.encode(buf, f)
		default:
			return buf
		}
	}
	return buf
}

// write writes in parts, each of which the peer's connection must take within writeTimeout. It
// says so to those who wait for their frames.
func (c *conn) write(buf []byte) error {
	defer func() {
		for _, sent := range c.written {
			close(sent)
		}
		c.written = c.written[:0]
	}()
	for len(buf) > 0 {
		if err := c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		n, err := c.netConn.Write(buf[:min(len(buf), bodyChunk)])
		if err != nil {
			return err
		}
		buf = buf[n:]
	}
	return nil
}
