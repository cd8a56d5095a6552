package wire

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/sockopt/sockopttest"
	"github.com/endivecourse/endivecourse/structs"
)

func startServer(t *testing.T, setup func(*Server)) (string, *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(Options{MaxFrame: 1 << 20})
	setup(server)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		assert.NilError(t, server.Close())
		assert.NilError(t, <-done)
	})
	return listener.Addr().String(), server
}

func TestCallAndRefusal(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("pair", func(t *testing.T) {
		addr, _ := startServer(t, func(s *Server) {
			HandleUnary(s, "double", func(_ context.Context, n int) (int, error) {
				if n < 0 {
					return 0, structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "negative")
				}
				return 2 * n, nil
			})
		})
		client := NewClient(Options{})
		defer client.Close()
		var out int
		assert.NilError(t, client.Call(t.Context(), addr, "double", 21, &out))
		assert.Equal(t, out, 42)
		var refusal *structs.Refusal
		assert.Assert(t, errors.As(client.Call(t.Context(), addr, "double", -1, &out), &refusal))
		assert.Equal(t, refusal.Kind, structs.RefusedBadRequest)
		assert.Assert(t, errors.As(client.Call(t.Context(), addr, "absent", 1, &out), &refusal))
		assert.Equal(t, refusal.Kind, structs.RefusedNotFound)
	})
}

// Guards against a stream whose replies are not read: it must neither block the
// other streams of its connection nor lose replies of its own.
func TestSlowStreamLosesNoReplies(t *testing.T) {
	const replies = 10 * streamCredits
	addr, _ := startServer(t, func(s *Server) {
		s.Handle("count", func(_ context.Context, _ *Request, out *ReplyWriter) error {
			for i := range replies {
				if err := out.Send(i); err != nil {
					return err
				}
			}
			return nil
		})
		HandleUnary(s, "echo", func(_ context.Context, n int) (int, error) { return n, nil })
	})
	client := NewClient(Options{})
	defer client.Close()
	stream, err := client.Stream(t.Context(), addr, "count", 0)
	assert.NilError(t, err)
	var out int
	assert.NilError(t, client.Call(t.Context(), addr, "echo", 7, &out))
	for i := range replies {
		assert.NilError(t, stream.Recv(&out))
		assert.Equal(t, out, i)
	}
	assert.Equal(t, stream.Recv(&out), io.EOF)
}

func TestCancelAndDrain(t *testing.T) {
	entered := make(chan struct{})
	addr, server := startServer(t, func(s *Server) {
		s.Handle("wait", func(ctx context.Context, _ *Request, _ *ReplyWriter) error {
			close(entered)
			<-ctx.Done()
			return ctx.Err()
		})
	})
	client := NewClient(Options{})
	defer client.Close()
	stream, err := client.Stream(t.Context(), addr, "wait", 0)
	assert.NilError(t, err)
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, server.Drain(ctx), context.DeadlineExceeded)
	var refusal *structs.Refusal
	assert.Assert(t, errors.As(client.Call(t.Context(), addr, "wait", 0, nil), &refusal))
	assert.Equal(t, refusal.Run, structs.RunNo)
	assert.NilError(t, stream.Close())
	assert.NilError(t, server.Drain(t.Context()))
}

func TestLostConnectionYieldsIncompleteReply(t *testing.T) {
	entered := make(chan struct{})
	addr, server := startServer(t, func(s *Server) {
		s.Handle("wait", func(ctx context.Context, _ *Request, _ *ReplyWriter) error {
			close(entered)
			<-ctx.Done()
			return ctx.Err()
		})
	})
	client := NewClient(Options{})
	defer client.Close()
	stream, err := client.Stream(t.Context(), addr, "wait", 0)
	assert.NilError(t, err)
	<-entered // a request that arrives after Close began is refused as not run
	go server.Close()
	var incomplete *IncompleteReplyError
	assert.Assert(t, errors.As(stream.Recv(nil), &incomplete))
}

func TestRequestToUnreachablePeerIsNotSent(t *testing.T) {
	client := NewClient(Options{})
	defer client.Close()
	var notSent *NotSentError
	assert.Assert(t, errors.As(client.Call(t.Context(), "127.0.0.1:1", "x", 0, nil), &notSent))
}

func TestMalformedFrameClosesOnlyItsConnection(t *testing.T) {
	addr, _ := startServer(t, func(s *Server) {
		HandleUnary(s, "echo", func(_ context.Context, n int) (int, error) { return n, nil })
	})
	bad := map[string][]byte{
		"version":  append([]byte{9}, make([]byte, headerSize-1)...),
		"kind":     append([]byte{Version, 99}, make([]byte, headerSize-2)...),
		"reserved": append([]byte{Version, 1, 1}, make([]byte, headerSize-3)...),
		"too long": {Version, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff},
		"body":     appendFrame(nil, frame{kind: frameRequest, stream: 1, body: []byte{0xc1}}),
	}
	for name, data := range bad {
		t.Run(name, func(t *testing.T) {
			nc, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			defer nc.Close()
			_, err = nc.Write(data)
			assert.NilError(t, err)
			_, err = io.ReadAll(nc)
			assert.NilError(t, err)
		})
	}
	client := NewClient(Options{})
	defer client.Close()
	var out int
	assert.NilError(t, client.Call(t.Context(), addr, "echo", 7, &out))
	assert.Equal(t, out, 7)
}

