package quotaclient

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// holder is a fake holder with a number of tokens.
type holder struct {
	mu       sync.Mutex
	tokens   int
	delay    time.Duration
	ttl      time.Duration
	asked    []int
	returned int
	err      error
}

func (h *holder) take(_ context.Context, take structs.TakeQuota) (structs.QuotaGrant, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil {
		return structs.QuotaGrant{}, h.err
	}
	if take.Want == 0 {
		h.returned += take.Returned
		h.tokens += take.Returned
		return structs.QuotaGrant{}, nil
	}
	h.asked = append(h.asked, take.Want)
	granted := min(take.Want, h.tokens)
	h.tokens -= granted
	time.Sleep(h.delay)
	return structs.QuotaGrant{Grant: uint64(len(h.asked)), Granted: granted, TTL: h.ttl, RetryAfter: 500 * time.Millisecond}, nil
}

func newClient(h *holder) *Client {
	start := time.Now()
	return New(Options{
		Take:   h.take,
		Holder: "g1",
		Clock:  func() structs.Instant { return structs.Instant(time.Since(start)) },
	})
}

// admitAtRate admits n requests at an interval and returns the refused ones.
func admitAtRate(t *testing.T, c *Client, n int, interval time.Duration) (refused int) {
	for range n {
		if c.Admit(t.Context(), "acme") != nil {
			refused++
		}
		time.Sleep(interval)
	}
	return refused
}

// A token is not spent when its time, counted from the sending of the request
// that brought it, is over, however late the reply came.
func TestTokensExpireFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &holder{tokens: 5, delay: 2 * time.Second, ttl: time.Second}
		c := newClient(h)
		refusal := c.Admit(t.Context(), "acme")
		assert.Assert(t, refusal != nil)
		assert.Equal(t, refusal.Kind, structs.RefusedOverRate)
		assert.Equal(t, refusal.Run, structs.RunNo)
		assert.Equal(t, c.State().Tokens, 0)
	})
}

func TestUnusedTokensExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &holder{tokens: 1000, ttl: 200 * time.Millisecond}
		c := newClient(h)
		assert.Equal(t, admitAtRate(t, c, 200, time.Millisecond), 0)
		held := c.State().Tokens
		assert.Assert(t, held > 0)
		asked := len(h.asked)
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, c.Admit(t.Context(), "acme") == nil)
		assert.Equal(t, len(h.asked), asked+1)
	})
}

func TestWaitersShareOneFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &holder{tokens: 8, delay: 10 * time.Millisecond, ttl: time.Second}
		c := newClient(h)
		var wg sync.WaitGroup
		var mu sync.Mutex
		admitted := 0
		for range 20 {
			wg.Go(func() {
				if c.Admit(t.Context(), "acme") == nil {
					mu.Lock()
					admitted++
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		assert.Equal(t, admitted, 8)
		assert.DeepEqual(t, h.asked, []int{1, 19})
	})
}

func TestBatchFollowsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &holder{tokens: 1 << 20, ttl: time.Second}
		assert.Equal(t, admitAtRate(t, newClient(slow), 20, 100*time.Millisecond), 0)
		assert.Equal(t, slow.asked[len(slow.asked)-1], 1)
		fast := &holder{tokens: 1 << 20, ttl: time.Second}
		assert.Equal(t, admitAtRate(t, newClient(fast), 2000, 500*time.Microsecond), 0)
		assert.Equal(t, fast.asked[len(fast.asked)-1], defaultMaxBatch)
		assert.Assert(t, len(fast.asked) < 200)
	})
}

// An idle account's tokens go back, none twice and none that could be spent.
func TestIdleTokensAreReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &holder{tokens: 1000, ttl: 10 * time.Second}
		c := newClient(h)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- c.Run(ctx) }()
		assert.Equal(t, admitAtRate(t, c, 200, time.Millisecond), 0)
		held := c.State().Tokens
		assert.Assert(t, held > 0)
		time.Sleep(time.Second)
		assert.Equal(t, c.State().Tokens, 0)
		assert.Equal(t, h.returned, held)
		assert.Equal(t, h.tokens, 1000-200)
		assert.Assert(t, c.Admit(t.Context(), "acme") == nil)
		cancel()
		assert.NilError(t, <-ended)
		assert.Equal(t, c.Admit(t.Context(), "acme").Kind, structs.RefusedNotReady)
	})
}

func TestOverRateHasRetryAfterAndSparesTheHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &holder{ttl: time.Second}
		c := newClient(h)
		for range 50 {
			refusal := c.Admit(t.Context(), "acme")
			assert.Equal(t, refusal.Status, 429)
			assert.Assert(t, refusal.RetryAfter > 0)
		}
		assert.Equal(t, len(h.asked), 1)
		time.Sleep(maxEmpty)
		h.tokens = 1
		assert.Assert(t, c.Admit(t.Context(), "acme") == nil)
	})
}

func TestLostHolderIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClient(&holder{err: io.EOF})
		refusal := c.Admit(t.Context(), "acme")
		assert.Equal(t, refusal.Kind, structs.RefusedNotReady)
		assert.Equal(t, refusal.Run, structs.RunNo)
		c = newClient(&holder{err: structs.Refuse(structs.RefusedForbidden, structs.RunNo, "no account")})
		assert.Equal(t, c.Admit(t.Context(), "acme").Kind, structs.RefusedForbidden)
	})
}

// A request that leaves while it waits takes no token from the others.
func TestLeavingWaiterKeepsNoToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &holder{tokens: 1, delay: time.Second, ttl: 10 * time.Second}
		c := newClient(h)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		assert.Equal(t, c.Admit(ctx, "acme").Kind, structs.RefusedTimeout)
		assert.Assert(t, c.Admit(t.Context(), "acme") == nil)
		assert.Equal(t, len(h.asked), 1)
	})
}
