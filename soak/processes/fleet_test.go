// Package processes runs the real endived as separate processes on loopback,
// injects faults from outside, and checks what callers and targets receive.
package processes

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/platform"
	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// buildDaemon compiles endived once for all seeds and returns its path.
var buildDaemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "endived")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "endived")
	out, err := exec.Command("go", "build", "-o", path, "github.com/endivecourse/endivecourse/cmd/endived").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build endived: %w: %s", err, out)
	}
	return path, nil
})

// process is one VM and the endived process on it. cmd is nil while none runs.
type process struct {
	vm  *platformtest.VM
	log string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// fleet is a site with its processes, its targets and the proxies in front of
// the targets.
type fleet struct {
	t       *testing.T
	site    *platformtest.Site
	vms     []*process
	targets []*platformtest.Target
	proxies []*platformtest.Proxy
}

var domains = []string{"near-a", "near-b", "far-a", "near-a"}

func newFleet(t *testing.T) *fleet { return newFleetOf(t, domains, platformtest.BasicConfig()) }

// newFleetOf starts a VM in each of the given failure domains.
func newFleetOf(t *testing.T, domains []string, config platformtest.Config) *fleet {
	return newFleetAt(t, platformtest.NewSite(t), domains, config)
}

// newFleetAt is newFleetOf for a site with limits of its own.
func newFleetAt(t *testing.T, site *platformtest.Site, domains []string, config platformtest.Config) *fleet {
	f := &fleet{t: t, site: site}
	f.site.PutConfig(config)
	for i := range 5 {
		f.addTarget(fmt.Sprintf("engine-%d", i), "engine", domains[i%len(domains)])
		f.addTarget(fmt.Sprintf("app-%d", i), "app", domains[i%len(domains)])
	}
	for _, domain := range domains {
		f.vms = append(f.vms, &process{vm: f.site.AddVM(domain)})
	}
	for i, p := range f.vms {
		p.log = filepath.Join(t.TempDir(), fmt.Sprintf("vm-%d.log", i+1))
		f.start(p)
		t.Cleanup(func() { f.kill(p) })
	}
	for _, p := range f.vms {
		f.waitReady(p)
	}
	f.site.MarkStarted()
	return f
}

func (f *fleet) addTarget(id, service, domain string) {
	target := platformtest.NewTarget(id, service, service == "engine")
	target.Set(platformtest.Behaviour{Events: 3, Duration: 15 * time.Millisecond})
	proxy, err := platformtest.NewProxy(target.Address())
	assert.NilError(f.t, err)
	target.SetProxy(proxy)
	f.t.Cleanup(func() {
		proxy.Close()
		target.Close()
	})
	f.targets, f.proxies = append(f.targets, target), append(f.proxies, proxy)
	f.site.ListTarget(target, domain)
}

func (f *fleet) start(p *process) {
	path, err := buildDaemon()
	assert.NilError(f.t, err)
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	defer log.Close()
	cmd := exec.Command(path, "run")
	cmd.Env = []string{platform.SettingsVariable + "=" + p.vm.SettingsPath}
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(f.t, cmd.Start())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
}

// signalAndWait signals the process and waits until it has exited.
func (p *process) signalAndWait(s syscall.Signal) {
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	_ = cmd.Wait() // the error only reports the signal
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (f *fleet) kill(p *process) { p.signalAndWait(syscall.SIGKILL) }

func (f *fleet) waitReady(p *process) {
	f.t.Helper()
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + p.vm.ReadinessAddress + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	p.signal(syscall.SIGQUIT) // the Go runtime prints all goroutines
	time.Sleep(time.Second)
	log, err := os.ReadFile(p.log)
	f.t.Fatalf("%s not ready within 15 s (log: %v):\n%s", p.vm.Name, err, log)
}

// faults maps the name of a fault to a function that injects it and returns
// when it is over. injectFaults draws from the sorted names: a new or renamed
// entry changes which faults a seed stands for.
var faults = map[string]func(f *fleet, rng *rand.Rand){
	"kill": func(f *fleet, rng *rand.Rand) {
		p := f.vms[rng.IntN(len(f.vms))]
		f.kill(p)
		time.Sleep(randomDuration(rng, 0, 800))
		f.start(p)
	},
	"kill all": func(f *fleet, rng *rand.Rand) {
		for _, p := range f.vms {
			f.kill(p)
		}
		time.Sleep(randomDuration(rng, 0, 500))
		for _, p := range f.vms {
			f.start(p)
		}
	},
	"pause": func(f *fleet, rng *rand.Rand) {
		p := f.vms[rng.IntN(len(f.vms))]
		p.signal(syscall.SIGSTOP)
		time.Sleep(randomDuration(rng, 200, 2500))
		p.signal(syscall.SIGCONT)
	},
	"stop": func(f *fleet, rng *rand.Rand) {
		p := f.vms[rng.IntN(len(f.vms))]
		p.signalAndWait(syscall.SIGTERM)
		f.start(p)
	},
	"hangup": func(f *fleet, rng *rand.Rand) { f.vms[rng.IntN(len(f.vms))].signal(syscall.SIGHUP) },
	"store rejects a VM": func(f *fleet, rng *rand.Rand) {
		server := f.vms[rng.IntN(len(f.vms))].vm.StoreServer
		server.Set(platformtest.StoreMode(1 + rng.IntN(4)))
		time.Sleep(randomDuration(rng, 300, 3000))
		server.Set(platformtest.StoreNormal)
	},
	"store outage": func(f *fleet, rng *rand.Rand) {
		f.site.Store.SetFaults(rows.Faults{IsDown: rng.IntN(2) == 0, Delay: randomDuration(rng, 0, 400)})
		time.Sleep(randomDuration(rng, 300, 2500))
		f.site.Store.SetFaults(rows.Faults{})
	},
	"commit replies of the store lost": func(f *fleet, rng *rand.Rand) {
		f.site.Store.SetFaults(rows.Faults{LoseEveryNth: 2 + rng.IntN(4), LostWriteDelay: randomDuration(rng, 0, 1500)})
		time.Sleep(randomDuration(rng, 300, 2500))
		f.site.Store.SetFaults(rows.Faults{})
	},
	"history lost": func(f *fleet, _ *rand.Rand) { f.site.Store.DropHistory() },
	"configuration": func(f *fleet, _ *rand.Rand) {
		f.site.PutConfig(platformtest.BasicConfig())
	},
	"target connections": func(f *fleet, rng *rand.Rand) {
		proxy := f.proxies[rng.IntN(len(f.proxies))]
		proxy.Set(platformtest.ProxyMode(1 + rng.IntN(4)))
		time.Sleep(randomDuration(rng, 200, 2500))
		proxy.Set(platformtest.ProxyForward)
	},
	"target behaviour": func(f *fleet, rng *rand.Rand) {
		target := f.targets[rng.IntN(len(f.targets))]
		target.Set([]platformtest.Behaviour{
			{Events: 3, ResetAfterEvents: 2}, {Events: 3, CutsLastEvent: true}, {ResetsAfterRun: true, Events: 3}, {SendsExtraAnswer: true, Events: 3}, {IsFull: true}, {Events: 3, Duration: 300 * time.Millisecond},
		}[rng.IntN(6)])
		time.Sleep(randomDuration(rng, 200, 2000))
		target.Set(platformtest.Behaviour{Events: 3, Duration: 15 * time.Millisecond})
	},
}

// randomDuration draws a duration between from and to milliseconds, inclusive.
func randomDuration(rng *rand.Rand, from, to int) time.Duration {
	return time.Duration(from+rng.IntN(to-from+1)) * time.Millisecond
}
