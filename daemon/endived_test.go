package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/platform"
	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the lines that hold all the texts.
func (b *logBuffer) lines(texts ...string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for _, line := range strings.Split(b.text.String(), "\n") {
		all := line != ""
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			found = append(found, line)
		}
	}
	return found
}

// tail returns the last lines.
func (b *logBuffer) tail(count int) string {
	lines := b.lines("")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// bed is a site with running daemons in this process.
type bed struct {
	t      *testing.T
	site   *platformtest.Site
	vms    []*platformtest.VM
	logs   *logBuffer
	client *http.Client
	next   int
}

func newBed(t *testing.T, domains ...string) *bed {
	b := &bed{t: t, site: platformtest.NewSite(t), logs: &logBuffer{}}
	b.client = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 16}}
	t.Cleanup(b.client.CloseIdleConnections)
	b.site.PutConfig(platformtest.BasicConfig())
	for _, domain := range domains {
		b.vms = append(b.vms, b.site.AddVM(domain))
	}
	for _, vm := range b.vms {
		b.start(vm)
	}
	for _, vm := range b.vms {
		b.waitReady(vm)
	}
	return b
}

// start runs a daemon and returns what stops it.
func (b *bed) start(vm *platformtest.VM) (stop func()) {
	loaded, err := platform.LoadSettings(vm.Settings)
	assert.NilError(b.t, err)
	e, err := newEndived(loaded, vm.Settings, slog.New(slog.NewJSONHandler(b.logs, nil)).With("vm", vm.Name))
	assert.NilError(b.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.kernel.Run(ctx, time.Millisecond) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			b.logs.Write([]byte("stopped: " + err.Error()))
		}
	})
	b.t.Cleanup(stop)
	return stop
}

