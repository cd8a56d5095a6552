package processes

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/platform/platformtest"
)

const (
	// configFleetSize is the smallest number of VMs whose shared tables form a tree, in two
	// regions, and some more.
	configFleetSize = 20
	idleRoutes      = 1400
	// configBound is the time in which a change is in force at each VM that has been in touch
	// with the store for as long.
	configBound = 4 * time.Second
)

// configFaults disturb one VM for a few seconds, or make the store forget its history.
var configFaults = []func(f *fleet, p *process, rng *rand.Rand){
	func(f *fleet, p *process, rng *rand.Rand) {
		f.kill(p)
		time.Sleep(randomDuration(rng, 0, 1500))
		f.start(p)
	},
	func(_ *fleet, p *process, rng *rand.Rand) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(randomDuration(rng, 500, 3000))
		p.signal(syscall.SIGCONT)
	},
	func(f *fleet, p *process, _ *rand.Rand) {
		p.signalAndWait(syscall.SIGTERM)
		f.start(p)
	},
	func(_ *fleet, p *process, rng *rand.Rand) {
		p.vm.StoreServer.Set(platformtest.StoreMode(1 + rng.IntN(4)))
		time.Sleep(randomDuration(rng, 500, 3000))
		p.vm.StoreServer.Set(platformtest.StoreNormal)
	},
	func(f *fleet, _ *process, _ *rand.Rand) { f.site.Store.DropHistory() },
}

// configSoak changes a large configuration again and again while VMs are disturbed.
type configSoak struct {
	*fleet
	rng *rand.Rand

	mu          sync.Mutex
	disturbedAt map[*process]time.Time // when the last disturbance of a VM ended; later than now for one that has not
}

// putProbe changes the configuration: it has one more route, of the given number, and not the
// one before.
func (s *configSoak) putProbe(n int) {
	config := platformtest.BasicConfig()
	add := func(name string) {
		config.Routes = append(config.Routes, platformtest.ConfigRoute{
			Name: name, Host: platformtest.Host, PathPrefix: "/" + name + "/", Type: "safe", TimeoutMs: 2000, Service: "app", Attempts: 2, Public: true,
		})
	}
	for i := range idleRoutes {
		add(fmt.Sprint("idle-", i))
	}
	add(fmt.Sprint("probe-", n))
	s.site.PutConfig(config)
}

// disturb disturbs a random VM in the background.
func (s *configSoak) disturb(running *sync.WaitGroup) {
	p, fault, seed := s.vms[s.rng.IntN(len(s.vms))], configFaults[s.rng.IntN(len(configFaults))], s.rng.Uint64()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disturbedAt[p].After(time.Now()) {
		return // two faults don't overlap at one process
	}
	s.disturbedAt[p] = time.Now().Add(time.Hour)
	running.Go(func() {
		fault(s.fleet, p, rand.New(rand.NewPCG(seed, 1)))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.disturbedAt[p] = time.Now()
	})
}

// undisturbed returns the VMs that have not been disturbed for configBound.
func (s *configSoak) undisturbed() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var calm []*process
	for _, p := range s.vms {
		if time.Since(s.disturbedAt[p]) > configBound {
			calm = append(calm, p)
		}
	}
	return calm
}

// probeStatus sends a request on a probe's route and returns the status, 0 for none.
func (s *configSoak) probeStatus(p *process, n int) int {
	req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/probe-%d/1", p.vm.CallerAddress, n), nil)
	assert.NilError(s.t, err)
	req.Host = platformtest.Host
	req.Header.Set(platformtest.HeaderRequestID, fmt.Sprint("probe-", n, "-", p.vm.Name, "-", time.Now().UnixNano()))
	req.Header.Set(platformtest.HeaderDeadline, "2000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against VMs that handle requests by a large configuration that has been replaced, while
// others, also those at which they follow it, are killed, paused, stopped or cut off from the store.
func TestLargeConfigurationSoak(t *testing.T) {
	first := envInt(envFirst, 1)
	for seed := first; seed < first+envInt(envSeeds, 1); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var where []string
			for n := range configFleetSize {
				where = append(where, domains[n%3]) // near-a, near-b, far-a
			}
			s := &configSoak{fleet: newFleetOf(t, where, platformtest.BasicConfig()), rng: rand.New(rand.NewPCG(uint64(seed), 2)), disturbedAt: make(map[*process]time.Time)}
			time.Sleep(configBound)
			checked := 0
			for n := range envInt(envSteps, 4) {
				var running sync.WaitGroup
				for range 1 + s.rng.IntN(3) {
					s.disturb(&running)
				}
				time.Sleep(randomDuration(s.rng, 0, 500))
				s.putProbe(n)
				time.Sleep(configBound)
				for _, p := range s.undisturbed() {
					checked++
					added, removed := s.probeStatus(p, n), s.probeStatus(p, n-1)
					assert.Check(t, added == http.StatusOK || added == http.StatusServiceUnavailable, "step %d, %s: %d on the new route", n, p.vm.Name, added)
					assert.Check(t, removed == http.StatusNotFound || removed == http.StatusServiceUnavailable, "step %d, %s: %d on the old route", n, p.vm.Name, removed)
				}
				running.Wait()
			}
			assert.Assert(t, checked >= configFleetSize, "%d VMs were checked", checked)
			t.Logf("%d VMs checked", checked)
		})
	}
}
