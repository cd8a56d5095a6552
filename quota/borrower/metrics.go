package borrower

import "github.com/VictoriaMetrics/metrics"

var (
	admittedTotal        = metrics.NewCounter("endive_quota_admitted_total")
	refusedTotal         = metrics.NewCounter("endive_quota_refused_total")
	messagesTotal        = metrics.NewCounter("endive_quota_messages_total")
	messagesFailedTotal  = metrics.NewCounter("endive_quota_messages_failed_total")
	messagesDroppedTotal = metrics.NewCounter("endive_quota_messages_dropped_total")
	violationsTotal      = metrics.NewCounter(`endive_quota_violations_total{at="borrower"}`)
)
