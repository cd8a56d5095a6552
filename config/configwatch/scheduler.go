package configwatch

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

const (
	storeTimeout = 2 * time.Second
	// maxSourceAge is the confirmation age from which a followed peer is
	// considered to have lost the store.
	maxSourceAge = 5 * time.Second
)

// SchedulerOptions configures a Scheduler.
type SchedulerOptions struct {
	Self   string // own wire address
	VM     structs.VMID
	Domain structs.DomainID
	Holder *config.Holder
	Table  backing.Table
	Wire   *wire.Client
	// Peers returns the wire addresses of the live schedulers of the own failure
	// domain.
	Peers func() []string
	// OtherDomains returns the wire addresses of the schedulers of the other
	// failure domains, which are queried while the store is unreachable. It may
	// be nil.
	OtherDomains func() []string
	Poll         time.Duration
}

// Scheduler is the component of a schedulerd that keeps its holder up to date,
// answers the queries of other daemons, and reports the version in force in the
// failure domain.
type Scheduler struct {
	opts    SchedulerOptions
	store   *config.Store
	sources *sourceSelector
	server  server
	querier querier
	log     *slog.Logger

	source        atomic.Value // string, for the state dump: the peer followed, or "" for the store
	reported      atomic.Uint64
	fallbackIndex int // index in fallbackPeers of the peer to query while the store is unreachable
}

// NewScheduler returns the component. Start starts it.
func NewScheduler(opts SchedulerOptions) *Scheduler {
	return &Scheduler{
		opts:    opts,
		store:   &config.Store{Table: opts.Table},
		sources: newSourceSelector(opts.Self),
		server:  server{holder: opts.Holder},
		querier: querier{from: "schedulerd/" + string(opts.VM), holder: opts.Holder, wire: opts.Wire},
	}
}

// Name returns "config".
func (s *Scheduler) Name() string { return "config" }

// RegisterHandlers registers the handler of config.watch.
func (s *Scheduler) RegisterHandlers(w *wire.Server) { s.server.register(w) }

// Start starts the worker that follows the source of versions.
func (s *Scheduler) Start(_ context.Context, k *kernel.Kernel) error {
	s.log = k.Log
	k.Go("config.follow", s.follow)
	return nil
}

// Stop does nothing: the worker ends with the kernel.
func (s *Scheduler) Stop(context.Context) error { return nil }

// follow reads the store once, since a new process has no version yet, and then
// follows the source that the selector picks.
func (s *Scheduler) follow(ctx context.Context) error {
	s.poll(ctx)
	for ctx.Err() == nil {
		now := structs.Now()
		peer := s.sources.pick(now, s.opts.Peers())
		s.source.Store(peer)
		if peer != "" {
			s.followPeer(ctx, peer)
			continue
		}
		s.poll(ctx)
		s.report(ctx)
		if !sleep(ctx, s.opts.Poll) {
			return nil
		}
	}
	return nil
}

func (s *Scheduler) followPeer(ctx context.Context, peer string) {
	s.reported.Store(0) // the polling scheduler reports for the domain now
	started := structs.Now()
	age, err := s.querier.query(ctx, peer, s.inForce())
	now := structs.Now()
	if err == nil && age < maxSourceAge {
		return
	}
	if ctx.Err() == nil {
		s.sources.markSuspect(now, peer)
		s.log.Info("config source failed or is stale, not used for a while", "peer", peer, "age", age, "error", err)
	}
	if now.Sub(started) < s.opts.Poll {
		sleep(ctx, s.opts.Poll)
	}
}

// poll reads the store. While the store is unreachable it queries the peers
// instead, one per call.
func (s *Scheduler) poll(ctx context.Context) {
	err := s.pollStore(ctx)
	if err == nil || ctx.Err() != nil {
		return
	}
	s.log.Debug("cannot read the configuration from the store", "error", err)
	peers := s.fallbackPeers()
	if len(peers) == 0 {
		return
	}
	peer := peers[s.fallbackIndex%len(peers)]
	age, err := s.querier.query(ctx, peer, 0)
	if err != nil {
		s.log.Debug("cannot get the configuration from the peer", "peer", peer, "error", err)
	}
	if err != nil || age >= maxSourceAge {
		s.fallbackIndex++
	}
}

