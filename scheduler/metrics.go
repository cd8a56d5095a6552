package scheduler

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/structs"
)

// WriteMetrics writes the scheduler's metrics. Services are the only names
// among the labels.
func (s *Scheduler) WriteMetrics(w io.Writer) {
	if state, ok := s.DumpState().(State); ok {
		state.writeMetrics(w)
	}
	m := s.loop.measures
	m.set.WritePrometheus(w)
	metrics.WriteCounterUint64(w, `endive_slot_changes_total{change="gained"}`, m.gained.Load())
	metrics.WriteCounterUint64(w, `endive_slot_changes_total{change="lost"}`, m.lost.Load())
}

func (state State) writeMetrics(w io.Writer) {
	gauge := func(name string, value int) { metrics.WriteGaugeUint64(w, name, uint64(max(0, value))) }
	counter := func(name string, value int64) { metrics.WriteCounterUint64(w, name, uint64(value)) }
	gauge("endive_slots_owned", len(state.OwnedSlots))
	gauge("endive_programs", state.Counts.Programs)
	gauge("endive_calls", state.Counts.Calls)
	gauge("endive_journal_writes_pending", state.Counts.Writes)
	gauge("endive_scheduler_callers", state.Callers)
	gauge("endive_quarantine_entries", state.QuarantineEntries)
	counter("endive_scheduler_calls_total", state.Calls)
	counter("endive_invariants_violated_total", state.Violations)
	counter("endive_quarantined_total", state.Quarantined)
	counter("endive_released_total", state.Released)
	for id, service := range state.Services {
		service.writeMetrics(w, id)
	}
	writeSlowdowns(w, state.Slowdowns)
}

// writeMetrics sums the targets up: there may be thousands.
func (state ServiceState) writeMetrics(w io.Writer, id structs.ServiceID) {
	var inFlight, limit, down, closed int
	for _, t := range state.Targets {
		inFlight += t.InFlight
		limit += t.Limit
		if t.Down {
			down++
		}
		if t.IsLeaving || t.IsDrained {
			closed++
		}
	}
	for name, value := range map[string]int{
		"endive_queue_depth":      state.Waiting,
		"endive_targets":          len(state.Targets),
		"endive_targets_down":     down,
		"endive_targets_closed":   closed,
		"endive_target_in_flight": inFlight,
		"endive_target_limit":     limit,
	} {
		metrics.WriteGaugeUint64(w, fmt.Sprintf(`%s{service=%q}`, name, id), uint64(max(0, value)))
	}
}

// writeSlowdowns writes the worst and the median client account without their
// names, of a list that is sorted with the worst first.
func writeSlowdowns(w io.Writer, list []AccountSlowdown) {
	metrics.WriteGaugeUint64(w, "endive_accounts_served", uint64(len(list)))
	if len(list) == 0 {
		return
	}
	metrics.WriteGaugeFloat64(w, `endive_account_slowdown{stat="worst"}`, list[0].Slowdown)
	metrics.WriteGaugeFloat64(w, `endive_account_slowdown{stat="median"}`, list[len(list)/2].Slowdown)
}
