package daemon

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// rawRequest sends the start of a request with a body over a connection of its own, ends it,
// and returns the status of the answer, 0 if there is none. The caller waits for 600 ms.
func rawRequest(t *testing.T, b *testSite, path, id, framing, body string, end ending) int {
	t.Helper()
	conn, err := net.Dial("tcp", b.vms[0].CallerAddress)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: key-one\r\n%s: 600\r\n%s: p-%s\r\n%s: 60\r\n%s: 10,30\r\n%s\r\n\r\n%s", path, platformtest.Host,
		platformtest.HeaderRequestID, id, platformtest.HeaderKey, platformtest.HeaderDeadline,
		platformtest.HeaderProgram, id, platformtest.HeaderBudget, platformtest.HeaderUsage, framing, body)
	assert.NilError(t, err)
	tcp := conn.(*net.TCPConn)
	switch end {
	case endsSending:
		assert.NilError(t, tcp.CloseWrite())
	case resets:
		time.Sleep(20 * time.Millisecond) // a reset discards what the VM has not read
		assert.NilError(t, tcp.SetLinger(0))
		return 0
	}
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// ending is what a caller does after the last byte that it sends.
type ending int

const (
	endsSending ending = iota // closes its direction of the connection
	resets
	falls // sends nothing more, and keeps the connection open
)

// chunk returns one chunk of a body.
func chunk(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

// Guards against UNASKED: a request whose body stops before its end must not run, be stored or
// counted, however the body stops and whatever has arrived of it.
func TestRequestWithIncompleteBodyDoesNotRun(t *testing.T) {
	b := newTestSite(t, "near-a")
	app, engine := b.addTarget("app-1", "app", "near-a"), b.addTarget("engine-1", "engine", "near-a")
	const chunked = "Transfer-Encoding: chunked"
	bodies := map[string]struct{ framing, body string }{}
	for _, size := range []int{0, 1, 600, 64<<10 - 1, 64 << 10, 64<<10 + 1, 128 << 10, 100_000} {
		whole := chunk(size)
		if size == 0 {
			whole = ""
		}
		bodies[fmt.Sprintf("length, %d", size)] = struct{ framing, body string }{fmt.Sprintf("Content-Length: %d", size+1), strings.Repeat("x", size)}
		for name, rest := range map[string]string{
			"no last chunk": "", "size without line end": "5", "cut in a chunk": "ff\r\nxxx", "chunk without its end": "3\r\nxxx",
			"malformed size": "zz\r\n", "longer than its size": "3\r\nxxxx\r\n0\r\n\r\n", "last chunk without line end": "0\r\n", "cut trailer": "0\r\nX-T: 1\r\n",
		} {
			bodies[fmt.Sprintf("%s, %d", name, size)] = struct{ framing, body string }{chunked, whole + rest}
		}
	}
	n := 0
	for name, c := range bodies {
		for _, end := range []ending{endsSending, resets, falls} {
			if end == falls && n%17 != 0 { // each waits for its deadline
				n++
				continue
			}
			for _, path := range []string{orderPath, "/chat/1"} {
				n++
				id := fmt.Sprintf("cut-%d", n)
				status := rawRequest(t, b, path, id, c.framing, c.body, end)
				assert.Check(t, status == 0 || status == http.StatusBadRequest || status == http.StatusServiceUnavailable, "%s, ending %d, %s: status %d", name, end, path, status)
			}
		}
	}
	time.Sleep(200 * time.Millisecond) // a run of a request whose caller is gone would begin
	assert.Equal(t, len(app.Runs())+len(engine.Runs()), 0)
	for _, size := range []int{1, 600, 64 << 10} {
		status := rawRequest(t, b, orderPath, fmt.Sprintf("whole-%d", size), chunked, chunk(size)+"0\r\n\r\n", falls)
		assert.Equal(t, status, http.StatusOK, "%d bytes", size)
	}
}
