package edge

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/hop"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetpath"
)

const (
	// minUnansweredTime is how long a target must have had a request for a missing
	// response at the deadline to count as a failure of the target; all calls of the
	// users end sooner.
	minUnansweredTime = 800 * time.Millisecond
	// crashCheckTimeout bounds the connection attempt that distinguishes a crashed
	// target from an incomplete response.
	crashCheckTimeout = 500 * time.Millisecond
)

// isUnreachable reports whether err means that no connection to the target could be
// made, and logs it in that case.
func (s *Server) isUnreachable(target placement.Target, err error) bool {
	var dial *hop.DialError
	if !errors.As(err, &dial) {
		return false // the request ended, which says nothing about the target
	}
	s.log.Warn("target is unreachable", "target", string(target.ID), "address", target.Address, "cause", err.Error(),
		"last_answer_ms", s.answerAge(structs.Now()).Milliseconds())
	return true
}

// answerAge returns the time since any target answered this VM.
func (s *Server) answerAge(now structs.Instant) time.Duration {
	s.paths.mu.Lock()
	defer s.paths.mu.Unlock()
	return s.paths.health.SilentFor(now)
}

// recordIncompleteResponse records an incomplete response and starts a check for
// whether the target has crashed.
func (x *exchange) recordIncompleteResponse(ctx context.Context, target placement.Target, err error) {
	if x.forwardedBy != "" {
		x.server.log.Warn("forwarded answer broke off", "request", string(x.ID), "target", string(target.ID),
			"forwarded_by", string(x.forwardedBy), "cause", err.Error())
		return
	}
	if ctx.Err() != nil { // ended by this side
		if x.timeLeft() <= 0 && structs.Now().Sub(x.sentAt) > minUnansweredTime {
			x.recordTargetFailure()
		}
		return
	}
	x.recordTargetFailure()
	x.server.log.Warn("answer broke off", "request", string(x.ID), "target", string(target.ID), "cause", err.Error())
	go x.server.checkCrash(x.fingerprint, x.ID, target)
}

// recordTargetFailure records that the response of the request's target is incomplete.
func (x *exchange) recordTargetFailure() {
	x.grant.result, x.grant.failedAt = placement.ResultFailed, structs.Now()
	x.server.recordPathFailure(x.grant.failedAt)
}

// checkCrash connects to a target whose response was incomplete. If that fails, the
// request is counted as one that may have crashed the target.
func (s *Server) checkCrash(fingerprint uint64, id structs.RequestID, target placement.Target) {
	s.pool.CloseIdle(target.Address)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := s.pool.Probe(ctx, target.Address)
	if err == nil {
		s.paths.connected()
		return
	}
	s.isUnreachable(target, err)
	failedAt := structs.Now()
	s.recordPathFailure(failedAt)
	if s.paths.awaitVerdict(context.Background(), failedAt) == targetpath.PathLost {
		s.log.Info("no crash counted, this VM reaches no target", "request", string(id), "target", string(target.ID))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := structs.Now()
	s.targets.RecordUnreachable(now, target.ID)
	if listed, isListed := s.targets.Get(target.ID); !isListed || listed.IsDraining {
		s.log.Info("no crash counted, the target was leaving", "request", string(id), "target", string(target.ID))
		return
	}
	quarantined := s.quarantine.RecordCrash(now, fingerprint, target.ID, lifetimeOf(target))
	s.log.Warn("target crashed while it ran a request", "request", string(id), "target", string(target.ID),
		"crashes", s.quarantine.NextTrial(now, fingerprint).Crashes, "quarantined", quarantined)
}

// lifetimeOf returns a number that identifies a start of a target: its time or, where that is
// not stated, a hash of its address.
func lifetimeOf(target placement.Target) int64 {
	if target.Started != 0 {
		return target.Started
	}
	return int64(xxhash.Sum64String(target.Address))
}
