// Package outbound sends HTTP requests at most once and reports whether any byte of a
// failed request was written.
package outbound

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/endivecourse/endivecourse/internal/strictclient"
)

const (
	dialTimeout     = 2 * time.Second
	keepAlive       = 15 * time.Second
	idleTimeout     = 60 * time.Second
	maxIdlePerHost  = 64
	maxHeaderBytes  = 64 << 10
	maxStaleRetries = 4 // further attempts when the peer has closed a reused connection
)

// SendError reports that a request got no response that can be believed. IsSent is false only when no byte of
// the request was written.
type SendError struct {
	IsSent bool
	Cause  error
}

// Error returns whether the request was sent, and the cause.
func (e *SendError) Error() string {
	return fmt.Sprintf("no answer (request sent: %t): %v", e.IsSent, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Client sends each request at most once. It follows no redirect and uses no
// proxy.
type Client struct {
	transport *http.Transport
	checked   *strictclient.Transport // on transport
}

// NewClient creates a client with its own connection pool.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: strictclient.NewConn(conn)}, nil
	}
	transport := &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Client{transport: transport, checked: &strictclient.Transport{Base: transport}}
}

// CloseIdle closes the idle connections of the pool.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// Do sends the request with the given body. It returns the response, whose body is still
// to be read, or *SendError. It retries only after an attempt on a reused connection that
// wrote no byte.
func (c *Client) Do(req *http.Request, body []byte) (*http.Response, error) {
	for attempt := 0; ; attempt++ {
		resp, isReused, err := c.sendOnce(req, body)
		if err == nil {
			return resp, nil
		}
		if err.IsSent || !isReused || attempt >= maxStaleRetries || req.Context().Err() != nil {
			return nil, err
		}
	}
}

// disableRetry gives the request its body in a form that net/http never
// repeats by itself, whatever was written. net/http repeats requests without a
// body, or with GetBody, when their method is safe or when they carry an
// idempotency key under its canonical name.
func disableRetry(req *http.Request, body []byte) {
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	if len(body) > 0 || isSafe(req.Method) {
		req.Body = io.NopCloser(bytes.NewReader(body))
		return
	}
	// With these methods net/http would send an empty reader with chunked encoding.
	req.Body = http.NoBody
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := req.Header[name]; ok {
			delete(req.Header, name)
			req.Header[strings.ToLower(name)] = values
		}
	}
}

func isSafe(method string) bool {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return false
}

func (c *Client) sendOnce(req *http.Request, body []byte) (*http.Response, bool, *SendError) {
	var (
		conn         *countingConn
		writesBefore uint64
		hasConn      bool
		isReused     bool
	)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		hasConn = true
		isReused = info.Reused
		conn = underlyingConn(info.Conn)
		if conn != nil {
			writesBefore = conn.count()
		}
	}}
	traced := req.Clone(httptrace.WithClientTrace(req.Context(), trace))
	disableRetry(traced, body)
	resp, err := c.checked.RoundTrip(traced)
	if err == nil {
		return resp, isReused, nil
	}
	isSent := hasConn && (conn == nil || !conn.sealIfUnwritten(writesBefore))
	return nil, isReused, &SendError{IsSent: isSent, Cause: err}
}
