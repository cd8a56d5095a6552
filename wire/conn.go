package wire

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// writeQueue bounds the frames that wait for one connection's writer.
const writeQueue = 256

// conn is one TCP connection with a reader and a writer goroutine.
type conn struct {
	net     net.Conn
	max     int
	out     chan frame
	closed  chan struct{}
	once    sync.Once
	cause   atomic.Pointer[error]
	handle  func(frame)
	traffic *Traffic
	onClose func()
	group   sync.WaitGroup
}

func newConn(nc net.Conn, max int, traffic *Traffic, handle func(frame), onClose func()) *conn {
	return &conn{
		net:     nc,
		max:     max,
		traffic: traffic,
		out:     make(chan frame, writeQueue),
		closed:  make(chan struct{}),
		handle:  handle,
		onClose: onClose,
	}
}

func (c *conn) start() {
	c.group.Add(2)
	go c.readLoop()
	go c.writeLoop()
}

// send queues a frame. It reports false when the connection is closed.
func (c *conn) send(f frame) bool {
	select {
	case <-c.closed:
		return false
	default:
	}
	select {
	case c.out <- f:
		return true
	case <-c.closed:
		return false
	}
}

func (c *conn) close(cause error) {
	c.once.Do(func() {
		c.cause.Store(&cause)
		close(c.closed)
		c.net.Close()
		c.onClose()
	})
}

func (c *conn) err() error {
	if cause := c.cause.Load(); cause != nil && *cause != nil {
		return *cause
	}
	return &ClosedError{}
}

func (c *conn) readLoop() {
	defer c.group.Done()
	reader := bufio.NewReaderSize(c.net, bodyStep)
	for {
		if err := c.net.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
			c.close(err)
			return
		}
		f, err := readFrame(reader, c.max)
		if err != nil {
			c.close(err)
			return
		}
		c.traffic.countReceived(f)
		if f.kind != framePing {
			c.handle(f)
		}
	}
}

func (c *conn) writeLoop() {
	defer c.group.Done()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	var buf []byte
	for {
		select {
		case f := <-c.out:
			buf = c.gather(buf[:0], f)
		case <-ping.C:
			buf = c.encode(buf[:0], frame{kind: framePing})
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
	return appendFrame(buf, f)
}

// gather joins the frames that wait into one write.
func (c *conn) gather(buf []byte, first frame) []byte {
	buf = c.encode(buf, first)
	for len(buf) < bodyStep {
		select {
		case f := <-c.out:
			buf = c.encode(buf, f)
		default:
			return buf
		}
	}
	return buf
}

func (c *conn) write(buf []byte) error {
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.net.Write(buf)
	return err
}
