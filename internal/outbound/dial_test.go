package outbound

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/sockopt/sockopttest"
)

// Guards against servers that are silent for a second and lose their connections.
func TestConnectionsSurviveSilentServer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := NewClient().transport.DialContext(context.Background(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	sockopttest.AssertSurvivesSilence(t, conn.(*countingConn).Conn)
}
