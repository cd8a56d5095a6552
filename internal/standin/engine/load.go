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

// recordLoadLocked records the current load as a load report. The caller holds s.mu.
func (s *Server) recordLoadLocked() {
	var used int64
	for _, messages := range s.holds {
		used += (promptTokens(messages) + blockTokens - 1) / blockTokens
	}
	load := target.Load{Running: s.running, Waiting: s.waiting, UsedBlocks: used, TotalBlocks: totalBlocks}
	for _, id := range s.holdsLocked() {
		load.HeldPrograms = append(load.HeldPrograms, string(id))
	}
	if len(s.loadReports) >= maxLoadReports {
		s.loadReports = append([]loadReport(nil), s.loadReports[maxLoadReports/2:]...)
	}
	s.loadReports = append(s.loadReports, loadReport{at: time.Now(), load: load})
}

// Load returns the load as of Options.LoadLag ago.
func (s *Server) Load() target.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-s.opts.LoadLag)
	latest := target.Load{TotalBlocks: totalBlocks}
	for _, report := range s.loadReports {
		if report.at.After(cutoff) {
			break
		}
		latest = report.load
	}
	latest.Age = s.opts.LoadLag
	return latest
}

// recordEventLocked records a cache event, or drops it as Options.CacheEventGap says. The
// caller holds s.mu.
func (s *Server) recordEventLocked(kind string, hold structs.ProgramID, tokens int64) {
	s.lastEventNumber++
	if s.opts.CacheEventGap > 0 && s.lastEventNumber%uint64(s.opts.CacheEventGap) == 0 {
		return
	}
	if len(s.cacheEvents) >= maxCacheEvents {
		s.cacheEvents = append([]CacheEvent(nil), s.cacheEvents[maxCacheEvents/2:]...)
	}
	s.cacheEvents = append(s.cacheEvents, CacheEvent{Number: s.lastEventNumber, Kind: kind, Hold: hold, Tokens: tokens, at: time.Now()})
}

// CacheEvents returns the events whose number is greater than after and that are at least
// Options.CacheEventLag old.
func (s *Server) CacheEvents(after uint64) []CacheEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	cutoff := time.Now().Add(-s.opts.CacheEventLag)
	visible := []CacheEvent{}
	for _, event := range s.cacheEvents {
		if event.Number > after && !event.at.After(cutoff) {
			visible = append(visible, event)
		}
	}
	return visible
}

func (s *Server) storeHold(id structs.ProgramID, messages []structs.Message) {
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holds[id] = messages
	s.recordEventLocked("stored", id, promptTokens(messages))
	s.recordLoadLocked()
}

func (s *Server) cachedTokens(id structs.ProgramID, messages []structs.Message) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return promptTokens(commonPrefix(s.holds[id], messages))
}

// releaseHold frees a hold. It does nothing and returns true if FailReleases makes this
// release fail.
func (s *Server) releaseHold(id structs.ProgramID) (isFailed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.releaseFailsLeft > 0 {
		s.releaseFailsLeft--
		return true
	}
	messages, isHeld := s.holds[id]
	if !isHeld {
		return false
	}
	delete(s.holds, id)
	s.recordEventLocked("removed", id, promptTokens(messages))
	s.recordLoadLocked()
	return false
}
