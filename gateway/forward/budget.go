package forward

import (
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Retry budget of one process.
const (
	budgetCap        = 500.0 // retries
	budgetPerRequest = 0.1   // retries earned by each request
	budgetPerSecond  = 100.0 // retries earned without any request
)

// retryBudget is a token bucket of retries. It keeps the retries of a process
// within a fraction of its requests, so that an outage causes no storm.
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

// Backoff between the attempts of one request.
const (
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
)

// backoff returns the wait before retry n, counted from 0: at least half and
// at most the whole of an exponentially growing interval.
func backoff(n int, random func() float64) time.Duration {
	whole := backoffMax
	if n < 6 {
		whole = min(backoffMax, backoffBase<<n)
	}
	return whole/2 + time.Duration(random()*float64(whole/2))
}
