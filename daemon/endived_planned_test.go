package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// Guards against slots that stay taken by callers which leave in the middle of a whole answer.
func TestCallersThatLeaveMidAnswerKeepNoSlots(t *testing.T) {
	const slots = 4
	b := newTestSite(t, "near-a")
	app := b.addTarget("app-1", "app", "near-a")
	app.Set(platformtest.Behaviour{AnswerBytes: 12 << 20})
	for range 2 * slots {
		ctx, leave := context.WithCancel(t.Context())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.vms[0].CallerAddress+"/read/1", strings.NewReader("x"))
		assert.NilError(t, err)
		req.Host = platformtest.Host
		req.Header.Set(platformtest.HeaderRequestID, "left")
		req.Header.Set(platformtest.HeaderKey, "key-one")
		resp, err := b.client.Do(req)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		leave()
		resp.Body.Close()
	}
	app.Set(platformtest.Behaviour{})
	r := b.send(request{path: "/read/1"})
	assert.Equal(t, r.status, http.StatusOK, r.body)
}

// Guards against kept connections that are idle when they are closed, although an answer has
// begun on them since the VM left the rotation.
func TestResponseThatBeginsDuringDrainClosesConnection(t *testing.T) {
	b := newTestSite(t)
	vm := b.site.AddVM("near-a")
	b.vms = []*platformtest.VM{vm}
	stop := b.startWithDrain(vm, 7*time.Second)
	b.waitReady(vm)
	app := b.addTarget("app-1", "app", "near-a")
	app.Set(platformtest.Behaviour{Duration: 500 * time.Millisecond})
	done := make(chan response, 1)
	go func() { done <- b.send(request{path: "/read/1"}) }()
	b.waitUntil("running", func() bool { return app.Running() == 1 })
	go stop()
	r := <-done
	assert.Equal(t, r.status, http.StatusOK, r.body)
	assert.Assert(t, r.closes)
}

// soakCaller is a caller of the soak test. Turns of its program are continued one by one.
type soakCaller struct {
	*plannedSoak
	rng      *rand.Rand
	name     string
	client   *http.Client
	previous string // last turn that was received whole
	prompt   string // all turns up to it
}

// plannedSoak sends requests while the configuration changes and VMs stop.
type plannedSoak struct {
	*testSite
	targets []*platformtest.Target
	answers int // least length of whole answers
	events  int
	begun   atomic.Int64 // VM that stops, from 1; 0 before
	stopped atomic.Bool

	mu       sync.Mutex
	statuses map[string]int
	broken   []string
}

func (s *plannedSoak) run(id string) bool {
	for _, target := range s.targets {
		for _, run := range target.Runs() {
			if run.ID == id {
				return true
			}
		}
	}
	return false
}

