package daemon

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// continued is the input that all turns of these tests have.
const continued = "continue"

// sendUntilServed sends a request as callers do, to each VM in turn and after the time that a
// refusal states, until it is served or a time is over. It returns how long that took.
func (b *testSite) sendUntilServed(c request, within time.Duration) (time.Duration, bool) {
	start := time.Now()
	for n := 0; time.Since(start) < within; n++ {
		c.vm = b.vms[n%len(b.vms)]
		got := b.send(c)
		if got.status == http.StatusOK {
			return time.Since(start), true
		}
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if err != nil {
			seconds = 0.1
		}
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), time.Second))
	}
	return time.Since(start), false
}

// crashRunning ends the targets while each runs a request with the same content, sent through
// the VMs in turn.
func (b *testSite) crashRunning(path string, targets []*platformtest.Target) {
	b.t.Helper()
	var sent sync.WaitGroup
	defer sent.Wait()
	for n, target := range targets {
		for range 4 * len(targets) { // until one of them runs at this target
			if target.Running() > 0 {
				break
			}
			sent.Go(func() {
				b.sendAs(fmt.Sprintf("crashing-%d-%d", n, time.Now().UnixNano()), request{vm: b.vms[n%len(b.vms)], path: path, body: continued})
			})
			time.Sleep(30 * time.Millisecond)
		}
		assert.Assert(b.t, target.Running() > 0, "target %d runs nothing", n)
		target.Close()
		time.Sleep(300 * time.Millisecond)
	}
}

// Guards against LOST: a request that targets ran which crashed for reasons of their own must
// be served again within seconds, at every VM, whether other requests with its content were
// answered or not.
func TestHarmlessRequestIsServedAfterCrashes(t *testing.T) {
	for _, c := range []struct {
		name, path string
		isAnswered bool // before the crashes
	}{{"turns, answered before", "/chat/1", true}, {"turns, never answered", "/chat/1", false}, {"orders, never answered", orderPath, false}} {
		t.Run(c.name, func(t *testing.T) {
			b := newTestSite(t, "near-a", "near-b", "far-a")
			service := map[string]string{"/chat/1": "engine", orderPath: "app"}[c.path]
			var crashing []*platformtest.Target
			for n := range 4 {
				target := platformtest.NewTarget(fmt.Sprintf("crashing-%d", n), service, service == "engine")
				target.Set(platformtest.Behaviour{Events: 3, Duration: time.Minute}) // crashes before it answers
				t.Cleanup(target.Close)
				crashing = append(crashing, target)
			}
			sound := b.addTarget("sound", service, "near-a")
			if c.isAnswered {
				for _, vm := range b.vms {
					assert.Equal(t, b.send(request{vm: vm, path: c.path, body: continued}).status, http.StatusOK)
				}
			}
			sound.Set(platformtest.Behaviour{IsFull: true})
			for _, target := range crashing {
				b.site.ListTarget(target, "near-a")
			}
			b.waitUntil("targets listed", func() bool { return len(b.logs.lines(`"target listed"`, "crashing-")) >= 4*len(b.vms) })
			b.crashRunning(c.path, crashing)
			if !c.isAnswered {
				b.waitUntil("refused by all VMs", func() bool {
					refused := 0
					for _, vm := range b.vms {
						got := b.send(request{vm: vm, path: c.path, body: continued})
						if got.status == http.StatusServiceUnavailable && strings.Contains(got.body, "crashed") {
							refused++
						}
					}
					return refused == len(b.vms)
				})
			}
			sound.Set(platformtest.Behaviour{Events: 3})
			took, isServed := b.sendUntilServed(request{path: c.path, body: continued}, 12*time.Second)
			assert.Assert(t, isServed, "not served within %s\n%s", took, b.logs.tail(20))
			time.Sleep(1500 * time.Millisecond) // the news reaches the other VMs
			for n, vm := range b.vms {
				got := b.send(request{vm: vm, path: c.path, body: continued})
				assert.Equal(t, got.status, http.StatusOK, "VM %d: %s", n, got.body)
			}
		})
	}
}

// Guards against BUDGET: a request that crashes each target that runs it must not reach more
// than three targets after those that put it into quarantine, at all VMs together.
func TestCrashingRequestReachesFewTargets(t *testing.T) {
	b := newTestSite(t, "near-a", "near-b", "far-a")
	var targets []*platformtest.Target
	for n := range 14 {
		target := b.addTarget(fmt.Sprintf("engine-%d", n), "engine", "near-a")
		target.Set(platformtest.Behaviour{Events: 3, CrashText: "poison"})
		targets = append(targets, target)
	}
	runs := func() (poisoned int) {
		for _, target := range targets {
			for _, run := range target.Runs() {
				if run.Body == "poison" {
					poisoned++
				}
			}
		}
		return poisoned
	}
	var served atomic.Int64
	start := time.Now()
	for n := 0; time.Since(start) < 16*time.Second; n++ {
		vm := b.vms[n%len(b.vms)]
		if b.send(request{vm: vm, path: "/chat/1", body: "poison"}).status == http.StatusOK {
			served.Add(1)
		}
		harmless := b.send(request{vm: vm, path: "/chat/1", body: "harmless"})
		assert.Equal(t, harmless.status, http.StatusOK, "%s after %s, %d runs\n%s", harmless.body, time.Since(start), runs(), b.logs.tail(30))
		time.Sleep(150 * time.Millisecond)
	}
	assert.Equal(t, served.Load(), int64(0))
	crashed := runs()
	t.Logf("%d targets crashed", crashed)
	assert.Assert(t, crashed <= quarantineAfter+3, "%d targets crashed", crashed)
}

// quarantineAfter is the number of crashes that put a request into quarantine; one more may
// happen before the other VMs hear of the last one.
const quarantineAfter = 3 + 1
