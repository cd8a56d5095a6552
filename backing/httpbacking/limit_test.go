package httpbacking

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/internal/outbound"
)

func TestResponseSizeIsBounded(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", 11)))
	}))
	defer web.Close()
	c := &client{base: web.URL, http: outbound.NewClient(), maxResponse: 10}
	_, err := (&objects{c}).Get(t.Context(), "k")
	var tooLarge *ResponseTooLargeError
	var unavailable *backing.UnavailableError
	assert.Assert(t, errors.As(err, &tooLarge))
	assert.Assert(t, errors.As(err, &unavailable))
	c.maxResponse = 11
	_, err = (&objects{c}).Get(t.Context(), "k")
	assert.NilError(t, err)
}

// Guards against a value that was cut by a lost connection and is taken for the whole one.
func TestResponseWithoutFramingIsNotWhole(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.NilError(t, err)
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nfirst part"))
		conn.Close()
	}))
	defer web.Close()
	c := &client{base: web.URL, http: outbound.NewClient(), maxResponse: maxResponseBytes}
	_, err := (&objects{c}).Get(t.Context(), "k")
	var unframed *UnframedResponseError
	assert.Assert(t, errors.As(err, &unframed), "%v", err)
}
