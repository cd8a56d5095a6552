package placement

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// outcomeTau is the time constant of the outcome counts: long enough to cover several
	// answers of each target, short enough that a target which has recovered is tried
	// again within seconds.
	outcomeTau = 3 * time.Second
	// priorSuccesses is the number of successes assumed of every target, so that a single
	// failure has little weight.
	priorSuccesses = 8.0
	// ejectThreshold and restoreThreshold are the failure rates at which a target is
	// ejected, that is taken out of use, and restored.
	ejectThreshold   = 0.2
	restoreThreshold = 0.08
	// failureCost is the cost of a target per square of its failure rate. A failed call
	// that can't be repeated makes its whole program fail.
	failureCost = 1500.0
	// minReportedFailures is the failure count below which a target is not reported.
	minReportedFailures = 0.1
)

// OutcomeCounts holds one VM's counts of a target's recent successes and failures. They
// decay with time.
type OutcomeCounts struct {
	Successes float32 `msgpack:"g"`
	Failures  float32 `msgpack:"b"`
}

// outcomeHistory holds a target's outcome counts of all VMs and whether it is ejected.
type outcomeHistory struct {
	successes, failures float64
	decayedAt           structs.Instant
	remote              map[structs.VMID]remoteOutcomes
	isEjected           bool
	isReportedEjected   bool // as last returned by EjectionChanges
}

type remoteOutcomes struct {
	OutcomeCounts
	reportedAt structs.Instant
}

func (o *outcomeHistory) decay(now structs.Instant) {
	if o.decayedAt != 0 {
		decay := math.Exp(-now.Sub(o.decayedAt).Seconds() / outcomeTau.Seconds())
		o.successes *= decay
		o.failures *= decay
	}
	o.decayedAt = now
}

// failureRate estimates the fraction of requests that the target fails, from the outcomes
// at all VMs. A VM reports only the targets that failed its requests.
func (o *outcomeHistory) failureRate(now structs.Instant) float64 {
	if o.failures == 0 && len(o.remote) == 0 {
		return 0 // the usual case, on the path of each choice
	}
	o.decay(now)
	successes, failures := o.successes, o.failures
	for vm, r := range o.remote {
		age := now.Sub(r.reportedAt)
		if age > 2*outcomeTau {
			delete(o.remote, vm)
			continue
		}
		decay := math.Exp(-age.Seconds() / outcomeTau.Seconds())
		successes += decay * float64(r.Successes)
		failures += decay * float64(r.Failures)
	}
	return failures / (successes + failures + priorSuccesses)
}

// isCorroborated reports whether this VM or two others have seen the target fail. One other
// VM may have lost its path to the target.
func (o *outcomeHistory) isCorroborated() bool {
	return o.failures >= minReportedFailures || len(o.remote) > 1
}

// updateEjected updates and reports whether the target is ejected. The two thresholds
// keep it from changing with every answer.
func (o *outcomeHistory) updateEjected(now structs.Instant) bool {
	rate := o.failureRate(now)
	switch {
	case rate >= ejectThreshold && (o.isEjected || o.isCorroborated()):
		o.isEjected = true
	case rate <= restoreThreshold:
		o.isEjected = false
	}
	return o.isEjected
}

// Result is the outcome of a request at a target.
type Result uint8

// Results. ResultNone does not count for or against the target.
const (
	ResultNone Result = iota
	ResultAnswered
	ResultFailed      // the response was incomplete, never arrived, or was an error
	ResultUnreachable // no connection could be made
	ResultFull        // refused because the target has no capacity
)

// RecordResult ends a request that was counted with BeginRequest and records its result.
// latency is the time until its response began, 0 if it did not begin.
func (s *TargetSet) RecordResult(now structs.Instant, id structs.TargetID, result Result, latency time.Duration) {
	s.EndRequest(id)
	if latency > 0 {
		s.RecordAnswer(now, id, latency)
	}
	switch result {
	case ResultFailed:
		s.RecordFailure(now, id)
	case ResultUnreachable:
		s.RecordUnreachable(now, id)
	case ResultFull:
		s.RecordFull(now, id)
	}
}

// ForgetOwnFailures drops the failures that this VM has recorded, since they say nothing
// about the targets.
func (s *TargetSet) ForgetOwnFailures() {
	for _, st := range s.targets {
		st.connectFailures, st.backoffUntil = 0, 0
		st.outcomes.failures = 0
	}
}

// FailureReport returns the counts of the targets that recently failed requests of this
// VM, to be reported to the peers.
func (s *TargetSet) FailureReport(now structs.Instant) map[structs.TargetID]OutcomeCounts {
	report := make(map[structs.TargetID]OutcomeCounts)
	for id, st := range s.targets {
		st.outcomes.decay(now)
		if st.outcomes.failures >= minReportedFailures {
			report[id] = OutcomeCounts{Successes: float32(st.outcomes.successes), Failures: float32(st.outcomes.failures)}
		}
	}
	return report
}

// ApplyFailureReport stores a peer's counts of the targets that failed its requests.
func (s *TargetSet) ApplyFailureReport(now structs.Instant, vm structs.VMID, report map[structs.TargetID]OutcomeCounts) {
	for id, counts := range report {
		st := s.targets[id]
		if st == nil {
			continue
		}
		if st.outcomes.remote == nil {
			st.outcomes.remote = make(map[structs.VMID]remoteOutcomes)
		}
		st.outcomes.remote[vm] = remoteOutcomes{OutcomeCounts: counts, reportedAt: now}
	}
}

// EjectionChange describes a target that was ejected or restored.
type EjectionChange struct {
	Target      structs.TargetID
	IsEjected   bool
	FailureRate float64 // estimated fraction of failed requests
	// OwnFailures is this VM's decayed count of failures; Reporters is the number of
	// peers that report failures.
	OwnFailures float64
	Reporters   int
}

// EjectionChanges returns the targets that were ejected or restored since the last call.
func (s *TargetSet) EjectionChanges(now structs.Instant) []EjectionChange {
	var changes []EjectionChange
	for id, st := range s.targets {
		isEjected := st.outcomes.updateEjected(now)
		if isEjected != st.outcomes.isReportedEjected {
			st.outcomes.isReportedEjected = isEjected
			changes = append(changes, EjectionChange{
				Target: id, IsEjected: isEjected, FailureRate: st.outcomes.failureRate(now),
				OwnFailures: st.outcomes.failures, Reporters: len(st.outcomes.remote),
			})
		}
	}
	return changes
}

// ejectedTargets returns the ejected targets of a service. If they are more than half of
// its targets, it returns none, since a target that fails some requests is better than no
// target.
func ejectedTargets(now structs.Instant, group map[structs.TargetID]*targetState) map[structs.TargetID]bool {
	var ejected map[structs.TargetID]bool
	for id, st := range group {
		if st.outcomes.updateEjected(now) {
			if ejected == nil {
				ejected = make(map[structs.TargetID]bool)
			}
			ejected[id] = true
		}
	}
	if 2*len(ejected) > len(group) {
		return nil
	}
	return ejected
}
