package integration

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/internal/standin/plain"
	standin "github.com/endivecourse/endivecourse/internal/standin/platform"
)

const (
	minFault = time.Second
	maxFault = 4 * time.Second
	// lostResponses is how many responses of a platform service one fault drops.
	lostResponses  = 4
	failedReleases = 5
)

// injector injects random faults and ends each after a random time.
type injector struct {
	f      *fleet
	random *rand.Rand
	counts map[string]int
}

// fault is a kind of fault. begin starts it at a VM, or at a random target, and
// returns the function that ends it, or nil if it needs none.
type fault struct {
	name  string
	begin func(vm int) (heal func())
}

func (i *injector) faults() []fault {
	return []fault{
		{"kill scheduler", func(vm int) func() { return i.kill(i.f.schedulers[vm]) }},
		{"kill gateway", func(vm int) func() { return i.kill(i.f.gateways[vm]) }},
		{"pause scheduler", func(vm int) func() { return i.pause(i.f.schedulers[vm]) }},
		{"pause gateway", func(vm int) func() { return i.pause(i.f.gateways[vm]) }},
		{"cut scheduler", func(vm int) func() { return i.cut(i.f.links[i.f.schedulers[vm].settings.VM]) }},
		{"cut platform", func(vm int) func() { return i.cut(i.f.stores[i.f.schedulers[vm].settings.VM]) }},
		{"table outage", func(int) func() { return i.outage(standin.Table) }},
		{"objects outage", func(int) func() { return i.outage(standin.Objects) }},
		{"table responses lost", func(int) func() { return i.loseResponses(standin.Table) }},
		{"objects responses lost", func(int) func() { return i.loseResponses(standin.Objects) }},
		{"engine crash", func(int) func() { i.engine().Crash(); return nil }},
		{"engine cut", func(int) func() { i.engine().AbortNext(1); return nil }},
		{"failing releases", func(int) func() { i.engine().FailReleases(failedReleases); return nil }},
		{"engine responses swapped", func(int) func() { i.engine().MismatchNext(1); return nil }},
		{"plain responses swapped", func(int) func() { i.plain().MismatchNext(1); return nil }},
		{"plain hang", func(int) func() { i.plain().HangNext(1); return nil }},
		{"plain cut", func(int) func() { i.plain().AbortNext(1); return nil }},
	}
}

// run injects two faults at a time, of different kinds and on different VMs,
// until faultsFor has passed.
func (i *injector) run(ctx context.Context) {
	all := i.faults()
	for end := time.Now().Add(faultPeriod); time.Now().Before(end) && ctx.Err() == nil; {
		kinds := i.random.Perm(len(all))
		vms := i.random.Perm(len(i.f.schedulers))
		var both sync.WaitGroup
		for n := range 2 {
			chosen, length := all[kinds[n]], i.randomDuration()
			i.counts[chosen.name]++
			i.f.t.Logf("fault: %s, VM %s, %s", chosen.name, i.f.schedulers[vms[n]].settings.VM, length)
			heal := chosen.begin(vms[n])
			if heal != nil {
				both.Go(func() {
					time.Sleep(length)
					heal()
				})
			}
		}
		both.Wait()
		time.Sleep(minFault / 4)
	}
}

func (i *injector) randomDuration() time.Duration {
	return minFault + time.Duration(i.random.Int64N(int64(maxFault-minFault)))
}

func (i *injector) kill(d *daemonProcess) func() {
	i.f.kill(d)
	return func() { i.f.start(d) }
}

func (i *injector) pause(d *daemonProcess) func() {
	i.f.signal(d, syscall.SIGSTOP)
	return func() { i.f.signal(d, syscall.SIGCONT) }
}

func (i *injector) cut(link *forwarder) func() {
	link.setCut(true)
	return func() { link.setCut(false) }
}

func (i *injector) outage(service standin.Service) func() {
	i.f.site.Platform.SetOutage(service, true)
	return func() { i.f.site.Platform.SetOutage(service, false) }
}

func (i *injector) loseResponses(service standin.Service) func() {
	i.f.site.Platform.LoseResponses(service, lostResponses)
	return func() { i.f.site.Platform.LoseResponses(service, 0) }
}

func (i *injector) engine() *engine.Server { return pick(i.random, i.f.site.Engines) }

func (i *injector) plain() *plain.Server { return pick(i.random, i.f.site.PlainServices) }
