package integration

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// forwarder passes TCP connections on to one address until it is cut.
type forwarder struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cut   bool
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
		if err != nil || !f.keep(in, out) {
			in.Close()
			if out != nil {
				out.Close()
			}
			continue
		}
		go f.pass(in, out)
		go f.pass(out, in)
	}
}

// keep reports false when the forwarder is cut.
func (f *forwarder) keep(conns ...net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut {
		return false
	}
	for _, c := range conns {
		f.conns[c] = struct{}{}
	}
	return true
}

func (f *forwarder) pass(from, to net.Conn) {
	_, _ = io.Copy(to, from) // an error ends the pair as its end does
	from.Close()
	to.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, from)
}

// setCut closes all connections and refuses new ones, or lets them through
// again.
func (f *forwarder) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
	if !cut {
		return
	}
	for c := range f.conns {
		c.Close()
	}
}