func (b *bed) waitReady(vm *platformtest.VM) {
	b.t.Helper()
	b.until("ready", func() bool {
		resp, err := b.client.Get("http://" + vm.Readiness + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func (b *bed) until(what string, holds func() bool) {
	b.t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("%s: not within 10 s\n%s", what, b.logs.tail(40))
		}
	}
}

// target lists a target and waits until each VM knows it.
func (b *bed) target(id, service, domain string) *platformtest.Target {
	b.t.Helper()
	target := platformtest.NewTarget(id, service, service == "engine")
	b.t.Cleanup(target.Close)
	b.site.List(target, domain)
	b.until("target listed", func() bool { return len(b.logs.lines(`"target listed"`, `"`+id+`"`)) >= len(b.vms) })
	return target
}

// call is one request of a caller.
type call struct {
	vm     *platformtest.VM
	method string
	path   string
	key    string
	body   string
	header map[string]string
}

// reply is what the caller got; err says that the answer broke off.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

func (b *bed) do(c call) reply {
	b.t.Helper()
	b.next++
	id := fmt.Sprintf("%s-%d", strings.NewReplacer("/", "-").Replace(b.t.Name()), b.next)
	if c.vm == nil {
		c.vm = b.vms[0]
	}
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.key == "" {
		c.key = "key-one"
	}
	req, err := http.NewRequest(c.method, "http://"+c.vm.Callers+c.path, strings.NewReader(c.body))
	assert.NilError(b.t, err)
	req.Host = platformtest.Host
	req.Header.Set(platformtest.HeaderID, id)
	req.Header.Set(platformtest.HeaderDeadline, "4000")
	if c.key != "none" {
		req.Header.Set(platformtest.HeaderKey, c.key)
	}
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{id: id, status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}

// turn sends a turn of a program that continues another.
func (b *bed) turn(vm *platformtest.VM, previous, input string) reply {
	b.t.Helper()
	header := map[string]string{
		platformtest.HeaderProgram: "program-" + b.t.Name(),
		platformtest.HeaderBudget:  "1000",
		platformtest.HeaderUsage:   "100,30",
	}
	if previous != "" {
		header[platformtest.HeaderPrevious] = previous
	}
	return b.do(call{vm: vm, path: "/chat/1", body: input, header: header})
}

// Requests reach the targets as sent, with the account's name in place of the
// key and the time left; answers come back unchanged.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	b := newBed(t, "near-a")
	app := b.target("app-1", "app", "near-a")
	got := b.do(call{method: http.MethodPost, path: "/order/7?x=%2F&y", body: "payload", header: map[string]string{
		"X-Custom": "kept", platformtest.HeaderAccount: "forged", "X-Endivecourse-Hold": "forged", "Kv-From": "forged",
	}})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, 200)
	assert.Equal(t, got.body, "answer to "+got.id)
	assert.Equal(t, got.header.Get(platformtest.HeaderStamp), "stamp-"+got.id)
	runs := app.Runs()
	assert.Equal(t, len(runs), 1)
	run := runs[0]
	assert.Equal(t, run.URI, "/order/7?x=%2F&y")
	assert.Equal(t, run.Body, "payload")
	assert.Equal(t, run.Header.Get("X-Custom"), "kept")
	assert.Equal(t, run.Header.Get(platformtest.HeaderAccount), "one")
	assert.Equal(t, run.Header.Get(platformtest.HeaderTarget), "app-1")
	assert.Equal(t, run.Header.Get(platformtest.HeaderKey), "")
	assert.Equal(t, run.Header.Get("X-Endivecourse-Hold"), "")
	assert.Equal(t, run.Header.Get("Kv-From"), "")
	var left int
	_, err := fmt.Sscan(run.Header.Get(platformtest.HeaderDeadline), &left)
	assert.NilError(t, err)
	assert.Assert(t, left > 2500 && left <= 3000, "%d ms left of the route's 3000", left)
}

// Keys, routes and public routes.
func TestWhatIsDenied(t *testing.T) {
	b := newBed(t, "near-a")
	app := b.target("app-1", "app", "near-a")
	for name, c := range map[string]struct {
		call   call
		status int
	}{
		"unknown key":         {call{path: "/read/1", key: "other"}, 401},
		"no key":              {call{path: "/read/1", key: "none"}, 401},
		"no route":            {call{path: "/nowhere/1"}, 404},
		"public without key":  {call{path: "/open/1", key: "none"}, 200},
		"body over the limit": {call{path: "/read/1", body: strings.Repeat("x", 1<<20+1)}, 413},
	} {
		got := b.do(c.call)
		assert.NilError(t, got.err, name)
		assert.Equal(t, got.status, c.status, name)
	}
	assert.Equal(t, len(app.Runs()), 1)
	assert.Equal(t, app.Runs()[0].Header.Get(platformtest.HeaderAccount), "")
}

// A withdrawn key stops working on a connected caller, and a new version never
// gives way to an older one.
func TestNewConfigurationIsInForce(t *testing.T) {
	b := newBed(t, "near-a", "near-b")
	b.target("app-1", "app", "near-a")
	assert.Equal(t, b.do(call{path: "/read/1"}).status, 200)
	config := platformtest.BasicConfig()
	config.Tenants[0].APIKeys = []string{"key-new"}
	b.site.PutConfig(config)
	for _, vm := range b.vms {
		b.until("withdrawn", func() bool { return b.do(call{vm: vm, path: "/read/1"}).status == 401 })
		assert.Equal(t, b.do(call{vm: vm, path: "/read/1", key: "key-new"}).status, 200)
	}
}

// A conversation goes on at any VM and after all VMs were lost.
func TestConversationSurvivesAllVMs(t *testing.T) {
	b := newBed(t)
	vms := []*platformtest.VM{b.site.AddVM("near-a"), b.site.AddVM("far-a")}
	b.vms = vms
	stops := []func(){b.start(vms[0]), b.start(vms[1])}
	b.waitReady(vms[0])
	b.waitReady(vms[1])
	engine := b.target("engine-1", "engine", "near-a")
	first := b.turn(vms[0], "", "first ")
	assert.Equal(t, first.status, 200, first.body)
	second := b.turn(vms[1], first.id, "second ")
	assert.Equal(t, second.status, 200, second.body)
	for _, stop := range stops {
		stop()
	}
	b.start(vms[0])
	b.waitReady(vms[0])
	b.until("target known", func() bool { return b.turn(vms[0], second.id, "third ").status == 200 })
	runs := engine.Runs()
	want := "first " + events(first.id, 3) + "second " + events(second.id, 3) + "third "
	assert.Equal(t, runs[len(runs)-1].Body, want)
	assert.Equal(t, b.turn(vms[0], "nothing", "x").status, 404)
	foreign := b.do(call{vm: vms[0], path: "/chat/1", key: "key-two", header: map[string]string{platformtest.HeaderPrevious: first.id}})
	assert.Equal(t, foreign.status, 404)
}

func events(id string, count int) string {
	text := ""
	for n := 1; n <= count; n++ {
		text += platformtest.EventData(id, n) + "\n"
	}
	return text
}

// The end of a turn's answer is never seen before the turn is stored: with the
// store gone in the middle of the stream the answer stays open and breaks off.
func TestTurnIsStoredBeforeItsEnd(t *testing.T) {
	b := newBed(t, "near-a")
	engine := b.target("engine-1", "engine", "near-a")
	engine.Set(platformtest.Behaviour{Events: 3, Work: 100 * time.Millisecond})
	done := make(chan reply, 1)
	go func() { done <- b.turn(b.vms[0], "", "first ") }()
	b.until("running", func() bool { return engine.Running() == 1 })
	time.Sleep(50 * time.Millisecond) // the reservation is stored meanwhile
	b.vms[0].Gate.Set(platformtest.GateBusy)
	got := <-done
	assert.Assert(t, got.err != nil, "the answer looks whole: %q", got.body)
	b.vms[0].Gate.Set(platformtest.GateOpen)
	b.until("404", func() bool { return b.turn(b.vms[0], got.id, "second ").status == 404 })
}

// A VM that the store turns away serves turns through its peers, whichever way
// it is turned away.
func TestStoreIsReachedThroughPeers(t *testing.T) {
	for name, mode := range map[string]platformtest.GateMode{
		"busy": platformtest.GateBusy, "many": platformtest.GateMany,
		"reset": platformtest.GateReset, "silent": platformtest.GateSilent,
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, "near-a", "near-b")
			b.target("engine-1", "engine", "near-a")
			b.until("peers", func() bool { return len(b.logs.lines(`"peer `)) >= 2 })
			first := b.turn(b.vms[0], "", "first ")
			assert.Equal(t, first.status, 200)
			b.vms[0].Gate.Set(mode)
			b.until("turn through the peer", func() bool { return b.turn(b.vms[0], first.id, "second ").status == 200 })
			config := platformtest.BasicConfig()
			config.Tenants[0].APIKeys = []string{"key-new"}
			b.site.PutConfig(config)
			b.until("configuration through the peer", func() bool { return b.do(call{vm: b.vms[0], path: "/read/1"}).status == 401 })
		})
	}
}

