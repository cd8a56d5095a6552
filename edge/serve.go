package edge

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/routing"
	"github.com/endivecourse/endivecourse/share"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	// confirmLife is how old the word that a configuration is the newest may
	// be for a request to be denied on its grounds; three rounds of reads.
	confirmLife = 3500 * time.Millisecond
	// startRetry is when a VM without a configuration asks to be tried again.
	startRetry = 500 * time.Millisecond
	// borrowTimeout bounds a request for quota tokens; a round trip between
	// regions takes 25 ms.
	borrowTimeout = 100 * time.Millisecond
	// defaultPatience bounds requests that state no deadline.
	defaultPatience = 60 * time.Second
)

// exchange is the life of one request.
type exchange struct {
	*Request
	server  *Server
	out     Responder
	table   *routing.Table
	route   *routing.Route
	service *routing.Service
	account *routing.Account // nil without a key
	// deadline is when the answer is of no more use.
	deadline    structs.Instant
	fingerprint uint64
	turn        *turn // nil for other requests
	sends       int
	target      structs.TargetID // of the last send
	sentAt      structs.Instant  // of the last send
	grant       *grant           // of the last attempt
	mayHaveRun  bool             // a send ended without a word on whether it ran
	waited      time.Duration    // in line
	firstByte   time.Duration    // from arrival to the answer's first byte
	counted     bool             // a quota token was taken
	tokens      int64
	events      int
}

// Serve answers one request.
func (s *Server) Serve(ctx context.Context, req *Request, out Responder) {
	x := &exchange{Request: req, server: s, out: out}
	s.stats.started()
	refusal := x.prepare()
	if refusal == nil {
		refusal = x.run(ctx)
	}
	if refusal != nil {
		x.refuse(refusal)
	}
}

func (x *exchange) refuse(r *structs.Refusal) {
	if x.counted && x.sends == 0 {
		x.server.returnToken(x.account.ID)
	}
	x.server.observe(x, r)
	x.out.Refuse(r)
}

// prepare decides whether the request may run at all.
func (x *exchange) prepare() *structs.Refusal {
	x.table = x.server.opts.Config.Current()
	if x.table == nil {
		return retryable(structs.RefusedNotReady, startRetry, "no configuration has arrived yet")
	}
	if x.ID == "" {
		return structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "the request has no ID")
	}
	x.route = x.table.Match(x.Host, x.Path)
	if x.route == nil {
		return x.deny(structs.RefusedNotFound, "no route for host and path")
	}
	x.account = x.table.Account(x.Key)
	if x.account == nil && !x.route.IsPublic {
		return x.deny(structs.RefusedUnauthorized, "the key is unknown")
	}
	x.service = x.table.Services[x.route.PickService(x.affinity())]
	if x.service == nil {
		return retryable(structs.RefusedNoTarget, startRetry, "the route has no service")
	}
	x.setDeadline()
	x.fingerprint = x.hash()
	return x.admit()
}

// deny refuses for what the configuration says, but only while that is known to
// be the newest.
func (x *exchange) deny(kind structs.RefusalKind, reason string) *structs.Refusal {
	s := x.server
	s.mu.Lock()
	age := structs.Now().Sub(s.confirmed)
	s.mu.Unlock()
	if age > confirmLife {
		return retryable(structs.RefusedStaleConfig, startRetry, reason+" in a configuration that may be out of date")
	}
	return structs.Refuse(kind, structs.RunNo, "%s", reason)
}

func retryable(kind structs.RefusalKind, after time.Duration, reason string) *structs.Refusal {
	r := structs.Refuse(kind, structs.RunNo, "%s", reason)
	r.RetryAfter = after
	return r
}

// affinity keeps a program on one service of a split route.
func (x *exchange) affinity() string {
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
		x.deadline = x.Arrived.Add(defaultPatience)
	}
	if x.route.Timeout > 0 {
		x.deadline = min(x.deadline, x.Arrived.Add(x.route.Timeout))
	}
}

// hash tells requests apart that may crash a target.
func (x *exchange) hash() uint64 {
	digest := xxhash.New()
	for _, text := range []string{x.Method, x.URI, string(x.accountID())} {
		digest.WriteString(text)
		digest.Write([]byte{0})
	}
	digest.Write(x.Body)
	return digest.Sum64()
}

// admit checks the quarantine and takes a quota token.
func (x *exchange) admit() *structs.Refusal {
	s := x.server
	s.mu.Lock()
	left := s.quarantine.Remaining(structs.Now(), x.fingerprint)
	s.mu.Unlock()
	if left > 0 {
		return structs.Refuse(structs.RefusedQuarantined, structs.RunNo, "the request crashed the targets that ran it")
	}
	if x.account == nil {
		return nil
	}
	verdict := s.admitAccount(x.account, x.startsProgram(), false)
	if !verdict.Admitted && verdict.Wait <= share.MaxTokenWait && verdict.Wait < x.left()/4 {
		time.Sleep(verdict.Wait)
		verdict = s.admitAccount(x.account, x.startsProgram(), true)
	}
	if !verdict.Admitted {
		return retryable(structs.RefusedOverRate, verdict.Wait, "the account is over its rate")
	}
	x.counted = true
	return nil
}

func limitOf(account *routing.Account) share.Limit {
	return share.Limit{Rate: account.Rate, Burst: account.Burst}
}

// startsProgram reports whether a refusal loses no work of the program's.
func (x *exchange) startsProgram() bool { return x.route.StoresTurns && x.Turn.Previous == "" }

func (s *Server) returnToken(account structs.AccountID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shares.ReturnToken(account)
}

// priority ranks the request, 0 first.
func (x *exchange) priority() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

func (x *exchange) left() time.Duration { return x.deadline.Sub(structs.Now()) }

func (x *exchange) run(ctx context.Context) *structs.Refusal {
	ctx, cancel := x.bound(ctx)
	defer cancel()
	if x.route.StoresTurns {
		return x.runTurn(ctx)
	}
	return x.dispatch(ctx, x.Body)
}

// bound ends the request's context at its deadline. A request that may not be
// repeated goes on when its caller leaves, since a target may be at work on it;
// a stream ends, since it is of use to nobody else.
func (x *exchange) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if x.route.Kind == routing.Unsafe {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, x.left())
}
