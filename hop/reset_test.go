package hop

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/broken"
)

// uploadBytes is more than the socket buffers of both ends hold.
const uploadBytes = 32 << 20

// upload sends a long request and reads its answer.
func upload(t *testing.T, address string, body []byte) fetched {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	conn, err := NewPool(nil).Get(ctx, address)
	assert.NilError(t, err)
	defer conn.Close()
	req := &http.Request{Method: "POST", Host: "h", URL: &url.URL{Path: "/"}, Header: http.Header{idHeader: {"a"}}, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1}
	resp, stop, err := conn.RoundTrip(ctx, req, body, Expected{IDHeader: idHeader, ID: "a"})
	if err != nil {
		return fetched{err: err}
	}
	defer stop()
	text, err := io.ReadAll(resp.Body)
	return fetched{status: resp.StatusCode, body: string(text), err: err}
}

// Guards against MIXED: a reset under an upload is reported to the writer or to the reader. If
// the writer is told, the reader sees the end of the connection, which must not pass for the end
// of the answer.
func TestResetUnderUploadIsNoEndOfAnswer(t *testing.T) {
	const tries = 200
	address := broken.ServeAndReset(t, answerHead+"\r\nhel")
	body := bytes.Repeat([]byte("x"), uploadBytes)
	whole := 0
	for range tries {
		if got := upload(t, address, body); got.err == nil {
			whole++
		}
	}
	assert.Equal(t, whole, 0, "of %d answers that were cut by a reset", tries)
}
