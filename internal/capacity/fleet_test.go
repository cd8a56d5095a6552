package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/daemon"
	standin "github.com/endivecourse/endivecourse/internal/standin/platform"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// shape is the number of daemons, targets, client accounts and VMs of a test fleet.
type shape struct{ schedulers, gateways, targets, accounts, vms int }

// fleet is a failure domain whose daemons run in this process and listen on loopback.
type fleet struct {
	store      *config.Store
	doc        config.Document
	adminAddrs []string
	cancel     context.CancelFunc
	group      *errgroup.Group
	close      []func()
}

const testDomain structs.DomainID = "domain-0"

func startFleet(b *testing.B, s shape) *fleet {
	b.Helper()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"running":3,"waiting":0,"used_blocks":1000,"total_blocks":4000,"age":1000000}`)
	}))
	f := &fleet{doc: newDocument(b, s.accounts, s.targets, engine.URL), close: []func(){engine.Close}}
	wireAddrs, adminAddrs := freeAddrs(b, s.schedulers), freeAddrs(b, s.schedulers+s.gateways)
	var vms []backing.VM
	for i, addr := range wireAddrs {
		vms = append(vms, backing.VM{ID: structs.VMID(fmt.Sprint("vm-", i)), Domain: testDomain, State: backing.VMLive, Scheduler: addr})
	}
	for i := len(vms); i < s.vms; i++ {
		id := fmt.Sprint("runner-", i)
		vms = append(vms, backing.VM{ID: structs.VMID(id), Domain: "domain-1", State: backing.VMLive, Target: structs.TargetID(id)})
	}
	standinPlatform := standin.New(standin.Options{VMs: vms})
	platformServer := httptest.NewServer(standinPlatform.Handler())
	f.close = append(f.close, platformServer.Close)
	f.store = &config.Store{Table: standinPlatform.Services().Table}
	_, err := f.store.Publish(b.Context(), 0, "bench", f.doc)
	assert.NilError(b, err)
	f.adminAddrs = adminAddrs
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.group, ctx = errgroup.WithContext(ctx)
	log := slog.New(slog.DiscardHandler)
	for i := range s.schedulers + s.gateways {
		loaded := settings.Default()
		loaded.VM, loaded.Domain, loaded.Region = structs.VMID(fmt.Sprint("vm-", i)), testDomain, "region"
		loaded.Platform.URL = platformServer.URL
		loaded.Schedulers = map[structs.DomainID][]string{testDomain: wireAddrs}
		loaded.Listen.Admin = adminAddrs[i]
		build := daemon.BuildSchedulerd
		if i < s.schedulers {
			loaded.Listen.Wire = wireAddrs[i]
		} else {
			loaded.Listen.Callers = "127.0.0.1:0"
			build = daemon.BuildGatewayd
		}
		components, err := build(loaded, log)
		assert.NilError(b, err)
		f.group.Go(func() error { return kernel.New(log, components...).Run(ctx, time.Second) })
	}
	return f
}

func (f *fleet) stop() {
	f.cancel()
	_ = f.group.Wait() // the drain timeout is short, so slots may still be held when it expires
	for _, c := range f.close {
		c()
	}
}

// freeAddrs returns n loopback addresses that nothing listens on.
func freeAddrs(b *testing.B, n int) []string {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

func newDocument(tb testing.TB, accounts, targets int, engine string) config.Document {
	doc := config.Document{
		Domains:  map[structs.DomainID]config.Domain{testDomain: {Region: "region"}, "domain-1": {Region: "region"}},
		Accounts: make(map[structs.AccountID]config.Account),
		Programs: map[string]config.Program{"agent": {Budget: 1000, IdleLimit: settings.Duration(time.Hour), Services: []structs.ServiceID{"models"}}},
		Services: make(map[structs.ServiceID]config.Service),
	}
	service := config.Service{Kind: config.ServiceModel, IsRepeatable: true, Targets: make(map[structs.TargetID]config.Target)}
	for i := range targets {
		service.Targets[structs.TargetID(fmt.Sprintf("target-%d", i))] = config.Target{
			Domain: testDomain, URL: fmt.Sprintf("%s/t%d", engine, i), Protocol: "engine"}
	}
	doc.Services["models"] = service
	hex := strings.Repeat("0123456789abcdef", 4)
	for i := range accounts {
		keys := make(map[string]config.Key)
		for k := range 2 {
			keys[fmt.Sprintf("%012x%04x", i, k)] = config.Key{Salt: hex[:32], Hash: hex}
		}
		doc.Accounts[structs.AccountID(fmt.Sprintf("account-%d", i))] = config.Account{Rate: 10, Burst: 20, Programs: []string{"agent"}, Keys: keys}
	}
	assert.NilError(tb, doc.Check())
	return doc
}

// counters holds metrics summed over all daemons of a fleet, and the CPU time of the
// process.
type counters struct {
	control, data, platform, reads, writes, lists float64
	cpu                                           time.Duration
}

func (f *fleet) readCounters(b *testing.B) counters {
	b.Helper()
	var r counters
	for _, admin := range f.adminAddrs {
		response, err := http.Get("http://" + admin + "/metrics")
		assert.NilError(b, err)
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			r.addLine(scanner.Text())
		}
		response.Body.Close()
	}
	r.cpu = cpuTime()
	return r
}

func (r *counters) addLine(line string) {
	space := strings.LastIndexByte(line, ' ')
	value, err := strconv.ParseFloat(line[space+1:], 64)
	if err != nil {
		return
	}
	name := line[:max(0, space)]
	switch {
	case strings.HasPrefix(name, "endive_wire_bytes_total") && strings.Contains(name, `class="control"`):
		r.control += value
	case strings.HasPrefix(name, "endive_wire_bytes_total"):
		r.data += value
	case strings.HasPrefix(name, "endive_platform_bytes_total"):
		r.platform += value
	case strings.HasPrefix(name, `endive_platform_requests_total{op="table.get"`), strings.HasPrefix(name, `endive_platform_requests_total{op="object.get"`):
		r.reads += value
	case strings.HasPrefix(name, `endive_platform_requests_total{op="table.commit"`), strings.HasPrefix(name, `endive_platform_requests_total{op="object.put"`):
		r.writes += value
	case strings.HasPrefix(name, "endive_platform_requests_total") && strings.Contains(name, "list"):
		r.lists += value
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// settleTime is the time from the start of a fleet to the first measurement.
const settleTime = 6 * time.Second

const measureTime = 8 * time.Second

// reportCost reports the cost per daemon and second between two readings.
func (f *fleet) reportCost(b *testing.B, before, after counters, took time.Duration) {
	daemonSeconds := float64(len(f.adminAddrs)) * took.Seconds()
	b.ReportMetric((after.control-before.control)/daemonSeconds, "control-B/s")
	b.ReportMetric((after.platform-before.platform)/daemonSeconds, "platform-B/s")
	b.ReportMetric((after.reads-before.reads)/daemonSeconds, "reads/s")
	b.ReportMetric((after.writes-before.writes)/daemonSeconds, "writes/s")
	b.ReportMetric((after.lists-before.lists)/daemonSeconds, "lists/s")
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/daemonSeconds, "core-%")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFleet measures the traffic and CPU time of idle daemons of one failure domain,
// which renew leases and poll the VM list, the configuration, quota and load reports. The
// CPU time includes that of the stand-in platform and target, which run in the same process.
func BenchmarkFleet(b *testing.B) {
	for _, s := range []shape{
		{schedulers: 3, targets: 1, accounts: 8},
		{schedulers: 6, targets: 1, accounts: 8},
		{schedulers: 12, targets: 1, accounts: 8},
		{schedulers: 24, targets: 1, accounts: 8},
		{schedulers: 3, gateways: 3, targets: 1, accounts: 8},
		{schedulers: 3, gateways: 12, targets: 1, accounts: 8},
		{schedulers: 3, gateways: 24, targets: 1, accounts: 8},
		{schedulers: 3, targets: 10, accounts: 8},
		{schedulers: 3, targets: 100, accounts: 8},
		{schedulers: 3, targets: 600, accounts: 8},
		{schedulers: 3, targets: 1, accounts: 8, vms: 100},
		{schedulers: 3, targets: 1, accounts: 8, vms: 1000},
		{schedulers: 3, targets: 1, accounts: 8, vms: 6000},
	} {
		name := fmt.Sprintf("schedulers=%d/gateways=%d/targets=%d/vms=%d", s.schedulers, s.gateways, s.targets, max(s.vms, s.schedulers))
		b.Run(name, func(b *testing.B) {
			f := startFleet(b, s)
			defer f.stop()
			time.Sleep(settleTime)
			start, before := time.Now(), f.readCounters(b)
			time.Sleep(measureTime)
			f.reportCost(b, before, f.readCounters(b), time.Since(start))
		})
	}
}

// BenchmarkConfigChange measures the cost of a change to one account's rate limit, per
// daemon and change, beyond the idle cost. Three schedulers and three gateways follow the
// configuration. The publisher's CPU time is reported separately.
func BenchmarkConfigChange(b *testing.B) {
	const changes = 12
	for _, size := range []struct{ accounts, targets int }{{8, 10}, {220, 100}, {2200, 600}} {
		b.Run(fmt.Sprintf("accounts=%d/targets=%d", size.accounts, size.targets), func(b *testing.B) {
			f := startFleet(b, shape{schedulers: 3, gateways: 3, targets: size.targets, accounts: size.accounts})
			defer f.stop()
			time.Sleep(settleTime)
			idleStart, idle := time.Now(), f.readCounters(b)
			time.Sleep(measureTime)
			before := f.readCounters(b)
			idleFor := time.Since(idleStart)
			start, publishCPU := time.Now(), time.Duration(0)
			for i := range changes {
				account := f.doc.Accounts["account-0"]
				account.Rate = float64(100 + i)
				f.doc.Accounts["account-0"] = account
				cpu := cpuTime()
				_, err := f.store.Publish(b.Context(), uint64(i+1), "bench", f.doc)
				assert.NilError(b, err)
				publishCPU += cpuTime() - cpu
				time.Sleep(1500 * time.Millisecond)
			}
			after := f.readCounters(b)
			idleRatio := time.Since(start).Seconds() / idleFor.Seconds()
			daemonChanges := changes * float64(len(f.adminAddrs))
			b.ReportMetric((after.control-before.control-idleRatio*(before.control-idle.control))/daemonChanges, "control-B/change")
			b.ReportMetric((after.platform-before.platform-idleRatio*(before.platform-idle.platform))/daemonChanges, "platform-B/change")
			b.ReportMetric(1000*((after.cpu-before.cpu-publishCPU).Seconds()-idleRatio*(before.cpu-idle.cpu).Seconds())/daemonChanges, "core-ms/change")
			b.ReportMetric(1000*publishCPU.Seconds()/changes, "publisher-ms/change")
			b.ReportMetric(0, "ns/op")
		})
	}
}
