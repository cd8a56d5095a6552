package kernel

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// MetricWriter may be implemented by a Component to export metrics in the
// Prometheus text format. Label values come from fixed sets or from the names
// of services; they never contain accounts, programs, keys or requests.
type MetricWriter interface {
	WriteMetrics(w io.Writer)
}

// WriteMetrics writes the kernel's own metrics and those of the components.
func (k *Kernel) WriteMetrics(w io.Writer) {
	k.mu.Lock()
	depths := make(map[string]RingState, len(k.rings))
	for name, r := range k.rings {
		depths[name] = RingState{Depth: r.Depth(), Cap: r.Cap()}
	}
	workers := 0
	for _, n := range k.workers {
		workers += n
	}
	k.mu.Unlock()
	for name, r := range depths {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`endive_ring_depth{ring=%q}`, name), uint64(r.Depth))
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`endive_ring_capacity{ring=%q}`, name), uint64(r.Cap))
	}
	metrics.WriteGaugeUint64(w, "endive_duties", uint64(workers))
	for _, c := range k.components {
		if m, ok := c.(MetricWriter); ok {
			m.WriteMetrics(w)
		}
	}
}
