package edge

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
)

// A target that has just started takes a limited number of requests per second from all
// VMs. Its entry says for how long, the configuration how many; package targetrate divides
// that rate among the placers as it does for rates that targets name.

// coldTargets holds what the entries of targets say of their cold periods.
type coldTargets struct {
	until   map[structs.TargetID]structs.Instant // by the entries, whatever the configuration says
	logged  map[structs.TargetID]bool            // cold by the last log line
	version uint64                               // of the configuration whose rates are applied
}

// initColdTargets sets up the limiter of cold targets. Until this VM knows its reach, it has
// no part of their rates.
func (s *Server) initColdTargets() {
	s.cold = coldTargets{until: make(map[structs.TargetID]structs.Instant), logged: make(map[structs.TargetID]bool)}
	rates := s.targets.Rates
	rates.Phase = float64(xxhash.Sum64String(string(s.opts.VM))%1024) / 1024
	if s.opts.ColdBounds != (targetrate.ColdBounds{}) {
		rates.ColdBounds = s.opts.ColdBounds
	}
}

// learnColdEntry records what a target's entry says of its cold period. The caller holds
// the lock.
func (s *Server) learnColdEntry(now structs.Instant, t placement.Target) {
	if t.ColdFor > 0 {
		s.cold.until[t.ID] = now.Add(t.ColdFor)
	} else {
		delete(s.cold.until, t.ID)
	}
	s.targets.Rates.SetCold(now, t.ID, s.coldRate(t.Service), t.ColdFor)
}

// coldRate returns the rate of a service's targets while they are cold, 0 if they are never.
func (s *Server) coldRate(service structs.ServiceID) float64 {
	if s.opts.Config == nil {
		return 0
	}
	table := s.opts.Config.Current()
	if table == nil || table.Services[service] == nil {
		return 0
	}
	return table.Services[service].ColdRate
}

// applyColdRates applies the rates of a new configuration to the targets that are cold by
// their entries. The caller holds the lock.
func (s *Server) applyColdRates(now structs.Instant) {
	if len(s.cold.until) == 0 || s.opts.Config == nil || s.opts.Config.Version() == s.cold.version {
		return
	}
	s.cold.version = s.opts.Config.Version()
	for id, until := range s.cold.until {
		target, known := s.targets.Get(id)
		if !known || now >= until {
			delete(s.cold.until, id)
			continue
		}
		s.targets.Rates.SetCold(now, id, s.coldRate(target.Service), until.Sub(now))
	}
}

// updateReach records from how many possible placers this VM hears.
func (s *Server) updateReach() {
	var reach targetrate.Reach
	if s.opts.Peers.IsMembershipKnown() {
		reach = s.opts.Peers.PlacerReach()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets.Rates.SetReach(structs.Now(), reach)
}

// followColdTargets logs the beginning and the end of cold periods. It updates the reach
// while there are any, so that a VM that has lost its peers uses less of their rates.
func (s *Server) followColdTargets() {
	s.mu.Lock()
	now := structs.Now()
	s.applyColdRates(now)
	ids := s.targets.Rates.ColdTargets(now)
	for _, id := range ids {
		if !s.cold.logged[id] {
			s.cold.logged[id] = true
			s.logCold(now, id)
		}
	}
	for id := range s.cold.logged {
		if !slices.Contains(ids, id) {
			delete(s.cold.logged, id)
			s.log.Info("target is not cold any more", "target", string(id))
		}
	}
	s.mu.Unlock()
	if len(ids) > 0 {
		s.updateReach()
	}
}

func (s *Server) logCold(now structs.Instant, id structs.TargetID) {
	cold, _ := s.targets.Rates.Cold(now, id)
	share, _ := s.targets.Rates.Share(now, id, 0)
	target, _ := s.targets.Get(id)
	s.log.Info("target is cold", "target", string(id), "service", string(target.Service), "remaining_ms", cold.Left.Milliseconds(),
		"per_second", cold.Rate, "share", share, "reach", s.targets.Rates.ReachPart(), "source", cold.Source)
}

// missesRate reports whether this VM knows of a rate or cold period of a target that the
// placer's reply does not have.
func missesRate(known targetrate.Observation, reply fleet.PlacementReply) bool {
	isNamed, isCold := false, false
	if reply.Rate != nil {
		isNamed, isCold = reply.Rate.Rate >= 0, reply.Rate.ColdFor > 0
	}
	return known.Rate >= 0 && !isNamed || known.ColdFor > 0 && !isCold
}

// coldGrants are the cold targets whose grants one request has not used: the placer grants
// them without knowing that they are cold, although it was told. A placer of a release
// before cold rates does so.
type coldGrants struct{ refused []structs.TargetID }

// mayUse reports whether a request may be sent to a target although its placer does not
// know a rate that this VM knows. If the target is cold, only within the small share that
// a VM has which picks targets itself.
func (g *coldGrants) mayUse(s *Server, id structs.TargetID) bool {
	fraction := 1 / float64(s.opts.Peers.PeerCount()+1)
	now := structs.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, isCold := s.targets.Rates.Cold(now, id); !isCold {
		return true
	}
	if s.targets.Rates.Tokens(now, id, fraction) >= 1 {
		s.targets.Rates.Take(now, id)
		return true
	}
	g.refused = append(g.refused, id)
	s.stats.coldGrantsRefused.Inc()
	s.log.Info("grant of a cold target not used, the placer does not know that it is cold", "target", string(id))
	return false
}

// noTarget returns the error for a request that has no target left: if cold ones were
// passed over, the request may be sent again when the first of them is not cold any more.
func (g *coldGrants) noTarget(s *Server, service structs.ServiceID) error {
	if len(g.refused) == 0 {
		return &NoTargetError{Service: service}
	}
	now := structs.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := targetrate.MaxColdFor
	for _, id := range g.refused {
		cold, _ := s.targets.Rates.Cold(now, id)
		wait = min(wait, cold.Left)
	}
	return &RateLimitedError{Service: service, Wait: max(wait, minColdWait)}
}

// minColdWait is the least wait that a refused request is told.
const minColdWait = 50 * time.Millisecond

// coldState returns the cold targets for the state dump. The caller holds the lock.
func (s *Server) coldState(now structs.Instant) map[structs.TargetID]string {
	state := make(map[structs.TargetID]string)
	for _, id := range s.targets.Rates.ColdTargets(now) {
		cold, _ := s.targets.Rates.Cold(now, id)
		state[id] = cold.Left.Round(time.Millisecond).String()
	}
	return state
}
