// Package devsite runs a whole small site in one process on loopback: a
// gatewayd, a schedulerd, and stand-ins for the platform and the targets.
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

// Names in the document of the site.
const (
	Domain       structs.DomainID  = "local"
	Account      structs.AccountID = "demo"
	Kind                           = "round-planner"
	ModelService structs.ServiceID = "rake-llm"
	PlainService structs.ServiceID = "courts-app"
	vm           structs.VMID      = "local-1"
	engines                        = 2
)

// Sizes of the site.
const (
	demoRate   = 1000.0 // requests per second
	demoBurst  = 1000
	demoBudget = 100_000 // tokens
	drainFor   = 5 * time.Second
	// daemonAddrs counts the addresses of the daemons and the platform.
	daemonAddrs = 5
)

// Site is a running site.
type Site struct {
	*site.Site
	Key        string // of the account
	GatewayURL string // of the gateway
	AdminAddrs []string
	// PlatformURL is what endivectl takes as --platform.
	PlatformURL string
	cancel      context.CancelFunc
	group       *errgroup.Group
}

// Start starts the site. Its daemons run until Stop.
func Start(ctx context.Context, log *slog.Logger) (*Site, error) {
	addrs, err := freeAddrs(daemonAddrs + engines + 1)
	if err != nil {
		return nil, err
	}
	key, document, err := document(addrs[daemonAddrs:])
	if err != nil {
		return nil, err
	}
	gatewayd, schedulerd := daemonSettings(addrs)
	standins, err := site.Start(ctx, site.Options{
		Document:     document,
		PlatformAddr: addrs[3],
		VMs: []backing.VM{{
			ID: vm, Domain: Domain, State: backing.VMLive,
			Scheduler: schedulerd.Listen.Wire, Gateway: gatewayd.Listen.Callers,
		}},
		Engine: engine.Options{FirstTokenTime: 20 * time.Millisecond, TokenTime: 5 * time.Millisecond},
	})
	if err != nil {
		return nil, err
	}
	s := &Site{
		Site:        standins,
		Key:         key,
		GatewayURL:  "http://" + gatewayd.Listen.Callers,
		PlatformURL: gatewayd.Platform.URL,
		AdminAddrs:  []string{gatewayd.Listen.Admin, schedulerd.Listen.Admin},
	}
	if err := s.run(gatewayd, schedulerd, log); err != nil {
		standins.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) run(gatewayd, schedulerd settings.Daemon, log *slog.Logger) error {
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
		s.group.Go(func() error { return kernel.New(log, components...).Run(ctx, drainFor) })
	}
	return nil
}

// Stop drains and stops the daemons and ends the stand-ins.
func (s *Site) Stop() error {
	s.cancel()
	err := s.group.Wait()
	s.Close()
	return err
}

func daemonSettings(addrs []string) (gatewayd, schedulerd settings.Daemon) {
	common := settings.Default()
	common.VM, common.Domain, common.Region = vm, Domain, string(Domain)
	common.Platform.URL = "http://" + addrs[3]
	common.Schedulers = map[structs.DomainID][]string{Domain: {addrs[0]}}
	common.Lease.Slots = 8
	gatewayd, schedulerd = common, common
	gatewayd.Listen = settings.Listen{Callers: addrs[1], Admin: addrs[2]}
	schedulerd.Listen = settings.Listen{Wire: addrs[0], Admin: addrs[4]}
	return gatewayd, schedulerd
}

// document makes the operators' document with targets at the addresses; the
// last one is the plain service's.
func document(addrs []string) (string, config.Document, error) {
	presented, keyID, key, err := config.NewKey(rand.Reader)
	if err != nil {
		return "", config.Document{}, err
	}
	targets := make(map[structs.TargetID]config.Target)
	for i, addr := range addrs[:engines] {
		targets[structs.TargetID(fmt.Sprintf("engine-%d", i+1))] = config.Target{Domain: Domain, URL: "http://" + addr, Protocol: "engine"}
	}
	app := config.Target{Domain: Domain, URL: "http://" + addrs[engines], Protocol: "plain"}
	return presented, config.Document{
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

// freeAddrs returns loopback addresses that nothing listens on.
func freeAddrs(count int) ([]string, error) {
	addrs := make([]string, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free address")
		}
		defer listener.Close() // all at the end, so that no address comes twice
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, nil
}
