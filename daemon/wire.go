package daemon

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/wire"
)

// wireServer is the component that serves the wire protocol to other daemons.
type wireServer struct {
	server   *wire.Server
	address  string
	listener net.Listener
}

// Name returns "wire".
func (w *wireServer) Name() string { return "wire" }

// Provision opens the listener.
func (w *wireServer) Provision(*kernel.Kernel) error {
	listener, err := net.Listen("tcp", w.address)
	w.listener = listener
	return errors.Wrap(err, "listen for connections from other daemons")
}

// WriteMetrics writes the number of bytes that the server sent and received.
func (w *wireServer) WriteMetrics(out io.Writer) {
	writeTrafficMetrics(out, "server", w.server.Traffic())
}

// Start starts the worker that accepts connections.
func (w *wireServer) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("wire.accept", func(context.Context) error { return w.server.Serve(w.listener) })
	return nil
}

// Drain refuses new requests and waits until the running ones have finished.
func (w *wireServer) Drain(ctx context.Context) error { return w.server.Drain(ctx) }

// Stop closes all connections.
func (w *wireServer) Stop(context.Context) error { return w.server.Close() }

// wireClient is the component that owns the connections to other daemons. It is the first
// component, so that it starts first and stops last.
type wireClient struct{ client *wire.Client }

// Name returns "wire.client".
func (w *wireClient) Name() string { return "wire.client" }

// Start does nothing: connections are opened on first use.
func (w *wireClient) Start(context.Context, *kernel.Kernel) error { return nil }

// WriteMetrics writes the number of bytes that the client sent and received.
func (w *wireClient) WriteMetrics(out io.Writer) {
	writeTrafficMetrics(out, "client", w.client.Traffic())
}

// Stop closes all connections.
func (w *wireClient) Stop(context.Context) error {
	w.client.Close()
	return nil
}

// writeTrafficMetrics writes the byte counters of one end ("server" or "client") of the
// wire protocol.
func writeTrafficMetrics(out io.Writer, end string, t *wire.Traffic) {
	for class, name := range map[wire.TrafficClass]string{wire.Control: "control", wire.Data: "data"} {
		for direction, count := range map[string]uint64{"sent": t.Sent(class), "received": t.Received(class)} {
			metrics.WriteCounterUint64(out,
				fmt.Sprintf(`endive_wire_bytes_total{end=%q,class=%q,direction=%q}`, end, name, direction), count)
		}
	}
}
