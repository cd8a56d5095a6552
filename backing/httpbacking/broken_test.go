package httpbacking

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/internal/standin/broken"
)

// Guards against an outcome that is believed although the response is none that HTTP allows, or
// breaks off.
func TestBrokenResponseHasNoOutcome(t *testing.T) {
	for _, status := range []string{"200 OK", "404 x", "409 x", "503 x"} {
		for name, raw := range broken.Answers(status, HeaderNotApplied+": true\r\n", `{"rows":[]}`) {
			services, err := New("http://"+broken.Serve(t, raw), time.Second)
			assert.NilError(t, err)
			var unavailable *backing.UnavailableError
			var unknown *backing.UnknownOutcomeError
			_, err = services.Objects.Get(t.Context(), "k")
			assert.Check(t, errors.As(err, &unavailable), "get, %s, %s: %v", status, name, err)
			err = services.Objects.Put(t.Context(), "k", []byte("v"))
			assert.Check(t, errors.As(err, &unknown), "put, %s, %s: %v", status, name, err)
		}
	}
}
