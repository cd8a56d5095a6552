package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const idHeader = "X-Request"

// response returns an encoded response; an empty id leaves the ID header out.
func response(id, body string) string {
	head := "HTTP/1.1 200 OK\r\n"
	if id != "" {
		head += idHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// startTarget starts a server that answers the n-th request on each connection, from 0,
// with the bytes that answer returns. The hooks are called before and after each answer.
func startTarget(t *testing.T, answer func(n int, id string) string, hooks ...func(nc net.Conn, n int, isAnswered bool)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn, answer, hooks)
		}
	}()
	return listener.Addr().String()
}

func serve(conn net.Conn, answer func(n int, id string) string, hooks []func(nc net.Conn, n int, isAnswered bool)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		for _, hook := range hooks {
			hook(conn, n, false)
		}
		if _, err := io.WriteString(conn, answer(n, req.Header.Get(idHeader))); err != nil {
			return
		}
		for _, hook := range hooks {
			hook(conn, n, true)
		}
	}
}

// roundTrip sends a request over the pool and returns the body of its response.
func roundTrip(t *testing.T, pool *Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, address)
	assert.NilError(t, err)
	req := &http.Request{Method: "GET", Host: "h", URL: &url.URL{Path: "/"}, Header: http.Header{idHeader: {id}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	resp, stop, err := conn.RoundTrip(ctx, req, nil, Expected{IDHeader: idHeader, ID: id})
	if err != nil {
		conn.Close()
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, stop())
	pool.Put(conn)
	return string(body), nil
}

// A target sends a second copy of a response late, when the connection is in use for the
// next request. That request must get its own response, and the connection is not used
// again.
func TestLateCopyOfResponseReachesNobody(t *testing.T) {
	previous := ""
	address := startTarget(t, func(n int, id string) string {
		late := ""
		if n > 0 {
			late = response(previous, "answer to "+previous)
		}
		previous = id
		return late + response(id, "answer to "+id)
	})
	pool := NewPool(nil)
	for _, id := range []string{"a", "b", "c", "d"} {
		body, err := roundTrip(t, pool, address, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "answer to "+id)
	}
	_, dials := pool.Stats()
	assert.Equal(t, dials, uint64(2))
}

// A late copy may lack the ID. On a connection that carried another request before, a
// response without an ID can't be told from such a copy, so it must not be passed on.
func TestLateCopyWithoutIDReachesNobody(t *testing.T) {
	address := startTarget(t, func(n int, id string) string {
		if n > 0 {
			return response("", "answer to another request") + response(id, "answer to "+id)
		}
		return response(id, "answer to "+id)
	})
	pool := NewPool(nil)
	for _, id := range []string{"a", "b"} {
		body, err := roundTrip(t, pool, address, id)
		assert.NilError(t, err)
		assert.Equal(t, body, "answer to "+id)
	}
}

// Guards against MIXED: bytes that name no request must not pass for the response to one, also
// on a connection that has carried no other request.
func TestResponseWithoutIDOnNewConnectionIsRejected(t *testing.T) {
	for _, isRepeatable := range []bool{false, true} {
		for _, follows := range []string{"", response("a", "answer to a")} {
			address := startTarget(t, func(int, string) string { return response("", "plain") + follows })
			start := time.Now()
			err := roundTripError(t, NewPool(nil), address, isRepeatable)
			assert.ErrorType(t, err, &AnonymousResponseError{})
			assert.Assert(t, time.Since(start) < time.Second, "waited for another response")
		}
	}
}

// Guards against a repeatable request that waits until its deadline at a target that sends
// bytes which belong to no request.
func TestRepeatableRequestDoesNotWaitBehindResponseWithoutID(t *testing.T) {
	address := startTarget(t, func(n int, id string) string {
		if n == 0 {
			return response(id, "answer to "+id)
		}
		return response("", "plain")
	})
	pool := NewPool(nil)
	_, err := roundTrip(t, pool, address, "first")
	assert.NilError(t, err)
	assert.ErrorType(t, roundTripError(t, pool, address, true), &AnonymousResponseError{})
}

// roundTripError sends request "a" and returns the error of its response's head.
func roundTripError(t *testing.T, pool *Pool, address string, isRepeatable bool) error {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, address)
	assert.NilError(t, err)
	defer conn.Close()
	req := &http.Request{Method: "GET", Host: "h", URL: &url.URL{Path: "/"}, Header: http.Header{idHeader: {"a"}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	_, _, err = conn.RoundTrip(ctx, req, nil, Expected{IDHeader: idHeader, ID: "a", IsRepeatable: isRepeatable})
	return err
}

// A head without end is cut off at its limit.
func TestHeadIsBounded(t *testing.T) {
	address := startTarget(t, func(int, string) string {
		return "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 2*maxHeadBytes)
	})
	_, err := roundTrip(t, NewPool(nil), address, "a")
	var tooLarge *ResponseTooLargeError
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
	assert.Equal(t, tooLarge.Part, "head")
}
