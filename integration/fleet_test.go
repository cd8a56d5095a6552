package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/caller"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/internal/site"
	"github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/internal/standin/plain"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// startTimeout bounds how long the fleet takes until all gateways are ready and
// all slots are owned.
const startTimeout = 60 * time.Second

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "endivecourse")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/gatewayd", "../cmd/schedulerd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// daemonProcess is one daemon of the fleet. cmd is nil after kill, until the
// daemon is started again.
type daemonProcess struct {
	settings settings.Daemon
	file     string
	binary   string
	cmd      *exec.Cmd
}

// fleet is one site: nine VMs, each with both daemons, and the stand-ins.
type fleet struct {
	t          testing.TB
	site       *site.Site
	document   config.Document
	gateways   []*daemonProcess
	schedulers []*daemonProcess
	keys       map[structs.AccountID]string
	// links are the forwarders to the scheduler of a VM, stores those from it to
	// the platform. Both are nil without hasForwarders.
	links, stores map[structs.VMID]*forwarder
}

// fleetOptions selects an example and changes to its files.
type fleetOptions struct {
	name   string // of the example
	engine engine.Options
	plain  plain.Options
	// changeSettings edits the settings of every daemon, document the
	// configuration document.
	changeSettings func(*settings.Daemon)
	document       func(*config.Document)
	// hasForwarders puts a forwarder in front of each scheduler and one between
	// each scheduler and the platform, so that tests can interrupt the connections.
	hasForwarders bool
}

func startFleet(t testing.TB, opts fleetOptions) *fleet {
	t.Helper()
	dir := filepath.Join("..", "examples", opts.name)
	ports := newPortMap(t, dir)
	f := &fleet{t: t, keys: readKeys(t, dir)}
	f.document = readDocument(t, dir, ports)
	if opts.document != nil {
		opts.document(&f.document)
	}
	for _, name := range schedulerFiles(t, dir) {
		f.schedulers = append(f.schedulers, f.load(dir, name, "schedulerd", ports))
		f.gateways = append(f.gateways, f.load(dir, strings.Replace(name, "schedulerd", "gatewayd", 1), "gatewayd", ports))
	}
	platformAddr := strings.TrimPrefix(f.schedulers[0].settings.Platform.URL, "http://")
	if opts.hasForwarders {
		f.insertForwarders(platformAddr)
	}
	var vms []backing.VM
	for i, scheduler := range f.schedulers {
		f.write(scheduler, opts.changeSettings)
		f.write(f.gateways[i], opts.changeSettings)
		vms = append(vms, backing.VM{
			ID: scheduler.settings.VM, Domain: scheduler.settings.Domain, State: backing.VMLive,
			Scheduler: scheduler.settings.Listen.AdvertisedAddr(), Gateway: f.gateways[i].settings.Listen.Callers,
		})
	}
	started, err := site.Start(t.Context(), site.Options{
		Document:     f.document,
		PlatformAddr: platformAddr,
		VMs:          vms,
		Engine:       opts.engine,
		Plain:        opts.plain,
	})
	assert.NilError(t, err)
	f.site = started
	t.Cleanup(f.stop)
	for i := range f.schedulers {
		f.start(f.schedulers[i])
		f.start(f.gateways[i])
	}
	f.waitReady()
	return f
}

func schedulerFiles(t testing.TB, dir string) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*schedulerd.jsonc"))
	assert.NilError(t, err)
	assert.Equal(t, len(paths), 9)
	names := make([]string, len(paths))
	for i, path := range paths {
		names[i] = filepath.Base(path)
	}
	return names
}

var loopbackPort = regexp.MustCompile(`127\.0\.0\.1:(2[12]\d{3})`)

const (
	// portStep is the distance between two sets of ports; the examples use 21000
	// to 22999. All sets lie below the ephemeral port range of the system.
	portStep = 2000
	portSets = 5
	// portMarker is an address that the examples don't use. A listener on it marks a set of ports
	// as used, since the daemons of a run open theirs one after the other.
	portMarker = "127.0.0.1:22999"
)

