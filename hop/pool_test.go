package hop

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/sockopt/sockopttest"
)

// Guards against targets that are silent for a second and lose their connections.
func TestConnectionsSurviveSilentTarget(t *testing.T) {
	address := startTarget(t, func(_ int, id string) string { return response(id, "done") })
	conn, err := NewPool(nil).Get(context.Background(), address)
	assert.NilError(t, err)
	defer conn.Close()
	sockopttest.AssertSurvivesSilence(t, conn.net)
}

// Guards against a kernel that buffers megabytes of a response that is not read, which
// count against the memory of a small VM.
func TestReceiveBufferIsBounded(t *testing.T) {
	address := startTarget(t, func(_ int, id string) string { return response(id, "done") })
	conn, err := NewPool(nil).Get(context.Background(), address)
	assert.NilError(t, err)
	defer conn.Close()
	sockopttest.AssertReceiveBuffer(t, conn.net, receiveBufferBytes)
}
