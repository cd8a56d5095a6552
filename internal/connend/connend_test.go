package connend

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// tries is the number of connections of a test: chance decides whether the reader or the writer
// is told of a reset.
const tries = 100

// connect returns a connection over TCP and its peer.
func connect(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	nc, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { nc.Close() })
	peer, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { peer.Close() })
	return New(nc), peer.(*net.TCPConn)
}

// exchange sends an endless upload while it reads to the end of what the peer sends.
func exchange(t *testing.T, answer func(peer *net.TCPConn)) (string, error) {
	conn, peer := connect(t)
	written := make(chan struct{})
	go func() {
		defer close(written)
		piece := make([]byte, 1<<20)
		for {
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
	}()
	go answer(peer)
	got, err := io.ReadAll(conn)
	conn.Close()
	<-written
	return string(got), err
}

func reset(peer *net.TCPConn) {
	_ = peer.SetLinger(0)
	peer.Close()
}

// Guards against a reset of which only the writer is told, and that passes for an end.
func TestResetUnderWriteIsNoEnd(t *testing.T) {
	lost := 0
	for range tries {
		got, err := exchange(t, func(peer *net.TCPConn) {
			_, _ = io.WriteString(peer, "part")
			time.Sleep(time.Millisecond)
			reset(peer)
		})
		assert.Assert(t, err != nil, "%q passed for whole", got)
		var wasWriterTold *LostError
		if errors.As(err, &wasWriterTold) {
			lost++
		}
	}
	t.Logf("the writer was told of %d of %d resets", lost, tries)
}

// Guards against an end that the peer has sent and that is not believed, since the connection
// was reset after it or the peer reads no more.
func TestEndBeforeResetIsAnEnd(t *testing.T) {
	for _, pause := range []time.Duration{0, time.Millisecond} {
		for _, isReset := range []bool{false, true} {
			for range tries {
				got, err := exchange(t, func(peer *net.TCPConn) {
					_, _ = io.WriteString(peer, "whole")
					_ = peer.CloseWrite()
					time.Sleep(pause)
					if isReset {
						reset(peer)
					}
				})
				assert.NilError(t, err, "pause %s, reset %v", pause, isReset)
				assert.Equal(t, got, "whole")
			}
		}
	}
}

// Guards against a failure that is forgotten: the kernel reports an end after it.
func TestReadAfterFailureFailsAgain(t *testing.T) {
	conn, peer := connect(t)
	reset(peer)
	for range 3 {
		_, err := conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil && err != io.EOF, "%v", err)
	}
}
