package borrower

import (
	"sync"

	"github.com/endivecourse/endivecourse/quota"
	"github.com/endivecourse/endivecourse/structs"
)

// clock reads the process's clock. It is read with the account locked, so that
// no decision rests on an instant from before a wait for the lock.
type clock func() structs.Instant

// waiter is a request that waits for a token.
type waiter struct {
	admitted chan struct{}
	since    structs.Instant
	done     bool
}

// account guards the decision state of one account.
type account struct {
	id      structs.AccountID
	mu      sync.Mutex
	core    *quota.Borrower
	waiters []*waiter
	retired bool
}

// offer admits a request at once (a nil waiter) or queues it. It reports false
// when the account was forgotten.
func (a *account) offer(now clock, limit quota.Limit) (*waiter, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.retired {
		return nil, false
	}
	at := now()
	a.core.SetLimit(at, limit)
	if len(a.waiters) > 0 {
		a.core.CountRequest(at)
	} else if a.core.TryAdmit(at) {
		return nil, true
	}
	w := &waiter{admitted: make(chan struct{}), since: at}
	a.waiters = append(a.waiters, w)
	a.core.SetWaiting(len(a.waiters))
	return w, true
}

// leave takes a waiter out of the queue and returns its refusal, or nil when
// it was admitted already.
func (a *account) leave(w *waiter) *structs.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.done {
		return nil
	}
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			break
		}
	}
	a.core.SetWaiting(len(a.waiters))
	refusal := structs.Refuse(structs.RefusedOverRate, structs.RunNo, "account %q is over its rate", a.id)
	if a.core.HasNoReplySince(w.since) {
		refusal = structs.Refuse(structs.RefusedNotReady, structs.RunNo, "no holder of account %q answers", a.id)
	}
	refusal.RetryAfter = a.core.RetryAfter()
	return refusal
}

// serve admits waiters in order while there are tokens.
func (a *account) serve(at structs.Instant) {
	n := 0
	for n < len(a.waiters) && a.core.TakeToken(at) {
		a.waiters[n].done = true
		close(a.waiters[n].admitted)
		n++
	}
	a.waiters = a.waiters[n:]
	a.core.SetWaiting(len(a.waiters))
}

// asks serves the waiters and returns the requests that are due.
func (a *account) asks(now clock) []quota.ShareRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := now()
	a.serve(at)
	return a.core.DueRequests(at)
}

// apply takes a reply and serves the waiters.
func (a *account) apply(now clock, share int, grant quota.Grant) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := now()
	err := a.core.ApplyGrant(at, share, grant)
	if err == nil {
		a.serve(at)
	}
	return err
}

// retire marks an idle account as forgotten.
func (a *account) retire(now clock) (lastSeq uint64, idle bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiters) > 0 || !a.core.IsIdle(now()) {
		return 0, false
	}
	a.retired = true
	return a.core.LastSeq(), true
}

func (a *account) state(now clock) quota.BorrowerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.core.State(now())
}
