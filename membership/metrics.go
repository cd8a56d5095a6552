package membership

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/backing"
)

// WriteMetrics writes how old the VM list is and how many VMs it has by state.
func (w *Watcher) WriteMetrics(out io.Writer) {
	view := w.View()
	if view.HasList() {
		metrics.WriteGaugeFloat64(out, "endive_vm_list_age_seconds", w.Age().Seconds())
	}
	count := map[backing.VMState]uint64{backing.VMLive: 0, backing.VMLeaving: 0}
	for _, vm := range view.VMs() {
		if _, known := count[vm.State]; known {
			count[vm.State]++
		}
	}
	for state, n := range count {
		metrics.WriteGaugeUint64(out, fmt.Sprintf(`endive_vms{state=%q}`, state), n)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	metrics.WriteCounterUint64(out, "endive_vm_list_failures_total", w.failures)
}
