package wire

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Both ends must count the same bytes for a request and its reply, under the
// class of the method.
func TestBothEndsCountTrafficByClass(t *testing.T) {
	addr, server := startServer(t, func(s *Server) {
		for _, method := range []string{"quota.echo", "program.echo"} {
			HandleUnary(s, method, func(_ context.Context, in []byte) ([]byte, error) { return in, nil })
		}
	})
	client := NewClient(Options{})
	defer client.Close()
	body := make([]byte, 5000)
	var out []byte
	assert.NilError(t, client.Call(t.Context(), addr, "quota.echo", body, &out))
	assert.Assert(t, client.Traffic().Sent(Control) > 5000)
	assert.Assert(t, client.Traffic().Received(Control) > 5000)
	assert.Equal(t, client.Traffic().Sent(Data), uint64(0))
	assert.NilError(t, client.Call(t.Context(), addr, "program.echo", body, &out))
	assert.NilError(t, client.Call(t.Context(), addr, "program.echo", body, &out))
	sent := client.Traffic().Sent(Data)
	assert.Assert(t, sent > 10000 && sent < 11000, "%d", sent)
	assert.Assert(t, client.Traffic().Received(Data) > 10000)
	// When a call returns, its last frames may not have been counted at both ends.
	deadline := time.Now().Add(10 * time.Second)
	for !equalTraffic(client.Traffic(), server.Traffic()) {
		assert.Assert(t, time.Now().Before(deadline), "the byte counters of client and server stay different")
		time.Sleep(time.Millisecond)
	}
}

func equalTraffic(client, server *Traffic) bool {
	return server.Received(Data) == client.Sent(Data) && server.Sent(Data) == client.Received(Data)
}
