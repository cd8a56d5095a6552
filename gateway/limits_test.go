package gateway

import (
	"bufio"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// raw sends bytes as they are, half-closes, and reads the answer.
func (b *bed) raw(text string, closeWrite bool) (*http.Response, string) {
	b.t.Helper()
	conn, err := net.Dial("tcp", b.g.Addr().String())
	assert.NilError(b.t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	assert.NilError(b.t, err)
	if closeWrite {
		assert.NilError(b.t, conn.(*net.TCPConn).CloseWrite())
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(b.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(b.t, err)
	return resp, string(body)
}

const rawHead = "POST /services/notices HTTP/1.1\r\nHost: a\r\n"

func TestSlowAndTruncatedRequests(t *testing.T) {
	s := newScheduler(t)
	b := newBed(t, func(o *Options) {
		o.BodyTimeout = 50 * time.Millisecond
		o.Limits.HeaderTimeout = settings.Duration(50 * time.Millisecond)
		o.Limits.MaxHeader = 4096
		o.Limits.MaxBody = 100
	}, s)
	resp, body := b.raw(rawHead+"Content-Length: 10\r\n\r\nabc", false)
	assert.Equal(t, resp.StatusCode, 504, body)
	assert.Assert(t, resp.Close)
	resp, body = b.raw(rawHead+"Content-Length: 10\r\n\r\nabc", true)
	assert.Equal(t, resp.StatusCode, 400, body)
	resp, body = b.raw(rawHead+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", true)
	assert.Equal(t, resp.StatusCode, 400, body)
	resp, body = b.raw(rawHead+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false)
	assert.Equal(t, resp.StatusCode, 200, body)
	resp, body = b.raw(rawHead+"Transfer-Encoding: chunked\r\n\r\n65\r\n"+strings.Repeat("x", 0x65)+"\r\n0\r\n\r\n", false)
	assert.Equal(t, resp.StatusCode, 413, body)
	resp, _ = b.raw(rawHead+"X: "+strings.Repeat("x", 16<<10)+"\r\n\r\n", false)
	assert.Equal(t, resp.StatusCode, 431)
	assert.Equal(t, len(s.seen()), 1)
	assert.Equal(t, string(s.seen()[0].Plain.Body), "abc")
}

// blocking answers after release is closed and reports each start.
func blocking(entered chan<- struct{}, release <-chan struct{}) func(context.Context, *emitter) error {
	return func(ctx context.Context, e *emitter) error {
		entered <- struct{}{}
		<-release
		return whole("one")(ctx, e)
	}
}

func TestTooManyInProgress(t *testing.T) {
	cases := map[string]struct {
		change func(*Options)
		path   string
		body   string
	}{
		"requests": {func(o *Options) { o.MaxInFlight = 1 }, "/services/orders", ""},
		"open":     {func(o *Options) { o.MaxOpenInFlight = 1 }, "/services/notices", ""},
		"bodies":   {func(o *Options) { o.MaxTotalBodyBytes = bodyStep }, "/services/orders", "x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScheduler(t)
			entered, release := make(chan struct{}, 1), make(chan struct{})
			s.answer = blocking(entered, release)
			b := newBed(t, c.change, s)
			first := make(chan reply, 1)
			go func() { first <- b.do("POST", c.path, c.body) }()
			<-entered
			got := b.do("POST", c.path, c.body)
			assert.Equal(t, got.refusal(t).Kind, structs.RefusedQueueFull)
			assert.Equal(t, got.refusal(t).Run, structs.RunNo)
			assert.Equal(t, got.header.Get("Retry-After"), "1")
			close(release)
			assert.Equal(t, (<-first).status, 200)
			assert.Equal(t, b.do("POST", c.path, c.body).status, 200)
		})
	}
}

func TestHealthAndReadiness(t *testing.T) {
	b := newBed(t, nil, newScheduler(t))
	assert.Equal(t, b.do("GET", "/healthz", "").status, 200)
	assert.Equal(t, b.do("GET", "/readyz", "").status, 200)
	b.holder.set(nil)
	assert.Equal(t, b.do("GET", "/healthz", "").status, 200)
	assert.Equal(t, b.do("GET", "/readyz", "").status, 503)
	got := b.do("GET", "/services/notices", "")
	assert.Equal(t, got.refusal(t).Kind, structs.RefusedNotReady)
}

// A drain fails readiness first, serves new requests for the grace period, and
// cuts no stream that is open.
func TestDrainCutsNothing(t *testing.T) {
	for _, protocol := range []string{"http1", "h2c"} {
		t.Run(protocol, func(t *testing.T) {
			s := newScheduler(t)
			entered, release := make(chan struct{}, 1), make(chan struct{})
			s.answer = blocking(entered, release)
			b := newBed(t, func(o *Options) { o.DrainGrace = time.Second }, s)
			if protocol == "h2c" {
				b.client = h2cClient()
			}
			first := make(chan reply, 1)
			go func() { first <- b.do("POST", "/services/orders", "") }()
			<-entered
			drained := make(chan error, 1)
			go func() { drained <- b.g.Drain(t.Context()) }()
			for b.do("GET", "/readyz", "").status == 200 {
				time.Sleep(time.Millisecond)
			}
			s.set(whole("new"))
			assert.Equal(t, b.do("POST", "/services/orders", "").body, "new")
			for listens(b.g.Addr().String()) {
				time.Sleep(time.Millisecond)
			}
			select {
			case err := <-drained:
				t.Fatalf("drain ended with a stream open: %v", err)
			default:
			}
			close(release)
			got := <-first
			assert.NilError(t, got.err)
			assert.Equal(t, got.body, "one")
			assert.NilError(t, <-drained)
		})
	}
}

func h2cClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}

func listens(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// certificate writes a self-signed certificate for 127.0.0.1.
func certificate(t *testing.T) (settings.CallersTLS, *x509.CertPool) {
	t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	assert.NilError(t, err)
	key, err := x509.MarshalPKCS8PrivateKey(private)
	assert.NilError(t, err)
	files := settings.CallersTLS{Cert: t.TempDir() + "/cert.pem", Key: t.TempDir() + "/key.pem"}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	assert.NilError(t, os.WriteFile(files.Cert, certPEM, 0o600))
	assert.NilError(t, os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}), 0o600))
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(certPEM))
	return files, pool
}

