package plain_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/internal/standin/broken"
)

// Guards against a response that HTTP does not allow, or that breaks off, and is passed on.
func TestBrokenResponsesAreIncomplete(t *testing.T) {
	long := strings.Repeat("hello", 50_000) // of which the head arrives before the trailer
	for _, status := range []string{"200 OK", "503 x", "404 x"} {
		for name, raw := range broken.Answers(status, "X-Own: 1\r\n", long) {
			_, body, err := receive(t, newDriver(t, "http://"+broken.Serve(t, raw)), request("POST", "/", "x"))
			assert.Check(t, err != nil, "%s, %s: %.20q", status, name, body)
			incomplete := assertAs[*target.IncompleteResponseError](t, err)
			isCut := name == "cut length" || name == "no last chunk"
			assert.Check(t, incomplete.IsAlive != isCut, "%s, %s: alive %v: %v", status, name, incomplete.IsAlive, err)
		}
	}
}

// Guards against a whole response that is lost, and a part that is passed on, when the target resets
// the connection while the request is written.
func TestResetUnderUpload(t *testing.T) {
	upload := string(make([]byte, 16<<20)) // more than the socket buffers hold
	for range 10 {
		status, body, err := receive(t, newDriver(t, "http://"+broken.ServeAndReset(t, "HTTP/1.1 503 x\r\nContent-Length: 5\r\n\r\nhello")), request("POST", "/", upload))
		assert.NilError(t, err)
		assert.Equal(t, status, 503)
		assert.Equal(t, body, "hello")
		_, _, err = receive(t, newDriver(t, "http://"+broken.ServeAndReset(t, "HTTP/1.1 200 OK\r\n\r\nhello")), request("POST", "/", upload))
		assertAs[*target.IncompleteResponseError](t, err)
	}
}
