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
	// lostAnswers is how many answers of a service are lost at a time.
	lostAnswers    = 4
	failedReleases = 5
)

// injector draws faults and heals each after its time.
type injector struct {
	f      *fleet
	random *rand.Rand
	counts map[string]int
}

// fault begins a fault of one VM and returns what heals it.
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
		{"table answers lost", func(int) func() { return i.lose(standin.Table) }},
		{"objects answers lost", func(int) func() { return i.lose(standin.Objects) }},
		{"engine crash", func(int) func() { i.engine().Crash(); return nil }},
		{"engine cut", func(int) func() { i.engine().AbortNext(1); return nil }},
		{"failing releases", func(int) func() { i.engine().FailReleases(failedReleases); return nil }},
		{"engine crossed", func(int) func() { i.engine().MismatchNext(1); return nil }},
		{"plain crossed", func(int) func() { i.plain().MismatchNext(1); return nil }},
		{"plain hang", func(int) func() { i.plain().HangNext(1); return nil }},
		{"plain cut", func(int) func() { i.plain().AbortNext(1); return nil }},
	}
}

// run injects two faults at a time, of different kinds and on different VMs,
// until faultsFor has passed.
func (i *injector) run(ctx context.Context) {
	all := i.faults()
	for end := time.Now().Add(faultsFor); time.Now().Before(end) && ctx.Err() == nil; {
		kinds := i.random.Perm(len(all))
		vms := i.random.Perm(len(i.f.schedulers))
		var both sync.WaitGroup
		for n := range 2 {
			chosen, length := all[kinds[n]], i.length()
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

func (i *injector) length() time.Duration {
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

func (i *injector) lose(service standin.Service) func() {
	i.f.site.Platform.LoseResponses(service, lostAnswers)
	return func() { i.f.site.Platform.LoseResponses(service, 0) }
}

func (i *injector) engine() *engine.Server { return pick(i.random, i.f.site.Engines) }

func (i *injector) plain() *plain.Server { return pick(i.random, i.f.site.PlainServices) }
