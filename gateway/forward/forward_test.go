package forward

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// fakeSender responds to each request by its address and records the addresses.
type fakeSender struct {
	mu      sync.Mutex
	addrs   []string
	respond func(addr string) error
}

func (c *fakeSender) Call(_ context.Context, addr, _ string, _, _ any) error {
	c.mu.Lock()
	c.addrs = append(c.addrs, addr)
	c.mu.Unlock()
	return c.respond(addr)
}

func (c *fakeSender) Stream(_ context.Context, addr, _ string, _ any) (ReplyStream, error) {
	return nil, &wire.NotSentError{Addr: addr, Cause: io.EOF}
}

func newForwarder(respond func(addr string) error) (*Forwarder, *fakeSender) {
	sender := &fakeSender{respond: respond}
	start := time.Now()
	return New(Options{
		Sender:    sender,
		Addresses: func(structs.DomainID) []string { return []string{"a", "b", "c"} },
		Slots:     16,
		Clock:     func() structs.Instant { return structs.Instant(time.Since(start)) },
		Random:    func() float64 { return 0 },
	}), sender
}

func call(f *Forwarder, idempotent bool) error {
	return f.Call(context.Background(), "d", "d/1", "m", idempotent, 0, nil)
}

func refusalOf(t *testing.T, err error) *structs.Refusal {
	t.Helper()
	var refusal *structs.Refusal
	assert.Assert(t, errors.As(err, &refusal), "%v", err)
	return refusal
}

func notOwner(owner string) error {
	refusal := structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "not the owner")
	refusal.Owner = owner
	return refusal
}

func TestOwnerIsLearnedFromRefusal(t *testing.T) {
	f, sender := newForwarder(func(addr string) error {
		if addr == "c" {
			return nil
		}
		return notOwner("c")
	})
	assert.NilError(t, call(f, true))
	assert.NilError(t, call(f, true))
	assert.DeepEqual(t, sender.addrs, []string{"a", "c", "c"})
	assert.Equal(t, f.State().RetryBudget, budgetCap)
}

func TestRedirectLoopIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, sender := newForwarder(func(addr string) error {
			if addr == "a" {
				return notOwner("b")
			}
			return notOwner("a")
		})
		refusal := refusalOf(t, call(f, true))
		assert.Equal(t, refusal.Kind, structs.RefusedNotReady)
		assert.Equal(t, refusal.Run, structs.RunNo)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Assert(t, len(sender.addrs) <= maxAttempts)
		assert.Equal(t, f.State().Outages, 0)
	})
}

// The retries of many failing requests stay within the retry budget.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, sender := newForwarder(func(addr string) error {
			return &wire.NotSentError{Addr: addr, Cause: io.EOF}
		})
		const requests = 100
		start := time.Now()
		for range requests {
			assert.Equal(t, refusalOf(t, call(f, true)).Run, structs.RunNo)
		}
		earned := budgetCap + requests*budgetPerRequest + time.Since(start).Seconds()*budgetPerSecond
		retries := len(sender.addrs) - requests
		assert.Assert(t, float64(retries) <= earned, "%d retries, %.0f earned", retries, earned)
		assert.Assert(t, retries > 0)
	})
}

func TestIncompleteReplyIsResentOnlyWhenIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		respondIncomplete := func(addr string) error { return &wire.IncompleteReplyError{Addr: addr, Cause: io.EOF} }
		f, sender := newForwarder(respondIncomplete)
		assert.Equal(t, refusalOf(t, call(f, false)).Run, structs.RunUnknown)
		assert.Equal(t, len(sender.addrs), 1)
		assert.Equal(t, refusalOf(t, call(f, true)).Run, structs.RunUnknown)
		assert.Assert(t, len(sender.addrs) > 2 && len(sender.addrs) <= 1+maxAttempts)
	})
}

// After an incomplete reply, the "not run" of another scheduler must not reach the caller:
// the first scheduler may have run the request.
func TestRefusalAfterIncompleteReplyHasRunUnknown(t *testing.T) {
	for _, later := range []error{
		structs.Refuse(structs.RefusedQueueFull, structs.RunNo, "full"),
		notOwner(""),
		&wire.NotSentError{Addr: "b", Cause: io.EOF},
	} {
		synctest.Test(t, func(t *testing.T) {
			first := true
			f, _ := newForwarder(func(addr string) error {
				if first {
					first = false
					return &wire.IncompleteReplyError{Addr: addr, Cause: io.EOF}
				}
				return later
			})
			refusal := refusalOf(t, call(f, true))
			assert.Equal(t, refusal.Run, structs.RunUnknown)
			assert.Assert(t, refusal.Kind != structs.RefusedNotOwner)
		})
	}
}

func TestUnknownDomainIsNotReady(t *testing.T) {
	f := New(Options{Addresses: func(structs.DomainID) []string { return nil }, Slots: 16})
	refusal := refusalOf(t, call(f, true))
	assert.Equal(t, refusal.Kind, structs.RefusedNotReady)
	assert.Equal(t, refusal.Run, structs.RunNo)
}

func TestDeadlineDuringBackoffIsRefusedWithRunNo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newForwarder(func(string) error { return notOwner("") })
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		refusal := refusalOf(t, f.Call(ctx, "d", "d/1", "m", true, 0, nil))
		assert.Equal(t, refusal.Kind, structs.RefusedTimeout)
		assert.Equal(t, refusal.Run, structs.RunNo)
	})
}

// However many requests wait for the owner of one slot, one at a time probes it, and all
// are served once the slot has an owner again.
func TestOneRequestAtATimeProbesASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 300
		const outage = 8 * time.Second
		start := time.Now()
		f, sender := newForwarder(func(addr string) error {
			if time.Since(start) < outage {
				return &wire.IncompleteReplyError{Addr: addr, Cause: io.EOF}
			}
			return nil
		})
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() { assert.Check(t, call(f, true)) })
		}
		wg.Wait()
		probes := len(sender.addrs) - 2*requests
		assert.Assert(t, probes < maxAttempts, "%d probes", probes)
		assert.Equal(t, f.State().Outages, 0)
	})
}

// A probe that the new owner accepts and queues for a minute must not hold up the other
// requests of the slot.
func TestUnansweredProbeEndsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f, _ := newForwarder(func(string) error {
			if time.Since(start) < time.Second {
				return notOwner("")
			}
			time.Sleep(time.Minute)
			return nil
		})
		var wg sync.WaitGroup
		for range 10 {
			wg.Go(func() { assert.Check(t, call(f, true)) })
		}
		wg.Wait()
		assert.Assert(t, time.Since(start) < 70*time.Second)
	})
}

// The retry budget limits the probes of all slots together.
func TestRetryBudgetLimitsProbesOfAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, sender := newForwarder(func(string) error { return notOwner("") })
		f.retryBudget.tokens = 0
		start := time.Now()
		var wg sync.WaitGroup
		const requests = 2000
		for i := range requests {
			key := strconv.Itoa(i)
			wg.Go(func() {
				err := f.Call(t.Context(), structs.DomainID(key), key, "m", true, 0, nil)
				assert.Check(t, err != nil)
			})
		}
		wg.Wait()
		earned := requests*budgetPerRequest + time.Since(start).Seconds()*budgetPerSecond
		assert.Assert(t, float64(len(sender.addrs)-requests) <= earned)
	})
}
