package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/drivers/target"
	_ "github.com/endivecourse/endivecourse/drivers/target/engine"
	standin "github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
)

func dial(t *testing.T, url string) target.Driver {
	t.Helper()
	factory, err := kernel.Lookup[target.Factory]("target.engine")
	assert.NilError(t, err)
	driver, err := factory(target.Spec{ID: "engine-1", Service: "llm", BaseURL: url})
	assert.NilError(t, err)
	return driver
}

func start(t *testing.T, opts standin.Options) (*standin.Server, target.Driver) {
	t.Helper()
	server := standin.New(opts)
	web := httptest.NewServer(server.Handler())
	t.Cleanup(web.Close)
	return server, dial(t, web.URL)
}

func prompt(content string) target.Request {
	return target.Request{
		Request:  "req-1",
		Hold:     "home/program",
		Messages: []structs.Message{{Role: "user", Content: content}},
	}
}

func receive(t *testing.T, stream target.Stream) (string, target.Chunk, error) {
	t.Helper()
	defer stream.Close()
	var text strings.Builder
	for {
		chunk, err := stream.Recv()
		if err != nil || chunk.IsLast {
			return text.String(), chunk, err
		}
		text.Write(chunk.Data)
	}
}

func assertAs[E error](t *testing.T, err error) E {
	t.Helper()
	var want E
	assert.Assert(t, errors.As(err, &want), "want %T, have %T: %v", want, err, err)
	return want
}

func TestWholeAnswer(t *testing.T) {
	server, driver := start(t, standin.Options{})
	for i, cached := range []int64{0, 3} {
		stream, err := driver.Do(t.Context(), prompt("rake court"))
		assert.NilError(t, err)
		text, last, err := receive(t, stream)
		assert.NilError(t, err)
		assert.Equal(t, text, standin.Answer(prompt("rake court").Messages))
		assert.Equal(t, last.Usage.PromptTokens, int64(3))
		assert.Equal(t, last.Usage.CachedTokens, cached)
		assert.Equal(t, last.Usage.OutputTokens, int64(len(strings.Fields(text))))
		_, err = stream.Recv()
		assert.Equal(t, err, io.EOF)
		assert.Equal(t, server.RunCount("req-1"), i+1)
	}
}

func TestOutputLimit(t *testing.T) {
	_, driver := start(t, standin.Options{})
	request := prompt("rake")
	request.MaxTokens = 2
	stream, err := driver.Do(t.Context(), request)
	assert.NilError(t, err)
	text, last, err := receive(t, stream)
	assert.NilError(t, err)
	assert.Equal(t, text, standin.LimitedAnswer(request.Messages, 2))
	assert.Equal(t, last.Usage.OutputTokens, int64(2))
}

func TestCutAnswerIsBroken(t *testing.T) {
	server, driver := start(t, standin.Options{})
	server.AbortNext(1)
	stream, err := driver.Do(t.Context(), prompt("rake"))
	assert.NilError(t, err)
	_, _, err = receive(t, stream)
	broken := assertAs[*target.IncompleteResponseError](t, err)
	assert.Assert(t, broken.Received > 0)
}

func TestCrashIsBroken(t *testing.T) {
	server, driver := start(t, standin.Options{CrashMarker: "poison"})
	_, err := driver.Do(t.Context(), prompt("some poison here"))
	assertAs[*target.IncompleteResponseError](t, err)
	assert.Equal(t, server.CrashCount(), 1)
	assert.Equal(t, server.RunCount("req-1"), 1)
}

