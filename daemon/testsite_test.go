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

	"github.com/endivecourse/endivecourse/hop"
	"github.com/endivecourse/endivecourse/platform"
	"github.com/endivecourse/endivecourse/platform/platformtest"
)

// logBuffer collects the log lines of all daemons of a site.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// lines returns the lines that contain all of the texts.
func (b *logBuffer) lines(texts ...string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for _, line := range strings.Split(b.text.String(), "\n") {
		hasAll := line != ""
		for _, text := range texts {
			hasAll = hasAll && strings.Contains(line, text)
		}
		if hasAll {
			found = append(found, line)
		}
	}
	return found
}

// tail returns the last count lines.
func (b *logBuffer) tail(count int) string {
	lines := b.lines("")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// testSite is a site whose daemons run in the test process.
type testSite struct {
	t            *testing.T
	site         *platformtest.Site
	vms          []*platformtest.VM
	logs         *logBuffer
	client       *http.Client
	paths        map[*platformtest.VM]*targetPaths // of VMs whose paths a test cuts
	requestCount int
}

func newTestSite(t *testing.T, domains ...string) *testSite {
	b := &testSite{t: t, site: platformtest.NewSite(t), logs: &logBuffer{}, paths: make(map[*platformtest.VM]*targetPaths)}
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

// newSingleVMSite creates a site of one VM and returns a function that stops its daemon.
func newSingleVMSite(t *testing.T) (b *testSite, vm *platformtest.VM, stop func()) {
	b = newTestSite(t)
	vm = b.site.AddVM("near-a")
	b.vms = []*platformtest.VM{vm}
	stop = b.start(vm)
	b.waitReady(vm)
	return b, vm, stop
}

// start runs the daemon of a VM and returns a function that stops it at once.
func (b *testSite) start(vm *platformtest.VM) (stop func()) {
	return b.startWithDrain(vm, time.Millisecond)
}

// startWithDrain runs the daemon of a VM and returns a function that stops it; the daemon
// drains for at most the given time.
func (b *testSite) startWithDrain(vm *platformtest.VM, drain time.Duration) (stop func()) {
	loaded, err := platform.LoadSettings(vm.SettingsPath)
	assert.NilError(b.t, err)
	var dialTarget hop.DialFunc
	if b.paths[vm] != nil {
		dialTarget = b.paths[vm].dial
	}
	e, err := newEndived(loaded, vm.SettingsPath, dialTarget, slog.New(slog.NewJSONHandler(b.logs, nil)).With("vm", vm.Name))
	assert.NilError(b.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.kernel.Run(ctx, drain) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			b.logs.Write([]byte("stopped: " + err.Error()))
		}
	})
	b.t.Cleanup(stop)
	return stop
}

func (b *testSite) waitReady(vm *platformtest.VM) {
	b.t.Helper()
	b.waitReadiness(vm, http.StatusOK)
}

// waitReadiness waits until the readiness probe of a VM returns the status.
func (b *testSite) waitReadiness(vm *platformtest.VM, status int) {
	b.t.Helper()
	b.waitUntil("readiness "+http.StatusText(status), func() bool {
		resp, err := b.client.Get("http://" + vm.ReadinessAddress + "/readyz")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == status
	})
}

func (b *testSite) waitUntil(condition string, isMet func() bool) {
	b.t.Helper()
	for end := time.Now().Add(10 * time.Second); !isMet(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatalf("condition %q not met within 10 s\n%s", condition, b.logs.tail(40))
		}
	}
}

// addTarget starts and lists a target and waits until every VM has logged it.
func (b *testSite) addTarget(id, service, domain string) *platformtest.Target {
	b.t.Helper()
	target := platformtest.NewTarget(id, service, service == "engine")
	b.t.Cleanup(target.Close)
	b.site.ListTarget(target, domain)
	b.waitUntil("target listed", func() bool { return len(b.logs.lines(`"target listed"`, `"`+id+`"`)) >= len(b.vms) })
	return target
}

// request is one request of a caller. The zero method is POST, the zero VM the first one
// and the zero key "key-one"; the key "none" sends no key.
type request struct {
	vm     *platformtest.VM
	method string
	path   string
	key    string
	body   string
	header map[string]string
	// client is the HTTP client, nil for that of the site. The caller pauses for readPause
	// after each few bytes of the response.
	client    *http.Client
	readPause time.Duration
}

// slowReader reads a few bytes at a time.
type slowReader struct {
	io.Reader
	pause time.Duration
}

func (r slowReader) Read(p []byte) (int, error) {
	const atOnce = 512
	time.Sleep(r.pause)
	return r.Reader.Read(p[:min(len(p), atOnce)])
}

// response is what the caller received; err is set if the response is incomplete or there
// was none.
type response struct {
	id     string
	status int
	header http.Header
	body   string
	closes bool // the connection ends with the response
	err    error
}

func (b *testSite) send(c request) response {
	b.t.Helper()
	b.requestCount++
	return b.sendAs(fmt.Sprintf("%s-%d", strings.NewReplacer("/", "-").Replace(b.t.Name()), b.requestCount), c)
}

// sendAs sends a request with an ID. It may be called from several goroutines.
func (b *testSite) sendAs(id string, c request) response {
	b.t.Helper()
	if c.vm == nil {
		c.vm = b.vms[0]
	}
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.key == "" {
		c.key = "key-one"
	}
	req, err := http.NewRequest(c.method, "http://"+c.vm.CallerAddress+c.path, strings.NewReader(c.body))
	assert.NilError(b.t, err)
	req.Host = platformtest.Host
	req.Header.Set(platformtest.HeaderRequestID, id)
	req.Header.Set(platformtest.HeaderDeadline, "4000")
	if c.key != "none" {
		req.Header.Set(platformtest.HeaderKey, c.key)
	}
	for name, value := range c.header {
		req.Header.Set(name, value)
	}
	if c.client == nil {
		c.client = b.client
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return response{id: id, err: err}
	}
	defer resp.Body.Close()
	var reader io.Reader = resp.Body
	if c.readPause > 0 {
		reader = slowReader{resp.Body, c.readPause}
	}
	body, err := io.ReadAll(reader)
	return response{id: id, status: resp.StatusCode, header: resp.Header, body: string(body), closes: resp.Close, err: err}
}

// sendTurn sends a turn of the test's program. It continues the turn with the ID previous,
// or starts a conversation if previous is empty.
func (b *testSite) sendTurn(vm *platformtest.VM, previous, input string) response {
	b.t.Helper()
	header := map[string]string{
		platformtest.HeaderProgram: "program-" + b.t.Name(),
		platformtest.HeaderBudget:  "1000",
		platformtest.HeaderUsage:   "100,30",
	}
	if previous != "" {
		header[platformtest.HeaderPrevious] = previous
	}
	return b.send(request{vm: vm, path: "/chat/1", body: input, header: header})
}
