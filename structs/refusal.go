package structs

import (
	"fmt"
	"time"
)

// Run says whether a refused or failed request reached a target.
type Run string

// Values of Run.
const (
	// RunNo: no byte of the request went to any target.
	RunNo Run = "no"
	// RunYes: a target ran the request to its end.
	RunYes Run = "yes"
	// RunUnknown: bytes of the request were sent and no end was seen.
	RunUnknown Run = "unknown"
)

// RefusalKind is the machine-readable reason of a refusal.
type RefusalKind string

// Reasons of a refusal. The comment gives the HTTP status.
const (
	RefusedBadRequest       RefusalKind = "bad_request"            // 400
	RefusedUnauthorized     RefusalKind = "unauthorized"           // 401
	RefusedForbidden        RefusalKind = "forbidden"              // 403
	RefusedNotFound         RefusalKind = "not_found"              // 404
	RefusedConflict         RefusalKind = "conflict"               // 409
	RefusedTooLarge         RefusalKind = "too_large"              // 413
	RefusedOutOfOrder       RefusalKind = "out_of_order"           // 409
	RefusedProgramEnded     RefusalKind = "program_ended"          // 410
	RefusedOverBudget       RefusalKind = "over_budget"            // 402
	RefusedOverRate         RefusalKind = "over_rate"              // 429
	RefusedQueueFull        RefusalKind = "queue_full"             // 503
	RefusedTailFull         RefusalKind = "tail_full"              // 503
	RefusedNotReady         RefusalKind = "not_ready"              // 503
	RefusedNotOwner         RefusalKind = "not_owner"              // 503, followed by the gateway, never shown to callers
	RefusedNoTarget         RefusalKind = "no_target"              // 503
	RefusedTargetFailed     RefusalKind = "target_failed"          // 502
	RefusedTimeout          RefusalKind = "timeout"                // 504
	RefusedQuarantined      RefusalKind = "quarantined"            // 422
	RefusedStaleConfig      RefusalKind = "stale_config"           // 503
	RefusedAnswerIncomplete RefusalKind = "answer_incomplete"      // 502
	RefusedOutcomeUnknown   RefusalKind = "outcome_unknown"        // 409, a call that may not be repeated has an unknown outcome
	RefusedInvariant        RefusalKind = "internal_inconsistency" // 500
)

// Refusal is the typed answer to a request that was not served. It implements
// error and crosses the wire as msgpack and the callers' interface as JSON.
type Refusal struct {
	Kind       RefusalKind   `msgpack:"k" json:"type"`
	Status     int           `msgpack:"s" json:"-"`
	Run        Run           `msgpack:"r" json:"run"`
	RetryAfter time.Duration `msgpack:"a,omitempty" json:"-"`
	Field      string        `msgpack:"f,omitempty" json:"field,omitempty"`
	Message    string        `msgpack:"m" json:"message"`
	// Owner is the address of the scheduler to ask instead, for
	// RefusedNotOwner only.
	Owner string `msgpack:"o,omitempty" json:"-"`
}

// Error returns the reason, whether the request ran, and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (run: %s): %s", r.Kind, r.Run, r.Message)
}

var statusOf = map[RefusalKind]int{
	RefusedBadRequest: 400, RefusedUnauthorized: 401, RefusedForbidden: 403,
	RefusedNotFound: 404, RefusedConflict: 409, RefusedTooLarge: 413,
	RefusedOutOfOrder: 409, RefusedProgramEnded: 410, RefusedOverBudget: 402,
	RefusedOverRate: 429, RefusedQueueFull: 503, RefusedTailFull: 503,
	RefusedNotReady: 503, RefusedNotOwner: 503, RefusedNoTarget: 503,
	RefusedTargetFailed: 502, RefusedTimeout: 504, RefusedQuarantined: 422,
	RefusedStaleConfig: 503, RefusedAnswerIncomplete: 502,
	RefusedOutcomeUnknown: 409, RefusedInvariant: 500,
}

// Refuse builds a refusal of the given kind with the kind's HTTP status.
func Refuse(kind RefusalKind, run Run, format string, args ...any) *Refusal {
	return &Refusal{Kind: kind, Status: statusOf[kind], Run: run, Message: fmt.Sprintf(format, args...)}
}

// InvariantError reports that an invariant of a decision package does not
// hold. Tests stop on it; a daemon refuses the request at hand, counts it and
// logs it.
type InvariantError struct {
	Package string
	Name    string
	Detail  string
}

// Error names the package, the invariant and what was seen.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %s.%s does not hold: %s", e.Package, e.Name, e.Detail)
}
