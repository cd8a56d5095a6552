// Package outbound sends HTTP requests at most once and tells whether a byte
// of a failed request left.
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
)

const (
	dialTimeout     = 2 * time.Second
	keepAlive       = 15 * time.Second
	idleTimeout     = 60 * time.Second
	maxIdlePerHost  = 64
	maxHeaderBytes  = 64 << 10
	maxStaleRetries = 4 // reused connections that the peer has closed already
)

// SendError says that a request got no answer. Sent is false only when no byte
// of the request left.
type SendError struct {
	IsSent bool
	Cause  error
}

// Error says whether the request was sent.
func (e *SendError) Error() string {
	return fmt.Sprintf("no answer (request sent: %t): %v", e.IsSent, e.Cause)
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Client sends each request at most once. It follows no redirect and uses no
// proxy.
type Client struct {
	transport *http.Transport
}

// NewClient makes a client with a connection pool of its own.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn}, nil
	}
	return &Client{transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		TLSHandshakeTimeout:    dialTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// CloseIdle closes the pooled connections that are not in use.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// Do sends the request with the given body and returns the answer's head, or
// *SendError. It repeats only attempts of which no byte left.
func (c *Client) Do(req *http.Request, body []byte) (*http.Response, error) {
	for attempt := 0; ; attempt++ {
		resp, reused, err := c.try(req, body)
		if err == nil {
			return resp, nil
		}
		if err.IsSent || !reused || attempt >= maxStaleRetries || req.Context().Err() != nil {
			return nil, err
		}
	}
}

// forbidRepeat gives the request its body in a form that net/http never
// repeats by itself, whatever was written. net/http repeats requests without a
// body, or with GetBody, when their method is safe or when they carry an
// idempotency key under its canonical name.
func forbidRepeat(req *http.Request, body []byte) {
	req.GetBody = nil
	req.ContentLength = int64(len(body))
	if len(body) > 0 || isSafe(req.Method) {
		req.Body = io.NopCloser(bytes.NewReader(body))
		return
	}
	// An empty reader would be sent in chunks with these methods.
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

func (c *Client) try(req *http.Request, body []byte) (*http.Response, bool, *SendError) {
	var (
		conn   *countingConn
		since  uint64
		got    bool
		reused bool
	)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		got = true
		reused = info.Reused
		conn = underlying(info.Conn)
		if conn != nil {
			since = conn.count()
		}
	}}
	once := req.Clone(httptrace.WithClientTrace(req.Context(), trace))
	forbidRepeat(once, body)
	resp, err := c.transport.RoundTrip(once)
	if err == nil {
		return resp, reused, nil
	}
	sent := got && (conn == nil || !conn.sealIfUnwritten(since))
	return nil, reused, &SendError{IsSent: sent, Cause: err}
}
