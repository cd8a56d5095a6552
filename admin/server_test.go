package admin

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/kernel"
)

// /readyz fails while a readiness check fails and from Drain on; without a failing check all
// endpoints answer a client on loopback.
func TestEndpointsAndReadiness(t *testing.T) {
	s := New(Options{Address: "127.0.0.1:0"})
	var isNotReady atomic.Bool
	s.AddReadinessCheck("config", func() error {
		if isNotReady.Load() {
			return errors.New("no version yet")
		}
		return nil
	})
	k := kernel.New(slog.New(slog.DiscardHandler), s)
	assert.NilError(t, s.Provision(k))
	assert.NilError(t, s.Start(t.Context(), k))
	get := func(path string) (int, string) {
		response, err := http.Get("http://" + s.Addr() + path)
		assert.NilError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		return response.StatusCode, string(body)
	}
	for path, want := range map[string]string{"/healthz": "", "/readyz": `"ready":true`, "/metrics": "go_goroutines", "/dump": `"duties"`} {
		status, body := get(path)
		assert.Equal(t, status, http.StatusOK, path)
		assert.Assert(t, strings.Contains(body, want), path)
	}
	isNotReady.Store(true)
	status, body := get("/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "no version yet"))
	isNotReady.Store(false)
	assert.NilError(t, s.Drain(t.Context()))
	status, _ = get("/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Stop(ctx))
}

// With a token hash only requests with the token pass, from any address. Without one only
// requests from a loopback address pass.
func TestRequireOperator(t *testing.T) {
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	hash := HashToken("sesame")
	cases := []struct {
		name, hash, peer, header string
		status                   int
	}{
		{"loopback, no token configured", "", "127.0.0.1:5", "", 200},
		{"IPv6 loopback, no token configured", "", "[::1]:5", "", 200},
		{"IPv4-mapped loopback, no token configured", "", "[::ffff:127.0.0.1]:5", "", 200},
		{"remote client, no token configured", "", "10.0.0.1:5", "", 401},
		{"remote client with a token, none configured", "", "10.0.0.1:5", "Bearer sesame", 401},
		{"valid token", hash, "10.0.0.1:5", "Bearer sesame", 200},
		{"valid token, hash in upper case", strings.ToUpper(hash), "10.0.0.1:5", "Bearer sesame", 200},
		{"wrong token", hash, "10.0.0.1:5", "Bearer open", 401},
		{"token without Bearer", hash, "10.0.0.1:5", "sesame", 401},
		{"loopback without the configured token", hash, "127.0.0.1:5", "", 401},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodGet, "/dump", nil)
			request.RemoteAddr = c.peer
			if c.header != "" {
				request.Header.Set(TokenHeader, c.header)
			}
			recorder := httptest.NewRecorder()
			requireOperator(c.hash, ok).ServeHTTP(recorder, request)
			assert.Equal(t, recorder.Code, c.status)
		})
	}
}
