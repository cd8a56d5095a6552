package borrower

import (
	"sync"

	"github.com/endivecourse/endivecourse/quota"
	"github.com/endivecourse/endivecourse/structs"
)

// clock returns the current time. It is called while the account is locked, so that no
// decision uses a time from before a wait for the lock.
type clock func() structs.Instant

// waiter is a request that waits for a token.
type waiter struct {
	admitted chan struct{} // closed when the request is admitted
	queuedAt structs.Instant
	isDone   bool
}

// account is the quota.Borrower of one account with the requests that wait for a token.
type account struct {
	id        structs.AccountID
	mu        sync.Mutex
	borrower  *quota.Borrower
	waiters   []*waiter
	isRetired bool
}

// admitOrQueue admits a request at once and returns a nil waiter, or queues the request. It
// returns false if the account has been retired.
func (a *account) admitOrQueue(now clock, limit quota.Limit) (*waiter, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isRetired {
		return nil, false
	}
	at := now()
	a.borrower.SetLimit(at, limit)
	if len(a.waiters) > 0 {
		a.borrower.CountRequest(at)
	} else if a.borrower.TryAdmit(at) {
		return nil, true
	}
	w := &waiter{admitted: make(chan struct{}), queuedAt: at}
	a.waiters = append(a.waiters, w)
	a.borrower.SetWaiting(len(a.waiters))
	return w, true
}

// leaveQueue removes a waiter from the queue and returns its refusal, or nil if it has been
// admitted.
func (a *account) leaveQueue(w *waiter) *structs.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	if w.isDone {
		return nil
	}
	for i, other := range a.waiters {
		if other == w {
			a.waiters = append(a.waiters[:i], a.waiters[i+1:]...)
			break
		}
	}
	a.borrower.SetWaiting(len(a.waiters))
	refusal := structs.Refuse(structs.RefusedOverRate, structs.RunNo, "account %q is over its rate", a.id)
	if a.borrower.HasNoReplySince(w.queuedAt) {
		refusal = structs.Refuse(structs.RefusedNotReady, structs.RunNo, "no holder of account %q answers", a.id)
	}
	refusal.RetryAfter = a.borrower.RetryAfter()
	return refusal
}

// admitWaiters admits waiting requests in order of arrival while there are tokens.
func (a *account) admitWaiters(at structs.Instant) {
	n := 0
	for n < len(a.waiters) && a.borrower.TakeToken(at) {
		a.waiters[n].isDone = true
		close(a.waiters[n].admitted)
		n++
	}
	a.waiters = a.waiters[n:]
	a.borrower.SetWaiting(len(a.waiters))
}

// dueRequests admits waiting requests and returns the loan requests that are due.
func (a *account) dueRequests(now clock) []quota.ShareRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := now()
	a.admitWaiters(at)
	return a.borrower.DueRequests(at)
}

// applyGrant applies a grant and admits waiting requests.
func (a *account) applyGrant(now clock, share int, grant quota.Grant) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := now()
	err := a.borrower.ApplyGrant(at, share, grant)
	if err == nil {
		a.admitWaiters(at)
	}
	return err
}

// retireIfIdle marks the account as retired if it is idle. It reports whether it did and
// returns the last sequence number used.
func (a *account) retireIfIdle(now clock) (lastSeq uint64, idle bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiters) > 0 || !a.borrower.IsIdle(now()) {
		return 0, false
	}
	a.isRetired = true
	return a.borrower.LastSeq(), true
}

func (a *account) state(now clock) quota.BorrowerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.borrower.State(now())
}
