package forward

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// fakeCaller answers each request by address.
type fakeCaller struct {
	asked  []string
	answer func(addr string) error
}

func (c *fakeCaller) Call(_ context.Context, addr, _ string, _, _ any) error {
	c.asked = append(c.asked, addr)
	return c.answer(addr)
}

func (c *fakeCaller) Stream(_ context.Context, addr, _ string, _ any) (Replies, error) {
	return nil, &wire.NotSentError{Addr: addr, Cause: io.EOF}
}

func newForwarder(answer func(addr string) error) (*Forwarder, *fakeCaller) {
	caller := &fakeCaller{answer: answer}
	start := time.Now()
	return New(Options{
		Caller:    caller,
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
		assert.Equal(t, len(caller.asked), maxAttempts)
	})
}

// The retries of many failing requests stay within the budget.
func TestRetryBudgetBoundsAStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, caller := newForwarder(func(addr string) error {
			return &wire.NotSentError{Addr: addr, Cause: io.EOF}
		})
		const requests = 2000
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
		cut := func(addr string) error { return &wire.BrokenError{Addr: addr, Cause: io.EOF} }
		f, caller := newForwarder(cut)
		assert.Equal(t, refusalOf(t, call(f, false)).Run, structs.RunUnknown)
		assert.Equal(t, len(caller.asked), 1)
		assert.Equal(t, refusalOf(t, call(f, true)).Run, structs.RunUnknown)
		assert.Equal(t, len(caller.asked), 1+maxAttempts)
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
					return &wire.BrokenError{Addr: addr, Cause: io.EOF}
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
