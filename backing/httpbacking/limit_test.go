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

func TestAnswerSizeIsBounded(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", 11)))
	}))
	defer web.Close()
	c := &client{base: web.URL, http: outbound.NewClient(), maxAnswer: 10}
	_, err := (&objects{c}).Get(t.Context(), "k")
	var tooLarge *ResponseTooLargeError
	var unavailable *backing.UnavailableError
	assert.Assert(t, errors.As(err, &tooLarge))
	assert.Assert(t, errors.As(err, &unavailable))
	c.maxAnswer = 11
	_, err = (&objects{c}).Get(t.Context(), "k")
	assert.NilError(t, err)
}