// check records a response that is neither whole nor a refusal.
func (s *plannedSoak) check(kind, id string, vm int, stopping bool, r response) {
	want := platformtest.Answer(id, s.answers)
	if kind == "chat" || kind == "draft" {
		want = ""
		for n := 1; n <= s.events; n++ {
			want += fmt.Sprintf("id: %d\ndata: %s\n\n", n, platformtest.EventData(id, n))
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.statuses[fmt.Sprint(kind, " ", r.status)]++
	switch {
	case r.err != nil && (r.status != 0 || !stopping || s.run(id)): // else it crossed the close
	case r.err == nil && r.status == http.StatusOK && r.body != want:
	case r.status == http.StatusNotFound || r.status >= http.StatusInternalServerError && r.status != http.StatusServiceUnavailable:
	default:
		return
	}
	s.broken = append(s.broken, fmt.Sprintf("%s at VM %d, stopping %t: status %d, error %v, %d bytes of %d, ran %t: %.300s\n%s",
		id, vm+1, stopping, r.status, r.err, len(r.body), len(want), s.run(id), r.body, strings.Join(s.logs.lines(`"`+id+`"`), "\n")))
}

// send sends one request.
func (c *soakCaller) send(n int) {
	kind := []string{"read", "order", "draft", "chat", "chat"}[c.rng.IntN(5)]
	vm := c.rng.IntN(len(c.vms))
	if c.stopped.Load() && int(c.begun.Load()) == vm+1 {
		return
	}
	id := fmt.Sprintf("%s-%d", c.name, n)
	req := request{
		vm: c.vms[vm], path: "/" + kind + "/1", body: fmt.Sprintf("input %d ", n), client: c.client,
		key:    []string{"key-one", "key-a", "key-b"}[c.rng.IntN(3)],
		header: map[string]string{platformtest.HeaderProgram: c.name, platformtest.HeaderBudget: "1000000", platformtest.HeaderUsage: "100,100"},
	}
	if c.rng.IntN(4) == 0 {
		req.readPause = time.Duration(1+c.rng.IntN(5)) * time.Millisecond
	}
	if c.rng.IntN(4) == 0 {
		req.body += strings.Repeat("x", 20<<10)
	}
	if kind == "chat" && c.previous != "" {
		req.header[platformtest.HeaderPrevious] = c.previous
	}
	r := c.sendAs(id, req)
	c.check(kind, id, vm, int(c.begun.Load()) == vm+1, r)
	if kind == "chat" && r.status == http.StatusOK && r.err == nil {
		c.previous = id
		c.prompt += req.body + eventText(id, c.events)
	}
}

// plannedConfig returns a random configuration under which every caller's requests are
// allowed with one key at least.
func plannedConfig(rng *rand.Rand) platformtest.Config {
	config := platformtest.BasicConfig()
	keys := []string{"key-one"}
	for _, key := range []string{"key-a", "key-b"} {
		if rng.IntN(2) == 0 {
			keys = append(keys, key)
		}
	}
	config.Tenants[0].APIKeys = keys
	if rng.IntN(2) == 0 {
		config.Tenants[0].RatePerS, config.Tenants[0].Burst = float64(50+rng.IntN(1000)), float64(10+rng.IntN(100))
	}
	for i := range rng.IntN(3) {
		name := fmt.Sprint("idle-", i)
		config.Tenants = append(config.Tenants, platformtest.ConfigTenant{Name: name, APIKeys: []string{"key-" + name}})
		config.Routes = append(config.Routes, platformtest.ConfigRoute{Name: name, Host: platformtest.Host, PathPrefix: "/" + name + "/", Type: "safe", TimeoutMs: 1000, Service: "app", Attempts: 1})
	}
	for i := range config.Routes {
		if config.Routes[i].Service == "app" && rng.IntN(3) == 0 {
			config.Routes[i].Service = "app2"
		}
		config.Routes[i].TimeoutMs = 3500 + rng.IntN(1000)
	}
	config.Services = append(config.Services, map[string]any{"name": "app2", "healthPath": "/healthz", "maxConnections": 100})
	return config
}

// Guards against answers that are cut by changes of the configuration, reloads and planned
// stops, and against whole turns that are not stored.
func TestSoakPlannedWork(t *testing.T) {
	hangups := make(chan os.Signal, 1) // no SIGHUP ends the test
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	first, seeds := intFromEnv("ENDIVE_SOAK_FIRST", 1), intFromEnv("ENDIVE_SOAK_SEEDS", 2)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { soakPlannedWork(t, uint64(seed)) })
	}
}

