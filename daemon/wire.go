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

// wireServer is the component that serves the protocol between daemons.
type wireServer struct {
	server   *wire.Server
	address  string
	listener net.Listener
}

// Name returns "wire".
func (w *wireServer) Name() string { return "wire" }

// Provision opens the address.
func (w *wireServer) Provision(*kernel.Kernel) error {
	listener, err := net.Listen("tcp", w.address)
	w.listener = listener
	return errors.Wrap(err, "listen for daemons")
}

// WriteMetrics writes the bytes of the server's frames.
func (w *wireServer) WriteMetrics(out io.Writer) { writeTraffic(out, "server", w.server.Traffic()) }

// Start starts the duty that accepts connections.
func (w *wireServer) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("wire.accept", func(context.Context) error { return w.server.Serve(w.listener) })
	return nil
}

// Drain refuses new requests and waits for the running ones.
func (w *wireServer) Drain(ctx context.Context) error { return w.server.Drain(ctx) }

// Stop closes all connections.
func (w *wireServer) Stop(context.Context) error { return w.server.Close() }

// wireClient is the component that owns the connections to other daemons. It
// starts first, so that it is stopped last.
type wireClient struct{ client *wire.Client }

// Name returns "wire.client".
func (w *wireClient) Name() string { return "wire.client" }

// Start does nothing: connections open when they are needed.
func (w *wireClient) Start(context.Context, *kernel.Kernel) error { return nil }

// WriteMetrics writes the bytes of the client's frames.
func (w *wireClient) WriteMetrics(out io.Writer) { writeTraffic(out, "client", w.client.Traffic()) }

// Stop closes the connections.
func (w *wireClient) Stop(context.Context) error {
	w.client.Close()
	return nil
}

// writeTraffic writes the counters of one end of the protocol between daemons.
func writeTraffic(out io.Writer, end string, t *wire.Traffic) {
	for class, name := range map[wire.TrafficClass]string{wire.Control: "control", wire.Data: "data"} {
		for direction, count := range map[string]uint64{"sent": t.Sent(class), "received": t.Received(class)} {
			metrics.WriteCounterUint64(out,
				fmt.Sprintf(`endive_wire_bytes_total{end=%q,class=%q,direction=%q}`, end, name, direction), count)
		}
	}
}
