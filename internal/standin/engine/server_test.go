package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

func TestAnswerDependsOnEveryMessage(t *testing.T) {
	a := []structs.Message{{Role: "user", Content: "ab"}, {Role: "user", Content: "c"}}
	b := []structs.Message{{Role: "user", Content: "a"}, {Role: "user", Content: "bc"}}
	assert.Equal(t, Answer(a), Answer(a))
	assert.Assert(t, Answer(a) != Answer(b))
	assert.Assert(t, Answer(a) != Answer(a[:1]))
}

func TestLoadAndCacheEventsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{LoadLag: 2 * time.Second, CacheEventLag: 5 * time.Second, CacheEventGap: 2})
		s.storeHold("a", nil)
		s.storeHold("b", nil)
		s.storeHold("c", nil)
		assert.Equal(t, len(s.Load().HeldPrograms), 0)
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(s.Load().HeldPrograms), 3)
		assert.Equal(t, len(s.CacheEvents(0)), 0)
		time.Sleep(3 * time.Second)
		events := s.CacheEvents(0)
		assert.Equal(t, len(events), 2)
		assert.Equal(t, events[1].Number, uint64(3))
		assert.Equal(t, len(s.CacheEvents(3)), 0)
	})
}

func post(t *testing.T, s *Server, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader(body))
	req.Header.Set("X-Request-Id", "req-1")
	s.Handler().ServeHTTP(w, req)
	return w
}

func TestResponseWithoutStream(t *testing.T) {
	s := New(Options{})
	w := post(t, s, "/v1/chat/completions", `{"messages":[{"role":"user","content":"rake"}]}`)
	assert.Equal(t, w.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(w.Body.String(), Answer([]structs.Message{{Role: "user", Content: "rake"}})))
	assert.Equal(t, len(s.Requests()), 1)
	assert.Equal(t, len(s.Holds()), 0)
}

func TestCancelAndCrashAbortRequests(t *testing.T) {
	for _, abort := range []func(s *Server){
		func(s *Server) { post(t, s, "/cancel", `{"request":"req-1"}`) },
		func(s *Server) { s.Crash() },
	} {
		synctest.Test(t, func(t *testing.T) {
			s := New(Options{FirstTokenTime: time.Hour, MaxRunning: 1})
			panics := make(chan any, 2)
			for range 2 { // one runs, the other waits for the slot
				go func() {
					defer func() { panics <- recover() }()
					post(t, s, "/v1/chat/completions", `{"messages":[{"role":"user","content":"rake"}]}`)
				}()
			}
			synctest.Wait()
			load := s.Load()
			assert.Equal(t, load.Running, 1)
			assert.Equal(t, load.Waiting, 1)
			abort(s)
			for range 2 {
				assert.Equal(t, <-panics, http.ErrAbortHandler)
			}
			assert.Equal(t, s.Load().Running, 0)
		})
	}
}
