// Package load puts programs on a running gateway at a fixed rate, however
// slowly they are answered, and measures what their callers see.
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

// Options say what load to put on.
type Options struct {
	Client        *caller.Client
	Rate          float64 // programs per second
	Duration      time.Duration
	Program       string // kind of program
	Service       structs.ServiceID
	Calls         int // model calls per program
	ChecksHistory bool
	// MaxRunning bounds the programs under way; above it programs are not started
	// but counted.
	MaxRunning int
}

// Report is what was seen.
type Report struct {
	Programs   int            `json:"programs"` // that ended whole
	NotStarted int            `json:"not_started"`
	Mean       float64        `json:"mean_ms"` // program latency
	P50        float64        `json:"p50_ms"`
	P95        float64        `json:"p95_ms"`
	P99        float64        `json:"p99_ms"`
	CallP50    float64        `json:"call_p50_ms"`
	CallP99    float64        `json:"call_p99_ms"`
	Errors     map[string]int `json:"errors"` // by kind
}

// HistoryMismatchError says that a streamed answer is not the one in the program's
// history.
type HistoryMismatchError struct {
	Program structs.ProgramID
	Call    uint64
}

// Error names the call.
func (e *HistoryMismatchError) Error() string {
	return fmt.Sprintf("answer to call %d of program %s is not the recorded one", e.Call, e.Program)
}

const (
	leastLatency = 1                      // microseconds
	mostLatency  = int64(time.Hour / 1e3) // microseconds
	digits       = 3                      // significant ones of a histogram
)

// generator is one run of the load.
type generator struct {
	opts     Options
	mu       sync.Mutex
	programs *hdrhistogram.Histogram // microseconds
	calls    *hdrhistogram.Histogram
	errors   map[string]int
}

// Run puts the load on and returns when the last program has ended.
func Run(ctx context.Context, opts Options) Report {
	g := &generator{
		opts:     opts,
		programs: hdrhistogram.New(leastLatency, mostLatency, digits),
		calls:    hdrhistogram.New(leastLatency, mostLatency, digits),
		errors:   make(map[string]int),
	}
	notStarted := g.arrivals(ctx)
	return g.report(notStarted)
}

// arrivals starts programs at the rate and returns how many it left out.
func (g *generator) arrivals(ctx context.Context) int {
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, g.opts.MaxRunning)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / g.opts.Rate))
	defer ticker.Stop()
	end := time.After(g.opts.Duration)
	left := 0
	for {
		select {
		case <-ctx.Done():
			return left
		case <-end:
			return left
		case <-ticker.C:
		}
		select {
		case slots <- struct{}{}:
			running.Go(func() {
				defer func() { <-slots }()
				g.program(ctx)
			})
		default:
			left++
		}
	}
}

func (g *generator) program(ctx context.Context) {
	began := time.Now()
	if err := g.runProgram(ctx); err != nil {
		g.fail(err)
		return
	}
	g.record(g.programs, time.Since(began))
}

func (g *generator) runProgram(ctx context.Context) error {
	info, err := g.opts.Client.Create(ctx, caller.NewProgram{Program: g.opts.Program})
	if err != nil {
		return err
	}
	var answers []string
	for number := uint64(1); number <= uint64(g.opts.Calls); number++ {
		text, err := g.call(ctx, info.ID, number)
		if err != nil {
			return err
		}
		answers = append(answers, text)
	}
	if g.opts.ChecksHistory {
		if err := g.check(ctx, info.ID, answers); err != nil {
			return err
		}
	}
	_, err = g.opts.Client.End(ctx, info.ID)
	return err
}

func (g *generator) call(ctx context.Context, id structs.ProgramID, number uint64) (string, error) {
	began := time.Now()
	answer, err := g.opts.Client.Model(ctx, id, caller.ModelCall{
		Call: number, Service: g.opts.Service,
		Messages: []structs.Message{{Role: "user", Content: fmt.Sprintf("Call %d of program %s.", number, id)}},
	}, nil)
	if err == nil {
		g.record(g.calls, time.Since(began))
	}
	return answer.Text, err
}

// check compares the streamed answers with those of the program's history.
func (g *generator) check(ctx context.Context, id structs.ProgramID, answers []string) error {
	history, err := g.opts.Client.History(ctx, id)
	if err != nil {
		return err
	}
	for i, answer := range answers {
		if i >= len(history.Turns) || !ends(history.Turns[i], answer) {
			return &HistoryMismatchError{Program: id, Call: uint64(i + 1)}
		}
	}
	return nil
}

func ends(turn structs.Turn, answer string) bool {
	n := len(turn.Messages)
	return n > 0 && strings.TrimSpace(turn.Messages[n-1].Content) == strings.TrimSpace(answer)
}

func (g *generator) record(h *hdrhistogram.Histogram, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = h.RecordValue(min(max(took.Microseconds(), leastLatency), mostLatency))
}

func (g *generator) fail(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.errors[kindOf(err)]++
}

// kindOf names an error: the kind of a refusal with whether the call ran, else
// the kind of failure.
func kindOf(err error) string {
	var refused *caller.RefusedError
	var cut *caller.IncompleteResponseError
	var wrong *HistoryMismatchError
	switch {
	case errors.As(err, &refused):
		return fmt.Sprintf("%s (run: %s)", refused.Kind, refused.Run)
	case errors.As(err, &cut):
		return "cut"
	case errors.As(err, &wrong):
		return "wrong answer"
	case errors.Is(err, context.Canceled):
		return "canceled"
	}
	return "connection"
}

func (g *generator) report(notStarted int) Report {
	const perMS = 1e3
	at := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / perMS }
	return Report{
		Programs: int(g.programs.TotalCount()), NotStarted: notStarted, Mean: g.programs.Mean() / perMS,
		P50: at(g.programs, 50), P95: at(g.programs, 95), P99: at(g.programs, 99),
		CallP50: at(g.calls, 50), CallP99: at(g.calls, 99), Errors: g.errors,
	}
}
