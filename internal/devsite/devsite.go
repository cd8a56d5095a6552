// Package devsite runs a small but complete site in one process on loopback: a gatewayd, a
// schedulerd, and stand-ins for the platform and the targets.
package devsite

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/daemon"
	"github.com/endivecourse/endivecourse/internal/site"
	"github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/settings"
	"github.com/endivecourse/endivecourse/structs"
)

// Names in the operators' document of the site. Kind is the name of the example program.
const (
	Domain       structs.DomainID  = "local"
	Account      structs.AccountID = "demo"
	Kind                           = "round-planner"
	ModelService structs.ServiceID = "rake-llm"
	PlainService structs.ServiceID = "courts-app"
	vmID         structs.VMID      = "local-1"
	engineCount                    = 2
)

// Limits, timeouts and address counts of the site.
const (
	demoRate     = 1000.0 // requests per second
	demoBurst    = 1000
	demoBudget   = 100_000 // tokens
	drainTimeout = 5 * time.Second
	// daemonAddrCount is the number of addresses of the daemons and the platform.
	daemonAddrCount = 5
)

// Site is a running development site.
type Site struct {
	*site.Site
	Key        string   // of the account
	GatewayURL string   // of the gateway
	AdminAddrs []string // of the gatewayd and the schedulerd
	// PlatformURL is the value for the --platform flag of endivectl.
	PlatformURL string
	cancel      context.CancelFunc
	group       *errgroup.Group
}

// Start starts the site. Its daemons run until Stop, whatever happens to ctx.
func Start(ctx context.Context, log *slog.Logger) (*Site, error) {
	addrs, err := freeAddrs(daemonAddrCount + engineCount + 1)
	if err != nil {
		return nil, err
	}
	apiKey, document, err := newDocument(addrs[daemonAddrCount:])
	if err != nil {
		return nil, err
	}
	gatewayd, schedulerd := newSettings(addrs)
	standins, err := site.Start(ctx, site.Options{
		Document:     document,
		PlatformAddr: addrs[3],
		VMs: []backing.VM{{
			ID: vmID, Domain: Domain, State: backing.VMLive,
			Scheduler: schedulerd.Listen.Wire, Gateway: gatewayd.Listen.Callers,
		}},
		Engine: engine.Options{FirstTokenTime: 20 * time.Millisecond, TokenTime: 5 * time.Millisecond},
	})
	if err != nil {
		return nil, err
	}
	s := &Site{
		Site:        standins,
		Key:         apiKey,
		GatewayURL:  "http://" + gatewayd.Listen.Callers,
		PlatformURL: gatewayd.Platform.URL,
		AdminAddrs:  []string{gatewayd.Listen.Admin, schedulerd.Listen.Admin},
	}
	if err := s.runDaemons(gatewayd, schedulerd, log); err != nil {
		standins.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) runDaemons(gatewayd, schedulerd settings.Daemon, log *slog.Logger) error {
	scheduler, err := daemon.BuildSchedulerd(schedulerd, log)
	if err != nil {
		return errors.Wrap(err, "build schedulerd")
	}
	gateway, err := daemon.BuildGatewayd(gatewayd, log)
	if err != nil {
		return errors.Wrap(err, "build gatewayd")
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.group, ctx = errgroup.WithContext(ctx)
	for _, components := range [][]kernel.Component{scheduler, gateway} {
		s.group.Go(func() error { return kernel.New(log, components...).Run(ctx, drainTimeout) })
	}
	return nil
}

// Stop drains and stops the daemons, then stops the stand-ins.
func (s *Site) Stop() error {
	s.cancel()
	err := s.group.Wait()
	s.Close()
	return err
}

func newSettings(addrs []string) (gatewayd, schedulerd settings.Daemon) {
	common := settings.Default()
	common.VM, common.Domain, common.Region = vmID, Domain, string(Domain)
	common.Platform.URL = "http://" + addrs[3]
	common.Schedulers = map[structs.DomainID][]string{Domain: {addrs[0]}}
	common.Lease.Slots = 8
	gatewayd, schedulerd = common, common
	gatewayd.Listen = settings.Listen{Callers: addrs[1], Admin: addrs[2]}
	schedulerd.Listen = settings.Listen{Wire: addrs[0], Admin: addrs[4]}
	return gatewayd, schedulerd
}

// newDocument creates an API key and the operators' document, with targets at the given
// addresses. The last address is that of the plain service.
func newDocument(addrs []string) (string, config.Document, error) {
	apiKey, keyID, key, err := config.NewKey(rand.Reader)
	if err != nil {
		return "", config.Document{}, err
	}
	targets := make(map[structs.TargetID]config.Target)
	for i, addr := range addrs[:engineCount] {
		targets[structs.TargetID(fmt.Sprintf("engine-%d", i+1))] = config.Target{Domain: Domain, URL: "http://" + addr, Protocol: "engine"}
	}
	app := config.Target{Domain: Domain, URL: "http://" + addrs[engineCount], Protocol: "plain"}
	return apiKey, config.Document{
		Domains: map[structs.DomainID]config.Domain{Domain: {Region: string(Domain)}},
		Accounts: map[structs.AccountID]config.Account{Account: {
			Rate: demoRate, Burst: demoBurst, Programs: []string{Kind}, Routes: []string{"orders"},
			Keys: map[string]config.Key{keyID: key},
		}},
		Programs: map[string]config.Program{Kind: {
			Budget: demoBudget, IdleLimit: settings.Duration(10 * time.Minute),
			Services: []structs.ServiceID{ModelService, PlainService}, MaxDepth: 2,
		}},
		Services: map[structs.ServiceID]config.Service{
			ModelService: {Kind: config.ServiceModel, IsRepeatable: true, Targets: targets},
			PlainService: {
				Kind: config.ServicePlain, IsRepeatable: true, Methods: []string{"GET"},
				Targets: map[structs.TargetID]config.Target{"app-1": app},
			},
		},
		Routes: map[string]config.Route{
			"notices": {Prefix: "/notices", Service: PlainService, IsOpen: true},
			"orders":  {Prefix: "/orders", Service: PlainService},
		},
	}, nil
}

// freeAddrs returns loopback addresses on which no process listens.
func freeAddrs(count int) ([]string, error) {
	addrs := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free address")
		}
		defer listener.Close() // not before the return, so that no address is found twice
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, nil
}