// A store that is away from all VMs is said so at once, with the time to come
// back; requests that need no store go on.
func TestStoreAwayFromAll(t *testing.T) {
	b := newBed(t, "near-a")
	b.target("engine-1", "engine", "near-a")
	b.target("app-1", "app", "near-a")
	b.vms[0].Gate.Set(platformtest.GateBusy)
	b.until("away", func() bool {
		got := b.turn(b.vms[0], "", "x")
		return got.status == 503 && got.header.Get("Retry-After") != ""
	})
	start := time.Now()
	assert.Equal(t, b.turn(b.vms[0], "", "x").status, 503)
	assert.Assert(t, time.Since(start) < 200*time.Millisecond)
	assert.Equal(t, b.do(call{path: "/read/1"}).status, 200)
}

// A budget holds over VMs; a spent one is told only when it is spent.
func TestBudgetOfProgram(t *testing.T) {
	b := newBed(t, "near-a", "near-b")
	b.target("engine-1", "engine", "near-a") // 3 events of 10 tokens a turn
	header := map[string]string{platformtest.HeaderProgram: "p", platformtest.HeaderBudget: "60", platformtest.HeaderUsage: "100,30"}
	var statuses []int
	for i := range 3 {
		statuses = append(statuses, b.do(call{vm: b.vms[i%2], path: "/chat/1", body: "x", header: header}).status)
		time.Sleep(900 * time.Millisecond) // until the turn is settled
	}
	assert.DeepEqual(t, statuses, []int{200, 200, 402})
}

