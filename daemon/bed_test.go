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

// newBedOfOne makes a site of one VM, whose daemon stop ends.
func newBedOfOne(t *testing.T) (b *bed, vm *platformtest.VM, stop func()) {
	b = newBed(t)
	vm = b.site.AddVM("near-a")
	b.vms = []*platformtest.VM{vm}
	stop = b.start(vm)
	b.waitReady(vm)
	return b, vm, stop
}

// start runs a daemon and returns what stops it.
func (b *bed) start(vm *platformtest.VM) (stop func()) {
	loaded, err := platform.LoadSettings(vm.SettingsPath)
	assert.NilError(b.t, err)
	e, err := newEndived(loaded, vm.SettingsPath, slog.New(slog.NewJSONHandler(b.logs, nil)).With("vm", vm.Name))
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
		resp, err := b.client.Get("http://" + vm.ReadinessAddress + "/readyz")
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
	b.site.ListTarget(target, domain)
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
