package daemon

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// sendSteadily sends safe requests to all VMs in turn, one each period, for a time, and
// returns the responses and how long each took.
func sendSteadily(b *testSite, period, duration time.Duration) (responses []response, took []time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range int(duration / period) {
		wg.Go(func() {
			sentAt := time.Now()
			got := b.sendAs("rate-"+strconv.Itoa(int(sentAt.UnixNano())), request{vm: b.vms[n%len(b.vms)], method: http.MethodGet, path: "/read/1"})
			mu.Lock()
			defer mu.Unlock()
			responses = append(responses, got)
			took = append(took, time.Since(sentAt))
		})
		time.Sleep(period)
	}
	wg.Wait()
	return responses, took
}

// mostRunsIn returns the largest number of runs of a target that began within a time after
// an instant.
func mostRunsIn(target *platformtest.Target, after time.Time, within time.Duration) int {
	runs, most := target.Runs(), 0
	for i, first := range runs {
		n := 0
		for _, run := range runs[i:] {
			if run.StartedAt.Before(first.StartedAt.Add(within)) {
				n++
			}
		}
		if first.StartedAt.After(after) {
			most = max(most, n)
		}
	}
	return most
}

func TestNamedRateBindsAllVMsTogether(t *testing.T) {
	b := newTestSite(t, "near-a", "near-a", "near-b", "far-a")
	limited, other := b.addTarget("app-1", "app", "near-a"), b.addTarget("app-2", "app", "near-b")
	const rate = 5
	limited.Set(platformtest.Behaviour{NamedRate: strconv.Itoa(rate)})
	startedAt := time.Now()
	responses, _ := sendSteadily(b, 10*time.Millisecond, 6*time.Second)
	for _, got := range responses {
		assert.Equal(t, got.status, 200)
	}
	allowed := 4*rate*3/2 + 5
	most := mostRunsIn(limited, startedAt.Add(500*time.Millisecond), 4*time.Second)
	assert.Assert(t, most <= allowed, "%d requests in 4 s, %d are allowed", most, allowed)
	assert.Assert(t, len(limited.Runs()) >= 4*rate*3/4, "%d requests in 6 s at a rate of %d/s", len(limited.Runs()), rate)

	limited.Set(platformtest.Behaviour{})
	other.Set(platformtest.Behaviour{IsFull: true})
	time.Sleep(500 * time.Millisecond)
	before := len(limited.Runs())
	sendSteadily(b, 10*time.Millisecond, 2*time.Second)
	assert.Assert(t, len(limited.Runs())-before > 10*rate, "limited after the target ceased to name a rate: %d requests in 2 s", len(limited.Runs())-before)
}

func TestRequestsBeyondNamedRatesAreRefusedAtOnceAndTruthfully(t *testing.T) {
	b := newTestSite(t, "near-a", "near-a", "near-b")
	only := b.addTarget("app-1", "app", "near-a")
	const rate = 2
	only.Set(platformtest.Behaviour{NamedRate: strconv.Itoa(rate)})
	sendSteadily(b, 100*time.Millisecond, time.Second)
	before := len(only.Runs())
	responses, took := sendSteadily(b, 20*time.Millisecond, 4*time.Second)
	served, atOnce := 0, 0
	for i, got := range responses {
		if got.status == 200 {
			served++
			continue
		}
		assert.Equal(t, got.status, 503)
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		if took[i] < 300*time.Millisecond {
			atOnce++
			expected := took[i].Seconds() + wait // from the request's arrival
			assert.Assert(t, expected >= 1, "a slot is expected no sooner than the time that the request could wait, told %.2f s after %s", wait, took[i])
		}
	}
	assert.Equal(t, len(only.Runs())-before, served, "refused requests have not run")
	refused := len(responses) - served
	assert.Assert(t, atOnce >= refused*9/10, "%d of %d refusals came at once", atOnce, refused)
	assert.Assert(t, served <= 4*rate*3/2+5, "%d served in 4 s at a rate of %d/s", served, rate)
	assert.Assert(t, served >= 4*rate/2, "%d served in 4 s at a rate of %d/s", served, rate)
}
