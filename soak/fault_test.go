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

// quietTime is how long the processes and the store of a domain are well
// before it may lose another process: a majority of the witnesses of each
// record has to last until the record is stored.
const quietTime = 60 * time.Second

// fault begins a fault and returns what ends it, or nil when it cannot be now.
type fault struct {
	name  string
	begin func(*fleet) func()
	harms bool // calls may fail from it
}

func faults() []fault {
	return []fault{
		{"kill", (*fleet).killOne, true},
		{"kill", (*fleet).killOne, true},
		{"replaced VM", (*fleet).replaceOne, true},
		{"freeze", (*fleet).freezeOne, true},
		{"freeze", (*fleet).freezeOne, true},
		{"cut both ways", (*fleet).cutBoth, true},
		{"cut one way", (*fleet).cutOneWay, true},
		{"cut domain", (*fleet).cutDomain, true},
		{"cut from store", (*fleet).cutStore, true},
		{"store outage", (*fleet).storeOutage, true},
		{"lost answers", (*fleet).loseAnswers, true},
		{"slow store", (*fleet).slowStore, true},
		{"target trouble", (*fleet).targetTrouble, true},
		{"slow target", (*fleet).slowTarget, false},
		{"failing releases", (*fleet).failReleases, false},
		{"leaving target", (*fleet).leavingTarget, false},
		{"planned stop", (*fleet).plannedStop, false},
		{"configuration change", (*fleet).changeConfig, false},
	}
}

func (f *fleet) pick() *node {
	nodes := f.live()
	return nodes[f.draw(len(nodes))]
}

// victim returns a process that its domain can lose now, or nil.
func (f *fleet) victim() *node {
	n := f.pick()
	f.mu.Lock()
	defer f.mu.Unlock()
	if last, ever := f.lost[n.domain]; ever && time.Since(last) < quietTime || n.leaving {
		return nil
	}
	f.lost[n.domain] = time.Now()
	return n
}

func (f *fleet) killOne() func() {
	n := f.victim()
	if n == nil {
		return nil
	}
	n.kill()
	return func() { f.startScheduler(n.domain, string(n.vm)) }
}

func (f *fleet) replaceOne() func() {
	n := f.victim()
	if n == nil {
		return nil
	}
	n.kill()
	f.platform.RemoveVM(n.vm)
	return func() { f.addVM(n) }
}

func (f *fleet) addVM(after *node) {
	vm := fmt.Sprintf("%s-s%d", after.domain, perDomain+f.starts)
	f.listVM(after.domain, vm)
	f.startScheduler(after.domain, vm)
}

func (f *fleet) plannedStop() func() {
	n := f.victim()
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
		f.set(func() { f.lost[n.domain] = time.Now() })
	}
}

func (f *fleet) freezeOne() func() {
	n := f.pick()
	f.net.set(func() { f.net.frozen[n.addr] = true })
	return func() { f.net.set(func() { delete(f.net.frozen, n.addr) }) }
}

func (f *fleet) cutLinks(links []direction) func() {
	f.net.set(func() {
		for _, l := range links {
			f.net.cut[l] = true
		}
	})
	return func() {
		f.net.set(func() {
			for _, l := range links {
				delete(f.net.cut, l)
			}
		})
	}
}

// processes lists the addresses of all processes.
func (f *fleet) processes() []*node { return append(f.live(), f.gateways...) }

func (f *fleet) cutBoth() func() {
	n := f.pick()
	var links []direction
	for _, o := range f.processes() {
		if f.draw(2) == 0 {
			links = append(links, direction{n.addr, o.addr}, direction{o.addr, n.addr})
		}
	}
	return f.cutLinks(links)
}

func (f *fleet) cutOneWay() func() {
	n := f.pick()
	away := f.draw(2) == 0
	var links []direction
	for _, o := range f.processes() {
		if away {
			links = append(links, direction{n.addr, o.addr})
		} else {
			links = append(links, direction{o.addr, n.addr})
		}
	}
	return f.cutLinks(links)
}

// cutDomain cuts a domain off from all others and, by chance, from the store.
func (f *fleet) cutDomain() func() {
	d := f.domains[f.draw(len(f.domains))]
	alone := f.draw(2) == 0
	var links []direction
	for _, n := range f.processes() {
		if n.domain != d {
			continue
		}
		if alone {
			links = append(links, direction{n.addr, store}, direction{store, n.addr})
		}
		for _, o := range f.processes() {
			if o.domain != d {
				links = append(links, direction{n.addr, o.addr}, direction{o.addr, n.addr})
			}
		}
	}
	return f.cutLinks(links)
}

func (f *fleet) cutStore() func() {
	n := f.pick()
	links := []direction{{n.addr, store}, {store, n.addr}}
	return f.cutLinks(links[f.draw(2):])
}

// storeServices are those that fail together.
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

func (f *fleet) loseAnswers() func() {
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

// eachTarget begins trouble at about half of the targets.
func (f *fleet) eachTarget(begin, end func(*engine)) func() {
	var hit []*engine
	for _, id := range f.targetIDs() {
		if e := f.targets[id]; f.draw(2) == 0 {
			e.set(func() { begin(e) })
			hit = append(hit, e)
		}
	}
	return func() {
		for _, e := range hit {
			e.set(func() { end(e) })
		}
	}
}

func (f *fleet) targetTrouble() func() {
	percent := 5 + f.draw(40)
	return f.eachTarget(func(e *engine) { e.trouble = percent }, func(e *engine) { e.trouble = 0 })
}

func (f *fleet) slowTarget() func() {
	late := time.Duration(f.draw(5000)) * time.Millisecond
	return f.eachTarget(func(e *engine) { e.slowness = late }, func(e *engine) { e.slowness = 0 })
}

func (f *fleet) failReleases() func() {
	return f.eachTarget(func(e *engine) { e.failing = true }, func(e *engine) { e.failing = false })
}

func (f *fleet) leavingTarget() func() {
	ids := f.targetIDs()
	e := f.targets[ids[f.draw(len(ids))]]
	vm := structs.VMID("vm-" + e.id)
	f.platform.SetVMState(vm, backing.VMLeaving)
	e.set(func() { e.leftAt = time.Now() })
	return func() {
		e.set(func() { e.leftAt = time.Time{} })
		f.platform.SetVMState(vm, backing.VMLive)
	}
}

// changeConfig changes a rate, a program or a service. It cannot during an
// outage of the store, which only this goroutine ends.
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
