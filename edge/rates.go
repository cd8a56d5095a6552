package edge

import (
	"net/http"

	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
)

// recordNamedRate records what a target's response says about its rate. A refusal that
// names none says nothing.
func (s *Server) recordNamedRate(id structs.TargetID, resp *http.Response, head ResponseHead) {
	if head.WrongTarget {
		return
	}
	if head.InvalidRate != "" {
		s.log.Warn("target names a rate that is not valid", "target", string(id), "rate", head.InvalidRate)
		return
	}
	o := targetrate.Observation{Rate: targetrate.None}
	switch {
	case head.NamesRate:
		o.Rate = float32(head.Rate)
	case head.NotRun || resp.StatusCode >= http.StatusInternalServerError:
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := structs.Now()
	if _, isListed := s.targets.Get(id); isListed && s.targets.Rates.Observe(now, id, o) {
		s.logRateSwitch(now, id, "response")
	}
}

// learnRate records what another VM says of a target's named rate. The caller holds the
// lock.
func (s *Server) learnRate(now structs.Instant, id structs.TargetID, o targetrate.Observation, source string) {
	if _, isListed := s.targets.Get(id); isListed && s.targets.Rates.Learn(now, id, o) {
		s.logRateSwitch(now, id, source)
	}
}

func (s *Server) learnRates(now structs.Instant, rates map[structs.TargetID]targetrate.Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range rates {
		s.learnRate(now, id, o, "peer")
	}
}

// applyRateReport records the rates that a peer's digest reports. The caller holds the
// lock.
func (s *Server) applyRateReport(now structs.Instant, d fleet.Digest) {
	for id := range d.Rates {
		if _, isListed := s.targets.Get(id); !isListed {
			delete(d.Rates, id)
		}
	}
	for _, id := range s.targets.Rates.ApplyReport(now, d.From.VM, d.Rates) {
		s.logRateSwitch(now, id, "peer")
	}
}

func (s *Server) logRateSwitch(now structs.Instant, id structs.TargetID, source string) {
	rate, isNamed := s.targets.Rates.Rate(id)
	if !isNamed {
		s.log.Info("target names no rate any more", "target", string(id), "source", source)
		return
	}
	share, _ := s.targets.Rates.Share(now, id, 0)
	s.log.Warn("target names a rate", "target", string(id), "per_second", rate, "share", share, "source", source)
}