func TestTLSServesHTTP2(t *testing.T) {
	files, pool := certificate(t)
	b := newBed(t, func(o *Options) { o.TLS = files }, newScheduler(t))
	b.url = "https://" + b.g.Addr().String()
	b.client = &http.Client{Transport: &http.Transport{
		ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{RootCAs: pool},
	}}
	got := b.do("POST", "/services/orders", "x")
	assert.Equal(t, got.body, "one two")
	assert.Equal(t, got.protocol, "HTTP/2.0")
}

// A connection whose read deadline was moved is not used again, even when the
// body had arrived.
func TestExpiredBodyReadIsNotInTime(t *testing.T) {
	control := http.NewResponseController(httptest.NewRecorder())
	var read bodyRead
	read.begin(control, time.Hour)
	assert.Assert(t, read.end(control))
	read.begin(control, time.Hour)
	read.expire(control)
	assert.Assert(t, !read.end(control))
}

func TestHalfTLSIsRefused(t *testing.T) {
	g := New(Options{TLS: settings.CallersTLS{Cert: "a.pem"}})
	var half *IncompleteTLSError
	assert.Assert(t, errors.As(g.Validate(), &half))
}

func TestMetricsHaveNoAccount(t *testing.T) {
	b := newBed(t, nil, newScheduler(t))
	b.do("POST", "/services/orders", "")
	b.do("POST", "/services/none", "")
	out := b.metrics(`endive_gateway_requests_total{class="services",kind="ok"} 1`)
	assert.Assert(t, !strings.Contains(out, "acme"))
	out = b.metrics(`endive_gateway_refusals_total{kind="not_found"} 1`)
	assert.Assert(t, !strings.Contains(out, "acme"))
}

// metrics waits for a line, which is written after the answer, and returns all
// metrics.
func (b *bed) metrics(line string) string {
	for {
		var out strings.Builder
		b.g.opts.Metrics.WritePrometheus(&out)
		if strings.Contains(out.String(), line) {
			return out.String()
		}
		time.Sleep(time.Millisecond)
	}
}
