package daemon

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// contactTime is the users' bound for a VM that loses its paths to targets (contactMs).
const contactTime = 4 * time.Second

// newPathSite returns a site of four VMs in two regions with two targets of each service,
// and the functions that stop the VMs; a stopped one drains for at most the given time.
func newPathSite(t *testing.T, drain time.Duration) (b *testSite, stops []func()) {
	b = newTestSite(t)
	for _, domain := range []string{"near-a", "near-a", "near-b", "far-a"} {
		vm := b.site.AddVM(domain)
		b.vms = append(b.vms, vm)
		b.paths[vm] = newTargetPaths()
		stops = append(stops, b.startWithDrain(vm, drain))
	}
	for _, vm := range b.vms {
		b.waitReady(vm)
	}
	for n, domain := range []string{"near-a", "near-b"} {
		b.addTarget(fmt.Sprintf("engine-%d", n), "engine", domain).Set(platformtest.Behaviour{Events: 3, Duration: 5 * time.Millisecond})
		b.addTarget(fmt.Sprintf("app-%d", n), "app", domain)
	}
	return b, stops
}

// sendFor sends requests of each kind to a VM, one after the other, and returns the number
// of those sent after the first pause that were not answered with 200.
func (b *testSite) sendFor(vm *platformtest.VM, worker string, pause, span time.Duration) (sent, failed int) {
	start := time.Now()
	for n := 0; time.Since(start) < span; n++ {
		isCounted := time.Since(start) >= pause
		path := []string{"/read/1", "/order/1", "/draft/1"}[n%3]
		r := b.sendAs(fmt.Sprintf("%s-%s-%d", b.t.Name(), worker, n), request{
			vm: vm, path: path, header: map[string]string{platformtest.HeaderDeadline: "1200"},
		})
		if !isCounted {
			continue
		}
		sent++
		if r.err != nil || r.status != http.StatusOK {
			failed++
		}
	}
	return sent, failed
}

// sendManyFor sends requests to a VM as four callers do at once, as sendFor does.
func (b *testSite) sendManyFor(vm *platformtest.VM, pause, span time.Duration) (sent, failed int) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for worker := range 4 {
		wait.Go(func() {
			s, f := b.sendFor(vm, fmt.Sprintf("worker%d", worker), pause, span)
			mu.Lock()
			defer mu.Unlock()
			sent, failed = sent+s, failed+f
		})
	}
	wait.Wait()
	return sent, failed
}

// Guards against RECOVER: a VM that reaches no target must serve its callers through others.
func TestCallersOfVMWithoutTargetPathsAreServed(t *testing.T) {
	for _, mode := range []pathMode{pathsSilent, pathsReset, pathsRefuse} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			b, _ := newPathSite(t, time.Millisecond)
			vm := b.vms[0]
			_, failed := b.sendFor(vm, "before", 0, 500*time.Millisecond)
			assert.Equal(t, failed, 0)
			b.paths[vm].set(mode)
			sent, failed := b.sendManyFor(vm, contactTime, contactTime+2*time.Second)
			assert.Assert(t, sent > 20, "%d sent", sent)
			assert.Equal(t, failed, 0, "of %d; %s", sent, b.logs.tail(10))
		})
	}
}

// Guards against targets in use elsewhere that are judged by VMs which reach no target.
func TestLossOfPathsTakesNoTargetOutOfUse(t *testing.T) {
	b, _ := newPathSite(t, time.Millisecond)
	var wait sync.WaitGroup
	for n, vm := range b.vms {
		for worker := range 4 {
			wait.Go(func() { b.sendFor(vm, fmt.Sprintf("vm%d-%d", n, worker), 0, 5*time.Second) })
		}
	}
	time.Sleep(time.Second)
	for _, vm := range b.vms[:3] {
		b.paths[vm].set(pathsSilent)
	}
	wait.Wait()
	assert.Equal(t, len(b.logs.lines("target out of use")), 0, "%v", b.logs.lines("target out of use"))
	assert.Equal(t, len(b.logs.lines("target crashed")), 0, "%v", b.logs.lines("target crashed"))
}
