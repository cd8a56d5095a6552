package wire

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/connlimit"
	"github.com/endivecourse/endivecourse/structs"
)

// Guards against requests of peers that start more goroutines than the memory holds, and
// against an end of such a refusal that frees no place.
func TestServerBoundsTheRequestsInProgress(t *testing.T) {
	const maxRequests = 8
	release := make(chan struct{})
	server := NewServer(Options{MaxRequests: maxRequests})
	HandleUnary(server, "hang", func(ctx context.Context, _ int) (int, error) {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return 0, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	addr := listener.Addr().String()
	results := make(chan error, 3*maxRequests)
	for range 3 {
		client := NewClient(Options{})
		t.Cleanup(client.Close)
		for range maxRequests {
			go func() {
				var out int
				results <- client.Call(t.Context(), addr, "hang", 0, &out)
			}()
		}
	}
	refused := 0
	for ; refused < 3*maxRequests-3*maxRequests/connPartDivisor; refused++ {
		err := <-results
		var refusal *structs.Refusal
		assert.Assert(t, errors.As(err, &refusal) && refusal.Kind == structs.RefusedQueueFull && refusal.Run == structs.RunNo, "%v", err)
	}
	close(release)
	for range 3*maxRequests - refused {
		assert.NilError(t, <-results)
	}
	client := NewClient(Options{})
	t.Cleanup(client.Close)
	var out int
	assert.NilError(t, client.Call(t.Context(), addr, "hang", 0, &out))
}

// Guards against frames that stay open and take more than the budget, and against a part of the
// budget that is lost, of a whole frame or of a broken one.
func TestFramesThatArriveStayWithinTheirBudget(t *testing.T) {
	const budgetBytes = 1 << 20
	for _, length := range []int{0, 100, 10 << 10, bodyChunk, bodyChunk + 1, 300 << 10} {
		budget := connlimit.NewBudget(budgetBytes)
		sent := bytes.Repeat([]byte{7}, length)
		raw := appendFrame(nil, frame{kind: frameRequest, stream: 4, body: sent})
		got, err := readFrameWithin(bytes.NewReader(raw), DefaultMaxFrame, budget)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got.body, sent), "%d bytes", length)
		budget.Give(got.taken)
		if length > 0 {
			_, err = readFrameWithin(bytes.NewReader(raw[:len(raw)-1]), DefaultMaxFrame, budget)
			assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF))
		}
		assert.Assert(t, budget.Take(budgetBytes), "%d bytes: a part of the budget is lost", length)
	}
	budget := connlimit.NewBudget(budgetBytes)
	raw := appendFrame(nil, frame{kind: frameRequest, body: make([]byte, 2*budgetBytes)})
	_, err := readFrameWithin(bytes.NewReader(raw), DefaultMaxFrame, budget)
	var noMemory *NoFrameMemoryError
	assert.Assert(t, errors.As(err, &noMemory))
	assert.Assert(t, budget.Take(budgetBytes))
	assert.Assert(t, !budget.TakeLarge(1))
	budget.Give(budgetBytes / 2)
	_, err = readFrameWithin(bytes.NewReader(appendFrame(nil, frame{kind: frameRequest, body: make([]byte, 40<<10)})), DefaultMaxFrame, budget)
	assert.NilError(t, err, "small frames have a part of their own")
}

// Guards against a connection that stays for ever without a request.
func TestConnectionWithoutARequestIsClosed(t *testing.T) {
	guard := connlimit.NewForFrames("test", connlimit.Bounds{Conns: 4}, 200*time.Millisecond, slog.New(slog.DiscardHandler))
	server := NewServer(Options{Guard: guard})
	HandleUnary(server, "echo", func(_ context.Context, in int) (int, error) { return in, nil })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	go func() { _ = guard.Run(t.Context()) }()
	t.Cleanup(func() { server.Close() })
	client := NewClient(Options{})
	t.Cleanup(client.Close)
	var out int
	assert.NilError(t, client.Call(t.Context(), listener.Addr().String(), "echo", 5, &out))
	kept := client.openConn(listener.Addr().String())
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	header := make([]byte, headerSize)
	header[0], header[1] = Version, byte(frameRequest)
	binary.BigEndian.PutUint32(header[12:], 100)
	_, err = conn.Write(header)
	assert.NilError(t, err)
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	assert.NilError(t, client.Call(t.Context(), listener.Addr().String(), "echo", 6, &out))
	assert.Assert(t, client.openConn(listener.Addr().String()) == kept, "a connection with requests was closed")
}
