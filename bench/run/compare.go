package run

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivecourse/endivecourse/bench/workload"
	"github.com/endivecourse/endivecourse/structs"
)

// parallelRuns bounds the runs that go on at once.
const parallelRuns = 4

// Row is the figures of one choice of policies over all seeds: latencies and
// slowdowns are pooled, shares and rates are means, counts are sums.
type Row struct {
	Policies string `json:"policies"`
	Metrics
	// MaxWorstToMedian is the largest WorstOfMedian of a single seed.
	MaxWorstToMedian float64 `json:"slowdown_worst_of_median_worst_seed"`
	// RecoveryRatio is the mean slowdown of the calls made 30 s to 60 s after the
	// end of the fault over that of the same run without it; 0 without a fault.
	RecoveryRatio float64 `json:"recovery_of_calm,omitempty"`
	// FaultRatio is the same ratio while the fault lasts.
	FaultRatio float64 `json:"during_fault_of_calm,omitempty"`
}

// Compare runs all policies on the same seeds.
func Compare(ctx context.Context, base Options, policies []Policies, seeds []uint64) ([]Row, error) {
	rows := make([]Row, len(policies))
	for i, p := range policies {
		opts := base
		opts.Policies = p
		all, err := runSeeds(ctx, opts, seeds)
		if err != nil {
			return nil, err
		}
		rows[i] = pool(opts, all)
		if base.Fault == FaultNone {
			continue
		}
		opts.Fault = FaultNone
		calm, err := runSeeds(ctx, opts, seeds)
		if err != nil {
			return nil, err
		}
		rows[i].FaultRatio = ratio(all, calm, base.FaultAt, 0, int(FaultDuration/TimelineStep))
		rows[i].RecoveryRatio = ratio(all, calm, base.FaultAt, 2*int(FaultDuration/TimelineStep), 3*int(FaultDuration/TimelineStep))
	}
	return rows, nil
}

func runSeeds(ctx context.Context, opts Options, seeds []uint64) ([]Metrics, error) {
	all := make([]Metrics, len(seeds))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelRuns)
	for i, seed := range seeds {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			own := opts
			own.Workload.Seed = seed
			var err error
			all[i], err = Run(own)
			return err
		})
	}
	err := group.Wait()
	return all, err
}

// ratio compares the timelines of two lists of runs between two intervals
// counted from the begin of the fault.
func ratio(faulty, calm []Metrics, at time.Duration, from, to int) float64 {
	start := int(at / TimelineStep)
	sum := func(all []Metrics) float64 {
		total := 0.0
		for _, f := range all {
			for i := start + from; i < start+to && i < len(f.SlowdownTimeline); i++ {
				total += f.SlowdownTimeline[i]
			}
		}
		return total
	}
	return sum(faulty) / sum(calm)
}

func pool(opts Options, all []Metrics) Row {
	row := Row{Policies: opts.Policies.String()}
	row.Slowdown = make(map[structs.AccountID]float64)
	n := float64(len(all))
	for _, f := range all {
		row.Programs += f.Programs
		row.Unfinished += f.Unfinished
		row.Refused += f.Refused
		row.Retries += f.Retries
		row.LinkBytes += f.LinkBytes
		row.IdealMean += f.IdealMean / n
		row.RecomputedShare += f.RecomputedShare / n
		row.CallsPerS += f.CallsPerS / n
		row.MaxWorstToMedian = max(row.MaxWorstToMedian, f.WorstToMedian)
		row.Latencies = append(row.Latencies, f.Latencies...)
		for account, value := range f.Slowdown {
			row.Slowdown[account] += value / n
		}
	}
	slices.Sort(row.Latencies)
	row.quantiles()
	row.accounts(opts.Workload)
	return row
}

func (f *Metrics) quantiles() {
	f.Mean = meanOf(f.Latencies)
	f.P50 = Quantile(f.Latencies, 0.5)
	f.P95 = Quantile(f.Latencies, 0.95)
	f.P99 = Quantile(f.Latencies, 0.99)
}

// accounts compares the worst-served account with the median one.
func (f *Metrics) accounts(w workload.Options) {
	var all []float64
	for i, account := range w.Shape.Accounts {
		if value, seen := f.Slowdown[account.ID]; seen && (w.Surge == 0 || i != w.SurgeAccount) {
			all = append(all, value)
		}
	}
	slices.Sort(all)
	if len(all) == 0 {
		return
	}
	f.WorstSlowdown = all[len(all)-1]
	f.MedianSlowdown = Quantile(all, 0.5)
	f.WorstToMedian = f.WorstSlowdown / f.MedianSlowdown
}
