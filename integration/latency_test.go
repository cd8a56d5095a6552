package integration

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/caller"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	latencyRate     = 100 // calls per second at each gateway
	latencyPrograms = 64  // at each gateway, each with one call at a time
	latencySeconds  = 10
	settleTime      = 5 * time.Second // the first loan duration of the quota holders
	latencyAccount  = structs.AccountID("court-wardens")
	// clockTick is the number of clock ticks per second, the unit of CPU times in
	// /proc.
	clockTick = 100
)

// load generates calls at a fixed rate at each gateway, as an open loop.
type load struct {
	mu    sync.Mutex
	calls *hdrhistogram.Histogram // microseconds
	delay *hdrhistogram.Histogram // from the due time of a call to its start, microseconds
	fails int
}

// BenchmarkAddedLatency measures the latency of calls whose targets respond at
// once: 100 per second at each of nine gateways, through gatewayd, schedulerd and
// the journal on three VMs. The latency includes that of the stand-ins.
func BenchmarkAddedLatency(b *testing.B) {
	for b.Loop() {
		f := startFleet(b, fleetOptions{name: "accra", document: raiseLimits})
		time.Sleep(settleTime)
		l := &load{calls: hdrhistogram.New(1, 60e6, 3), delay: hdrhistogram.New(1, 60e6, 3)}
		before := f.processorTime()
		l.run(f)
		spent := f.processorTime() - before
		b.ReportMetric(float64(l.calls.ValueAtQuantile(50))/1000, "p50-ms")
		b.ReportMetric(float64(l.calls.ValueAtQuantile(99))/1000, "p99-ms")
		b.ReportMetric(float64(l.delay.ValueAtQuantile(99))/1000, "loop-p99-ms")
		b.ReportMetric(float64(l.calls.TotalCount())/spent.Seconds(), "calls/core-s")
		b.ReportMetric(float64(l.fails), "failed")
		f.stop()
	}
}

// raiseLimits raises the account's rate and burst so that they don't limit the
// calls.
func raiseLimits(document *config.Document) {
	account := document.Accounts[latencyAccount]
	account.Rate, account.Burst = 1e5, 1e5
	document.Accounts[latencyAccount] = account
}

func (l *load) run(f *fleet) {
	var group sync.WaitGroup
	for _, gateway := range f.gateways {
		client := caller.New("http://"+gateway.settings.Listen.Callers, f.keys[latencyAccount], &http.Client{
			Transport: &http.Transport{MaxIdleConnsPerHost: latencyPrograms},
		})
		idle := make(chan structs.ProgramID, latencyPrograms)
		for range latencyPrograms {
			f.retry("create", func(ctx context.Context) error {
				info, err := client.Create(ctx, caller.NewProgram{Program: "rake-agent"})
				if err == nil {
					idle <- info.ID
				}
				return err
			})
		}
		group.Go(func() { l.loop(f.t.Context(), client, idle) })
	}
	group.Wait()
}

// loop starts a call at each tick, on a program that has no call in progress.
func (l *load) loop(ctx context.Context, client *caller.Client, idle chan structs.ProgramID) {
	var group sync.WaitGroup
	began := time.Now()
	for i := range latencyRate * latencySeconds {
		due := began.Add(time.Duration(i) * time.Second / latencyRate)
		time.Sleep(time.Until(due))
		id := <-idle
		l.record(l.delay, time.Since(due))
		group.Go(func() {
			l.call(ctx, client, id, due)
			idle <- id
		})
	}
	group.Wait()
}

func (l *load) call(ctx context.Context, client *caller.Client, id structs.ProgramID, due time.Time) {
	_, err := client.Plain(ctx, id, caller.PlainCall{
		Service: "courts-app",
		Request: caller.PlainRequest{Method: http.MethodGet, Path: "/courts/7"},
	})
	if err != nil {
		l.mu.Lock()
		l.fails++
		l.mu.Unlock()
		return
	}
	l.record(l.calls, time.Since(due))
}

func (l *load) record(h *hdrhistogram.Histogram, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = h.RecordValue(max(1, took.Microseconds())) // the call's timeout keeps it in range
}

// processorTime returns the CPU time that the daemons have used.
func (f *fleet) processorTime() time.Duration {
	ticks := 0
	for _, d := range append(f.schedulers, f.gateways...) {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.cmd.Process.Pid))
		assert.NilError(f.t, err)
		fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
		for _, field := range fields[11:13] { // utime and stime
			n, err := strconv.Atoi(field)
			assert.NilError(f.t, err)
			ticks += n
		}
	}
	return time.Duration(ticks) * time.Second / clockTick
}
