package edge

import (
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// maxRefusalLines is the number of lines in each refusalLinePeriod about requests that were
	// refused for what they are: clients that are not controlled may send any number of them.
	maxRefusalLines   = 100
	refusalLinePeriod = time.Second
)

// refusalLines bounds the log lines about requests that are refused for what they are.
type refusalLines struct {
	mu      sync.Mutex
	since   structs.Instant // start of the period
	lines   int             // in the period
	dropped int             // since the last line about dropped ones
}

// take reports whether a line may be written now, and the number of lines that were dropped in
// the period that has ended, 0 if none has.
func (l *refusalLines) take(now structs.Instant) (isAllowed bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since == 0 || now.Sub(l.since) >= refusalLinePeriod {
		dropped = l.dropped
		l.since, l.lines, l.dropped = now, 0, 0
	}
	l.lines++
	if l.lines > maxRefusalLines {
		l.dropped++
		return false, dropped
	}
	return true, dropped
}

// isRefusedForItself reports whether a request was refused for what it is, before it was sent
// anywhere: it would be refused again.
func isRefusedForItself(x *exchange, refusal *structs.Refusal) bool {
	if refusal == nil || x.sends > 0 {
		return false
	}
	switch refusal.Kind {
	case structs.RefusedBadRequest, structs.RefusedUnauthorized, structs.RefusedNotFound, structs.RefusedTooLarge:
		return true
	}
	return false
}

// mayLogRefusal reports whether a line about a refused request may be written, and says how
// many were not.
func (s *Server) mayLogRefusal() bool {
	isAllowed, dropped := s.refusalLines.take(structs.Now())
	if dropped > 0 {
		s.log.Warn("requests refused without a line", "count", dropped, "period_ms", refusalLinePeriod.Milliseconds())
	}
	return isAllowed
}

// LogRefusedBody logs that a request was refused since its body could not be read.
func (s *Server) LogRefusedBody(request string, refusal *structs.Refusal) {
	if s.mayLogRefusal() {
		s.log.Warn("request", "request", request, "outcome", string(refusal.Kind), "reason", refusal.Message)
	}
}
