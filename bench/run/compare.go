package run

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivecourse/endivecourse/bench/workload"
	"github.com/endivecourse/endivecourse/structs"
)

// maxParallelRuns bounds the number of concurrent runs.
const maxParallelRuns = 4

// Row holds the metrics of one set of policies over all seeds. Latencies are pooled,
// slowdowns, shares and rates are means, and counts are sums.
type Row struct {
	Policies string `json:"policies"`
	Metrics
	// MaxWorstToMedian is the largest WorstToMedian of a single seed.
	MaxWorstToMedian float64 `json:"slowdown_worst_of_median_worst_seed"`
	// RecoveryRatio is the mean slowdown of the calls made 30 s to 60 s after the end
	// of the fault, divided by that of the same calls in a run without the fault. It is
	// 0 for a run without a fault.
	RecoveryRatio float64 `json:"recovery_of_calm,omitempty"`
	// FaultRatio is the same ratio for the calls made during the fault.
	FaultRatio float64 `json:"during_fault_of_calm,omitempty"`
}

// Compare runs each set of policies with the same seeds, and again without the fault if
// there is one.
func Compare(ctx context.Context, base Options, policies []Policies, seeds []uint64) ([]Row, error) {
	rows := make([]Row, len(policies))
	for i, p := range policies {
		opts := base
		opts.Policies = p
		all, err := runSeeds(ctx, opts, seeds)
		if err != nil {
			return nil, err
		}
		rows[i] = poolSeeds(opts, all)
		if base.Fault == FaultNone {
			continue
		}
		opts.Fault = FaultNone
		baseline, err := runSeeds(ctx, opts, seeds)
		if err != nil {
			return nil, err
		}
		rows[i].FaultRatio = timelineRatio(all, baseline, base.FaultAt, 0, int(FaultDuration/TimelineStep))
		rows[i].RecoveryRatio = timelineRatio(all, baseline, base.FaultAt, 2*int(FaultDuration/TimelineStep), 3*int(FaultDuration/TimelineStep))
	}
	return rows, nil
}

func runSeeds(ctx context.Context, opts Options, seeds []uint64) ([]Metrics, error) {
	all := make([]Metrics, len(seeds))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelRuns)
	for i, seed := range seeds {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			seedOpts := opts
			seedOpts.Workload.Seed = seed
			var err error
			all[i], err = Run(seedOpts)
			return err
		})
	}
	err := group.Wait()
	return all, err
}

// timelineRatio returns the ratio of the slowdowns of two lists of runs, summed over the
// timeline intervals [from, to) after the start of the fault.
func timelineRatio(faulty, baseline []Metrics, at time.Duration, from, to int) float64 {
	start := int(at / TimelineStep)
	sum := func(all []Metrics) float64 {
		total := 0.0
		for _, m := range all {
			for i := start + from; i < start+to && i < len(m.SlowdownTimeline); i++ {
				total += m.SlowdownTimeline[i]
			}
		}
		return total
	}
	return sum(faulty) / sum(baseline)
}

// poolSeeds combines the metrics of all seeds into one row.
func poolSeeds(opts Options, all []Metrics) Row {
	row := Row{Policies: opts.Policies.String()}
	row.Slowdown = make(map[structs.AccountID]float64)
	n := float64(len(all))
	for _, m := range all {
		row.Programs += m.Programs
		row.Unfinished += m.Unfinished
		row.Refused += m.Refused
		row.Retries += m.Retries
		row.LinkBytes += m.LinkBytes
		row.IdealMean += m.IdealMean / n
		row.RecomputedShare += m.RecomputedShare / n
		row.CallsPerS += m.CallsPerS / n
		row.MaxWorstToMedian = max(row.MaxWorstToMedian, m.WorstToMedian)
		row.Latencies = append(row.Latencies, m.Latencies...)
		for account, value := range m.Slowdown {
			row.Slowdown[account] += value / n
		}
	}
	slices.Sort(row.Latencies)
	row.quantiles()
	row.compareAccounts(opts.Workload)
	return row
}

func (m *Metrics) quantiles() {
	m.Mean = mean(m.Latencies)
	m.P50 = Quantile(m.Latencies, 0.5)
	m.P95 = Quantile(m.Latencies, 0.95)
	m.P99 = Quantile(m.Latencies, 0.99)
}

// compareAccounts computes the worst and the median slowdown of the client accounts and
// their ratio, without the account whose rate surges.
func (m *Metrics) compareAccounts(w workload.Options) {
	var all []float64
	for i, account := range w.Shape.Accounts {
		if value, seen := m.Slowdown[account.ID]; seen && (w.Surge == 0 || i != w.SurgeAccount) {
			all = append(all, value)
		}
	}
	slices.Sort(all)
	if len(all) == 0 {
		return
	}
	m.WorstSlowdown = all[len(all)-1]
	m.MedianSlowdown = Quantile(all, 0.5)
	m.WorstToMedian = m.WorstSlowdown / m.MedianSlowdown
}
