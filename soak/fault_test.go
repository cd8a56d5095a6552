package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	standin "github.com/endivecourse/endivecourse/internal/standin/platform"
	"github.com/endivecourse/endivecourse/structs"
)

// minLossInterval is the least time between two losses of a process in a domain:
// a majority of the witnesses of each record has to survive until the record is
// stored.
const minLossInterval = 60 * time.Second

// fault is a kind of fault. begin starts it and returns the function that ends
// it, or nil if the fault is not possible now.
type fault struct {
	name         string
	begin        func(*fleet) func()
	canFailCalls bool
}

func faults() []fault {
	return []fault{
		{"kill", (*fleet).killScheduler, true},
		{"kill", (*fleet).killScheduler, true},
		{"replace VM", (*fleet).replaceVM, true},
		{"freeze", (*fleet).freezeScheduler, true},
		{"freeze", (*fleet).freezeScheduler, true},
		{"cut both ways", (*fleet).cutBothWays, true},
		{"cut one way", (*fleet).cutOneWay, true},
		{"cut domain", (*fleet).cutDomain, true},
		{"cut from store", (*fleet).cutStore, true},
		{"store outage", (*fleet).storeOutage, true},
		{"lost store responses", (*fleet).loseResponses, true},
		{"slow store", (*fleet).slowStore, true},
		{"failing target requests", (*fleet).failTargetRequests, true},
		{"slow target", (*fleet).slowTargets, false},
		{"failing releases", (*fleet).failReleases, false},
		{"leaving target", (*fleet).drainTarget, false},
		{"planned stop", (*fleet).plannedStop, false},
		{"configuration change", (*fleet).changeConfig, false},
	}
}

func (f *fleet) pickScheduler() *node {
	nodes := f.liveSchedulers()
	return nodes[f.draw(len(nodes))]
}

// claimVictim draws a scheduler and records its loss, or returns nil if its domain
// cannot lose it now.
func (f *fleet) claimVictim() *node {
	n := f.pickScheduler()
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, ever := f.lastLoss[n.domain]; ever && time.Since(last) < minLossInterval || n.isLeaving {
		return nil
	}
	f.lastLoss[n.domain] = time.Now()
	return n
}

func (f *fleet) killScheduler() func() {
	n := f.claimVictim()
	if n == nil {
		return nil
	}
	n.kill()
	return func() { f.startScheduler(n.domain, string(n.vm)) }
}

func (f *fleet) replaceVM() func() {
	n := f.claimVictim()
	if n == nil {
		return nil
	}
	n.kill()
	f.platform.RemoveVM(n.vm)
	return func() { f.addVM(n) }
}

func (f *fleet) addVM(replaced *node) {
	vm := fmt.Sprintf("%s-s%d", replaced.domain, schedulersPerDomain+f.startCount)
	f.listVM(replaced.domain, vm)
	f.startScheduler(replaced.domain, vm)
}

func (f *fleet) plannedStop() func() {
	n := f.claimVictim()
	if n == nil {
		return nil
	}
	f.platform.SetVMState(n.vm, backing.VMLeaving)
	f.addVM(n)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		n.stop()
		f.platform.RemoveVM(n.vm)
	}()
	return func() {
		<-stopped
		f.withLock(func() { f.lastLoss[n.domain] = time.Now() })
	}
}

func (f *fleet) freezeScheduler() func() {
	n := f.pickScheduler()
	f.net.withLock(func() { f.net.frozen[n.addr] = true })
	return func() { f.net.withLock(func() { delete(f.net.frozen, n.addr) }) }
}

func (f *fleet) cutLinks(links []direction) func() {
	f.net.withLock(func() {
		for _, l := range links {
			f.net.cut[l] = true
		}
	})
	return func() {
		f.net.withLock(func() {
			for _, l := range links {
				delete(f.net.cut, l)
			}
		})
	}
}

// allNodes returns the live schedulers and all gateways.
func (f *fleet) allNodes() []*node { return append(f.liveSchedulers(), f.gateways...) }

func (f *fleet) cutBothWays() func() {
	n := f.pickScheduler()
	var links []direction
	for _, o := range f.allNodes() {
		if f.draw(2) == 0 {
			links = append(links, direction{n.addr, o.addr}, direction{o.addr, n.addr})
		}
	}
	return f.cutLinks(links)
}

func (f *fleet) cutOneWay() func() {
	n := f.pickScheduler()
	isOutbound := f.draw(2) == 0
	var links []direction
	for _, o := range f.allNodes() {
		if isOutbound {
			links = append(links, direction{n.addr, o.addr})
		} else {
			links = append(links, direction{o.addr, n.addr})
		}
	}
	return f.cutLinks(links)
}

