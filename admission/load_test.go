package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// load is a service of 30 slots, 12 accounts of equal rate of which one sends 8 times its
// usual load, and a demand of 1.6 times the capacity. A request may wait for half the time
// that its caller has left, and a refused one is sent again if the caller has time.
type load struct {
	ranks []float64 // fraction of the requests by rank
	seed  uint64
	// neverRefuse is the number of a request that is not refused early, -1 for none.
	neverRefuse int
	hasRefusals bool
}

const (
	loadSlots    = 30
	loadAccounts = 12
	largeFactor  = 8
	loadDemand   = 1.6
	loadSlotTime = 200 * time.Millisecond // mean
	loadTime     = 30 * time.Second
	callerTime   = 4 * time.Second
	loadCapacity = float64(loadSlots) / 0.2 // requests per second
)

type loadRequest struct {
	Request
	number    int
	attempts  int
	slotTime  time.Duration
	isServed  bool
	isRefused bool // early, at least once
	endedAt   structs.Instant
	startedAt structs.Instant
	offeredAt structs.Instant
}

type loadEvent struct {
	at  structs.Instant
	run func()
}

type loadEvents []loadEvent

func (h loadEvents) Len() int           { return len(h) }
func (h loadEvents) Less(i, j int) bool { return h[i].at < h[j].at }
func (h loadEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *loadEvents) Push(x any)        { *h = append(*h, x.(loadEvent)) }
func (h *loadEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type loadRun struct {
	load
	queue    Queue
	now      structs.Instant
	events   loadEvents
	free     int
	requests []*loadRequest
	refusals []int // numbers of the requests that were refused early
	waiting  map[*Request]*loadRequest
}

func (l *loadRun) at(d time.Duration, run func()) {
	heap.Push(&l.events, loadEvent{at: l.now.Add(d), run: run})
}

// run returns the state after all requests have ended.
func (l load) run() *loadRun {
	s := &loadRun{load: l, free: loadSlots, waiting: make(map[*Request]*loadRequest)}
	rng := rand.New(rand.NewPCG(l.seed, 1))
	perAccount := loadDemand * loadCapacity / (loadAccounts - 1 + largeFactor)
	for a := range loadAccounts {
		rate := perAccount
		if a == 0 {
			rate *= largeFactor
		}
		for at := rng.ExpFloat64() / rate; at < loadTime.Seconds(); at += rng.ExpFloat64() / rate {
			r := &loadRequest{slotTime: time.Duration((0.5 + rng.Float64()) * float64(loadSlotTime))}
			r.offeredAt = structs.Instant(at*float64(time.Second)) + 1
			r.Account, r.Weight, r.StartsProgram = structs.AccountID(fmt.Sprintf("a%02d", a)), 10, rng.IntN(3) == 0
			r.Deadline = r.offeredAt.Add(callerTime)
			r.ProgramDeadline = r.Deadline.Add(time.Duration(rng.IntN(8000)) * time.Millisecond)
			for p, x := 0, rng.Float64(); p < len(l.ranks); p++ {
				if x -= l.ranks[p]; x < 0 {
					r.Priority = p
					break
				}
			}
			s.requests = append(s.requests, r)
		}
	}
	slices.SortFunc(s.requests, func(a, b *loadRequest) int { return int(a.offeredAt - b.offeredAt) })
	for i, r := range s.requests {
		r.number = i
		heap.Push(&s.events, loadEvent{at: r.offeredAt, run: func() { s.arrive(r) }})
	}
	for len(s.events) > 0 && !s.isDecided() {
		e := heap.Pop(&s.events).(loadEvent)
		s.now = e.at
		e.run()
	}
	return s
}

// isDecided reports whether the request that is not refused early has been served or has
// waited in vain.
func (l *loadRun) isDecided() bool {
	if l.neverRefuse < 0 {
		return false
	}
	r := l.requests[l.neverRefuse]
	return r.attempts > 0 && !r.isWaiting
}

func (l *loadRun) arrive(r *loadRequest) {
	r.attempts++
	r.Arrived = 0
	patience := r.Deadline.Sub(l.now) / 2
	l.queue.Add(l.now, &r.Request)
	l.waiting[&r.Request] = r
	l.grant()
	if !r.isWaiting {
		return
	}
	if _, isHopeless := l.queue.IsHopeless(l.now, &r.Request, patience); isHopeless && l.hasRefusals && r.number != l.neverRefuse {
		l.refusals, r.isRefused = append(l.refusals, r.number), true
		l.refuse(r)
		return
	}
	attempt := r.attempts
	l.at(patience, func() {
		if r.isWaiting && r.attempts == attempt {
			l.refuse(r)
		}
	})
}

func (l *loadRun) refuse(r *loadRequest) {
	retryAfter := l.queue.RetryAfter(l.now, &r.Request)
	l.queue.Remove(&r.Request)
	if l.now.Add(retryAfter+2*loadSlotTime) < r.Deadline && r.number != l.neverRefuse {
		l.at(retryAfter, func() { l.arrive(r) })
	}
}

func (l *loadRun) grant() {
	for l.free > 0 {
		first := l.queue.First(l.now)
		if first == nil {
			return
		}
		r := l.waiting[first]
		l.queue.Grant(l.now, first)
		l.free--
		r.isServed, r.startedAt = true, l.now
		l.at(r.slotTime, func() {
			l.queue.End(l.now, &r.Request)
			l.free++
			r.endedAt = l.now
			l.grant()
		})
	}
}

// served returns the fraction of requests served and the median and 95th percentile of
// their wait, of those that match.
func (l *loadRun) served(match func(*loadRequest) bool) (fraction float64, p50, p95 time.Duration) {
	var waits []time.Duration
	offered := 0
	for _, r := range l.requests {
		if !match(r) || r.offeredAt < structs.Instant(4*time.Second) {
			continue
		}
		offered++
		if r.isServed {
			waits = append(waits, r.startedAt.Sub(r.offeredAt))
		}
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		p50, p95 = waits[len(waits)/2], waits[len(waits)*95/100]
	}
	return float64(len(waits)) / float64(max(offered, 1)), p50, p95
}

func (l *loadRun) report(t *testing.T) {
	t.Helper()
	for p := range l.ranks {
		for _, isLarge := range []bool{true, false} {
			fraction, p50, p95 := l.served(func(r *loadRequest) bool { return r.Priority == p && (r.Account == "a00") == isLarge })
			refused, attempts, n := 0, 0, 0
			for _, r := range l.requests {
				if r.Priority == p && (r.Account == "a00") == isLarge {
					n++
					attempts += r.attempts
					if r.isRefused {
						refused++
					}
				}
			}
			t.Logf("rank %d large=%-5t served %.3f, waited p50 %v p95 %v, refused early %d of %d, attempts %.2f",
				p, isLarge, fraction, p50.Round(time.Millisecond), p95.Round(time.Millisecond), refused, n, float64(attempts)/float64(n))
		}
	}
}

// Guards against an account with 8 times its usual load that takes the slots of the others:
// these get what they ask for up to a twelfth of the slots each.
func TestLargeAccountLeavesTheOthersTheirShare(t *testing.T) {
	for seed := range uint64(4) {
		run := load{ranks: []float64{1}, seed: seed, neverRefuse: -1, hasRefusals: true}.run()
		run.report(t)
		share := loadCapacity * (loadTime - 4*time.Second).Seconds() / loadAccounts
		for a := 1; a < loadAccounts; a++ {
			offered, served := 0.0, 0.0
			for _, r := range run.requests {
				if r.Account == structs.AccountID(fmt.Sprintf("a%02d", a)) && r.offeredAt >= structs.Instant(4*time.Second) {
					offered++
					if r.isServed {
						served++
					}
				}
			}
			assert.Check(t, served >= 0.95*min(offered, share), "seed %d account %d: %.0f of %.0f served, share %.0f", seed, a, served, offered, share)
		}
		total, _, _ := run.served(func(*loadRequest) bool { return true })
		assert.Check(t, total >= 0.95/loadDemand, "seed %d: %.3f of the requests served", seed, total)
	}
}

// Guards against a less urgent kind that is served more than a more urgent one.
func TestMoreUrgentKindIsServedNoLess(t *testing.T) {
	for seed := range uint64(4) {
		run := load{ranks: []float64{0.3, 0.3, 0.4}, seed: seed, neverRefuse: -1, hasRefusals: true}.run()
		run.report(t)
		last := 1.0
		for p := range run.ranks {
			fraction, _, _ := run.served(func(r *loadRequest) bool { return r.Priority == p })
			assert.Check(t, fraction <= last, "seed %d: rank %d is served %.3f, the rank before %.3f", seed, p, fraction, last)
			last = fraction
		}
	}
}

// Guards against early refusals of requests that would have got a slot: some of the refused
// ones are let wait in a run of their own.
func TestRefusedRequestsWouldNotHaveBeenServed(t *testing.T) {
	for _, ranks := range [][]float64{{1}, {0.3, 0.3, 0.4}} {
		base := load{ranks: ranks, seed: 7, neverRefuse: -1, hasRefusals: true}
		refusals := base.run().refusals
		slices.Sort(refusals)
		refusals = slices.Compact(refusals)
		assert.Assert(t, len(refusals) > 100, "%d refusals", len(refusals))
		served, tried := 0, 0
		for i := 0; i < len(refusals); i += len(refusals) / 20 {
			again := base
			again.neverRefuse = refusals[i]
			tried++
			if again.run().requests[refusals[i]].isServed {
				served++
			}
		}
		t.Logf("%d ranks: %d of %d refused requests would have been served", len(ranks), served, tried)
		assert.Check(t, served == 0)
	}
}
