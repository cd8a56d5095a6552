package holder

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/quota"
)

var (
	exchanges   = metrics.NewCounter("endive_quota_exchanges_total")
	redirects   = metrics.NewCounter("endive_quota_redirects_total")
	violations  = metrics.NewCounter(`endive_quota_violations_total{at="holder"}`)
	renewed     = metrics.NewCounter(`endive_quota_loans_total{kind="renewed"}`)
	enlarged    = metrics.NewCounter(`endive_quota_loans_total{kind="enlarged"}`)
	denied      = metrics.NewCounter(`endive_quota_loans_total{kind="denied"}`)
	unknownLoan = metrics.NewCounter(`endive_quota_loans_total{kind="unknown"}`)
)

func countGrant(ask quota.LoanRequest, grant quota.Grant) {
	none := quota.Amount{}
	switch {
	case grant.Lost:
		unknownLoan.Inc()
	case grant.Add != none:
		enlarged.Inc()
	case ask.Want != none:
		denied.Inc()
	default:
		renewed.Inc()
	}
}
