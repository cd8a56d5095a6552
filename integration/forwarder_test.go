package integration

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// forwarder is a TCP proxy to one address that a test can interrupt and restore.
type forwarder struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]struct{}
}

func startForwarder(t testing.TB, to string) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &forwarder{listener: listener, to: to, conns: make(map[net.Conn]struct{})}
	t.Cleanup(func() {
		listener.Close()
		f.setCut(true)
	})
	go f.accept()
	return f
}

func (f *forwarder) addr() string { return f.listener.Addr().String() }

func (f *forwarder) accept() {
	for {
		in, err := f.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", f.to)
		if err != nil || !f.register(in, out) {
			in.Close()
			if out != nil {
				out.Close()
			}
			continue
		}
		go f.copyData(in, out)
		go f.copyData(out, in)
	}
}

// register records connections, so that setCut can close them. It returns false if
// the forwarder is cut.
func (f *forwarder) register(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isCut {
		return false
	}
	for _, c := range conns {
		f.conns[c] = struct{}{}
	}
	return true
}

func (f *forwarder) copyData(from, to net.Conn) {
	_, _ = io.Copy(to, from) // an error closes both connections, as EOF does
	from.Close()
	to.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, from)
}

// setCut closes all connections and rejects new ones, or accepts them again.
func (f *forwarder) setCut(isCut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = isCut
	if !isCut {
		return
	}
	for c := range f.conns {
		c.Close()
	}
}
