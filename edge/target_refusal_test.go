package edge

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Guards against a request that waits until its deadline for the body of a refusal.
func TestRefusalWithoutEndIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body, peer := io.Pipe()
		start := time.Now()
		var timeout *RefusalTimeoutError
		err := readRefusal(&http.Response{ContentLength: -1, Body: body})
		assert.Assert(t, errors.As(err, &timeout), "%v", err)
		assert.Equal(t, time.Since(start), refusalTimeout)
		peer.Close()
	})
}
