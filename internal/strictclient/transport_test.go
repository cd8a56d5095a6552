package strictclient

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/connend"
	"github.com/endivecourse/endivecourse/internal/httpgrammar"
	"github.com/endivecourse/endivecourse/internal/standin/broken"
)

// fetch sends a request and returns the body of its response, which it reads after a pause.
func fetch(client *http.Client, method, url string, upload []byte, pause time.Duration) (string, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(upload))
	if err != nil {
		return "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	time.Sleep(pause)
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}

func newClient(t *testing.T) *http.Client {
	client := NewClient()
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// Guards against a part of a response that passes for whole, or a whole one that is lost, when the
// connection is reset while the request is written.
func TestResetUnderUpload(t *testing.T) {
	const tries = 20
	upload := make([]byte, 16<<20)         // more than the socket buffers hold
	long := strings.Repeat("hello", 6<<10) // more than net/http has read when the write fails, less than a receive window
	for name, c := range map[string]struct {
		answer  string
		isWhole bool
	}{
		"long, length":  {fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long), true},
		"long, chunks":  {fmt.Sprintf("HTTP/1.1 429 x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long), true},
		"until the end": {"HTTP/1.1 200 OK\r\n\r\nhello", false},
		"cut length":    {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello", false},
		"no last chunk": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false},
		"length":        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true},
		"chunks":        {"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
	} {
		url, lost, pause := "http://"+broken.ServeAndReset(t, c.answer), 0, time.Duration(0)
		if c.isWhole {
			pause = 5 * time.Millisecond // until after the reset
		}
		for range tries {
			text, err := fetch(newClient(t), "POST", url, upload, pause)
			isWhole := err == nil && (text == "hello" || text == long)
			assert.Check(t, isWhole == c.isWhole, "%s: %.20q, %v", name, text, err)
			var failed *connend.LostError
			if errors.As(err, &failed) {
				lost++
			}
		}
		t.Logf("%s: the writer was told of %d of %d resets", name, lost, tries)
	}
}

// Guards against heads and trailers that HTTP does not allow, also those that net/http lets pass.
func TestResponsesOutsideGrammarAreRejected(t *testing.T) {
	const body = "Content-Length: 5\r\n\r\nhello"
	answers := make(map[string]string)
	for _, line := range []string{"000 x", "099 x", "600 x", "999 x", "+20 x", "20 x", "2000 x", " 200 OK", "200 O\x00K", "101 Switching Protocols"} {
		answers["status line "+line] = "HTTP/1.1 " + line + "\r\n" + body
	}
	for _, field := range []string{"X Own: 1", "X-Own : 1", " Content-Length: 3", "\tX-Own: 1", ": 1", " : 1", "X-\x01Own: 1", "X-\x00Own: 1", "X-Own"} {
		answers["first line "+field] = "HTTP/1.1 200 OK\r\n" + field + "\r\n" + body
		answers["last line "+field] = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + field + "\r\n\r\nhello"
		answers["refusal "+field] = "HTTP/1.1 503 x\r\nContent-Length: 5\r\n" + field + "\r\n\r\nhello"
		answers["informational "+field] = "HTTP/1.1 103 x\r\nX-Own: 1\r\n" + field + "\r\n\r\nHTTP/1.1 200 OK\r\n" + body
		answers["after informational "+field] = "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nX-Own: 1\r\n" + field + "\r\n" + body
		chunks := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=1\r\nhello\r\n0\r\n"
		answers["trailer, first line "+field] = chunks + field + "\r\nX-More: 1\r\n\r\n"
		answers["trailer, last line "+field] = chunks + "X-More: 1\r\n" + field + "\r\n\r\n"
	}
	for name, raw := range answers {
		text, err := fetch(newClient(t), "GET", "http://"+broken.Serve(t, raw), nil, 0)
		assert.Check(t, err != nil, "%q: %q", name, text)
	}
}

// Guards against a check that takes the body of one response for the head of another, on a
// connection that carries several, or that holds up responses which HTTP allows.
func TestSoundResponsesAreReturned(t *testing.T) {
	wrong := "HTTP/1.1 000 x\r\nX Own: 1\r\n: 1\r\n\r\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", fmt.Sprint(len(wrong)))
		}
		w.Header().Set("Trailer", "X-Own")
		_, _ = io.WriteString(w, wrong[:20])
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, wrong[20:])
		w.Header().Set("X-Own", "1")
	}))
	defer server.Close()
	client := newClient(t)
	for range 3 {
		for _, path := range []string{"/length", "/chunks"} {
			text, err := fetch(client, "GET", server.URL+path, nil, 0)
			assert.NilError(t, err, path)
			assert.Equal(t, text, wrong)
			text, err = fetch(client, "HEAD", server.URL+path, nil, 0)
			assert.NilError(t, err, path)
			assert.Equal(t, text, "")
		}
	}
	unframed, err := fetch(client, "GET", "http://"+broken.Serve(t, "HTTP/1.0 200 OK\r\n\r\n"+wrong), nil, 0)
	assert.NilError(t, err)
	assert.Equal(t, unframed, wrong)
}

// Guards against a response whose names only net/http shows, as below TLS.
func TestNamesAreCheckedBelowTLS(t *testing.T) {
	resp := &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("hello"))}
	transport := &Transport{Base: roundTripper(func(*http.Request) (*http.Response, error) { return resp, nil })}
	req := httptest.NewRequest("GET", "/", nil)
	got, err := transport.RoundTrip(req)
	assert.NilError(t, err)
	resp.Trailer = http.Header{"X Own": {"1"}}
	var invalid *httpgrammar.Error
	_, err = io.ReadAll(got.Body)
	assert.Assert(t, errors.As(err, &invalid), "%v", err)
	resp.Header = http.Header{"X-Own ": {"1"}}
	_, err = transport.RoundTrip(req)
	assert.Assert(t, errors.As(err, &invalid), "%v", err)
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }
