package structs

import (
	"fmt"
	"time"
)

// Run tells whether a refused or failed request was run by a target.
type Run string

// Values of Run.
const (
	// RunNo: no byte of the request was sent to any target.
	RunNo Run = "no"
	// RunYes: a target completed the request.
	RunYes Run = "yes"
	// RunUnknown: bytes of the request were sent and its end was not observed.
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
	RefusedNotOwner         RefusalKind = "not_owner"              // 503; the gateway redirects the request, callers never see it
	RefusedNoTarget         RefusalKind = "no_target"              // 503
	RefusedTargetFailed     RefusalKind = "target_failed"          // 502
	RefusedTimeout          RefusalKind = "timeout"                // 504
	RefusedQuarantined      RefusalKind = "quarantined"            // 422
	RefusedStaleConfig      RefusalKind = "stale_config"           // 503
	RefusedAnswerIncomplete RefusalKind = "answer_incomplete"      // 502
	RefusedOutcomeUnknown   RefusalKind = "outcome_unknown"        // 409; the call has an unknown outcome and must not be repeated
	RefusedInvariant        RefusalKind = "internal_inconsistency" // 500
)

// Refusal is the typed answer to a request that was not served. It implements
// error. It is encoded as msgpack between daemons and as JSON for callers.
type Refusal struct {
	Kind       RefusalKind   `msgpack:"k" json:"type"`
	Status     int           `msgpack:"s" json:"-"`
	Run        Run           `msgpack:"r" json:"run"`
	RetryAfter time.Duration `msgpack:"a,omitempty" json:"-"`
	Field      string        `msgpack:"f,omitempty" json:"field,omitempty"`
	Message    string        `msgpack:"m" json:"message"`
	// Owner is the address of the scheduler that owns the key. It is set for
	// RefusedNotOwner only.
	Owner string `msgpack:"o,omitempty" json:"-"`
}

// Error returns the kind, whether the request was run, and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (run: %s): %s", r.Kind, r.Run, r.Message)
}

var statusByKind = map[RefusalKind]int{
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
	return &Refusal{Kind: kind, Status: statusByKind[kind], Run: run, Message: fmt.Sprintf(format, args...)}
}

// InvariantError reports that an invariant of a deterministic state machine
// does not hold. Tests fail on it; a daemon refuses the current request, and
// counts and logs the violation.
type InvariantError struct {
	Package string
	Name    string
	Detail  string
}

// Error names the package, the invariant and the observed state.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("invariant %s.%s does not hold: %s", e.Package, e.Name, e.Detail)
}
