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

func TestServesOperators(t *testing.T) {
	s := New(Options{Address: "127.0.0.1:0"})
	var broken atomic.Bool
	s.AddReadinessCheck("config", func() error {
		if broken.Load() {
			return errors.New("no version yet")
		}
		return nil
	})
	k := kernel.New(slog.New(slog.DiscardHandler), s)
	assert.NilError(t, s.Provision(k))
	assert.NilError(t, s.Start(t.Context(), k))
	get := func(path string) (int, string) {
		answer, err := http.Get("http://" + s.Addr() + path)
		assert.NilError(t, err)
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		assert.NilError(t, err)
		return answer.StatusCode, string(body)
	}
	for path, want := range map[string]string{"/healthz": "", "/readyz": `"ready":true`, "/metrics": "go_goroutines", "/dump": `"duties"`} {
		status, body := get(path)
		assert.Equal(t, status, http.StatusOK, path)
		assert.Assert(t, strings.Contains(body, want), path)
	}
	broken.Store(true)
	status, body := get("/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, "no version yet"))
	broken.Store(false)
	assert.NilError(t, s.Drain(t.Context()))
	status, _ = get("/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, s.Stop(ctx))
}

func TestGuard(t *testing.T) {
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	hash := HashToken("sesame")
	cases := []struct {
		name, hash, peer, header string
		status                   int
	}{
		{"loopback without a token set", "", "127.0.0.1:5", "", 200},
		{"IPv6 loopback", "", "[::1]:5", "", 200},
		{"mapped loopback", "", "[::ffff:127.0.0.1]:5", "", 200},
		{"far peer without a token set", "", "10.0.0.1:5", "", 401},
		{"far peer with any token", "", "10.0.0.1:5", "Bearer sesame", 401},
		{"right token", hash, "10.0.0.1:5", "Bearer sesame", 200},
		{"right token, upper-case hash", strings.ToUpper(hash), "10.0.0.1:5", "Bearer sesame", 200},
		{"wrong token", hash, "10.0.0.1:5", "Bearer open", 401},
		{"bare token", hash, "10.0.0.1:5", "sesame", 401},
		{"loopback without the token", hash, "127.0.0.1:5", "", 401},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodGet, "/dump", nil)
			request.RemoteAddr = c.peer
			if c.header != "" {
				request.Header.Set(TokenHeader, c.header)
			}
			answer := httptest.NewRecorder()
			guard(c.hash, ok).ServeHTTP(answer, request)
			assert.Equal(t, answer.Code, c.status)
		})
	}
}
