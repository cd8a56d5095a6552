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

// fakeCaller answers each request by address.
type fakeCaller struct {
	mu     sync.Mutex
	asked  []string
	answer func(addr string) error
}

func (c *fakeCaller) Call(_ context.Context, addr, _ string, _, _ any) error {
	c.mu.Lock()
	c.asked = append(c.asked, addr)
	c.mu.Unlock()
	return c.answer(addr)
}

func (c *fakeCaller) Stream(_ context.Context, addr, _ string, _ any) (ReplyStream, error) {
	return nil, &wire.NotSentError{Addr: addr, Cause: io.EOF}
}

func newForwarder(answer func(addr string) error) (*Forwarder, *fakeCaller) {
	caller := &fakeCaller{answer: answer}
	start := time.Now()
	return New(Options{
		Sender:    caller,
		Addresses: func(structs.DomainID) []string { return []string{"a", "b", "c"} },
		Slots:     16,
		Clock:     func() structs.Instant { return structs.Instant(time.Since(start)) },
		Random:    func() float64 { return 0 },
	}), caller
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
	refusal := structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "not mine")
	refusal.Owner = owner
	return refusal
}

func TestOwnerIsLearnedFromRefusal(t *testing.T) {
	f, caller := newForwarder(func(addr string) error {
		if addr == "c" {
			return nil
		}
		return notOwner("c")
	})
	assert.NilError(t, call(f, true))
	assert.NilError(t, call(f, true))
	assert.DeepEqual(t, caller.asked, []string{"a", "c", "c"})
	assert.Equal(t, f.State().RetryBudget, budgetCap)
}

func TestRedirectLoopEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, caller := newForwarder(func(addr string) error {
			if addr == "a" {
				return notOwner("b")
			}
			return notOwner("a")
		})
		refusal := refusalOf(t, call(f, true))
		assert.Equal(t, refusal.Kind, structs.RefusedNotReady)
		assert.Equal(t, refusal.Run, structs.RunNo)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Assert(t, len(caller.asked) <= maxAttempts)
		assert.Equal(t, f.State().Outages, 0)
	})
}

// The retries of many failing requests stay within the budget.
func TestRetryBudgetBoundsAStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, caller := newForwarder(func(addr string) error {
			return &wire.NotSentError{Addr: addr, Cause: io.EOF}
		})
		const requests = 100
		start := time.Now()
		for range requests {
			assert.Equal(t, refusalOf(t, call(f, true)).Run, structs.RunNo)
		}
		earned := budgetCap + requests*budgetPerRequest + time.Since(start).Seconds()*budgetPerSecond
		retries := len(caller.asked) - requests
		assert.Assert(t, float64(retries) <= earned, "%d retries, %.0f earned", retries, earned)
		assert.Assert(t, retries > 0)
	})
}

func TestCutReplyIsResentOnlyWhenIdempotent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := func(addr string) error { return &wire.IncompleteReplyError{Addr: addr, Cause: io.EOF} }
		f, caller := newForwarder(cut)
		assert.Equal(t, refusalOf(t, call(f, false)).Run, structs.RunUnknown)
		assert.Equal(t, len(caller.asked), 1)
		assert.Equal(t, refusalOf(t, call(f, true)).Run, structs.RunUnknown)
		assert.Assert(t, len(caller.asked) > 2 && len(caller.asked) <= 1+maxAttempts)
	})
}

// After a cut reply a later "not run" of another scheduler isn't passed on.
func TestRefusalAfterCutIsUnknown(t *testing.T) {
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

func TestDeadlineWhileBackingOffSaysNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := newForwarder(func(string) error { return notOwner("") })
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		refusal := refusalOf(t, f.Call(ctx, "d", "d/1", "m", true, 0, nil))
		assert.Equal(t, refusal.Kind, structs.RefusedTimeout)
		assert.Equal(t, refusal.Run, structs.RunNo)
	})
}

// However many requests wait for the owner of one slot, one at a time probes,
// and all are served once the slot has an owner again.
func TestOutageOfOneSlotIsProbedByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 300
		const outage = 8 * time.Second
		start := time.Now()
		f, caller := newForwarder(func(addr string) error {
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
		probes := len(caller.asked) - 2*requests
		assert.Assert(t, probes < maxAttempts, "%d probes", probes)
		assert.Equal(t, f.State().Outages, 0)
	})
}

// A probe that is accepted and then queued lets the others through.
func TestSlowProbeOpensItsSlot(t *testing.T) {
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

// The budget bounds the probes of many slots together.
func TestBudgetBoundsProbesOfAllSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, caller := newForwarder(func(string) error { return notOwner("") })
		f.budget.tokens = 0
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
		assert.Assert(t, float64(len(caller.asked)-requests) <= earned)
	})
}
