package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/endivecourse/endivecourse/kernel"
)

// Gateway serves callers. It is a kernel.Component, Drainer and Dumper.
type Gateway struct {
	opts     Options
	server   *http.Server
	mux      *http.ServeMux
	stats    *stats
	bodies   *semaphore.Weighted
	inFlight atomic.Int64
	open     atomic.Int64
	draining atomic.Bool
	recent   recentRefusals

	mu       sync.Mutex
	listener net.Listener
	live     map[*exchange]struct{} // keyed requests in progress
}

var (
	_ kernel.Component = (*Gateway)(nil)
	_ kernel.Validator = (*Gateway)(nil)
	_ kernel.Drainer   = (*Gateway)(nil)
	_ kernel.Dumper    = (*Gateway)(nil)
)

// New makes a gateway that does not listen yet.
func New(opts Options) *Gateway {
	opts = opts.defaults()
	g := &Gateway{
		opts:   opts,
		stats:  newStats(opts.Metrics),
		bodies: semaphore.NewWeighted(opts.MaxTotalBodyBytes),
		live:   make(map[*exchange]struct{}),
	}
	g.mux = g.routes()
	g.server = g.newServer()
	return g
}

// Name returns "gateway".
func (g *Gateway) Name() string { return "gateway" }

// Validate checks the options.
func (g *Gateway) Validate() error {
	if (g.opts.TLS.Cert == "") != (g.opts.TLS.Key == "") {
		return &IncompleteTLSError{}
	}
	for name, missing := range map[string]bool{
		"Domain":    g.opts.Domain == "",
		"Configs":   g.opts.Configs == nil,
		"Forwarder": g.opts.Forwarder == nil,
		"Admitter":  g.opts.Admitter == nil,
		"Listen":    g.opts.Listen == "",
		"ConfigAge": g.opts.MaxStale > 0 && g.opts.ConfigAge == nil,
	} {
		if missing {
			return &MissingOptionError{Option: name}
		}
	}
	return nil
}

// Start listens on the callers' address and starts the duties.
func (g *Gateway) Start(_ context.Context, k *kernel.Kernel) error {
	listener, err := net.Listen("tcp", g.opts.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	g.mu.Lock()
	g.listener = listener
	g.mu.Unlock()
	k.Go("gateway.keys", g.watchKeys)
	k.Go("gateway.callers", func(context.Context) error { return g.serve(listener) })
	return nil
}

// Addr returns the address that Start listens on, or nil before Start.
func (g *Gateway) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener == nil {
		return nil
	}
	return g.listener.Addr()
}

// Stop closes the listener and every connection.
func (g *Gateway) Stop(context.Context) error {
	return errors.Wrap(g.server.Close(), "close callers' connections")
}

// State is the gateway's part of the state dump.
type State struct {
	ConfigVersion uint64 `json:"config_version"`
	// MaxStale is empty when there is no limit. While Stale, requests that
	// need a key are refused.
	MaxStale      string `json:"max_stale,omitempty"`
	IsConfigStale bool   `json:"stale"`
	IsDraining    bool   `json:"draining"`
	InFlight      int64  `json:"in_flight"`
	OpenInFlight  int64  `json:"open_in_flight"`
	KeyedRequests int    `json:"keyed_requests"`
	Forwarder     any    `json:"forwarder"`
	Admitter      any    `json:"admitter,omitempty"`
	// RecentRefusals lists the last ones, the latest first.
	RecentRefusals []RecentRefusal `json:"recent_refusals"`
}

// DumpState returns the gateway's State.
func (g *Gateway) DumpState() any {
	state := State{
		IsConfigStale:  g.stale(),
		IsDraining:     g.draining.Load(),
		InFlight:       g.inFlight.Load(),
		OpenInFlight:   g.open.Load(),
		Forwarder:      g.opts.Forwarder.State(),
		RecentRefusals: g.recent.list(g.opts.Clock()),
	}
	if g.opts.MaxStale > 0 {
		state.MaxStale = g.opts.MaxStale.String()
	}
	if snapshot := g.opts.Configs.Current(); snapshot != nil {
		state.ConfigVersion = snapshot.Version()
	}
	if d, ok := g.opts.Admitter.(kernel.Dumper); ok {
		state.Admitter = d.DumpState()
	}
	g.mu.Lock()
	state.KeyedRequests = len(g.live)
	g.mu.Unlock()
	return state
}
