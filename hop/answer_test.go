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

	"gotest.tools/v3/assert"
)

// ending is what a target does after it has written an answer.
type ending int

const (
	keepsOpen ending = iota
	closes
	resets
)

// fetched is what became of one request.
type fetched struct {
	status     int
	id, body   string
	isReusable bool
	err        error
}

// fetch sends request "a" over TCP to a target that answers it with raw bytes. If isKept is
// set, the connection has carried another request before.
func fetch(t *testing.T, method, raw string, end ending, isKept bool) fetched {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		reader := bufio.NewReader(nc)
		for _, answer := range []string{response("first", "1"), raw} {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if req.Header.Get(idHeader) == "a" {
				answer = raw
			}
			_, _ = io.WriteString(nc, answer)
			if req.Header.Get(idHeader) == "a" {
				break
			}
		}
		switch end {
		case resets:
			_ = nc.(*net.TCPConn).SetLinger(0)
		case keepsOpen:
			_, _ = io.Copy(io.Discard, nc) // until the caller closes
		}
	}()
	pool := NewPool(nil)
	if isKept {
		_, err := roundTrip(t, pool, listener.Addr().String(), "first")
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.Equal(t, conn.IsReused(), isKept)
	return receive(ctx, conn, method)
}

// receive sends request "a" and reads its answer.
func receive(ctx context.Context, conn *Conn, method string) (got fetched) {
	req := &http.Request{Method: method, Host: "h", URL: &url.URL{Path: "/"}, Header: http.Header{idHeader: {"a"}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	resp, stop, err := conn.RoundTrip(ctx, req, nil, Expected{IDHeader: idHeader, ID: "a"})
	if err != nil {
		return fetched{err: err}
	}
	defer stop()
	body, err := io.ReadAll(resp.Body)
	return fetched{status: resp.StatusCode, id: resp.Header.Get(idHeader), body: string(body), isReusable: err == nil && conn.isReusable(), err: err}
}

const answerHead = "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\nX-More: 1\r\n"

// Guards against MIXED: an answer that is cut at any byte of its head or body, by a close or
// a reset, must not pass for a whole one.
func TestAnswerCutAnywhereIsNotWhole(t *testing.T) {
	for framing, answer := range map[string]string{
		"length":  answerHead + "Content-Length: 5\r\n\r\nhello",
		"chunked": answerHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
		"close":   answerHead + "Content-Type: text/plain\r\n\r\nhello",
		"last":    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + idHeader + ": a\r\n\r\nhello",
	} {
		head := strings.Index(answer, "\r\n\r\n") + 4
		for cut := range len(answer) + 1 {
			for _, end := range []ending{closes, resets} {
				for _, isKept := range []bool{false, true} {
					got := fetch(t, "GET", answer[:cut], end, isKept)
					name := fmt.Sprintf("%s, ending %d, kept %v: %q: %+v", framing, end, isKept, answer[:cut], got)
					switch {
					case framing == "close" && end == closes && cut >= head:
						assert.NilError(t, got.err, name)
						assert.Equal(t, got.body, answer[head:cut], name)
						assert.Assert(t, !got.isReusable, name)
					case cut == len(answer) && framing != "close":
						assert.NilError(t, got.err, name)
						assert.Equal(t, got.body, "hello", name)
					default:
						assert.Assert(t, got.err != nil, name)
					}
				}
			}
		}
	}
}

// The end of an answer without length or chunks is that of its connection, whatever its head
// says of the connection.
func TestFramingOfAnswers(t *testing.T) {
	const id = idHeader + ": a\r\n"
	for name, c := range map[string]struct {
		method, raw string
		end         ending
		body        string
		isReusable  bool
	}{
		"keep-alive without length":   {"GET", answerHead + "Connection: keep-alive\r\n\r\nhello", closes, "hello", false},
		"close without length":        {"GET", answerHead + "Connection: close\r\n\r\nhello", closes, "hello", false},
		"close with length":           {"GET", answerHead + "Connection: close\r\nContent-Length: 5\r\n\r\nhello", keepsOpen, "hello", false},
		"HTTP/1.0":                    {"GET", "HTTP/1.0 200 OK\r\n" + id + "\r\nhello", closes, "hello", false},
		"HTTP/1.0 with length":        {"GET", "HTTP/1.0 200 OK\r\n" + id + "Content-Length: 5\r\n\r\nhello", keepsOpen, "hello", false},
		"HTTP/1.0 keep-alive":         {"GET", "HTTP/1.0 200 OK\r\n" + id + "Connection: keep-alive\r\nContent-Length: 5\r\n\r\nhello", keepsOpen, "hello", true},
		"204":                         {"GET", "HTTP/1.1 204 No Content\r\n" + id + "\r\n", keepsOpen, "", true},
		"304 with length":             {"GET", "HTTP/1.1 304 Not Modified\r\n" + id + "Content-Length: 5\r\n\r\n", keepsOpen, "", true},
		"HEAD":                        {"HEAD", answerHead + "Content-Length: 5\r\n\r\n", keepsOpen, "", true},
		"HEAD without length":         {"HEAD", answerHead + "\r\n", keepsOpen, "", true},
		"HEAD with a body":            {"HEAD", answerHead + "Content-Length: 5\r\n\r\nhello", keepsOpen, "", false},
		"204 with a body":             {"GET", "HTTP/1.1 204 No Content\r\n" + id + "Content-Length: 5\r\n\r\nhello", keepsOpen, "", false},
		"after an informational head": {"GET", "HTTP/1.1 103 Early Hints\r\n\r\n" + response("a", "hello"), keepsOpen, "hello", true},
		"extra bytes":                 {"GET", response("a", "hello") + "x", keepsOpen, "hello", false},
		"extra answer":                {"GET", response("a", "hello") + response("b", "x"), keepsOpen, "hello", false},
		"equal lengths":               {"GET", answerHead + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", keepsOpen, "hello", true},
		"trailers":                    {"GET", answerHead + "Transfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n0\r\nT: 1\r\n\r\n", keepsOpen, "hello", true},
	} {
		for _, isKept := range []bool{false, true} {
			got := fetch(t, c.method, c.raw, c.end, isKept)
			assert.NilError(t, got.err, name)
			assert.Equal(t, got.body, c.body, name)
			assert.Equal(t, got.isReusable, c.isReusable, name)
		}
	}
}

// Guards against MIXED: where the end of an answer can't be told for certain, none of it may
// pass for whole.
func TestAmbiguousAnswersAreRejected(t *testing.T) {
	chunked := answerHead + "Transfer-Encoding: chunked\r\n\r\n"
	for name, raw := range map[string]string{
		"two lengths":                 answerHead + "Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello",
		"list of lengths":             answerHead + "Content-Length: 5, 4\r\n\r\nhello",
		"negative length":             answerHead + "Content-Length: -5\r\n\r\nhello",
		"signed length":               answerHead + "Content-Length: +5\r\n\r\nhello",
		"empty length":                answerHead + "Content-Length:\r\n\r\nhello",
		"length over 64 bits":         answerHead + "Content-Length: 18446744073709551621\r\n\r\nhello",
		"length over the limit":       answerHead + "Content-Length: 9223372036854775807\r\n\r\nhello",
		"length and chunks":           answerHead + "Content-Length: 15\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"chunks and length":           answerHead + "Transfer-Encoding: chunked\r\nContent-Length: 15\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":          "HTTP/1.0 200 OK\r\n" + idHeader + ": a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"space in a framing header":   answerHead + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"space in a length header":    answerHead + "Content-Length : 5\r\n\r\nhello",
		"two encodings":               answerHead + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"encoding twice":              answerHead + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"identity":                    answerHead + "Transfer-Encoding: identity\r\n\r\nhello",
		"chunk size with junk":        chunked + "5x\r\nhello\r\n0\r\n\r\n",
		"chunk size with sign":        chunked + "+5\r\nhello\r\n0\r\n\r\n",
		"chunk size with prefix":      chunked + "0x5\r\nhello\r\n0\r\n\r\n",
		"empty chunk size":            chunked + "\r\nhello\r\n0\r\n\r\n",
		"chunk size over 64 bits":     chunked + "10000000000000005\r\nhello\r\n0\r\n\r\n",
		"chunk longer than its size":  chunked + "4\r\nhello\r\n0\r\n\r\n",
		"chunk shorter than its size": chunked + "6\r\nhello\r\n0\r\n\r\n",
		"another protocol":            "SSH-2.0-x\r\n\r\n",
		"version 2":                   "HTTP/2.0 200 OK\r\n" + idHeader + ": a\r\nContent-Length: 5\r\n\r\nhello",
		"status below 100":            "HTTP/1.1 099 x\r\nContent-Length: 0\r\n\r\n" + response("a", "hello"),
		"switched protocol":           "HTTP/1.1 101 Switching Protocols\r\n\r\n" + response("a", "hello"),
		"two IDs":                     "HTTP/1.1 200 OK\r\n" + idHeader + ": a\r\n" + idHeader + ": b\r\nContent-Length: 5\r\n\r\nhello",
	} {
		for _, isKept := range []bool{false, true} {
			got := fetch(t, "GET", raw, closes, isKept)
			assert.Check(t, got.err != nil && !got.isReusable, "%s, kept %v: %+v", name, isKept, got)
		}
	}
}

// Guards against a stray answer whose end is not known: it must not swallow the next answer,
// hold the request until the target closes, or be taken for another head.
func TestStrayAnswerWithoutKnownEnd(t *testing.T) {
	for name, stray := range map[string]string{
		"without length":   "HTTP/1.1 503 x\r\n" + idHeader + ": b\r\n\r\n" + response("a", "hello"),
		"over the limit":   "HTTP/1.1 503 x\r\n" + idHeader + ": b\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", maxStrayBytes) + response("a", "hello"),
		"longer than said": "HTTP/1.1 503 x\r\n" + idHeader + ": b\r\nContent-Length: 1\r\n\r\nxx" + response("a", "hello"),
		"shorter":          "HTTP/1.1 503 x\r\n" + idHeader + ": b\r\nContent-Length: 9\r\n\r\nx" + response("a", "hello"),
		"too many":         strings.Repeat(response("b", "x"), maxStrayResponses+1) + response("a", "hello"),
	} {
		for _, isKept := range []bool{false, true} {
			start := time.Now()
			got := fetch(t, "GET", stray, keepsOpen, isKept)
			assert.Check(t, got.err != nil, "%s: %+v", name, got)
			assert.Check(t, time.Since(start) < time.Second, "%s: %s", name, time.Since(start))
		}
	}
}

// Guards against REFUSED: a refusal that a target writes once more on a kept connection, at
// any time, must not be taken for the answer to the next request.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	refusal := func(id string) string { return strings.Replace(response(id, "full"), "200 OK", "503 Full", 1) }
	for name, repeated := range map[string]string{
		"with its ID": refusal("first"), "without an ID": refusal(""), "twice": refusal("first") + refusal(""),
		"after an informational head": "HTTP/1.1 100 Continue\r\n\r\n" + refusal("first"),
	} {
		for _, when := range []string{"with the answer", "while idle", "as the request arrives", "with the next answer"} {
			address := startTarget(t, func(n int, id string) string {
				if id == "first" && when == "with the answer" {
					return response(id, "answer to "+id) + repeated
				}
				if id != "first" && n > 0 && when == "with the next answer" {
					return repeated + response(id, "answer to "+id)
				}
				return response(id, "answer to "+id)
			}, func(nc net.Conn, n int, isAnswered bool) {
				if n == 0 && isAnswered && when == "while idle" || n == 1 && !isAnswered && when == "as the request arrives" {
					_, _ = io.WriteString(nc, repeated)
				}
			})
			pool := NewPool(nil)
			for _, id := range []string{"first", "a"} {
				body, err := roundTrip(t, pool, address, id)
				assert.NilError(t, err, "%s, %s", name, when)
				assert.Equal(t, body, "answer to "+id, "%s, %s", name, when)
			}
		}
	}
}
