package edge

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/share"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// confirmationTTL is how long requests may be denied because of a configuration
	// after it was confirmed to be the newest: three rounds of reads.
	confirmationTTL = 3500 * time.Millisecond
	// noConfigRetryAfter is the retry delay that a VM without a configuration
	// reports.
	noConfigRetryAfter = 500 * time.Millisecond
	// borrowTimeout bounds a request for quota tokens; a round trip between
	// regions takes 25 ms.
	borrowTimeout = 100 * time.Millisecond
	// maxTokenWaitDivisor divides the time that a request has left: it may wait that
	// part of it for a quota token.
	maxTokenWaitDivisor = 3
	// defaultTimeout bounds requests that state no deadline.
	defaultTimeout = 60 * time.Second
)

// exchange is the state of one request while it is served.
type exchange struct {
	*Request
	server  *Server
	out     Responder
	table   *routing.Table
	route   *routing.Route
	service *routing.Service
	account *routing.Account // nil without a key
	// deadline is the instant after which the response is of no use.
	deadline      structs.Instant
	fingerprint   uint64
	turn          *turn // nil for requests that are not turns
	sends         int
	target        structs.TargetID // of the last send
	sentAt        structs.Instant  // of the last send
	grant         *grant           // of the last attempt
	grantedBy     structs.VMID     // placer that picked the target of the last send, empty for this VM
	targetsAge    time.Duration    // age of the list of targets at the last send
	departedFor   time.Duration    // time since the target of the last send has said that it leaves, 0 if it has not
	mayHaveRun    bool             // it is unknown whether an earlier send ran
	slotWait      time.Duration    // time spent waiting for a slot
	connectTime   time.Duration    // of the last send, 0 if its connection was reused
	tokenWait     time.Duration    // time spent waiting for a quota token
	firstByte     time.Duration    // from arrival to the first byte of the response
	storeWait     time.Duration    // time for which the end of the response was held back to store the turn
	isTrial       bool             // the request is in quarantine and is tried once more
	hasQuotaToken bool             // a quota token was taken for the request
	quotaHolder   structs.VMID     // VM that gave the token, empty for this VM
	forwardedBy   structs.VMID     // VM that sent the request to its target, empty for this VM
	// forwardedFor is the VM whose request this is, empty for this VM; exclude and
	// cached are what it says of the targets.
	forwardedFor structs.VMID
	// caller ends when the caller disconnects, also if the request continues then.
	caller  context.Context
	exclude []structs.TargetID
	cached  structs.TargetID
	// forwardRegions and forwardEvacuated are its allowed regions and the evacuated failure
	// domains that it knows.
	forwardRegions   []string
	forwardEvacuated []structs.DomainID
	tokens           int64
	events           int
	eventOrder       eventOrder // of the stream that is passed on
}

// Serve answers one request.
func (s *Server) Serve(ctx context.Context, req *Request, out Responder) {
	x := &exchange{Request: req, server: s, out: out}
	s.stats.countStarted()
	refusal := x.prepare(ctx)
	if refusal == nil {
		refusal = x.run(ctx)
	}
	if refusal != nil {
		x.refuse(refusal)
	}
}

func (x *exchange) refuse(r *structs.Refusal) {
	if x.hasQuotaToken && x.sends == 0 {
		x.server.returnToken(x.account.ID, x.quotaHolder)
	}
	if x.isTrial && x.sends == 0 {
		go x.server.trials.giveBack(x.fingerprint)
	}
	x.server.recordOutcome(x, r)
	x.out.Refuse(r)
}

// prepare decides whether the request may run at all.
func (x *exchange) prepare(ctx context.Context) *structs.Refusal {
	x.table = x.server.opts.Config.Current()
	if x.table == nil {
		return retryableRefusal(structs.RefusedNotReady, noConfigRetryAfter, "no configuration has arrived yet")
	}
	if !x.server.knowsEvacuations() {
		return retryableRefusal(structs.RefusedNotReady, noConfigRetryAfter, "the operators' table has not been read yet")
	}
	if lag, isTooLong := x.server.configLag(); isTooLong {
		return retryableRefusal(structs.RefusedStaleConfig, noConfigRetryAfter, fmt.Sprintf("configuration %d is known but has not arrived", lag.Version))
	}
	if x.ID == "" {
		return structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "the request has no ID")
	}
	x.route = x.table.Match(x.Host, x.Path)
	if x.route == nil {
		return x.denyByConfig(structs.RefusedNotFound, "no route for host and path")
	}
	x.account = x.table.Account(x.Key)
	if x.account == nil && !x.route.IsPublic {
		return x.denyByConfig(structs.RefusedUnauthorized, "the key is unknown")
	}
	x.service = x.table.Services[x.route.PickService(x.affinityKey())]
	if x.service == nil {
		return retryableRefusal(structs.RefusedNoTarget, noConfigRetryAfter, "the route has no service")
	}
	x.setDeadline()
	if refusal := x.refuseUnfinishable(); refusal != nil {
		return refusal
	}
	if refusal := x.refuseRestricted(); refusal != nil {
		return refusal
	}
	x.fingerprint = x.computeFingerprint()
	return x.admit(ctx)
}

