// Package load starts programs on a running gateway at a fixed rate, independent of how
// fast the gateway responds (open loop), and measures latencies and errors as a client
// sees them.
package load

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/caller"
	"github.com/endivecourse/endivecourse/structs"
)

// Options configure the load.
type Options struct {
	Client        *caller.Client
	Rate          float64 // programs per second
	Duration      time.Duration
	Program       string // kind of program
	Service       structs.ServiceID
	Calls         int  // model calls per program
	ChecksHistory bool // compare each response with the program's history
	// MaxRunning bounds the number of concurrent programs. Programs above it are not
	// started and are counted in Report.NotStarted.
	MaxRunning int
}

// Report holds the results of a run.
type Report struct {
	Programs   int            `json:"programs"` // that completed without an error
	NotStarted int            `json:"not_started"`
	Mean       float64        `json:"mean_ms"` // of the program latency, as the three that follow
	P50        float64        `json:"p50_ms"`
	P95        float64        `json:"p95_ms"`
	P99        float64        `json:"p99_ms"`
	CallP50    float64        `json:"call_p50_ms"`
	CallP99    float64        `json:"call_p99_ms"`
	Errors     map[string]int `json:"errors"` // count by kind
}

// HistoryMismatchError reports that a streamed response differs from the one in the
// program's history.
type HistoryMismatchError struct {
	Program structs.ProgramID
	Call    uint64
}

// Error returns a message that names the call and the program.
func (e *HistoryMismatchError) Error() string {
	return fmt.Sprintf("response to call %d of program %s differs from the program's history", e.Call, e.Program)
}

const (
	minLatency        = 1                      // microseconds
	maxLatency        = int64(time.Hour / 1e3) // microseconds
	significantDigits = 3                      // precision of the histograms
)

// generator starts the programs of one run and records their latencies and errors.
type generator struct {
	opts     Options
	mu       sync.Mutex
	programs *hdrhistogram.Histogram // microseconds
	calls    *hdrhistogram.Histogram // microseconds
	errors   map[string]int
}

// Run generates the load and returns after the last program has ended.
func Run(ctx context.Context, opts Options) Report {
	g := &generator{
		opts:     opts,
		programs: hdrhistogram.New(minLatency, maxLatency, significantDigits),
		calls:    hdrhistogram.New(minLatency, maxLatency, significantDigits),
		errors:   make(map[string]int),
	}
	notStarted := g.startPrograms(ctx)
	return g.report(notStarted)
}

// startPrograms starts programs at the configured rate, waits until they have ended, and
// returns how many it did not start because MaxRunning were running.
func (g *generator) startPrograms(ctx context.Context) int {
	var wg sync.WaitGroup
	defer wg.Wait()
	running := make(chan struct{}, g.opts.MaxRunning)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / g.opts.Rate))
	defer ticker.Stop()
	end := time.After(g.opts.Duration)
	notStarted := 0
	for {
		select {
		case <-ctx.Done():
			return notStarted
		case <-end:
			return notStarted
		case <-ticker.C:
		}
		select {
		case running <- struct{}{}:
			wg.Go(func() {
				defer func() { <-running }()
				g.measureProgram(ctx)
			})
		default:
			notStarted++
		}
	}
}

func (g *generator) measureProgram(ctx context.Context) {
	start := time.Now()
	if err := g.runProgram(ctx); err != nil {
		g.recordError(err)
		return
	}
	g.recordLatency(g.programs, time.Since(start))
}

func (g *generator) runProgram(ctx context.Context) error {
	info, err := g.opts.Client.Create(ctx, caller.NewProgram{Program: g.opts.Program})
	if err != nil {
		return err
	}
	var responses []string
	for number := uint64(1); number <= uint64(g.opts.Calls); number++ {
		text, err := g.sendCall(ctx, info.ID, number)
		if err != nil {
			return err
		}
		responses = append(responses, text)
	}
	if g.opts.ChecksHistory {
		if err := g.checkHistory(ctx, info.ID, responses); err != nil {
			return err
		}
	}
	_, err = g.opts.Client.End(ctx, info.ID)
	return err
}

func (g *generator) sendCall(ctx context.Context, id structs.ProgramID, number uint64) (string, error) {
	start := time.Now()
	response, err := g.opts.Client.Model(ctx, id, caller.ModelCall{
		Call: number, Service: g.opts.Service,
		Messages: []structs.Message{{Role: "user", Content: fmt.Sprintf("Call %d of program %s.", number, id)}},
	}, nil)
	if err == nil {
		g.recordLatency(g.calls, time.Since(start))
	}
	return response.Text, err
}

// checkHistory compares the streamed responses with those in the program's history.
func (g *generator) checkHistory(ctx context.Context, id structs.ProgramID, responses []string) error {
	history, err := g.opts.Client.History(ctx, id)
	if err != nil {
		return err
	}
	for i, response := range responses {
		if i >= len(history.Turns) || !endsWith(history.Turns[i], response) {
			return &HistoryMismatchError{Program: id, Call: uint64(i + 1)}
		}
	}
	return nil
}

// endsWith reports whether the last message of the turn is the response, apart from
// surrounding white space.
func endsWith(turn structs.Turn, response string) bool {
	n := len(turn.Messages)
	return n > 0 && strings.TrimSpace(turn.Messages[n-1].Content) == strings.TrimSpace(response)
}

func (g *generator) recordLatency(h *hdrhistogram.Histogram, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = h.RecordValue(min(max(took.Microseconds(), minLatency), maxLatency))
}

func (g *generator) recordError(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.errors[errorKind(err)]++
}

// errorKind returns the key under which an error is counted: for a refusal its kind and
// whether the call ran, otherwise the kind of failure.
func errorKind(err error) string {
	var refused *caller.RefusedError
	var incomplete *caller.IncompleteResponseError
	var mismatch *HistoryMismatchError
	switch {
	case errors.As(err, &refused):
		return fmt.Sprintf("%s (run: %s)", refused.Kind, refused.Run)
	case errors.As(err, &incomplete):
		return "cut"
	case errors.As(err, &mismatch):
		return "wrong answer"
	case errors.Is(err, context.Canceled):
		return "canceled"
	}
	return "connection"
}

func (g *generator) report(notStarted int) Report {
	const perMS = 1e3
	quantile := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / perMS }
	return Report{
		Programs: int(g.programs.TotalCount()), NotStarted: notStarted, Mean: g.programs.Mean() / perMS,
		P50: quantile(g.programs, 50), P95: quantile(g.programs, 95), P99: quantile(g.programs, 99),
		CallP50: quantile(g.calls, 50), CallP99: quantile(g.calls, 99), Errors: g.errors,
	}
}
