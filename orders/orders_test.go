package orders

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/internal/tabletest"
)

// virtualTime runs a test in virtual time on one processor.
func virtualTime(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}

// fakeTarget records the orders that it accepts.
type fakeTarget struct {
	target.Driver
	checksFence bool
	delay       func() time.Duration // until an order arrives

	mu     sync.Mutex
	fence  uint64
	fences []uint64 // of the accepted orders
}

func (f *fakeTarget) Order(ctx context.Context, order target.Order) error {
	if f.delay != nil && !sleep(ctx, f.delay()) {
		return &target.NotSentError{Cause: ctx.Err()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checksFence && order.Fence < f.fence {
		return &target.FencedError{Fence: order.Fence}
	}
	f.fence = max(f.fence, order.Fence)
	f.fences = append(f.fences, order.Fence)
	return nil
}

type fakeWeights struct {
	waits   []time.Duration
	fetches int
}

func (w *fakeWeights) Fetch(context.Context, string, string) (time.Duration, error) {
	w.fetches++
	if len(w.waits) == 0 {
		return 0, nil
	}
	wait := w.waits[0]
	w.waits = w.waits[1:]
	return wait, nil
}

var load = target.Order{Kind: target.OrderLoadModel, Name: "m", Version: "1"}

func TestAcquireEndsEarlierLease(t *testing.T) {
	table := tabletest.New()
	first, err := (&Orderer{Table: table, Name: "first"}).Acquire(t.Context(), "t")
	assert.NilError(t, err)
	assert.Equal(t, first.Fence(), uint64(1))
	second, err := (&Orderer{Table: table, Name: "second"}).Acquire(t.Context(), "t")
	assert.NilError(t, err)
	assert.Equal(t, second.Fence(), uint64(2))
	var held *HeldError
	assert.Assert(t, errors.As(first.Renew(t.Context()), &held))
	assert.Equal(t, held.Orderer, "second")
}

func TestAcquireSurvivesLostAnswers(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		for _, faults := range [][]tabletest.Fault{{tabletest.ReplyLostAfterWrite}, {tabletest.ReplyLostBeforeWrite}, {tabletest.ReplyLostAfterWrite, tabletest.ReplyLostBeforeWrite}} {
			table := tabletest.New()
			table.FailCommits(faults...)
			r, err := (&Orderer{Table: table, Name: "op"}).Acquire(t.Context(), "t")
			assert.NilError(t, err)
			assert.Equal(t, r.Fence(), uint64(1))
			assert.NilError(t, r.Renew(t.Context()))
		}
	})
}

// A target that ignores fencing tokens gets orders of a new orderer only after the previous
// lease has expired. A target that checks them, or whose lease was released, gets them at
// once.
func TestOrderWaitsForPreviousTerm(t *testing.T) {
	cases := []struct {
		name                    string
		checksFence, isReleased bool
		minWait, maxWait        time.Duration
	}{
		{"ignores", false, false, DefaultTerm + deliveryGrace, DefaultTerm + 2*deliveryGrace},
		{"ignores, released", false, true, 0, 0},
		{"checks", true, false, 0, 0},
	}
	for _, c := range cases {
		virtualTime(t, func(t *testing.T) {
			table, engine := tabletest.New(), &fakeTarget{checksFence: c.checksFence}
			first, err := (&Orderer{Table: table, Name: "first"}).Acquire(t.Context(), "t")
			assert.NilError(t, err)
			if c.isReleased {
				assert.NilError(t, first.Release(t.Context()))
			}
			second, err := (&Orderer{Table: table, Name: "second"}).Acquire(t.Context(), "t")
			assert.NilError(t, err)
			start := time.Now()
			assert.NilError(t, second.Order(t.Context(), engine, c.checksFence, load))
			waited := time.Since(start)
			assert.Assert(t, waited >= c.minWait && waited <= c.maxWait, "%s: %s", c.name, waited)
			var held *HeldError
			assert.Assert(t, errors.As(first.Order(t.Context(), engine, c.checksFence, load), &held))
			assert.DeepEqual(t, engine.fences, []uint64{2})
		})
	}
}

func TestOrderWaitsForWeights(t *testing.T) {
	virtualTime(t, func(t *testing.T) {
		weights := &fakeWeights{waits: []time.Duration{3 * time.Second, time.Minute}}
		r, err := (&Orderer{Table: tabletest.New(), Weights: weights, Name: "op"}).Acquire(t.Context(), "t")
		assert.NilError(t, err)
		engine := &fakeTarget{}
		start := time.Now()
		assert.NilError(t, r.Order(t.Context(), engine, false, load))
		assert.Equal(t, time.Since(start), 63*time.Second)
		assert.Equal(t, weights.fetches, 3)
		assert.NilError(t, r.Order(t.Context(), engine, false, target.Order{Kind: target.OrderChangeRole, Name: "prefill"}))
		assert.Equal(t, weights.fetches, 3)
	})
}

func intFromEnv(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// A target must never accept an order with a lower fencing token after one with a higher
// token, while orderers compete, pause and lose answers at random.
func TestSoakOrderers(t *testing.T) {
	first, seeds := intFromEnv("ENDIVE_SOAK_FIRST", 1), intFromEnv("ENDIVE_SOAK_SEEDS", 40)
	steps := intFromEnv("ENDIVE_SOAK_STEPS", 10)
	accepted := 0
	for seed := first; seed < first+seeds; seed++ {
		for _, checksFence := range []bool{false, true} {
			virtualTime(t, func(t *testing.T) { accepted += soak(t, uint64(seed), steps, checksFence) })
		}
	}
	t.Logf("%d orders accepted", accepted)
	assert.Assert(t, accepted > 0)
}

func soak(t *testing.T, seed uint64, steps int, checksFence bool) int {
	random := &lockedRandom{r: rand.New(rand.NewPCG(seed, 1))}
	table := tabletest.New()
	engine := &fakeTarget{checksFence: checksFence, delay: func() time.Duration { return random.upTo(30 * time.Second) }}
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			o := &Orderer{Table: table, Name: fmt.Sprint("op", i), Weights: &fakeWeights{waits: []time.Duration{time.Second}}}
			for range steps {
				soakOrder(t.Context(), o, engine, checksFence, random, table)
			}
		})
	}
	group.Wait()
	for i := 1; i < len(engine.fences); i++ {
		assert.Assert(t, engine.fences[i-1] <= engine.fences[i], "seed %d: %v", seed, engine.fences)
	}
	return len(engine.fences)
}

func soakOrder(ctx context.Context, o *Orderer, engine *fakeTarget, checksFence bool, random *lockedRandom, table *tabletest.Table) {
	sleep(ctx, random.upTo(20*time.Second))
	if random.upTo(4) == 0 {
		table.FailCommits([]tabletest.Fault{tabletest.ReplyLostAfterWrite, tabletest.ReplyLostBeforeWrite}[random.upTo(2)])
	}
	r, err := o.Acquire(ctx, "t")
	if err != nil {
		return
	}
	for range 1 + random.upTo(3) {
		if r.Order(ctx, engine, checksFence, load) != nil {
			return // the outcome may be unknown, so the lease is not released
		}
		sleep(ctx, random.upTo(15*time.Second))
	}
	_ = r.Release(ctx) // fails if another orderer has the lease, which is fine
}

type lockedRandom struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRandom) upTo(n time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.r.Int64N(int64(n)))
}
