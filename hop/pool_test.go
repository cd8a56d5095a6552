package hop

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

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

// Of the idle connections to a target, those that expire last must be kept, and be used in
// the order asked for; expired ones must not be reported.
func TestPoolKeepsTheConnectionsThatExpireLast(t *testing.T) {
	pool, start := NewPool(nil), time.Unix(0, 0)
	for _, seconds := range []time.Duration{4, 2, 5, 3, 1} {
		near, far := net.Pipe()
		defer far.Close()
		c := newConn(near, "target")
		c.expires = start.Add(seconds * time.Second)
		pool.PutWithin(c, 4)
	}
	assert.DeepEqual(t, pool.IdleByAddress(start), map[string]int{"target": 4})
	assert.DeepEqual(t, pool.IdleByAddress(start.Add(2*time.Second)), map[string]int{"target": 3})
	assert.Assert(t, pool.HasIdle(start.Add(4*time.Second), "target"))
	assert.Assert(t, !pool.HasIdle(start.Add(5*time.Second), "target"))
	assert.Equal(t, pool.takeIdle("target", SoonestFirst).expires.Sub(start), 2*time.Second)
	assert.Equal(t, pool.takeIdle("target", LatestFirst).expires.Sub(start), 5*time.Second)
}

// Targets may state any idle timeout.
func TestStatedIdleTimeoutIsBounded(t *testing.T) {
	for stated, want := range map[string]time.Duration{
		"timeout=5, max=100":           5*time.Second - idleMargin,
		"timeout=-3":                   -idleMargin,
		"timeout=9223372036854775807":  maxIdleTimeout - idleMargin,
		"timeout=99999999999999999999": DefaultIdleTimeout,
		"":                             DefaultIdleTimeout,
	} {
		assert.Equal(t, idleTimeout(http.Header{"Keep-Alive": {stated}}), want, stated)
	}
}
