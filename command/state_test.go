package command

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/broken"
)

// Guards against a dump that is printed as whole although its response is none that HTTP allows, or
// breaks off.
func TestBrokenDumpIsAnError(t *testing.T) {
	a := &app{timeout: time.Second}
	for name, raw := range broken.Answers("200 OK", "", `{"dump":1}`) {
		body, err := a.fetch(t.Context(), broken.Serve(t, raw), "/dump")
		assert.Check(t, err != nil, "%s: %q", name, body)
	}
}
