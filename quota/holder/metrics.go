package holder

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/quota"
)

var (
	exchangesTotal  = metrics.NewCounter("endive_quota_exchanges_total")
	redirectsTotal  = metrics.NewCounter("endive_quota_redirects_total")
	violationsTotal = metrics.NewCounter(`endive_quota_violations_total{at="holder"}`)
	loansRenewed    = metrics.NewCounter(`endive_quota_loans_total{kind="renewed"}`)
	loansEnlarged   = metrics.NewCounter(`endive_quota_loans_total{kind="enlarged"}`)
	loansDenied     = metrics.NewCounter(`endive_quota_loans_total{kind="denied"}`)
	loansUnknown    = metrics.NewCounter(`endive_quota_loans_total{kind="unknown"}`)
)

func countGrant(req quota.LoanRequest, grant quota.Grant) {
	none := quota.Amount{}
	switch {
	case grant.Lost:
		loansUnknown.Inc()
	case grant.Add != none:
		loansEnlarged.Inc()
	case req.Want != none:
		loansDenied.Inc()
	default:
		loansRenewed.Inc()
	}
}
