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

// gateway answers every call with one part; recorded is what its history has.
func gateway(t *testing.T, recorded string, end string) *caller.Client {
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

func run(client *caller.Client) Report {
	return Run(context.Background(), Options{
		Client: client, Rate: 200, Duration: 50 * time.Millisecond, Calls: 1, ChecksHistory: true, MaxRunning: 8, Program: "p", Service: "s",
	})
}

func TestWholeAnswersAreCounted(t *testing.T) {
	report := run(gateway(t, "whole", "data: [DONE]\n"))
	assert.Assert(t, report.Programs > 0)
	assert.Equal(t, len(report.Errors), 0)
}

func TestErrorsByKind(t *testing.T) {
	for kind, client := range map[string]*caller.Client{
		"wrong answer": gateway(t, "another", "data: [DONE]\n"),
		"cut":          gateway(t, "whole", ""),
		"connection":   caller.New("http://127.0.0.1:0", "", nil),
		"over_rate (run: no)": gateway(t, "whole",
			"event: error\n"+`data: {"error":{"type":"over_rate","run":"no"}}`+"\n"),
	} {
		report := run(client)
		assert.Equal(t, report.Programs, 0, kind)
		assert.Assert(t, report.Errors[kind] > 0, "%s: %v", kind, report.Errors)
		assert.Equal(t, len(report.Errors), 1, kind)
	}
}
