package edge

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// quotaFaults are the faults that happen to a VM.
var quotaFaults = map[string]func(f *quotaFleet, vm *quotaVM, d time.Duration){
	"freeze": func(_ *quotaFleet, vm *quotaVM, d time.Duration) {
		vm.change(func(s *vmState) { s.wakesAt = time.Now().Add(d) })
	},
	"kill": func(_ *quotaFleet, vm *quotaVM, d time.Duration) {
		vm.change(func(s *vmState) { s.isDown = true })
		time.Sleep(d / 4)
		vm.startProcess()
	},
	"power loss": func(_ *quotaFleet, vm *quotaVM, d time.Duration) {
		vm.change(func(s *vmState) { s.isDown = true })
		time.Sleep(d)
		vm.startProcess()
	},
	"cut": func(_ *quotaFleet, vm *quotaVM, d time.Duration) {
		vm.change(func(s *vmState) { s.isCut, s.cutAt = true, time.Now() })
		time.Sleep(3 * d)
		vm.change(func(s *vmState) { s.isCut = false })
	},
	"slow": func(_ *quotaFleet, vm *quotaVM, d time.Duration) {
		vm.change(func(s *vmState) { s.delay = d / 20 })
		time.Sleep(d)
		vm.change(func(s *vmState) { s.delay = 0 })
	},
	"join": func(f *quotaFleet, _ *quotaVM, _ time.Duration) {
		joined := f.addVM()
		for _, vm := range f.all() {
			joined.learn(vm.member)
		}
		f.spread(func(vm *quotaVM) { vm.learn(joined.member) })
	},
	"lost": func(f *quotaFleet, lost *quotaVM, _ time.Duration) {
		lost.change(func(s *vmState) { s.isDown = true })
		time.Sleep(forgetTime)
		f.spread(func(vm *quotaVM) { vm.forget(lost.member.VM) })
	},
}

// spread lets all VMs notice a change of the members within a second, each at its own time.
func (f *quotaFleet) spread(notice func(*quotaVM)) {
	for _, vm := range f.all() {
		time.AfterFunc(time.Duration(f.draw(1000))*time.Millisecond, func() { notice(vm) })
	}
}

// injectFault lets a fault happen to a VM, most often to a holder.
func (f *quotaFleet) injectFault(name string) {
	candidates, vms := f.holders(), f.all()
	if f.draw(3) == 0 || len(candidates) == 0 {
		candidates = vms
	}
	vm := candidates[f.draw(len(candidates))]
	up := 0
	for _, other := range vms {
		if s := other.now(); !s.isDown && !s.isFrozen() {
			up++
		}
	}
	if s := vm.now(); s.isDown || s.isCut || s.isFrozen() || up < len(vms)/2 {
		return
	}
	f.mu.Lock()
	f.injected = append(f.injected, name)
	f.mu.Unlock()
	go quotaFaults[name](f, vm, time.Duration(200+f.draw(4000))*time.Millisecond)
}

// quotaSeeds returns the number of drawn orders, which an environment variable sets for long
// runs by hand.
func quotaSeeds() int {
	if n, err := strconv.Atoi(os.Getenv("ENDIVE_QUOTA_SEEDS")); err == nil {
		return n
	}
	return 10
}

// Guards against several VMs that act as the one holder of an account's quota, or give out
// again what another gave out before: whatever happens to the holders, and in which order, an
// account that sends many times its rate stays within its quota.
func TestQuotaHoldsInEveryOrderOfFaults(t *testing.T) {
	names := []string{"cut", "freeze", "join", "kill", "lost", "power loss", "slow"}
	const traffic = 30
	for seed := range uint64(quotaSeeds()) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 11))
				advanceClock()
				f := newQuotaFleet(t, rng, 15+rng.IntN(8), 20+80*rng.Float64())
				go func() {
					for range 3 + f.draw(8) {
						time.Sleep(time.Duration(f.draw(3000)) * time.Millisecond)
						f.injectFault(names[f.draw(len(names))])
					}
				}()
				f.sendAt(f.account.Rate/1.6, 2*time.Second)
				f.sendAt(float64(2+f.draw(6))*f.account.Rate, (traffic-2)*time.Second)
				f.end()
				most, allowed := f.mostInWindow(), f.allowed()
				f.mu.Lock()
				defer f.mu.Unlock()
				t.Logf("seed %d: %d VMs, rate %.0f: %d of %.0f in a window, %.2f of the rate served; %v",
					seed, len(f.vms), f.account.Rate, most, allowed, float64(len(f.sent))/traffic/f.account.Rate, f.injected)
				assert.Check(t, float64(most) <= allowed)
			})
		})
	}
}

// Guards against callers that are refused below their rate since a holder of their quota is
// lost: the others must serve them.
func TestCallersOfLostQuotaHolderAreServed(t *testing.T) {
	for _, name := range []string{"freeze", "kill", "power loss", "lost", "slow", "cut"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				advanceClock()
				f := newQuotaFleet(t, rand.New(rand.NewPCG(5, 13)), 24, 60)
				f.sendAt(f.account.Rate/1.6, 5*time.Second)
				var lost []*quotaVM // one of each region
				for _, vm := range f.holders() {
					if len(lost) == 0 || len(lost) == 1 && vm.member.Region != lost[0].member.Region {
						lost = append(lost, vm)
					}
				}
				for _, vm := range lost {
					go quotaFaults[name](f, vm, 3500*time.Millisecond)
				}
				f.sendAt(f.account.Rate/1.6, 10*time.Second)
				f.end()
				f.mu.Lock()
				refused := float64(f.refused) / float64(f.refused+len(f.sent))
				f.mu.Unlock()
				t.Logf("%s: %.3f of the requests below the limit refused", name, refused)
				assert.Check(t, refused <= maxWrongfulRefusals)
			})
		})
	}
}

// Guards against callers of a small account that are refused below its rate since all of them
// are in one region, and come a few at a time: they must get the tokens of all holders.
func TestCallersOfOneRegionGetTheWholeQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		advanceClock()
		f := newQuotaFleet(t, rand.New(rand.NewPCG(6, 17)), 24, 8)
		f.region = "region-0"
		const together = 6
		for range 40 {
			for range together {
				f.send(1200 * time.Millisecond)
			}
			time.Sleep(time.Duration(together * 1.6 / f.account.Rate * float64(time.Second)))
		}
		f.end()
		f.mu.Lock()
		defer f.mu.Unlock()
		refused := float64(f.refused) / float64(f.refused+len(f.sent))
		t.Logf("%.3f of the requests below the limit refused", refused)
		assert.Check(t, refused <= maxWrongfulRefusals)
	})
}
