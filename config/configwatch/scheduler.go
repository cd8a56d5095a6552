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
	// staleParent is the age at which a followed peer is taken to have lost
	// the store.
	staleParent = 5 * time.Second
)

// SchedulerOptions configures a Scheduler.
type SchedulerOptions struct {
	Self   string // own wire address
	VM     structs.VMID
	Domain structs.DomainID
	Holder *config.Holder
	Table  backing.Table
	Wire   *wire.Client
	// Peers returns the wire addresses of the live schedulers of the domain.
	Peers func() []string
	// OtherDomains returns those of the other domains; they are asked while the
	// store cannot be reached. It may be nil.
	OtherDomains func() []string
	Poll         time.Duration
}

// Scheduler is the component of a schedulerd that keeps its holder up to date,
// answers other daemons, and reports the version in force in the domain.
type Scheduler struct {
	opts    SchedulerOptions
	store   *config.Store
	sources *sources
	server  server
	asker   asker
	log     *slog.Logger

	source   atomic.Value // string, for the dump
	reported atomic.Uint64
	asked    int // peers asked while the store was away
}

// NewScheduler makes the component.
func NewScheduler(opts SchedulerOptions) *Scheduler {
	return &Scheduler{
		opts:    opts,
		store:   &config.Store{Table: opts.Table},
		sources: newSources(opts.Self),
		server:  server{holder: opts.Holder},
		asker:   asker{from: "schedulerd/" + string(opts.VM), holder: opts.Holder, wire: opts.Wire},
	}
}

// Name returns "config".
func (s *Scheduler) Name() string { return "config" }

// RegisterHandlers sets the handler of config.watch.
func (s *Scheduler) RegisterHandlers(w *wire.Server) { s.server.register(w) }

// Start starts the duties.
func (s *Scheduler) Start(_ context.Context, k *kernel.Kernel) error {
	s.log = k.Log
	k.Go("config.follow", s.follow)
	return nil
}

// Stop does nothing: the duties end with the kernel.
func (s *Scheduler) Stop(context.Context) error { return nil }

// follow reads the store once, since a fresh VM has no version, and then
// follows whichever source is chosen.
func (s *Scheduler) follow(ctx context.Context) error {
	s.poll(ctx)
	for ctx.Err() == nil {
		now := structs.Now()
		peer := s.sources.next(now, s.opts.Peers())
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
	s.reported.Store(0) // the peer reports now
	started := structs.Now()
	age, err := s.asker.ask(ctx, peer, s.inForce())
	now := structs.Now()
	if err == nil && age < staleParent {
		return
	}
	if ctx.Err() == nil {
		s.sources.suspect(now, peer)
		s.log.Info("config source passed over", "peer", peer, "age", age, "error", err)
	}
	if now.Sub(started) < s.opts.Poll {
		sleep(ctx, s.opts.Poll)
	}
}

// poll asks the store, and one peer after another while the store cannot be
// reached.
func (s *Scheduler) poll(ctx context.Context) {
	err := s.pollStore(ctx)
	if err == nil || ctx.Err() != nil {
		return
	}
	s.log.Debug("config store not reached", "error", err)
	peers := s.fallback()
	if len(peers) == 0 {
		return
	}
	peer := peers[s.asked%len(peers)]
	age, err := s.asker.ask(ctx, peer, 0)
	if err != nil {
		s.log.Debug("config peer not reached", "peer", peer, "error", err)
	}
	if err != nil || age >= staleParent {
		s.asked++
	}
}

// fallback lists the peers to ask, one of which is kept as long as its answers
// are fresh. Those of other domains come first: the schedulers of the own one
// follow this process and know no more than it does.
func (s *Scheduler) fallback() []string {
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
	head, err := s.store.CurrentInfo(ctx)
	if err != nil {
		return errors.Wrap(err, "read head")
	}
	if head.Version > currentVersion(s.opts.Holder) {
		snapshot, err := s.store.VersionFrom(ctx, s.opts.Holder.Current(), head.Version)
		if err != nil {
			return errors.Wrapf(err, "read version %d", head.Version)
		}
		if s.opts.Holder.Apply(snapshot) {
			s.log.Info("config applied", "version", snapshot.Version(), "author", snapshot.Author())
		}
	}
	s.opts.Holder.Confirm(sent)
	return nil
}

// inForce returns the lowest version in force here and among the followers.
func (s *Scheduler) inForce() uint64 {
	return s.server.followers.lowest(structs.Now(), currentVersion(s.opts.Holder))
}

// InForce is the value of a domain's row RowInForcePrefix + domain.
type InForce struct {
	Version uint64       `json:"version"`
	By      structs.VMID `json:"by"`
}

// report writes the domain's row when the version in force has changed since
// the last write.
func (s *Scheduler) report(ctx context.Context) {
	version := s.inForce()
	if version == 0 || version == s.reported.Load() {
		return
	}
	value, err := json.Marshal(InForce{Version: version, By: s.opts.VM})
	if err != nil {
		s.log.Error("in-force report not encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := s.writeReport(ctx, value); err != nil {
		s.log.Debug("in-force report not written", "error", err)
		return
	}
	s.reported.Store(version)
}

// writeReport requires the row as it was read, so that a delayed write of an
// earlier report never replaces a later one.
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

// State is the component's part of the dump.
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