// newPortMap returns a function that replaces the example addresses in a text by
// those of the first set of ports that are all free. No other run gets the set until the test
// ends.
func newPortMap(t testing.TB, dir string) func(string) string {
	t.Helper()
	ports := exampleAddrs(t, dir)
	for set := range portSets {
		marker, err := net.Listen("tcp", shiftPorts(portMarker, set*portStep))
		if err != nil {
			continue // in use by another run
		}
		if areFree(ports, set*portStep) {
			t.Cleanup(func() { marker.Close() })
			return func(text string) string { return shiftPorts(text, set*portStep) }
		}
		marker.Close()
	}
	t.Fatal("each set of ports has a port in use")
	return nil
}

func shiftPorts(text string, offset int) string {
	return loopbackPort.ReplaceAllStringFunc(text, func(addr string) string {
		port, err := strconv.Atoi(addr[strings.Index(addr, ":")+1:])
		if err != nil {
			return addr
		}
		return fmt.Sprintf("127.0.0.1:%d", port+offset)
	})
}

func exampleAddrs(t testing.TB, dir string) map[string]bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.jsonc"))
	assert.NilError(t, err)
	ports := make(map[string]bool)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		for _, addr := range loopbackPort.FindAllString(string(text), -1) {
			ports[addr] = true
		}
	}
	return ports
}

func areFree(addrs map[string]bool, offset int) bool {
	for addr := range addrs {
		listener, err := net.Listen("tcp", shiftPorts(addr, offset))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

func readDocument(t testing.TB, dir string, ports func(string) string) config.Document {
	t.Helper()
	sources, err := config.ReadSources(filepath.Join(dir, "base.jsonc"), filepath.Join(dir, "overlay.jsonc"))
	assert.NilError(t, err)
	for i := range sources {
		sources[i].Data = []byte(ports(string(sources[i].Data)))
	}
	document, err := config.Parse(sources...)
	assert.NilError(t, err)
	return document
}

var keyRow = regexp.MustCompile("(?m)^\\| ([a-z-]+) \\| `(ek_[^`]+)` \\|")

func readKeys(t testing.TB, dir string) map[structs.AccountID]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(dir, "EXAMPLE-KEYS.md"))
	assert.NilError(t, err)
	keys := make(map[structs.AccountID]string)
	for _, row := range keyRow.FindAllStringSubmatch(string(text), -1) {
		keys[structs.AccountID(row[1])] = row[2]
	}
	assert.Assert(t, len(keys) > 0)
	return keys
}

// load reads the settings file of a daemon from an example.
func (f *fleet) load(dir, name, binary string, ports func(string) string) *daemonProcess {
	text, err := os.ReadFile(filepath.Join(dir, name))
	assert.NilError(f.t, err)
	loaded, err := settings.Parse(name, []byte(ports(string(text))))
	assert.NilError(f.t, err)
	return &daemonProcess{settings: loaded, file: filepath.Join(f.t.TempDir(), name), binary: binary}
}

// write applies change to the settings of a daemon and writes the settings file
// that it is started with.
func (f *fleet) write(d *daemonProcess, change func(*settings.Daemon)) {
	if change != nil {
		change(&d.settings)
	}
	text, err := json.Marshal(d.settings)
	assert.NilError(f.t, err)
	assert.NilError(f.t, os.WriteFile(d.file, text, 0o600))
}

// insertForwarders routes all connections between daemons, and those of schedulers
// to the platform, through forwarders.
func (f *fleet) insertForwarders(platformAddr string) {
	f.links = make(map[structs.VMID]*forwarder)
	f.stores = make(map[structs.VMID]*forwarder)
	addrs := make(map[structs.DomainID][]string)
	for _, d := range f.schedulers {
		link := startForwarder(f.t, d.settings.Listen.Wire)
		store := startForwarder(f.t, platformAddr)
		f.links[d.settings.VM], f.stores[d.settings.VM] = link, store
		d.settings.Listen.Advertise = link.addr()
		d.settings.Platform.URL = "http://" + store.addr()
		addrs[d.settings.Domain] = append(addrs[d.settings.Domain], link.addr())
	}
	for _, d := range append(f.schedulers, f.gateways...) {
		d.settings.Schedulers = addrs
	}
}

