package forward

import (
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Size and refill of the retry budget of one process.
const (
	budgetCap        = 500.0 // retries
	budgetPerRequest = 0.1   // retries added by each request
	budgetPerSecond  = 100.0 // retries added per second, independent of requests
)

// retryBudget is a token bucket of retries. It limits the retries of a process to a
// fraction of its requests, so that they don't overload the schedulers in an outage.
type retryBudget struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt structs.Instant
}

func newRetryBudget(now structs.Instant) *retryBudget {
	return &retryBudget{tokens: budgetCap, refilledAt: now}
}

func (b *retryBudget) addRequest(now structs.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(budgetCap, b.tokens+budgetPerRequest)
}

func (b *retryBudget) take(now structs.Instant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *retryBudget) refill(now structs.Instant) {
	elapsed := now.Sub(b.refilledAt)
	b.refilledAt = now
	b.tokens = min(budgetCap, b.tokens+elapsed.Seconds()*budgetPerSecond)
}

func (b *retryBudget) remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// Delays between the probes of one outage.
const (
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// backoff returns the delay before retry n, counted from 0: a random time between half
// of an exponentially growing interval and the full interval.
func backoff(n int, random func() float64) time.Duration {
	interval := backoffMax
	if n < 6 {
		interval = min(backoffMax, backoffBase<<n)
	}
	return interval/2 + time.Duration(random()*float64(interval/2))
}