// Turns that generate less than an event holds count a whole event each.
func TestShortTurnsCountWholeEvents(t *testing.T) {
	b := newBed(t, "near-a")
	engine := b.target("engine-1", "engine", "near-a")
	engine.Set(platformtest.Behaviour{Events: 1}) // 10 tokens
	header := map[string]string{platformtest.HeaderProgram: "p", platformtest.HeaderBudget: "40", platformtest.HeaderUsage: "100,3"}
	served := 0
	for range 12 {
		if b.do(call{path: "/chat/1", body: "x", header: header}).status == 200 {
			served++
		}
	}
	// The budget and one turn's most; one turn's tokens may be reserved for a
	// continuation that does not come.
	assert.Assert(t, served >= 3 && served <= 5, "%d turns of 10 tokens on a budget of 40", served)
}

// A turn runs while its tokens are being reserved if the budget has room for it,
// but not the first turn of a program at a VM that has just come back.
func TestTurnRunsWhileItIsReserved(t *testing.T) {
	const storeTime = 250 * time.Millisecond
	b := newBed(t)
	vm := b.site.AddVM("near-a")
	b.vms = []*platformtest.VM{vm}
	stop := b.start(vm)
	b.waitReady(vm)
	engine := b.target("engine-1", "engine", "near-a")
	startsAfter := func(program string) time.Duration {
		header := map[string]string{platformtest.HeaderProgram: program, platformtest.HeaderBudget: "300", platformtest.HeaderUsage: "100,30"}
		start := time.Now()
		assert.Equal(t, b.do(call{path: "/chat/1", body: "x", header: header}).status, 200)
		runs := engine.Runs()
		return runs[len(runs)-1].At.Sub(start)
	}
	startsAfter("warm-up")
	b.site.Store.SetFaults(rows.Faults{Delay: storeTime})
	assert.Assert(t, startsAfter("new") < storeTime/2)
	assert.Assert(t, startsAfter("new") < storeTime/2)
	stop()
	b.site.Store.SetFaults(rows.Faults{})
	b.site.EndFirstStart()
	b.start(vm)
	b.until("ready again", func() bool { return b.do(call{path: "/open/1", method: http.MethodGet}).status != 0 })
	b.until("listed again", func() bool { return len(b.logs.lines(`"target listed"`, `"engine-1"`)) >= 2 })
	b.site.Store.SetFaults(rows.Faults{Delay: storeTime})
	assert.Assert(t, startsAfter("other") >= storeTime)
	assert.Assert(t, startsAfter("other") < storeTime/2)
}

// A turn that runs before its reservation is stored shows its caller nothing until
// then, and does not claim that it has not run.
func TestEarlyTurnShowsNothingUnreserved(t *testing.T) {
	b := newBed(t, "near-a")
	engine := b.target("engine-1", "engine", "near-a")
	assert.Equal(t, b.turn(b.vms[0], "", "warm-up").status, 200)
	b.site.Store.SetFaults(rows.Faults{Delay: 3 * time.Second})
	header := map[string]string{platformtest.HeaderProgram: "other", platformtest.HeaderBudget: "1000", platformtest.HeaderUsage: "100,30"}
	got := b.do(call{path: "/chat/1", body: "x", header: header})
	b.site.Store.SetFaults(rows.Faults{})
	assert.Equal(t, len(engine.Runs()), 2)
	assert.Equal(t, got.status, 502)
	assert.Assert(t, !strings.Contains(got.body, "piece"), got.body)
}

// A program that was stopped comes back with a first turn after all VMs were
// lost, and does not run.
func TestStoppedProgramComesBack(t *testing.T) {
	b := newBed(t)
	vm := b.site.AddVM("near-a")
	b.vms = []*platformtest.VM{vm}
	stop := b.start(vm)
	b.waitReady(vm)
	engine := b.target("engine-1", "engine", "near-a")
	header := map[string]string{platformtest.HeaderProgram: "p", platformtest.HeaderBudget: "30", platformtest.HeaderUsage: "100,30"}
	turn := call{path: "/chat/1", body: "x", header: header}
	assert.Equal(t, b.do(turn).status, 200)
	assert.Equal(t, b.do(turn).status, 402)
	stop()
	b.site.EndFirstStart()
	b.start(vm)
	b.until("402", func() bool { return b.do(turn).status == 402 })
	assert.Equal(t, len(engine.Runs()), 1)
}
