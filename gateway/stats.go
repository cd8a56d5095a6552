package gateway

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/structs"
)

// routeClass groups the paths of the callers' interface for metrics and logs.
type routeClass string

const (
	classPrograms routeClass = "programs"
	classCalls    routeClass = "calls"
	classChat     routeClass = "chat"
	classServices routeClass = "services"
	classOther    routeClass = "other"
)

const (
	outcomeOK    = "ok"
	outcomeOther = "other"
)

// knownOutcomes are the values of the metric label kind. Others are counted as "other",
// which limits the number of time series.
var knownOutcomes = map[string]bool{outcomeOK: true}

func init() {
	for _, kind := range []structs.RefusalKind{
		structs.RefusedBadRequest, structs.RefusedUnauthorized, structs.RefusedForbidden,
		structs.RefusedNotFound, structs.RefusedConflict, structs.RefusedTooLarge,
		structs.RefusedOutOfOrder, structs.RefusedProgramEnded, structs.RefusedOverBudget,
		structs.RefusedOverRate, structs.RefusedQueueFull, structs.RefusedTailFull,
		structs.RefusedNotReady, structs.RefusedNoTarget, structs.RefusedTargetFailed,
		structs.RefusedTimeout, structs.RefusedQuarantined, structs.RefusedStaleConfig,
		structs.RefusedAnswerIncomplete, structs.RefusedOutcomeUnknown, structs.RefusedInvariant,
	} {
		knownOutcomes[string(kind)] = true
	}
}

// stats records the gateway's request metrics.
type stats struct{ set *metrics.Set }

// WriteMetrics writes the gateway's metrics in Prometheus format.
func (g *Gateway) WriteMetrics(w io.Writer) {
	g.opts.Metrics.WritePrometheus(w)
	metrics.WriteGaugeUint64(w, "endive_gateway_in_flight", uint64(max(0, g.inFlight.Load())))
	metrics.WriteGaugeUint64(w, "endive_gateway_open_in_flight", uint64(max(0, g.openInFlight.Load())))
	metrics.WriteGaugeUint64(w, "endive_gateway_config_stale", boolGauge(g.isConfigStale()))
}

func boolGauge(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

func newStats(set *metrics.Set) *stats { return &stats{set: set} }

func (s *stats) recordRequest(class routeClass, kind string, took time.Duration) {
	if !knownOutcomes[kind] {
		kind = outcomeOther
	}
	s.set.GetOrCreateCounter(fmt.Sprintf(`endive_gateway_requests_total{class=%q,kind=%q}`, class, kind)).Inc()
	s.set.GetOrCreateHistogram(fmt.Sprintf(`endive_gateway_request_seconds{class=%q}`, class)).Update(took.Seconds())
	if kind != outcomeOK {
		s.set.GetOrCreateCounter(fmt.Sprintf(`endive_gateway_refusals_total{kind=%q}`, kind)).Inc()
	}
}