func intFromEnv(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

func soakPlannedWork(t *testing.T, seed uint64) {
	const callers = 6
	rng := rand.New(rand.NewPCG(seed, 0))
	s := &plannedSoak{testSite: newTestSite(t), statuses: make(map[string]int), events: 1 + rng.IntN(6), answers: rng.IntN(20_000)}
	s.site.PutConfig(plannedConfig(rng))
	var stops []func()
	for _, domain := range []string{"near-a", "near-b", "far-a"}[:2+rng.IntN(2)] {
		vm := s.site.AddVM(domain)
		s.vms = append(s.vms, vm)
		s.paths[vm] = newTargetPaths()
		stops = append(stops, s.startWithDrain(vm, 7500*time.Millisecond))
	}
	for _, vm := range s.vms {
		s.waitReady(vm)
	}
	for n, service := range []string{"app", "app", "app2", "engine", "engine"} {
		target := s.addTarget(fmt.Sprint(service, "-", n), service, []string{"near-a", "near-b"}[n%2])
		pause := time.Duration(rng.IntN(30)) * time.Millisecond
		if rng.IntN(4) == 0 {
			pause *= 14 // answers that last longer than the VM leaves the rotation
		}
		target.Set(platformtest.Behaviour{
			Events: s.events, Duration: pause,
			AnswerBytes: s.answers, EndsWithConnection: rng.IntN(2) == 0,
		})
		s.targets = append(s.targets, target)
	}
	isForwarding := rng.IntN(3) == 0
	if isForwarding {
		s.paths[s.vms[0]].set(pathsReset)
		s.waitUntil("forwarded", func() bool { return s.send(request{path: "/read/1"}).status == http.StatusOK })
	}
	s.site.Store.SetFaults(rows.Faults{Delay: time.Duration(rng.IntN(40)) * time.Millisecond})
	end := make(chan struct{})
	var running, changing sync.WaitGroup
	all := make([]*soakCaller, callers)
	for n := range all {
		c := &soakCaller{plannedSoak: s, rng: rand.New(rand.NewPCG(seed, uint64(n+1))), name: fmt.Sprintf("p%d-%d", seed, n)}
		transport := &http.Transport{DisableCompression: true, DisableKeepAlives: n%3 == 0}
		c.client = &http.Client{Transport: transport}
		t.Cleanup(transport.CloseIdleConnections)
		all[n] = c
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					return
				default:
					c.send(n)
				}
			}
		})
	}
	changing.Go(func() {
		for {
			select {
			case <-end:
				return
			case <-time.After(time.Duration(1+rng.IntN(20)) * time.Millisecond):
				s.site.PutConfig(plannedConfig(rng))
				if rng.IntN(20) == 0 {
					_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
				}
			}
		}
	})
	time.Sleep(time.Second)
	stop := int(seed) % len(s.vms)
	s.begun.Store(int64(stop + 1))
	began := time.Now()
	stops[stop]()
	took := time.Since(began).Round(time.Millisecond)
	s.stopped.Store(true)
	time.Sleep(300 * time.Millisecond)
	close(end)
	running.Wait()
	changing.Wait()
	s.site.PutConfig(platformtest.BasicConfig())
	s.paths[s.vms[0]].set(pathsUp)
	t.Logf("seed %d: %d VMs, forwarding %t, VM %d stopped in %s, %d events, %d bytes: %v", seed, len(s.vms), isForwarding, stop+1, took, s.events, s.answers, s.statuses)
	for _, broken := range s.broken {
		t.Error(broken)
	}
	for _, c := range all {
		c.checkStored(s.vms[(stop+1)%len(s.vms)])
	}
	assert.Equal(t, len(s.logs.lines("panicked"))+len(s.logs.lines("stopped: ")), 0, s.logs.lines("stopped: "))
}

// checkStored continues the caller's last turn: the target must get all turns before it.
func (c *soakCaller) checkStored(vm *platformtest.VM) {
	if c.previous == "" {
		return
	}
	id := ""
	for n := 0; n < 20; n++ {
		id = fmt.Sprintf("%s-last-%d", c.name, n)
		r := c.sendAs(id, request{vm: vm, path: "/chat/1", body: "end", header: map[string]string{platformtest.HeaderPrevious: c.previous}})
		if r.status == http.StatusOK {
			break
		}
		assert.Equal(c.t, r.status, http.StatusServiceUnavailable, "turn %s: %s", c.previous, r.body)
		time.Sleep(200 * time.Millisecond)
	}
	for _, target := range c.targets {
		for _, run := range target.Runs() {
			if run.ID == id {
				assert.Equal(c.t, run.Body, c.prompt+"end")
				return
			}
		}
	}
	c.t.Errorf("turn %s of %s can't be continued", c.previous, c.name)
}
