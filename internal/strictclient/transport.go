// Package strictclient is a transport for net/http's client that returns a response only if HTTP's
// grammar allows its head, and ends its body only where the connection shows the end.
//
// net/http accepts statuses, names and lines that the grammar does not allow, takes the end that
// follows a reset for the end of a body, and drops a whole response if the peer resets the
// connection while the request is being written.
package strictclient

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/endivecourse/endivecourse/internal/httpgrammar"
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns dial with connections that a Transport checks as they are read; nil means TCP.
func Dial(dial DialFunc) DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(nc), nil
	}
}

// Transport checks the responses of Base. On connections of another kind than NewConn returns,
// and below TLS, it checks only what net/http shows of a response.
type Transport struct{ Base http.RoundTripper }

// NewClient returns a client with default settings and its own connection pool.
func NewClient() *http.Client {
	base := &http.Transport{Proxy: http.ProxyFromEnvironment}
	if standard, isTransport := http.DefaultTransport.(*http.Transport); isTransport {
		base = standard.Clone()
	}
	base.DialContext = Dial(base.DialContext)
	return &http.Client{Transport: &Transport{Base: base}}
}

// RoundTrip implements http.RoundTripper. Its error wraps an *httpgrammar.Error if the response is
// not one that the grammar allows.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c := checkedConn(info.Conn); c != nil {
			c.expectResponse(req.Method)
		}
	}}
	resp, err := t.Base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	resp.Request = req
	if err := checkHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp}
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Base; http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	if closer, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

func checkHead(resp *http.Response) error {
	if err := httpgrammar.CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	if resp.StatusCode < http.StatusOK {
		return &httpgrammar.Error{Part: httpgrammar.PartStatusLine, Reason: "unexpected status " + resp.Status}
	}
	return httpgrammar.CheckHeader(httpgrammar.PartHead, resp.Header)
}

// body checks the trailer at the end of a response.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := httpgrammar.CheckHeader(httpgrammar.PartTrailer, b.resp.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}