// denyByConfig refuses a request because of what the configuration says. If the
// configuration may be out of date, it returns a retryable refusal instead.
func (x *exchange) denyByConfig(kind structs.RefusalKind, reason string) *structs.Refusal {
	s := x.server
	s.mu.Lock()
	age := structs.Now().Sub(s.configConfirmedAt)
	s.mu.Unlock()
	if age > confirmationTTL {
		return retryableRefusal(structs.RefusedStaleConfig, noConfigRetryAfter, reason+" in a configuration that may be out of date")
	}
	return structs.Refuse(kind, structs.RunNo, "%s", reason)
}

func retryableRefusal(kind structs.RefusalKind, after time.Duration, reason string) *structs.Refusal {
	r := structs.Refuse(kind, structs.RunNo, "%s", reason)
	r.RetryAfter = after
	return r
}

// affinityKey returns the key that keeps all requests of a program on one service
// of a split route.
func (x *exchange) affinityKey() string {
	if x.Program != "" {
		return string(x.Program)
	}
	return string(x.ID)
}

func (x *exchange) accountID() structs.AccountID {
	if x.account == nil {
		return ""
	}
	return x.account.ID
}

func (x *exchange) setDeadline() {
	x.deadline = x.Deadline
	if x.deadline == 0 {
		x.deadline = x.Arrived.Add(defaultTimeout)
	}
	if x.route.Timeout > 0 {
		x.deadline = min(x.deadline, x.Arrived.Add(x.route.Timeout))
	}
}

// computeFingerprint returns a hash that identifies the request when targets that
// ran it crash.
func (x *exchange) computeFingerprint() uint64 {
	hasher := xxhash.New()
	for _, text := range []string{x.Method, x.URI, string(x.accountID())} {
		hasher.WriteString(text)
		hasher.Write([]byte{0})
	}
	hasher.Write(x.Body)
	return hasher.Sum64()
}

// admit checks the quarantine and takes a quota token.
func (x *exchange) admit(ctx context.Context) *structs.Refusal {
	if refusal := x.checkQuarantine(ctx); refusal != nil {
		return refusal
	}
	if x.account == nil {
		return nil
	}
	decision, holder := x.server.admitAccount(x.account, x.startsProgram(), min(share.MaxTokenWait, x.timeLeft()/maxTokenWaitDivisor))
	if !decision.Admitted {
		return x.refuseOverRate(decision)
	}
	x.hasQuotaToken, x.quotaHolder = true, holder
	return x.awaitToken(ctx, decision.Wait)
}

// awaitToken holds the request until its quota token is available.
func (x *exchange) awaitToken(ctx context.Context, wait time.Duration) *structs.Refusal {
	if wait <= 0 {
		return nil
	}
	x.tokenWait = wait
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return x.refuseTimedOut(ctx.Err())
	}
}

func (x *exchange) refuseOverRate(d share.Decision) *structs.Refusal {
	reason := fmt.Sprintf("the account is over its rate of %g/s with a burst of %g: %.1f tokens here, share %.2f",
		x.account.Rate, x.account.Burst, d.Tokens, d.Share)
	return retryableRefusal(structs.RefusedOverRate, d.Wait, reason)
}

func limitOf(account *routing.Account) share.Limit {
	return share.Limit{Rate: account.Rate, Burst: account.Burst}
}

// startsProgram reports whether the request is the first turn of a program, so that
// refusing it loses no completed work of the program.
func (x *exchange) startsProgram() bool { return x.route.StoresTurns && x.Turn.Previous == "" }

// priority returns the rank of the request; 0 is served first.
func (x *exchange) priority() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

func (x *exchange) timeLeft() time.Duration { return x.deadline.Sub(structs.Now()) }

func (x *exchange) run(ctx context.Context) *structs.Refusal {
	x.caller = ctx
	ctx, cancel := x.withDeadline(ctx)
	defer cancel()
	ctx, release := x.server.untilStop(ctx)
	defer release()
	ctx = x.limitRelays(ctx)
	if x.isTurn() {
		return x.runTurn(ctx)
	}
	return x.dispatch(ctx, x.Body)
}

// withDeadline ends the request's context at its deadline. A request that may not
// be repeated continues when its caller disconnects, since a target may already be
// running it. A stream ends when its caller disconnects, since nobody else can use
// it.
func (x *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.route.Kind == routing.Unsafe {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, x.timeLeft())
}