// fallbackPeers returns the peers to query while the store is unreachable; poll
// stays with one of them as long as its confirmation is fresh. Those of other
// failure domains come first: the schedulers of the own domain follow this
// process and have no later version.
func (s *Scheduler) fallbackPeers() []string {
	var peers []string
	if s.opts.OtherDomains != nil {
		peers = s.opts.OtherDomains()
	}
	peers = slices.Clip(peers)
	for _, peer := range s.opts.Peers() {
		if peer != s.opts.Self {
			peers = append(peers, peer)
		}
	}
	return peers
}

func (s *Scheduler) pollStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := structs.Now()
	info, err := s.store.CurrentInfo(ctx)
	if err != nil {
		return errors.Wrap(err, "read the latest version number")
	}
	if info.Version > currentVersion(s.opts.Holder) {
		snapshot, err := s.store.VersionFrom(ctx, s.opts.Holder.Current(), info.Version)
		if err != nil {
			return errors.Wrapf(err, "read version %d", info.Version)
		}
		if s.opts.Holder.Apply(snapshot) {
			s.log.Info("config applied", "version", snapshot.Version(), "author", snapshot.Author())
		}
	}
	s.opts.Holder.Confirm(sent)
	return nil
}

// inForce returns the lowest version in force in this process and its followers.
func (s *Scheduler) inForce() uint64 {
	return s.server.followers.minInForce(structs.Now(), currentVersion(s.opts.Holder))
}

// InForce is the value of the row RowInForcePrefix + domain: the version in force
// in a failure domain and the VM that reported it.
type InForce struct {
	Version uint64       `json:"version"`
	By      structs.VMID `json:"by"`
}

// report writes the row of the failure domain if the version in force has changed
// since the last write.
func (s *Scheduler) report(ctx context.Context) {
	version := s.inForce()
	if version == 0 || version == s.reported.Load() {
		return
	}
	value, err := json.Marshal(InForce{Version: version, By: s.opts.VM})
	if err != nil {
		s.log.Error("cannot encode the in-force report", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := s.writeReport(ctx, value); err != nil {
		s.log.Debug("cannot write the in-force report", "error", err)
		return
	}
	s.reported.Store(version)
}

// writeReport writes the row on condition that it has not changed since it was
// read, so that a delayed write of an earlier report never replaces a later one.
func (s *Scheduler) writeReport(ctx context.Context, value []byte) error {
	key := config.RowInForcePrefix + string(s.opts.Domain)
	row, err := s.opts.Table.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = s.opts.Table.Commit(ctx, backing.Txn{
		Require: []backing.Condition{{Key: key, Version: row.Version}},
		Writes:  []backing.Write{{Key: key, Value: value}},
	})
	return err
}

// State is the component's part of the state dump.
type State struct {
	Version    uint64            `json:"version"`
	Author     string            `json:"author"`
	Age        string            `json:"age"`
	Source     string            `json:"source"` // "store" or a peer's address
	InForce    uint64            `json:"in_force"`
	Reported   uint64            `json:"reported"`
	Followers  map[string]uint64 `json:"followers,omitempty"`
	Violations uint64            `json:"violations"`
}

// DumpState returns a State.
func (s *Scheduler) DumpState() any {
	state := stateOf(s.opts.Holder)
	state.Source, _ = s.source.Load().(string)
	if state.Source == "" {
		state.Source = "store"
	}
	state.InForce = s.inForce()
	state.Reported = s.reported.Load()
	state.Followers = s.server.followers.versions()
	return state
}

func stateOf(h *config.Holder) State {
	state := State{Age: "never confirmed"}
	if current := h.Current(); current != nil {
		state.Version, state.Author = current.Version(), current.Author()
	}
	if age := h.Age(structs.Now()); age < neverConfirmed {
		state.Age = age.String()
	}
	state.Violations, _ = h.Violations()
	return state
}
