package borrower

import "github.com/VictoriaMetrics/metrics"

var (
	admitted   = metrics.NewCounter("endive_quota_admitted_total")
	refused    = metrics.NewCounter("endive_quota_refused_total")
	sent       = metrics.NewCounter("endive_quota_messages_total")
	failed     = metrics.NewCounter("endive_quota_messages_failed_total")
	dropped    = metrics.NewCounter("endive_quota_messages_dropped_total")
	violations = metrics.NewCounter(`endive_quota_violations_total{at="borrower"}`)
)
