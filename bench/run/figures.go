package run

import (
	"math"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Metrics are the results of one run.
type Metrics struct {
	Programs   int     `json:"programs"`   // measured
	Unfinished int     `json:"unfinished"` // counted with the latency that they had reached
	Mean       float64 `json:"mean_s"`     // program latency
	P50        float64 `json:"p50_s"`
	P95        float64 `json:"p95_s"`
	P99        float64 `json:"p99_s"`
	IdealMean  float64 `json:"ideal_mean_s"` // program latency without any waiting
	// RecomputedShare is the share of the prompt tokens that were computed although an
	// engine had computed them before.
	RecomputedShare float64 `json:"wasted_share"`
	// Slowdown is the mean of latency over ideal latency, by account; without
	// the account that surges for Worst and Median.
	Slowdown       map[structs.AccountID]float64 `json:"slowdown"`
	WorstSlowdown  float64                       `json:"slowdown_worst"`
	MedianSlowdown float64                       `json:"slowdown_median"`
	WorstToMedian  float64                       `json:"slowdown_worst_of_median"`
	Refused        int                           `json:"refused"` // by the queue, within the rate
	Retries        int                           `json:"retries"` // of calls that a target did not finish
	LinkBytes      int64                         `json:"link_bytes"`
	CallsPerS      float64                       `json:"calls_per_s"` // finished after the warm-up and before the last arrival
	// SlowdownTimeline is the mean slowdown of calls by the time at which they were
	// made, in intervals of TimelineStep.
	SlowdownTimeline []float64 `json:"call_slowdown_timeline"`
	// Latencies are the program latencies, sorted.
	Latencies []float64 `json:"-"`
}

// TimelineStep is the interval of Figures.Timeline.
const TimelineStep = 10 * time.Second

// measure gathers the figures of a run.
type measure struct {
	programs  []*programRun
	prompt    int64
	wasted    int64
	linkBytes int64
	refused   int64
	retries   int64
	finished  []structs.Instant // of calls
	sums      []float64
	counts    []float64
}

// call records an answered call.
func (m *measure) call(c *callRun, took, ideal time.Duration) {
	bin := int(time.Duration(c.ready) / TimelineStep)
	for len(m.sums) <= bin {
		m.sums = append(m.sums, 0)
		m.counts = append(m.counts, 0)
	}
	m.sums[bin] += float64(took) / float64(ideal)
	m.counts[bin]++
	m.finished = append(m.finished, c.run.sim.line.now)
}

func (s *sim) figures() Metrics {
	f := Metrics{Slowdown: make(map[structs.AccountID]float64), LinkBytes: s.m.linkBytes, Refused: int(s.m.refused), Retries: int(s.m.retries)}
	counts := make(map[structs.AccountID]float64)
	for _, r := range s.m.programs {
		if r.arrived < structs.Instant(s.opts.Warmup) || r.refused {
			continue
		}
		f.Programs++
		ended := r.ended
		if ended == 0 {
			f.Unfinished++
			ended = s.line.now
		}
		latency := ended.Sub(r.arrived)
		ideal := idealProgram(s.opts.Engine, r.program)
		f.IdealMean += ideal.Seconds()
		f.Latencies = append(f.Latencies, latency.Seconds())
		f.Slowdown[r.program.Account] += float64(latency) / float64(ideal)
		counts[r.program.Account]++
	}
	f.IdealMean /= float64(f.Programs)
	for account := range f.Slowdown {
		f.Slowdown[account] /= counts[account]
	}
	slices.Sort(f.Latencies)
	f.quantiles()
	if s.m.prompt > 0 {
		f.RecomputedShare = float64(s.m.wasted) / float64(s.m.prompt)
	}
	f.accounts(s.opts.Workload)
	for i, sum := range s.m.sums {
		f.SlowdownTimeline = append(f.SlowdownTimeline, sum/max(s.m.counts[i], 1))
	}
	f.CallsPerS = s.callRate()
	return f
}

func (s *sim) callRate() float64 {
	from := structs.Instant(s.opts.Warmup)
	to := structs.Instant(s.opts.Workload.Duration)
	count := 0
	for _, at := range s.m.finished {
		if at >= from && at < to {
			count++
		}
	}
	return float64(count) / to.Sub(from).Seconds()
}

func meanOf(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// Quantile returns the q-quantile of sorted values, linearly interpolated.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := q * float64(len(sorted)-1)
	low := int(math.Floor(at))
	high := min(low+1, len(sorted)-1)
	return sorted[low] + (sorted[high]-sorted[low])*(at-float64(low))
}
