package devsite

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lockedBuffer collects the logs of all daemons, which write concurrently.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

const (
	bodyMarker  = "marker-of-a-body"
	tokenMarker = "marker-of-a-token"
	// unknownKey is a well-formed key that no account has.
	unknownKey    = "ek_0f1e2d3c4b5a6978_" + unknownSecret
	unknownSecret = "5d41402abc4b2a76b9719d911017c5925d41402abc4b2a76b9719d911017c592"
)

// requestsWithSecrets returns requests with valid and invalid keys in every part of a
// request and a marker in the bodies.
func requestsWithSecrets(s *Site) []*http.Request {
	secret := s.Key[strings.LastIndexByte(s.Key, '_')+1:]
	var list []*http.Request
	add := func(method, path, body string, headers ...string) {
		r, err := http.NewRequest(method, s.GatewayURL+path, strings.NewReader(body))
		if err != nil {
			panic(err)
		}
		for i := 0; i < len(headers); i += 2 {
			r.Header.Set(headers[i], headers[i+1])
		}
		list = append(list, r)
	}
	bearer := "Bearer " + s.Key
	for _, key := range []string{s.Key, secret, s.Key + "0", "ek_unknown_" + secret, unknownKey} {
		add("GET", "/v1/programs/"+key, "", "Authorization", bearer)
		add("GET", "/services/"+key, "", "X-Api-Key", key)
		add("GET", "/services/notices/a?q="+key, "", "Authorization", bearer)
		add("GET", "/services/notices/a?api_key="+key, "")
		add("POST", "/v1/programs", `{"program": "`+key+`"}`, "Authorization", bearer)
		add("POST", "/v1/programs", `{"`+key+`": "`+bodyMarker+`"}`, "Authorization", bearer)
		add("POST", "/v1/programs", `{"program": "round-planner", "parent": "`+key+`"}`, "Authorization", bearer)
		add("POST", "/v1/programs", `{}`, "Authorization", bearer, "Idempotency-Key", key)
		add("POST", "/v1/programs", `{}`, "Authorization", bearer, "Endive-Program", key)
		add("POST", "/v1/programs", `{}`, "Authorization", key)
		add("POST", "/v1/programs", `{}`, "Authorization", "Basic "+key)
		add("POST", "/v1/programs", `{}`, "Authorization", bearer, "Cookie", "session="+key)
		add("POST", "/v1/programs", `{}`, "Authorization", bearer, "X-Api-Key", key)
		add(strings.ToUpper(secret), "/v1/programs", "", "Authorization", bearer)
		add("POST", "/v1/chat/completions", fmt.Sprintf(
			`{"model": %q, "messages": [{"role": "user", "content": "%s %s"}]}`, ModelService, bodyMarker, key), "Authorization", bearer)
		add("POST", "/v1/chat/completions", fmt.Sprintf(
			`{"model": %q, "messages": [{"role": "user", "content": "x"}]}`, key), "Authorization", bearer)
	}
	add("POST", "/v1/chat/completions", fmt.Sprintf(
		`{"model": %q, "messages": [{"role": "user", "content": %q}]}`, ModelService, bodyMarker), "Authorization", bearer)
	return list
}

// API keys, operators' tokens and request bodies must not appear in any log, state dump,
// metric or readiness report, wherever in a request a key stands.
func TestSecretsAreNotInLogsDumpsOrMetrics(t *testing.T) {
	logs := &lockedBuffer{}
	s, err := Start(t.Context(), slog.New(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: slog.LevelDebug})))
	assert.NilError(t, err)
	assert.NilError(t, s.WaitReady(t.Context(), 15*time.Second, 20*time.Millisecond))
	okCount := 0
	for _, r := range requestsWithSecrets(s) {
		response, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		if response.StatusCode == http.StatusOK {
			okCount++
		}
	}
	assert.Assert(t, okCount > 0, "no request was served")
	outputs := map[string]string{}
	for _, admin := range s.AdminAddrs {
		for _, path := range []string{"/dump", "/metrics", "/readyz"} {
			outputs[admin+path] = get(t, "http://"+admin+path)
		}
	}
	assert.NilError(t, s.Stop())
	outputs["logs"] = logs.String()
	assert.Assert(t, strings.Contains(outputs["logs"], `"kind":"unauthorized"`))
	id, secret, _ := strings.Cut(strings.TrimPrefix(s.Key, "ek_"), "_")
	for source, text := range outputs {
		for _, forbidden := range []string{s.Key, secret, strings.ToUpper(secret), "ek_" + id, bodyMarker, tokenMarker, unknownSecret} {
			i := strings.Index(text, forbidden)
			assert.Check(t, i < 0, "%s contains %q: %s", source, forbidden, text[max(0, i-200):max(0, i)])
		}
	}
}

func get(t *testing.T, url string) string {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, url, nil)
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+tokenMarker)
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}

// The example program of the quick start must run to its end with correct responses.
func TestExampleProgramCompletes(t *testing.T) {
	s, err := Start(t.Context(), slog.New(slog.DiscardHandler))
	assert.NilError(t, err)
	assert.NilError(t, s.WaitReady(t.Context(), 15*time.Second, 20*time.Millisecond))
	assert.NilError(t, RunExample(t.Context(), s, io.Discard))
	assert.NilError(t, s.Stop())
}
