package outbound

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

func newRequest(t *testing.T, method, url string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	assert.NilError(t, err)
	return req
}

func assertSent(t *testing.T, err error, sent bool) {
	t.Helper()
	var failed *SendError
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	assert.Equal(t, failed.IsSent, sent, "%v", err)
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	url := "http://" + listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = NewClient().Do(newRequest(t, "POST", url), []byte("x"))
	assertSent(t, err, false)
}

func TestEndedContextIsNotSent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := NewClient().Do(newRequest(t, "GET", "http://127.0.0.1:1").WithContext(ctx), nil)
	assertSent(t, err, false)
}

// closeSecond answers the first request of each connection and closes the
// connection after it has read the second one.
func closeSecond(t *testing.T, seen *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serveOnce(conn, seen)
		}
	}()
	return "http://" + listener.Addr().String()
}

func serveOnce(conn net.Conn, seen *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for i := range 2 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if len(req.TransferEncoding) > 0 {
			return
		}
		seen.Add(1)
		if i == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func TestRequestOnReusedConnectionIsSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "DELETE"} {
		for _, body := range []string{"", "body"} {
			t.Run(method+body, func(t *testing.T) {
				var seen atomic.Int64
				url := closeSecond(t, &seen)
				client := NewClient()
				defer client.CloseIdle()
				resp, err := client.Do(newRequest(t, method, url), []byte(body))
				assert.NilError(t, err)
				assert.NilError(t, resp.Body.Close())
				req := newRequest(t, method, url)
				req.Header.Set("Idempotency-Key", "k")
				_, err = client.Do(req, []byte(body))
				assertSent(t, err, true)
				assert.Equal(t, seen.Load(), int64(2))
			})
		}
	}
}

func TestSealedConnectionWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	conn := &countingConn{Conn: near}
	_, err := conn.Write([]byte("x"))
	assert.NilError(t, err)
	assert.Assert(t, !conn.sealIfUnwritten(0))
	assert.Assert(t, conn.sealIfUnwritten(conn.count()))
	_, err = conn.Write([]byte("x"))
	assert.ErrorIs(t, err, net.ErrClosed)
}

// TestUnwrittenRequestIsTriedAgain seals the pooled connection, so that the
// second request can't be written to it.
func TestUnwrittenRequestIsTriedAgain(t *testing.T) {
	var seen atomic.Int64
	url := closeSecond(t, &seen)
	client := NewClient()
	defer client.CloseIdle()
	var conns []*countingConn
	dial := client.transport.DialContext
	client.transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err == nil {
			conns = append(conns, conn.(*countingConn))
		}
		return conn, err
	}
	for range 2 {
		resp, err := client.Do(newRequest(t, "POST", url), []byte("x"))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
		last := conns[len(conns)-1]
		assert.Assert(t, last.sealIfUnwritten(last.count()))
	}
	assert.Equal(t, len(conns), 2)
	assert.Equal(t, seen.Load(), int64(2))
}

func TestParseBase(t *testing.T) {
	for _, bad := range []string{"", "127.0.0.1:80", "ftp://h/", "http://u:p@h/", "http://h/?q=1", "http://h:x/"} {
		_, err := ParseBaseURL(bad)
		var want *BaseURLError
		assert.Assert(t, errors.As(err, &want), bad)
	}
	_, err := ParseBaseURL("https://127.0.0.1:8443/base/")
	assert.NilError(t, err)
}