func TestRefusals(t *testing.T) {
	server, driver := start(t, standin.Options{})
	server.RefuseNext(1)
	_, err := driver.Do(t.Context(), prompt("rake"))
	status := assertAs[*target.StatusError](t, err)
	assert.Equal(t, status.Ran, structs.RunNo)
	assert.Equal(t, server.RunCount("req-1"), 0)

	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"type":"overloaded","message":"the prompt was secret"}}`)
	}))
	defer web.Close()
	_, err = dial(t, web.URL).Do(t.Context(), prompt("rake"))
	status = assertAs[*target.StatusError](t, err)
	assert.Equal(t, status.Ran, structs.RunUnknown)
	assert.Equal(t, status.Body, "overloaded")
	web.Close()
	_, err = dial(t, web.URL).Do(t.Context(), prompt("rake"))
	assertAs[*target.NotSentError](t, err)
}

// TestUnfinishedAnswers covers answers that end cleanly for HTTP but lack one
// of their last parts.
func TestUnfinishedAnswers(t *testing.T) {
	delta := `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	usage := `data: {"choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1}}` + "\n\n"
	done := "data: [DONE]\n\n"
	for name, body := range map[string]string{
		"no usage":    delta + done,
		"no end":      delta + usage,
		"empty":       "",
		"error event": delta + `data: {"error":{"type":"out_of_memory"}}` + "\n\n" + usage + done,
		"not JSON":    "data: {\n\n" + usage + done,
		"long line":   "data: " + strings.Repeat("x", 2<<20) + "\n\n" + usage + done,
	} {
		t.Run(name, func(t *testing.T) {
			web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
			defer web.Close()
			stream, err := dial(t, web.URL).Do(t.Context(), prompt("rake"))
			assert.NilError(t, err)
			_, _, err = receive(t, stream)
			assertAs[*target.IncompleteResponseError](t, err)
		})
	}
}

func TestCloseCancels(t *testing.T) {
	server, driver := start(t, standin.Options{TokenTime: time.Hour, MaxRunning: 1})
	stream, err := driver.Do(t.Context(), prompt("rake"))
	assert.NilError(t, err)
	_, err = stream.Recv()
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	assert.NilError(t, stream.Close())
	_, err = stream.Recv()
	assertAs[*target.IncompleteResponseError](t, err)
	for server.Load().Running > 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestCancelAfterSendIsBroken(t *testing.T) {
	server, driver := start(t, standin.Options{FirstTokenTime: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		defer cancel()
		for server.RunCount("req-1") == 0 {
			time.Sleep(time.Millisecond)
		}
	}()
	_, err := driver.Do(ctx, prompt("rake"))
	assertAs[*target.IncompleteResponseError](t, err)
}

func TestReleaseAndLoad(t *testing.T) {
	server, driver := start(t, standin.Options{})
	stream, err := driver.Do(t.Context(), prompt("rake"))
	assert.NilError(t, err)
	_, _, err = receive(t, stream)
	assert.NilError(t, err)
	load, err := driver.Load(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, load.HeldPrograms, []string{"home/program"})
	server.FailReleases(1)
	assertAs[*target.StatusError](t, driver.Release(t.Context(), "home/program"))
	assert.Equal(t, len(server.Holds()), 1)
	for range 2 {
		assert.NilError(t, driver.Release(t.Context(), "home/program"))
		assert.Equal(t, len(server.Holds()), 0)
	}
}

func TestOrdersAreFenced(t *testing.T) {
	for _, checks := range []bool{true, false} {
		server, driver := start(t, standin.Options{ChecksFence: checks})
		assert.NilError(t, driver.Order(t.Context(), target.Order{Kind: target.OrderSetVersion, Fence: 2}))
		err := driver.Order(t.Context(), target.Order{Kind: target.OrderSetVersion, Fence: 1})
		if checks {
			assert.Equal(t, assertAs[*target.FencedError](t, err).Fence, uint64(1))
		} else {
			assert.NilError(t, err)
			assert.Equal(t, len(server.Orders()), 2)
		}
	}
}

// An answer that names another request is broken before any of it is passed on.
func TestCrossedAnswerIsBroken(t *testing.T) {
	server, driver := start(t, standin.Options{})
	server.MismatchNext(1)
	_, err := driver.Do(t.Context(), prompt("mine"))
	var broken *target.IncompleteResponseError
	assert.Assert(t, errors.As(err, &broken))
	assert.Assert(t, broken.IsAlive)
	_, err = driver.Do(t.Context(), prompt("mine"))
	assert.NilError(t, err)
}
