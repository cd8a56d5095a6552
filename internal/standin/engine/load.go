package engine

import (
	"time"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	blockTokens = 16
	totalBlocks = 65536
)

// reportLocked notes the load after a change; s.mu is held.
func (s *Server) reportLocked() {
	var used int64
	for _, messages := range s.holds {
		used += (promptTokens(messages) + blockTokens - 1) / blockTokens
	}
	load := target.Load{Running: s.running, Waiting: s.waiting, UsedBlocks: used, TotalBlocks: totalBlocks}
	for _, id := range s.holdsLocked() {
		load.HeldPrograms = append(load.HeldPrograms, string(id))
	}
	if len(s.reports) >= maxLoadReports {
		s.reports = append([]loadReport(nil), s.reports[maxLoadReports/2:]...)
	}
	s.reports = append(s.reports, loadReport{at: time.Now(), load: load})
}

// Load returns the load as it was Options.LoadLag ago.
func (s *Server) Load() target.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(-s.opts.LoadLag)
	shown := target.Load{TotalBlocks: totalBlocks}
	for _, report := range s.reports {
		if report.at.After(until) {
			break
		}
		shown = report.load
	}
	shown.Age = s.opts.LoadLag
	return shown
}

// eventLocked notes a cache event; s.mu is held.
func (s *Server) eventLocked(kind string, hold structs.ProgramID, tokens int64) {
	s.lastEvent++
	if s.opts.CacheEventGap > 0 && s.lastEvent%uint64(s.opts.CacheEventGap) == 0 {
		return
	}
	if len(s.events) >= maxCacheEvents {
		s.events = append([]CacheEvent(nil), s.events[maxCacheEvents/2:]...)
	}
	s.events = append(s.events, CacheEvent{Number: s.lastEvent, Kind: kind, Hold: hold, Tokens: tokens, at: time.Now()})
}

// CacheEvents returns the events after a number that are old enough to show.
func (s *Server) CacheEvents(after uint64) []CacheEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(-s.opts.CacheEventLag)
	shown := []CacheEvent{}
	for _, event := range s.events {
		if event.Number > after && !event.at.After(until) {
			shown = append(shown, event)
		}
	}
	return shown
}

func (s *Server) hold(id structs.ProgramID, messages []structs.Message) {
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds[id] = messages
	s.eventLocked("stored", id, promptTokens(messages))
	s.reportLocked()
}

func (s *Server) cached(id structs.ProgramID, messages []structs.Message) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return promptTokens(commonPrefix(s.holds[id], messages))
}

// release frees a hold and reports whether the release was made to fail.
func (s *Server) release(id structs.ProgramID) (failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.releaseFails > 0 {
		s.releaseFails--
		return true
	}
	messages, held := s.holds[id]
	if !held {
		return false
	}
	delete(s.holds, id)
	s.eventLocked("removed", id, promptTokens(messages))
	s.reportLocked()
	return false
}
