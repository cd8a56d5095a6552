package placement

import (
	"math"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

const (
	// outcomeSpan is the time constant of the counts of answers: long enough
	// for some answers of each target, short enough that a target which has
	// recovered is asked again within seconds.
	outcomeSpan = 3 * time.Second
	// outcomePrior is the number of good answers that are taken for granted,
	// so that a single failure means little.
	outcomePrior = 8.0
	// shunAbove and unshunBelow are the failing parts at which a target is
	// taken out of use and back in.
	shunAbove   = 0.2
	unshunBelow = 0.08
	// failCost scales the square of a target's failing part. A failed call
	// that can't be repeated loses its whole program.
	failCost = 1500.0
	// tellAbove is the count of failures that is worth a report.
	tellAbove = 0.1
)

// OutcomeCounts counts a target's recent answers at one VM.
type OutcomeCounts struct {
	Successes float32 `msgpack:"g"`
	Failures  float32 `msgpack:"b"`
}

// outcomes is what is known of a target's answers.
type outcomes struct {
	good, bad float64
	counted   structs.Instant
	remote    map[structs.VMID]remoteOutcomes
	shunned   bool
	told      bool // the last word of Switches
}

type remoteOutcomes struct {
	OutcomeCounts
	reported structs.Instant
}

func (o *outcomes) decay(now structs.Instant) {
	if o.counted != 0 {
		keep := math.Exp(-now.Sub(o.counted).Seconds() / outcomeSpan.Seconds())
		o.good *= keep
		o.bad *= keep
	}
	o.counted = now
}

// failing estimates the part of requests that the target fails, from the answers
// at all VMs. VMs report only the targets that failed them.
func (o *outcomes) failing(now structs.Instant) float64 {
	if o.bad == 0 && len(o.remote) == 0 {
		return 0 // as most targets are, at each choice
	}
	o.decay(now)
	good, bad := o.good, o.bad
	for vm, r := range o.remote {
		age := now.Sub(r.reported)
		if age > 2*outcomeSpan {
			delete(o.remote, vm)
			continue
		}
		keep := math.Exp(-age.Seconds() / outcomeSpan.Seconds())
		good += keep * float64(r.Successes)
		bad += keep * float64(r.Failures)
	}
	return bad / (good + bad + outcomePrior)
}

// check updates and reports whether the target is taken out of use. The two
// bounds keep it from switching at every answer.
func (o *outcomes) check(now structs.Instant) bool {
	failing := o.failing(now)
	switch {
	case failing >= shunAbove:
		o.shunned = true
	case failing <= unshunBelow:
		o.shunned = false
	}
	return o.shunned
}

// Result is what a target did with a request.
type Result uint8

// Results. ResultNone says nothing about the target.
const (
	ResultNone Result = iota
	ResultAnswered
	ResultFailed      // the answer broke off, never came, or was an error
	ResultUnreachable // no connection could be made
	ResultFull        // refused for lack of room
)

// RecordResult uncounts a request that Choose and Begin sent to a target. latency is the
// time until its answer began, 0 if it did not.
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

// FailureReport returns the targets that failed requests of this VM lately, to be
// reported to the peers.
func (s *TargetSet) FailureReport(now structs.Instant) map[structs.TargetID]OutcomeCounts {
	failing := make(map[structs.TargetID]OutcomeCounts)
	for id, st := range s.targets {
		st.outcomes.decay(now)
		if st.outcomes.bad >= tellAbove {
			failing[id] = OutcomeCounts{Successes: float32(st.outcomes.good), Failures: float32(st.outcomes.bad)}
		}
	}
	return failing
}

// ApplyFailureReport takes a peer's word on the targets that failed it.
func (s *TargetSet) ApplyFailureReport(now structs.Instant, vm structs.VMID, failing map[structs.TargetID]OutcomeCounts) {
	for id, counts := range failing {
		st := s.targets[id]
		if st == nil {
			continue
		}
		if st.outcomes.remote == nil {
			st.outcomes.remote = make(map[structs.VMID]remoteOutcomes)
		}
		st.outcomes.remote[vm] = remoteOutcomes{OutcomeCounts: counts, reported: now}
	}
}

// EjectionChange is a target that was taken out of use or back in.
type EjectionChange struct {
	Target      structs.TargetID
	IsEjected   bool
	FailureRate float64 // estimated part of requests
}

// EjectionChanges returns the targets that were taken out of use or back in since the
// last call.
func (s *TargetSet) EjectionChanges(now structs.Instant) []EjectionChange {
	var switches []EjectionChange
	for id, st := range s.targets {
		out := st.outcomes.check(now)
		if out != st.outcomes.told {
			st.outcomes.told = out
			switches = append(switches, EjectionChange{Target: id, IsEjected: out, FailureRate: st.outcomes.failing(now)})
		}
	}
	return switches
}

// shunned returns the targets of a group that are out of use for failing
// requests: at most half of them, since one that fails some is better than none.
func shunned(now structs.Instant, group map[structs.TargetID]*state) map[structs.TargetID]bool {
	var out map[structs.TargetID]bool
	for id, st := range group {
		if st.outcomes.check(now) {
			if out == nil {
				out = make(map[structs.TargetID]bool)
			}
			out[id] = true
		}
	}
	if 2*len(out) > len(group) {
		return nil
	}
	return out
}
