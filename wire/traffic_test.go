package wire

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Both ends count the same bytes of a request and its reply, under the class
// of its method.
func TestTrafficByClass(t *testing.T) {
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
	// The last frames of a call are on their way when it returns.
	deadline := time.Now().Add(10 * time.Second)
	for !sameTraffic(client.Traffic(), server.Traffic()) {
		assert.Assert(t, time.Now().Before(deadline), "the counters of the two ends stay apart")
		time.Sleep(time.Millisecond)
	}
}

func sameTraffic(client, server *Traffic) bool {
	return server.Received(Data) == client.Sent(Data) && server.Sent(Data) == client.Received(Data)
}
