package caller

import (
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/broken"
	"github.com/endivecourse/endivecourse/structs"
)

const refusal = `{"error":{"type":"queue_full","run":"no","message":"full"}}`

// Guards against an answer or a refusal that is returned although HTTP does not allow it, or that
// breaks off, with the default HTTP client and with another.
func TestBrokenResponsesAreErrors(t *testing.T) {
	other := &http.Client{Transport: &http.Transport{}}
	defer other.CloseIdleConnections()
	for _, httpClient := range []*http.Client{nil, other} {
		for status, body := range map[string]string{"200 OK": `{"id":"p"}`, "503 x": refusal} {
			for name, raw := range broken.Answers(status, "X-Own: 1\r\n", body) {
				isFoundBelow := httpClient == nil || name != "joined line" // net/http does not show a joined line
				client := New("http://"+broken.Serve(t, raw), "", httpClient)
				answer, err := client.Route(t.Context(), http.MethodPost, "/a", "x")
				assert.Check(t, isNoAnswer(err) || !isFoundBelow, "route, %s, %s: %+v, %v", status, name, answer, err)
				info, err := client.Create(t.Context(), NewProgram{Program: "p"})
				assert.Check(t, isNoAnswer(err) || !isFoundBelow, "create, %s, %s: %+v, %v", status, name, info, err)
			}
		}
	}
}

// isNoAnswer reports whether an error says that there was no whole answer.
func isNoAnswer(err error) bool {
	var refused *RefusedError
	return err != nil && (!errors.As(err, &refused) || refused.Run != structs.RunNo)
}

// Guards against the part of an answer that arrived before a reset and is returned as whole.
func TestResetUnderUploadIsIncomplete(t *testing.T) {
	other := &http.Client{Transport: &http.Transport{}}
	defer other.CloseIdleConnections()
	upload := string(make([]byte, 16<<20)) // more than the socket buffers hold
	for range 10 {
		for _, httpClient := range []*http.Client{nil, other} {
			client := New("http://"+broken.ServeAndReset(t, "HTTP/1.1 200 OK\r\n\r\nhello"), "", httpClient)
			answer, err := client.Route(t.Context(), http.MethodPost, "/a", upload)
			assert.Check(t, err != nil, "%+v", answer)
		}
		client := New("http://"+broken.ServeAndReset(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"), "", nil)
		answer, err := client.Route(t.Context(), http.MethodPost, "/a", upload)
		assert.NilError(t, err)
		assert.Equal(t, answer.Text, "hello")
	}
}
