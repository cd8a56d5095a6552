package configwatch

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

// WriteMetrics writes the configuration metrics of a scheduler.
func (s *Scheduler) WriteMetrics(w io.Writer) {
	writeMetrics(w, s.opts.Holder)
	metrics.WriteGaugeUint64(w, "endive_config_in_force", s.inForce())
	metrics.WriteGaugeUint64(w, "endive_config_followers", uint64(len(s.server.followers.versions())))
}

// WriteMetrics writes the configuration metrics of a gateway.
func (g *Gateway) WriteMetrics(w io.Writer) { writeMetrics(w, g.opts.Holder) }

func writeMetrics(w io.Writer, h *config.Holder) {
	metrics.WriteGaugeUint64(w, "endive_config_version", currentVersion(h))
	if age := h.Age(structs.Now()); age < neverConfirmed {
		metrics.WriteGaugeFloat64(w, "endive_config_age_seconds", age.Seconds())
	}
	violations, _ := h.Violations()
	metrics.WriteCounterUint64(w, "endive_config_violations_total", violations)
}