func (f *fleet) start(d *daemonProcess) {
	d.cmd = exec.Command(filepath.Join(binaries, d.binary), "--settings", d.file)
	log, err := os.OpenFile(d.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(f.t, err)
	defer log.Close()
	d.cmd.Stderr = log
	assert.NilError(f.t, d.cmd.Start())
}

// kill ends a daemon with SIGKILL.
func (f *fleet) kill(d *daemonProcess) {
	f.t.Logf("kill %s on %s", d.binary, d.settings.VM)
	f.signal(d, syscall.SIGKILL)
	_ = d.cmd.Wait() // reports the signal
	d.cmd = nil
}

func (f *fleet) signal(d *daemonProcess, s syscall.Signal) {
	assert.NilError(f.t, d.cmd.Process.Signal(s))
}

func (f *fleet) stop() {
	for _, d := range append(f.schedulers, f.gateways...) {
		if d.cmd == nil {
			continue
		}
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
		if f.t.Failed() {
			log, _ := os.ReadFile(d.file + ".log")
			f.t.Logf("%s on %s:\n%s", d.binary, d.settings.VM, logTail(log))
		}
	}
	f.site.Close()
}

const maxLogShown = 2000 // bytes

func logTail(log []byte) []byte { return log[max(0, len(log)-maxLogShown):] }

// client returns a client of a gateway.
func (f *fleet) client(d *daemonProcess, account structs.AccountID) *caller.Client {
	return caller.New("http://"+d.settings.Listen.Callers, f.keys[account], nil)
}

func (f *fleet) waitReady() {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), startTimeout)
	defer cancel()
	for _, d := range f.gateways {
		for !isReady(ctx, "http://"+d.settings.Listen.Callers+"/readyz") {
			assert.NilError(f.t, ctx.Err(), "gateway on %s", d.settings.VM)
			time.Sleep(20 * time.Millisecond)
		}
	}
	for f.ownedSlots() < 3*f.schedulers[0].settings.Lease.Slots {
		assert.NilError(f.t, ctx.Err(), "only %d slots owned", f.ownedSlots())
		time.Sleep(50 * time.Millisecond)
	}
}

func isReady(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

type schedulerDump struct {
	Components struct {
		Scheduler struct {
			Owned []structs.Slot `json:"owned_slots"`
		} `json:"scheduler"`
	} `json:"components"`
}

// dump reads a scheduler's state dump.
func (f *fleet) dump(d *daemonProcess) (schedulerDump, error) {
	var dump schedulerDump
	response, err := http.Get(fmt.Sprintf("http://%s/dump", d.settings.Listen.Admin))
	if err != nil {
		return dump, err
	}
	defer response.Body.Close()
	return dump, json.NewDecoder(response.Body).Decode(&dump)
}

func (f *fleet) ownedSlots() int {
	owned := 0
	for _, d := range f.schedulers {
		if dump, err := f.dump(d); err == nil {
			owned += len(dump.Components.Scheduler.Owned)
		}
	}
	return owned
}

// ownerOf returns the scheduler that owns a program, given by the ID that callers
// see. It waits while the slot moves between owners.
func (f *fleet) ownerOf(public structs.ProgramID) *daemonProcess {
	f.t.Helper()
	id := structs.ProgramID(strings.Replace(string(public), "~", "/", 1))
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(50 * time.Millisecond) {
		if d := f.findOwner(id); d != nil {
			return d
		}
	}
	f.t.Fatalf("no scheduler owns %s", id)
	return nil
}

func (f *fleet) findOwner(id structs.ProgramID) *daemonProcess {
	for _, d := range f.schedulers {
		if d.cmd == nil || d.settings.Domain != id.HomeDomain() {
			continue
		}
		dump, err := f.dump(d)
		if err == nil && slices.Contains(dump.Components.Scheduler.Owned, program.SlotOf(id, d.settings.Lease.Slots)) {
			return d
		}
	}
	return nil
}