// cutDomain cuts a domain off from all others and, in half of the cases, from the
// store.
func (f *fleet) cutDomain() func() {
	d := f.domains[f.draw(len(f.domains))]
	cutsStore := f.draw(2) == 0
	var links []direction
	for _, n := range f.allNodes() {
		if n.domain != d {
			continue
		}
		if cutsStore {
			links = append(links, direction{n.addr, store}, direction{store, n.addr})
		}
		for _, o := range f.allNodes() {
			if o.domain != d {
				links = append(links, direction{n.addr, o.addr}, direction{o.addr, n.addr})
			}
		}
	}
	return f.cutLinks(links)
}

func (f *fleet) cutStore() func() {
	n := f.pickScheduler()
	links := []direction{{n.addr, store}, {store, n.addr}}
	return f.cutLinks(links[f.draw(2):])
}

// storeServices are the services of the platform that fail together.
var storeServices = []standin.Service{standin.Table, standin.Objects}

func (f *fleet) storeOutage() func() {
	hang := f.draw(3) == 0
	set := func(on bool) {
		for _, s := range storeServices {
			if hang {
				f.platform.SetHang(s, on)
			} else {
				f.platform.SetOutage(s, on)
			}
		}
	}
	set(true)
	time.Sleep(time.Duration(f.draw(120)) * time.Second)
	return func() { set(false) }
}

func (f *fleet) loseResponses() func() {
	for _, s := range storeServices {
		f.platform.LoseResponses(s, 1+f.draw(20))
	}
	return func() {
		for _, s := range storeServices {
			f.platform.LoseResponses(s, 0)
		}
	}
}

func (f *fleet) slowStore() func() {
	set := func(latency time.Duration) {
		for _, s := range storeServices {
			f.platform.SetLatency(s, latency)
		}
	}
	set(time.Duration(100+f.draw(1500)) * time.Millisecond)
	return func() { set(0) }
}

// affectTargets calls begin for each target of a random half and returns a
// function that calls end for the same targets.
func (f *fleet) affectTargets(begin, end func(*fakeTarget)) func() {
	var affected []*fakeTarget
	for _, id := range f.targetIDs() {
		if e := f.targets[id]; f.draw(2) == 0 {
			e.withLock(func() { begin(e) })
			affected = append(affected, e)
		}
	}
	return func() {
		for _, e := range affected {
			e.withLock(func() { end(e) })
		}
	}
}

func (f *fleet) failTargetRequests() func() {
	percent := 5 + f.draw(40)
	return f.affectTargets(func(e *fakeTarget) { e.failPercent = percent }, func(e *fakeTarget) { e.failPercent = 0 })
}

func (f *fleet) slowTargets() func() {
	late := time.Duration(f.draw(5000)) * time.Millisecond
	return f.affectTargets(func(e *fakeTarget) { e.extraLatency = late }, func(e *fakeTarget) { e.extraLatency = 0 })
}

func (f *fleet) failReleases() func() {
	return f.affectTargets(func(e *fakeTarget) { e.failsReleases = true }, func(e *fakeTarget) { e.failsReleases = false })
}

func (f *fleet) drainTarget() func() {
	ids := f.targetIDs()
	e := f.targets[ids[f.draw(len(ids))]]
	vm := structs.VMID("vm-" + e.id)
	f.platform.SetVMState(vm, backing.VMLeaving)
	e.withLock(func() { e.leftAt = time.Now() })
	return func() {
		e.withLock(func() { e.leftAt = time.Time{} })
		f.platform.SetVMState(vm, backing.VMLive)
	}
}

// changeConfig changes a rate, a program or a service. It gives up if the store
// cannot be read: waiting would block forever, because only this goroutine ends
// the outage.
func (f *fleet) changeConfig() func() {
	head, err := (&config.Store{Table: f.services.Table}).CurrentInfo(context.Background())
	if err != nil {
		return nil
	}
	f.version = head.Version
	switch f.draw(3) {
	case 0:
		account := f.document.Accounts["other"]
		account.Rate, account.Burst = float64(10+f.draw(20)), 5+f.draw(20)
		f.document.Accounts["other"] = account
	case 1:
		kind := f.document.Programs["plan"]
		kind.Budget += 1000
		f.document.Programs["plan"] = kind
	case 2:
		service := f.document.Services["llm"]
		service.Timeout += 1000
		f.document.Services["llm"] = service
	}
	f.publish()
	return func() {}
}
