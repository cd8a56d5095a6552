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

// Guards against a request in progress that is closed as an idle connection, since it was read
// together with the one before, and against limits of the configuration that are not applied.
func TestLimitsOfTheConfigurationAreApplied(t *testing.T) {
	const idle = 400 * time.Millisecond
	b := newTestSite(t, "near-a")
	config := platformtest.BasicConfig()
	config.Limits = map[string]any{"maxHeaderBytes": 2000, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 300, "idleTimeoutMs": idle.Milliseconds()}
	version := b.site.PutConfig(config)
	b.waitUntil("limits", func() bool {
		return len(b.logs.lines(`"configuration in force"`, fmt.Sprintf(`"version":%d,`, version))) == 1
	})
	target := b.addTarget("app-1", "app", "near-a")
	target.Set(platformtest.Behaviour{Duration: 3 * idle})
	dial := func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", b.vms[0].CallerAddress)
		assert.NilError(t, err)
		t.Cleanup(func() { conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		return conn, bufio.NewReader(conn)
	}
	request := func(id, field string) string {
		return fmt.Sprintf("GET /read/1 HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: key-one\r\n%s: 8000\r\n%s\r\n", platformtest.Host,
			platformtest.HeaderRequestID, id, platformtest.HeaderKey, platformtest.HeaderDeadline, field)
	}
	status := func(reader *bufio.Reader) int {
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		return resp.StatusCode
	}

	conn, reader := dial()
	_, err := io.WriteString(conn, request("first", "")+request("second", ""))
	assert.NilError(t, err)
	assert.Equal(t, status(reader), http.StatusOK)
	assert.Equal(t, status(reader), http.StatusOK, "the request that was read with the first one")
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF, "an idle connection is closed")

	conn, reader = dial()
	_, err = io.WriteString(conn, request("large", "X: "+strings.Repeat("a", 2000)+"\r\n"))
	assert.NilError(t, err)
	assert.Equal(t, status(reader), http.StatusRequestHeaderFieldsTooLarge)

	conn, reader = dial()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF, "a head that does not go on")
}
