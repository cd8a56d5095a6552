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

// shape is the size of a fleet of one failure domain.
type shape struct{ schedulers, gateways, targets, accounts, vms int }

// fleet is a running failure domain on loopback.
type fleet struct {
	store  *config.Store
	doc    config.Document
	admins []string
	cancel context.CancelFunc
	group  *errgroup.Group
	close  []func()
}

const fleetDomain structs.DomainID = "domain-0"

func startFleet(b *testing.B, s shape) *fleet {
	b.Helper()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"running":3,"waiting":0,"used_blocks":1000,"total_blocks":4000,"age":1000000}`)
	}))
	f := &fleet{doc: document(b, s.accounts, s.targets, engine.URL), close: []func(){engine.Close}}
	wires, admins := addresses(b, s.schedulers), addresses(b, s.schedulers+s.gateways)
	var vms []backing.VM
	for i, addr := range wires {
		vms = append(vms, backing.VM{ID: structs.VMID(fmt.Sprint("vm-", i)), Domain: fleetDomain, State: backing.VMLive, Scheduler: addr})
	}
	for i := len(vms); i < s.vms; i++ {
		id := fmt.Sprint("runner-", i)
		vms = append(vms, backing.VM{ID: structs.VMID(id), Domain: "domain-1", State: backing.VMLive, Target: structs.TargetID(id)})
	}
	stand := standin.New(standin.Options{VMs: vms})
	platformServer := httptest.NewServer(stand.Handler())
	f.close = append(f.close, platformServer.Close)
	f.store = &config.Store{Table: stand.Services().Table}
	_, err := f.store.Publish(b.Context(), 0, "bench", f.doc)
	assert.NilError(b, err)
	f.admins = admins
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.group, ctx = errgroup.WithContext(ctx)
	log := slog.New(slog.DiscardHandler)
	for i := range s.schedulers + s.gateways {
		loaded := settings.Default()
		loaded.VM, loaded.Domain, loaded.Region = structs.VMID(fmt.Sprint("vm-", i)), fleetDomain, "region"
		loaded.Platform.URL = platformServer.URL
		loaded.Schedulers = map[structs.DomainID][]string{fleetDomain: wires}
		loaded.Listen.Admin = admins[i]
		build := daemon.BuildSchedulerd
		if i < s.schedulers {
			loaded.Listen.Wire = wires[i]
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
	_ = f.group.Wait() // slots may still be held when the short drain ends
	for _, c := range f.close {
		c()
	}
}

// addresses returns loopback addresses that nothing listens on.
func addresses(b *testing.B, n int) []string {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

func document(tb testing.TB, accounts, targets int, engine string) config.Document {
	doc := config.Document{
		Domains:  map[structs.DomainID]config.Domain{fleetDomain: {Region: "region"}, "domain-1": {Region: "region"}},
		Accounts: make(map[structs.AccountID]config.Account),
		Programs: map[string]config.Program{"agent": {Budget: 1000, IdleLimit: settings.Duration(time.Hour), Services: []structs.ServiceID{"models"}}},
		Services: make(map[structs.ServiceID]config.Service),
	}
	service := config.Service{Kind: config.ServiceModel, IsRepeatable: true, Targets: make(map[structs.TargetID]config.Target)}
	for i := range targets {
		service.Targets[structs.TargetID(fmt.Sprintf("target-%d", i))] = config.Target{
			Domain: fleetDomain, URL: fmt.Sprintf("%s/t%d", engine, i), Protocol: "engine"}
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

// reading is the sum of counters over all daemons of a fleet.
type reading struct {
	control, data, platform, reads, writes, lists float64
	cpu                                           time.Duration
}

func (f *fleet) read(b *testing.B) reading {
	b.Helper()
	var r reading
	for _, admin := range f.admins {
		answer, err := http.Get("http://" + admin + "/metrics")
		assert.NilError(b, err)
		lines := bufio.NewScanner(answer.Body)
		for lines.Scan() {
			r.add(lines.Text())
		}
		answer.Body.Close()
	}
	r.cpu = processorTime()
	return r
}

func (r *reading) add(line string) {
	at := strings.LastIndexByte(line, ' ')
	value, err := strconv.ParseFloat(line[at+1:], 64)
	if err != nil {
		return
	}
	name := line[:max(0, at)]
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

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// settled is how long a fleet gets before it is measured.
const settled = 6 * time.Second

const measureFor = 8 * time.Second

// report gives the cost for each daemon and second.
func (f *fleet) report(b *testing.B, before, after reading, took time.Duration) {
	each := float64(len(f.admins)) * took.Seconds()
	b.ReportMetric((after.control-before.control)/each, "control-B/s")
	b.ReportMetric((after.platform-before.platform)/each, "platform-B/s")
	b.ReportMetric((after.reads-before.reads)/each, "reads/s")
	b.ReportMetric((after.writes-before.writes)/each, "writes/s")
	b.ReportMetric((after.lists-before.lists)/each, "lists/s")
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/each, "core-%")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkFleet measures idle daemons of one failure domain: leases, VM list,
// configuration, quota and load reports. The processor time includes the
// stand-ins', which run in the same process.
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
			time.Sleep(settled)
			began, before := time.Now(), f.read(b)
			time.Sleep(measureFor)
			f.report(b, before, f.read(b), time.Since(began))
		})
	}
}

// BenchmarkConfigChange measures changes of one account's rate, for each daemon
// and change. Three schedulers and three gateways follow. The publisher's own
// processor time is apart.
func BenchmarkConfigChange(b *testing.B) {
	const changes = 12
	for _, size := range []struct{ accounts, targets int }{{8, 10}, {220, 100}, {2200, 600}} {
		b.Run(fmt.Sprintf("accounts=%d/targets=%d", size.accounts, size.targets), func(b *testing.B) {
			f := startFleet(b, shape{schedulers: 3, gateways: 3, targets: size.targets, accounts: size.accounts})
			defer f.stop()
			time.Sleep(settled)
			idleBegan, idle := time.Now(), f.read(b)
			time.Sleep(measureFor)
			before := f.read(b)
			idleFor := time.Since(idleBegan)
			began, publish := time.Now(), time.Duration(0)
			for i := range changes {
				account := f.doc.Accounts["account-0"]
				account.Rate = float64(100 + i)
				f.doc.Accounts["account-0"] = account
				cpu := processorTime()
				_, err := f.store.Publish(b.Context(), uint64(i+1), "bench", f.doc)
				assert.NilError(b, err)
				publish += processorTime() - cpu
				time.Sleep(1500 * time.Millisecond)
			}
			after := f.read(b)
			share := time.Since(began).Seconds() / idleFor.Seconds()
			each := changes * float64(len(f.admins))
			b.ReportMetric((after.control-before.control-share*(before.control-idle.control))/each, "control-B/change")
			b.ReportMetric((after.platform-before.platform-share*(before.platform-idle.platform))/each, "platform-B/change")
			b.ReportMetric(1000*((after.cpu-before.cpu-publish).Seconds()-share*(before.cpu-idle.cpu).Seconds())/each, "core-ms/change")
			b.ReportMetric(1000*publish.Seconds()/changes, "publisher-ms/change")
			b.ReportMetric(0, "ns/op")
		})
	}
}
