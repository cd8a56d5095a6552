package run

import (
	"math"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Metrics holds the results of one run.
type Metrics struct {
	Programs   int     `json:"programs"`   // that arrived after the warm-up and were not refused
	Unfinished int     `json:"unfinished"` // their latency is the time until the end of the run
	Mean       float64 `json:"mean_s"`     // of the program latency, as the three that follow
	P50        float64 `json:"p50_s"`
	P95        float64 `json:"p95_s"`
	P99        float64 `json:"p99_s"`
	IdealMean  float64 `json:"ideal_mean_s"` // mean program latency without queueing and recomputation
	// RecomputedShare is the share of the prompt tokens that an engine computed although
	// the same or another engine had computed them before.
	RecomputedShare float64 `json:"wasted_share"`
	// Slowdown is the mean ratio of latency to ideal latency, by client account.
	// WorstSlowdown and MedianSlowdown leave out the account whose rate surges.
	Slowdown       map[structs.AccountID]float64 `json:"slowdown"`
	WorstSlowdown  float64                       `json:"slowdown_worst"`
	MedianSlowdown float64                       `json:"slowdown_median"`
	WorstToMedian  float64                       `json:"slowdown_worst_of_median"`
	Refused        int                           `json:"refused"` // programs refused because a queue was full
	Retries        int                           `json:"retries"` // of calls that a target did not complete
	LinkBytes      int64                         `json:"link_bytes"`
	CallsPerS      float64                       `json:"calls_per_s"` // calls finished per second between warm-up and last arrival
	// SlowdownTimeline is the mean slowdown of the calls made in each interval of
	// TimelineStep.
	SlowdownTimeline []float64 `json:"call_slowdown_timeline"`
	// Latencies are the program latencies in seconds, in ascending order.
	Latencies []float64 `json:"-"`
}

// TimelineStep is the interval of Metrics.SlowdownTimeline.
const TimelineStep = 10 * time.Second

// collector accumulates the measurements of a run.
type collector struct {
	programs       []*programRun
	promptTokens   int64
	recomputed     int64 // prompt tokens
	linkBytes      int64
	refused        int64
	retries        int64
	finishTimes    []structs.Instant // of calls
	slowdownSums   []float64
	slowdownCounts []float64
}

// call records a call whose response has reached the caller.
func (m *collector) call(c *callRun, took, ideal time.Duration) {
	bin := int(time.Duration(c.ready) / TimelineStep)
	for len(m.slowdownSums) <= bin {
		m.slowdownSums = append(m.slowdownSums, 0)
		m.slowdownCounts = append(m.slowdownCounts, 0)
	}
	m.slowdownSums[bin] += float64(took) / float64(ideal)
	m.slowdownCounts[bin]++
	m.finishTimes = append(m.finishTimes, c.run.sim.loop.now)
}

// collect computes the metrics of the run.
func (s *sim) collect() Metrics {
	m := Metrics{Slowdown: make(map[structs.AccountID]float64), LinkBytes: s.metrics.linkBytes, Refused: int(s.metrics.refused), Retries: int(s.metrics.retries)}
	counts := make(map[structs.AccountID]float64)
	for _, r := range s.metrics.programs {
		if r.arrived < structs.Instant(s.opts.Warmup) || r.refused {
			continue
		}
		m.Programs++
		ended := r.ended
		if ended == 0 {
			m.Unfinished++
			ended = s.loop.now
		}
		latency := ended.Sub(r.arrived)
		ideal := idealProgramTime(s.opts.Engine, r.program)
		m.IdealMean += ideal.Seconds()
		m.Latencies = append(m.Latencies, latency.Seconds())
		m.Slowdown[r.program.Account] += float64(latency) / float64(ideal)
		counts[r.program.Account]++
	}
	m.IdealMean /= float64(m.Programs)
	for account := range m.Slowdown {
		m.Slowdown[account] /= counts[account]
	}
	slices.Sort(m.Latencies)
	m.quantiles()
	if s.metrics.promptTokens > 0 {
		m.RecomputedShare = float64(s.metrics.recomputed) / float64(s.metrics.promptTokens)
	}
	m.compareAccounts(s.opts.Workload)
	for i, sum := range s.metrics.slowdownSums {
		m.SlowdownTimeline = append(m.SlowdownTimeline, sum/max(s.metrics.slowdownCounts[i], 1))
	}
	m.CallsPerS = s.finishedCallRate()
	return m
}

// finishedCallRate returns the number of calls per second that finish after the warm-up and
// before the end of the arrivals.
func (s *sim) finishedCallRate() float64 {
	from := structs.Instant(s.opts.Warmup)
	to := structs.Instant(s.opts.Workload.Duration)
	count := 0
	for _, at := range s.metrics.finishTimes {
		if at >= from && at < to {
			count++
		}
	}
	return float64(count) / to.Sub(from).Seconds()
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

// Quantile returns the q-quantile of values in ascending order, with linear interpolation.
func Quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	at := q * float64(len(sorted)-1)
	low := int(math.Floor(at))
	high := min(low+1, len(sorted)-1)
	return sorted[low] + (sorted[high]-sorted[low])*(at-float64(low))
}
