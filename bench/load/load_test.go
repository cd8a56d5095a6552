package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/caller"
)

// newTestGateway starts a gateway that streams the response "whole" to every call, followed
// by end. Its history holds the response recorded.
func newTestGateway(t *testing.T, recorded string, end string) *caller.Client {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/programs", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"id":"north/p"}`))
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/calls"):
			_, _ = w.Write([]byte(`data: {"choices":[{"delta":{"content":"whole"}}]}` + "\n" + end))
		case strings.HasSuffix(r.URL.Path, "/history"):
			_, _ = w.Write([]byte(`{"turns":[{"messages":[{"role":"assistant","content":"` + recorded + `"}]}]}`))
		default:
			_, _ = w.Write([]byte(`{"id":"north/p","ended":true}`))
		}
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return caller.New(server.URL, "", server.Client())
}

func runLoad(client *caller.Client) Report {
	return Run(context.Background(), Options{
		Client: client, Rate: 200, Duration: 50 * time.Millisecond, Calls: 1, ChecksHistory: true, MaxRunning: 8, Program: "p", Service: "s",
	})
}

func TestCompletedProgramsAreCounted(t *testing.T) {
	report := runLoad(newTestGateway(t, "whole", "data: [DONE]\n"))
	assert.Assert(t, report.Programs > 0)
	assert.Equal(t, len(report.Errors), 0)
}

func TestErrorsAreCountedByKind(t *testing.T) {
	for kind, client := range map[string]*caller.Client{
		"wrong answer": newTestGateway(t, "another", "data: [DONE]\n"),
		"cut":          newTestGateway(t, "whole", ""),
		"connection":   caller.New("http://127.0.0.1:0", "", nil),
		"over_rate (run: no)": newTestGateway(t, "whole",
			"event: error\n"+`data: {"error":{"type":"over_rate","run":"no"}}`+"\n"),
	} {
		report := runLoad(client)
		assert.Equal(t, report.Programs, 0, kind)
		assert.Assert(t, report.Errors[kind] > 0, "%s: %v", kind, report.Errors)
		assert.Equal(t, len(report.Errors), 1, kind)
	}
}