func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(nil, frame{kind: frameRequest, stream: 1, body: []byte("body")}))
	f.Add([]byte{Version, 1, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := readFrame(bytes.NewReader(data), 1<<10)
		if err != nil {
			return
		}
		second, err := readFrame(bytes.NewReader(appendFrame(nil, first)), 1<<10)
		assert.NilError(t, err)
		assert.DeepEqual(t, second.body, first.body)
	})
}

// Guards against peers that are silent for a second and lose their connections.
func TestConnectionsSurviveSilentPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client := NewClient(Options{})
	defer client.Close()
	peer, err := client.dial(listener.Addr().String())
	assert.NilError(t, err)
	sockopttest.AssertSurvivesSilence(t, peer.conn.netConn)
}

// Guards against replies of finished requests that are lost when the server stops.
func TestCloseWritesQueuedReplies(t *testing.T) {
	const replies = 48
	for range 5 {
		addr, server := startServer(t, func(s *Server) {
			s.Handle("count", func(_ context.Context, _ *Request, out *ReplyWriter) error {
				for range replies {
					if err := out.Send(make([]byte, 128<<10)); err != nil {
						return err
					}
				}
				return nil
			})
		})
		client := NewClient(Options{})
		defer client.Close()
		stream, err := client.Stream(t.Context(), addr, "count", 0)
		assert.NilError(t, err)
		var part []byte
		assert.NilError(t, stream.Recv(&part))
		assert.NilError(t, server.Drain(t.Context()))
		assert.NilError(t, server.Close())
		for range replies - 1 {
			assert.NilError(t, stream.Recv(&part))
		}
		assert.Equal(t, stream.Recv(&part), io.EOF)
	}
}

// Guards against a large reply that is cut and sent again, with all other calls of its
// connection, since it takes longer to arrive than a caller waits.
func TestConnectionOnWhichALargeReplyArrivesIsKept(t *testing.T) {
	const replyBytes = 600 << 10
	addr, _ := startServer(t, func(s *Server) {
		HandleUnary(s, "large", func(context.Context, int) ([]byte, error) { return make([]byte, replyBytes), nil })
	})
	client := NewClient(Options{Dial: func(addr string) (net.Conn, error) {
		nc, err := net.Dial("tcp", addr)
		return slowConn{nc}, err
	}})
	defer client.Close()
	var out []byte
	assert.NilError(t, client.Call(t.Context(), addr, "large", 0, &out))
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Assert(t, errors.Is(client.Call(ctx, addr, "large", 0, &out), context.DeadlineExceeded))
	conn := client.openConn(addr)
	assert.Assert(t, client.IsFrameArriving(addr, start))
	client.CloseSilentConn(addr, start)
	assert.Assert(t, conn != nil && client.openConn(addr) == conn, "the connection was closed")
	assert.NilError(t, client.Call(t.Context(), addr, "large", 0, &out))
	assert.Equal(t, len(out), replyBytes)
	assert.Assert(t, !client.IsFrameArriving(addr, start), "no frame is incomplete")
}

// slowConn reads 16 KB each 10 ms.
type slowConn struct{ net.Conn }

func (c slowConn) Read(p []byte) (int, error) {
	time.Sleep(10 * time.Millisecond)
	return c.Conn.Read(p[:min(len(p), 16<<10)])
}

// Guards against a call whose time is over that cuts the other streams of its connection.
func TestSilentConnectionIsClosedAndBusyOneKept(t *testing.T) {
	release := make(chan struct{})
	addr, _ := startServer(t, func(s *Server) {
		HandleUnary(s, "hang", func(context.Context, int) (int, error) { <-release; return 0, nil })
		s.Handle("count", func(_ context.Context, n *Request, out *ReplyWriter) error {
			for i := range 10 {
				time.Sleep(10 * time.Millisecond)
				if err := out.Send(i); err != nil {
					return err
				}
			}
			return nil
		})
	})
	defer close(release)
	client := NewClient(Options{})
	defer client.Close()
	hang := func() {
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		var out int
		assert.Assert(t, errors.Is(client.Call(ctx, addr, "hang", 0, &out), context.DeadlineExceeded))
		client.CloseSilentConn(addr, start)
	}
	stream, err := client.Stream(t.Context(), addr, "count", 0)
	assert.NilError(t, err)
	hang()
	for range 10 {
		var out int
		assert.NilError(t, stream.Recv(&out))
	}
	assert.Equal(t, stream.Recv(nil), io.EOF)
	hang()
	assert.Assert(t, client.openConn(addr) == nil, "the silent connection is open")
}

// failingListener fails to accept once.
type failingListener struct {
	net.Listener
	hasFailed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.hasFailed {
		l.hasFailed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a daemon that stops since it had no file descriptor for one connection.
func TestServerGoesOnAfterAFailedAccept(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(Options{})
	HandleUnary(server, "echo", func(_ context.Context, n int) (int, error) { return n, nil })
	done := make(chan error, 1)
	go func() { done <- server.Serve(&failingListener{Listener: listener}) }()
	client := NewClient(Options{})
	defer client.Close()
	var out int
	assert.NilError(t, client.Call(t.Context(), listener.Addr().String(), "echo", 7, &out))
	assert.NilError(t, server.Close())
	assert.NilError(t, <-done)
}
