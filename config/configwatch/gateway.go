package configwatch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// Delays after failed queries of a gateway.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// GatewayOptions configures a Gateway.
type GatewayOptions struct {
	VM     structs.VMID
	Holder *config.Holder
	Wire   *wire.Client
	// Schedulers returns the wire addresses to query, in order of preference.
	Schedulers func() []string
}

// Gateway is the component of a gatewayd that keeps its holder up to date by
// querying a scheduler.
type Gateway struct {
	opts    GatewayOptions
	querier querier
	log     *slog.Logger
	source  atomic.Value // string: the address queried last
}

// NewGateway returns the component. Start starts it.
func NewGateway(opts GatewayOptions) *Gateway {
	return &Gateway{
		opts:    opts,
		querier: querier{from: "gatewayd/" + string(opts.VM), holder: opts.Holder, wire: opts.Wire},
	}
}

// Name returns "config".
func (g *Gateway) Name() string { return "config" }

// Start starts the worker that queries the schedulers.
func (g *Gateway) Start(_ context.Context, k *kernel.Kernel) error {
	g.log = k.Log
	k.Go("config.follow", g.follow)
	return nil
}

// Stop does nothing: the worker ends with the kernel.
func (g *Gateway) Stop(context.Context) error { return nil }

// follow queries one scheduler at a time. It stays with a scheduler whose own
// confirmation is younger than maxSourceAge, and moves to the next one otherwise.
func (g *Gateway) follow(ctx context.Context) error {
	backoff := minBackoff
	for at := 0; ctx.Err() == nil; {
		addresses := g.opts.Schedulers()
		if len(addresses) == 0 {
			sleep(ctx, maxBackoff)
			continue
		}
		addr := addresses[at%len(addresses)]
		g.source.Store(addr)
		version := currentVersion(g.opts.Holder)
		age, err := g.querier.query(ctx, addr, version)
		if now := currentVersion(g.opts.Holder); now != version {
			g.log.Info("config applied", "version", now)
		}
		if err == nil && age < maxSourceAge {
			backoff = minBackoff
			continue
		}
		at++
		if err != nil && ctx.Err() == nil {
			g.log.Info("config source failed, trying the next one", "peer", addr, "error", err)
			sleep(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
	return nil
}

// DumpState returns a State.
func (g *Gateway) DumpState() any {
	state := stateOf(g.opts.Holder)
	state.Source, _ = g.source.Load().(string)
	state.InForce = state.Version
	return state
}
