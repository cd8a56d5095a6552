package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// Bounds of the attempts of one request.
const (
	maxAttempts  = 32
	maxRedirects = 3 // followed at once and outside of the retry budget
	// maxWait bounds the time from the first failed attempt to the last. It
	// covers the succession of a lost owner.
	maxWait = 20 * time.Second
)

// retryAfter is what a caller is told to wait when no scheduler serves.
const retryAfter = time.Second

// Attempts chooses the address of each attempt of one request and decides
// whether a failed one is followed by another. It is used by one goroutine.
type Attempts struct {
	forwarder *Forwarder
	place     place
	first     int
	tried     int
	redirects int
	next      string
	cut       bool            // an attempt was sent and its reply was cut
	failed    structs.Instant // when the first attempt failed
	outage    *outage         // that the request waits for
	probing   bool            // the request holds the outage's turn
	timer     *time.Timer     // of the probe that was sent
}

// NextAddr returns the address for the next attempt.
func (a *Attempts) NextAddr() (string, *structs.Refusal) {
	if a.next != "" {
		return a.next, nil
	}
	if owner := a.forwarder.owner(a.place); owner != "" {
		return owner, nil
	}
	addrs := a.forwarder.opts.Addresses(a.place.domain)
	if len(addrs) == 0 {
		return "", a.unready("failure domain %q has no known scheduler", a.place.domain)
	}
	return addrs[(a.first+a.tried)%len(addrs)], nil
}

// IsRunUnknown reports whether an attempt was sent and its reply was cut, so that a
// later refusal cannot say that the request did not run.
func (a *Attempts) IsRunUnknown() bool { return a.cut }

// PrepareRetry decides what follows the error of an attempt: it returns nil, after a
// wait where one is due, when the request is to be sent again, and otherwise
// the *structs.Refusal that ends it. resend says that the request may be sent
// again although its reply was cut.
func (a *Attempts) PrepareRetry(ctx context.Context, addr string, err error, resend bool) error {
	a.answered()
	a.next = ""
	a.tried++
	if a.tried == 1 {
		a.failed = a.forwarder.opts.Clock()
	}
	a.cut = a.cut || sent(err)
	final := a.classify(ctx, err)
	if ctx.Err() != nil {
		return final
	}
	if !retryable(err, resend) {
		a.openOn(addr, err)
		return final
	}
	if a.redirect(addr, err) {
		return nil
	}
	if a.tried >= maxAttempts {
		return final
	}
	a.forwarder.unlearn(a.place, addr)
	if a.wait(ctx) {
		return nil
	}
	if ctx.Err() != nil {
		return a.ended(ctx, a.cut)
	}
	return final
}

// openOn ends the place's outage when the error shows that it is served.
func (a *Attempts) openOn(addr string, err error) {
	var refusal *structs.Refusal
	if errors.As(err, &refusal) && !notServing(refusal) {
		a.RecordOwner(addr)
	}
}

// redirect follows a refusal that names the owner.
func (a *Attempts) redirect(addr string, err error) bool {
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
	a.next = refusal.Owner
	a.forwarder.learn(a.place, refusal.Owner)
	return true
}

func retryable(err error, resend bool) bool {
	var notSent *wire.NotSentError
	if errors.As(err, &notSent) {
		var tooLarge *wire.FrameTooLargeError
		return !errors.As(err, &tooLarge)
	}
	var broken *wire.IncompleteReplyError
	if errors.As(err, &broken) {
		return resend
	}
	var refusal *structs.Refusal
	if !errors.As(err, &refusal) || !notServing(refusal) {
		return false
	}
	return refusal.Run == structs.RunNo || resend
}

// notServing reports whether the refusal is one of a scheduler that does not
// own the key or cannot serve now.
func notServing(refusal *structs.Refusal) bool {
	return refusal.Kind == structs.RefusedNotOwner || refusal.Kind == structs.RefusedNotReady
}

// sent reports whether the error leaves open that the request has run.
func sent(err error) bool {
	var broken *wire.IncompleteReplyError
	if errors.As(err, &broken) {
		return true
	}
	var refusal *structs.Refusal
	return errors.As(err, &refusal) && notServing(refusal) && refusal.Run != structs.RunNo
}

// classify makes the refusal that a caller sees of an attempt's error. After a
// cut reply nothing says that the request did not run, whatever a later
// attempt was told.
func (a *Attempts) classify(ctx context.Context, err error) *structs.Refusal {
	var refusal *structs.Refusal
	var notSent *wire.NotSentError
	var broken *wire.IncompleteReplyError
	var tooLarge *wire.FrameTooLargeError
	switch {
	case errors.As(err, &refusal):
		return a.shown(refusal)
	case errors.As(err, &tooLarge):
		return a.shown(structs.Refuse(structs.RefusedTooLarge, structs.RunNo, "the request is too large to be forwarded"))
	case errors.As(err, &notSent):
		return a.unready("no scheduler of failure domain %q can be reached", a.place.domain)
	case errors.As(err, &broken):
		return structs.Refuse(structs.RefusedAnswerIncomplete, structs.RunUnknown, "the answer was cut")
	}
	return a.ended(ctx, true)
}

// ended makes the refusal for a request whose context has ended.
func (a *Attempts) ended(ctx context.Context, sent bool) *structs.Refusal {
	run := structs.RunNo
	if sent {
		run = structs.RunUnknown
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return structs.Refuse(structs.RefusedTimeout, run, "the request timed out")
	}
	return structs.Refuse(structs.RefusedOutcomeUnknown, run, "the request was cancelled")
}

// shown returns the refusal as the caller may see it.
func (a *Attempts) shown(refusal *structs.Refusal) *structs.Refusal {
	if refusal.Kind == structs.RefusedNotOwner {
		return a.unready("failure domain %q has no owner for the program now", a.place.domain)
	}
	if a.cut && refusal.Run == structs.RunNo {
		changed := *refusal
		changed.Run = structs.RunUnknown
		return &changed
	}
	return refusal
}

func (a *Attempts) unready(format string, args ...any) *structs.Refusal {
	run := structs.RunNo
	if a.cut {
		run = structs.RunUnknown
	}
	refusal := structs.Refuse(structs.RefusedNotReady, run, format, args...)
	refusal.RetryAfter = retryAfter
	return refusal
}
