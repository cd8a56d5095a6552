package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// Limits on the attempts of one request.
const (
	maxAttempts  = 32
	maxRedirects = 3 // followed without delay and not charged to the retry budget
	// maxRetryPeriod limits the time from the first failed attempt to the last. It is
	// long enough for another scheduler to take over from a lost owner.
	maxRetryPeriod = 20 * time.Second
)

// retryAfter is the Retry-After of a refusal when no scheduler can serve the request.
const retryAfter = time.Second

// Attempts chooses the address of each attempt of one request and decides whether to
// retry after a failure. It isn't safe for concurrent use.
type Attempts struct {
	forwarder      *Forwarder
	domainSlot     domainSlot
	startIndex     int
	failures       int
	redirects      int
	redirectAddr   string
	isRunUnknown   bool            // an attempt was sent and its reply is incomplete
	firstFailureAt structs.Instant // time of the first failure
	outage         *outage         // outage whose end the request waits for
	isProbing      bool            // the request holds outage.probeLock
	probeTimer     *time.Timer     // ends the outage if the probe gets no refusal in time
}

// NextAddr returns the address for the next attempt: that of a redirect, the known owner
// or the next scheduler of the failure domain.
func (a *Attempts) NextAddr() (string, *structs.Refusal) {
	if a.redirectAddr != "" {
		return a.redirectAddr, nil
	}
	if owner := a.forwarder.owner(a.domainSlot); owner != "" {
		return owner, nil
	}
	addrs := a.forwarder.opts.Addresses(a.domainSlot.domain)
	if len(addrs) == 0 {
		return "", a.notReady("failure domain %q has no known scheduler", a.domainSlot.domain)
	}
	return addrs[(a.startIndex+a.failures)%len(addrs)], nil
}

// IsRunUnknown reports whether an attempt was sent and its reply is incomplete, so that
// a later refusal can't say that the request did not run.
func (a *Attempts) IsRunUnknown() bool { return a.isRunUnknown }

// PrepareRetry handles the error of an attempt. It returns nil when the request is to be
// sent again, after waiting if necessary, and otherwise the *structs.Refusal for the
// caller. canResend allows a retry after an incomplete reply.
func (a *Attempts) PrepareRetry(ctx context.Context, addr string, err error, canResend bool) error {
	a.stopProbeTimer()
	a.redirectAddr = ""
	a.failures++
	if a.failures == 1 {
		a.firstFailureAt = a.forwarder.opts.Clock()
	}
	a.isRunUnknown = a.isRunUnknown || mayHaveRun(err)
	final := a.refusalOf(ctx, err)
	if ctx.Err() != nil {
		return final
	}
	if !isRetryable(err, canResend) {
		a.endOutageIfServed(addr, err)
		return final
	}
	if a.followRedirect(addr, err) {
		return nil
	}
	if a.failures >= maxAttempts {
		return final
	}
	a.forwarder.removeOwner(a.domainSlot, addr)
	if a.waitToRetry(ctx) {
		return nil
	}
	if ctx.Err() != nil {
		return a.contextRefusal(ctx, a.isRunUnknown)
	}
	return final
}

// endOutageIfServed ends the slot's outage when the error is the refusal of a scheduler
// that serves the slot.
func (a *Attempts) endOutageIfServed(addr string, err error) {
	var refusal *structs.Refusal
	if errors.As(err, &refusal) && !isNotServing(refusal) {
		a.RecordOwner(addr)
	}
}

// followRedirect makes the owner that a refusal names the address of the next attempt.
// It reports whether there is such an owner.
func (a *Attempts) followRedirect(addr string, err error) bool {
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) || refusal.Kind != structs.RefusedNotOwner {
		return false
	}
	if refusal.Owner == "" || refusal.Owner == addr {
		return false
	}
	if a.redirects >= maxRedirects {
		return false
	}
	a.redirects++
	a.redirectAddr = refusal.Owner
	a.forwarder.setOwner(a.domainSlot, refusal.Owner)
	return true
}

func isRetryable(err error, canResend bool) bool {
	var notSent *wire.NotSentError
	if errors.As(err, &notSent) {
		var tooLarge *wire.FrameTooLargeError
		return !errors.As(err, &tooLarge)
	}
	var incomplete *wire.IncompleteReplyError
	if errors.As(err, &incomplete) {
		return canResend
	}
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) || !isNotServing(refusal) {
		return false
	}
	return refusal.Run == structs.RunNo || canResend
}

// isNotServing reports whether the refusal is that of a scheduler that doesn't own the
// key or can't serve now.
func isNotServing(refusal *structs.Refusal) bool {
	return refusal.Kind == structs.RefusedNotOwner || refusal.Kind == structs.RefusedNotReady
}

// mayHaveRun reports whether the request may have run in spite of the error.
func mayHaveRun(err error) bool {
	var incomplete *wire.IncompleteReplyError
	if errors.As(err, &incomplete) {
		return true
	}
	var refusal *structs.Refusal
	return errors.As(err, &refusal) && isNotServing(refusal) && refusal.Run != structs.RunNo
}

// refusalOf converts the error of an attempt to the refusal that the caller gets.
func (a *Attempts) refusalOf(ctx context.Context, err error) *structs.Refusal {
	var refusal *structs.Refusal
	var notSent *wire.NotSentError
	var incomplete *wire.IncompleteReplyError
	var tooLarge *wire.FrameTooLargeError
	switch {
	case errors.As(err, &refusal):
		return a.refusalForCaller(refusal)
	case errors.As(err, &tooLarge):
		return a.refusalForCaller(structs.Refuse(structs.RefusedTooLarge, structs.RunNo, "the request is too large to be forwarded"))
	case errors.As(err, &notSent):
		return a.notReady("no scheduler of failure domain %q can be reached", a.domainSlot.domain)
	case errors.As(err, &incomplete):
		return structs.Refuse(structs.RefusedAnswerIncomplete, structs.RunUnknown, "the answer was cut")
	}
	return a.contextRefusal(ctx, true)
}

// contextRefusal returns the refusal for a request whose context has ended.
func (a *Attempts) contextRefusal(ctx context.Context, mayHaveRun bool) *structs.Refusal {
	run := structs.RunNo
	if mayHaveRun {
		run = structs.RunUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return structs.Refuse(structs.RefusedTimeout, run, "the request timed out")
	}
	return structs.Refuse(structs.RefusedOutcomeUnknown, run, "the request was cancelled")
}

// refusalForCaller hides owners, which are internal, and changes "not run" to "unknown"
// if an earlier attempt may have run: a later scheduler knows only of its own attempt.
func (a *Attempts) refusalForCaller(refusal *structs.Refusal) *structs.Refusal {
	if refusal.Kind == structs.RefusedNotOwner {
		return a.notReady("failure domain %q has no owner for the program now", a.domainSlot.domain)
	}
	if a.isRunUnknown && refusal.Run == structs.RunNo {
		changed := *refusal
		changed.Run = structs.RunUnknown
		return &changed
	}
	return refusal
}

// notReady returns a not_ready refusal. Its run is unknown if an earlier attempt may have
// run.
func (a *Attempts) notReady(format string, args ...any) *structs.Refusal {
	run := structs.RunNo
	if a.isRunUnknown {
		run = structs.RunUnknown
	}
	refusal := structs.Refuse(structs.RefusedNotReady, run, format, args...)
	refusal.RetryAfter = retryAfter
	return refusal
}
