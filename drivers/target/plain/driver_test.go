package plain_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/drivers/target"
	_ "github.com/endivecourse/endivecourse/drivers/target/plain"
	standin "github.com/endivecourse/endivecourse/internal/standin/plain"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
)

func dial(t *testing.T, url string) target.Driver {
	t.Helper()
	factory, err := kernel.Lookup[target.Factory]("target.plain")
	assert.NilError(t, err)
	driver, err := factory(target.Spec{ID: "app-1", BaseURL: url})
	assert.NilError(t, err)
	return driver
}

func start(t *testing.T, opts standin.Options) (*standin.Server, target.Driver) {
	t.Helper()
	server := standin.New(opts)
	web := httptest.NewServer(server.Handler())
	t.Cleanup(web.Close)
	return server, dial(t, web.URL)
}

func request(method, path, body string) target.Request {
	return target.Request{Request: "req-1", Plain: &structs.PlainCall{Method: method, Path: path, Body: []byte(body)}}
}

func assertAs[E error](t *testing.T, err error) E {
	t.Helper()
	var want E
	assert.Assert(t, errors.As(err, &want), "want %T, have %T: %v", want, err, err)
	return want
}

// receive returns the status and the body that came before the end or error.
func receive(t *testing.T, driver target.Driver, r target.Request) (int, string, error) {
	t.Helper()
	stream, err := driver.Do(t.Context(), r)
	if err != nil {
		return 0, "", err
	}
	defer stream.Close()
	head, err := stream.Recv()
	assert.NilError(t, err)
	var body strings.Builder
	for {
		chunk, err := stream.Recv()
		body.Write(chunk.Data)
		if err != nil || chunk.IsLast {
			return head.Status, body.String(), err
		}
	}
}

func TestAnswersOfAnyStatus(t *testing.T) {
	server, driver := start(t, standin.Options{})
	for _, want := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		server.SetStatus(want)
		status, body, err := receive(t, driver, request("POST", "/dispatch/a%2Fb?crew=1", "x"))
		assert.NilError(t, err)
		assert.Equal(t, status, want)
		assert.Equal(t, body, standin.ResponseBody("POST", "/dispatch/a%2Fb?crew=1", []byte("x")))
	}
	executions := server.Executions()
	assert.Equal(t, executions[standin.Call{Method: "POST", Path: "/dispatch/a%2Fb?crew=1", Body: "x"}], 3)
	_, body, err := receive(t, driver, request("HEAD", "/", ""))
	assert.NilError(t, err)
	assert.Equal(t, body, "")
}

func TestKeysNeverReachTheTarget(t *testing.T) {
	server, driver := start(t, standin.Options{})
	r := request("GET", "/", "")
	r.Plain.Header = map[string][]string{
		"authorization": {"Bearer secret"}, "Authorization": {"secret"}, "COOKIE": {"k=secret"},
		"x-api-key": {"secret"}, "X-Other": {"secret"}, "Proxy-Authorization": {"secret"},
		"accept": {"text/plain"},
	}
	_, _, err := receive(t, driver, r)
	assert.NilError(t, err)
	seen := server.Requests()[0].Header
	assert.Equal(t, seen.Get("Accept"), "text/plain")
	for name, values := range seen {
		assert.Assert(t, !strings.Contains(strings.Join(values, " "), "secret"), name)
	}
}

func TestCutAnswerIsBrokenAndRanOnce(t *testing.T) {
	server, driver := start(t, standin.Options{})
	server.AbortNext(1)
	_, body, err := receive(t, driver, request("GET", "/a", ""))
	broken := assertAs[*target.IncompleteResponseError](t, err)
	assert.Equal(t, broken.Received, int64(len(body)))
	assert.Equal(t, server.Executions()[standin.Call{Method: "GET", Path: "/a"}], 1)
}

func TestHangIsBrokenAndRanOnce(t *testing.T) {
	server, driver := start(t, standin.Options{})
	server.HangNext(1)
	call := standin.Call{Method: "POST", Path: "/a"}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer cancel()
		for server.Executions()[call] == 0 {
			time.Sleep(time.Millisecond)
		}
	}()
	_, err := driver.Do(ctx, request("POST", "/a", ""))
	assertAs[*target.IncompleteResponseError](t, err)
	assert.Equal(t, server.Executions()[call], 1)
}

func TestNotSent(t *testing.T) {
	web := httptest.NewTLSServer(http.NotFoundHandler())
	defer web.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	_, driver := start(t, standin.Options{})
	for name, try := range map[string]func() (target.Stream, error){
		"refused":     func() (target.Stream, error) { return dial(t, closed.URL).Do(t.Context(), request("GET", "/", "")) },
		"untrusted":   func() (target.Stream, error) { return dial(t, web.URL).Do(t.Context(), request("GET", "/", "")) },
		"no call":     func() (target.Stream, error) { return driver.Do(t.Context(), target.Request{}) },
		"CONNECT":     func() (target.Stream, error) { return driver.Do(t.Context(), request("CONNECT", "/", "")) },
		"bad method":  func() (target.Stream, error) { return driver.Do(t.Context(), request("A B", "/", "")) },
		"other host":  func() (target.Stream, error) { return driver.Do(t.Context(), request("GET", "http://h/", "")) },
		"bad escape":  func() (target.Stream, error) { return driver.Do(t.Context(), request("GET", "/%zz", "")) },
		"ended early": func() (target.Stream, error) { return driver.Do(ended(t), request("GET", "/", "")) },
	} {
		t.Run(name, func(t *testing.T) {
			_, err := try()
			assertAs[*target.NotSentError](t, err)
		})
	}
}

func ended(t *testing.T) context.Context {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// rawServer answers every connection with the same bytes and closes it.
func rawServer(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

func TestEndOfAnswerIsChecked(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		whole  bool
	}{
		"length":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true},
		"short":        {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", false},
		"chunks":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", true},
		"no last":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false},
		"neither":      {"HTTP/1.1 200 OK\r\n\r\nab", false},
		"without body": {"HTTP/1.1 204 No Content\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := receive(t, dial(t, rawServer(t, test.answer)), request("GET", "/", ""))
			if test.whole {
				assert.NilError(t, err)
				return
			}
			assertAs[*target.IncompleteResponseError](t, err)
		})
	}
}

func TestCloseCancels(t *testing.T) {
	gone := make(chan struct{})
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		close(gone)
	}))
	defer web.Close()
	stream, err := dial(t, web.URL).Do(t.Context(), request("GET", "/", ""))
	assert.NilError(t, err)
	for range 2 { // head and the first part
		_, err = stream.Recv()
		assert.NilError(t, err)
	}
	assert.NilError(t, stream.Close())
	<-gone
	_, err = stream.Recv()
	assertAs[*target.IncompleteResponseError](t, err)
}

// An answer that names another request is broken before any of it is passed on.
func TestCrossedAnswerIsBroken(t *testing.T) {
	server, driver := start(t, standin.Options{})
	server.MismatchNext(1)
	_, err := driver.Do(t.Context(), request("POST", "/orders", "mine"))
	assert.Assert(t, assertAs[*target.IncompleteResponseError](t, err).IsAlive)
	_, body, err := receive(t, driver, request("POST", "/orders", "mine"))
	assert.NilError(t, err)
	assert.Equal(t, body, standin.ResponseBody("POST", "/orders", []byte("mine")))
}
