package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// goesFirst is the order of the queue before accounts shared the slots.
func goesFirst(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if a.ProgramDeadline != b.ProgramDeadline {
		return a.ProgramDeadline < b.ProgramDeadline
	}
	return a.added < b.added
}

// Guards against a changed order where a single account waits: by rank, program deadline and
// arrival.
func TestSingleAccountIsServedInTheOrderOfDeadlines(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	var q Queue
	var waiting []*Request
	for step := range 5000 {
		now := structs.Instant(step+1) * structs.Instant(time.Millisecond)
		if rng.IntN(100) < 55 && len(waiting) < 60 {
			r := &Request{
				Priority: rng.IntN(3), ProgramDeadline: structs.Instant(rng.IntN(20)), StartsProgram: rng.IntN(2) == 0,
				Account: "a", Weight: float64(rng.IntN(3)), WorthlessAt: structs.Instant(rng.IntN(2)),
			}
			q.Add(now, r)
			waiting = append(waiting, r)
			continue
		}
		first := q.First(now)
		if len(waiting) == 0 {
			assert.Assert(t, first == nil)
			continue
		}
		best := 0
		for i, r := range waiting {
			if goesFirst(r, waiting[best]) {
				best = i
			}
		}
		assert.Assert(t, first == waiting[best], "step %d", step)
		assert.Equal(t, q.Ahead(now, first), 0)
		q.Grant(now, first)
		waiting = append(waiting[:best], waiting[best+1:]...)
		if rng.IntN(2) == 0 {
			q.End(now, first)
		}
	}
}

// Guards against a program that can no longer earn anything and keeps its place, and against
// new programs before started ones; and a rank that is passed over.
func TestOrderWithinRank(t *testing.T) {
	var q Queue
	names := make(map[*Request]string)
	add := func(name string, r Request) {
		names[&r] = name
		q.Add(1, &r)
	}
	add("worthless", Request{Account: "a", ProgramDeadline: 1, WorthlessAt: 5})
	add("starts", Request{Account: "a", ProgramDeadline: 2, StartsProgram: true})
	add("late", Request{Account: "a", ProgramDeadline: 9})
	add("less urgent", Request{Account: "b", Priority: 1, ProgramDeadline: 1})
	add("worthless less urgent", Request{Account: "a", Priority: 1, ProgramDeadline: 1, WorthlessAt: 1})
	var got []string
	for r := q.First(10); r != nil; r = q.First(10) {
		assert.Equal(t, q.Ahead(10, r), 0)
		got = append(got, names[r])
		q.Grant(10, r)
	}
	assert.DeepEqual(t, got, []string{"late", "starts", "worthless", "less urgent", "worthless less urgent"})
}

// Guards against credit for the time in which an account was idle, and against weights that
// are ignored or used although one account states none.
func TestSharesByWeight(t *testing.T) {
	for _, c := range []struct {
		weights [2]float64
		want    int // of 40 slots for the first account
	}{{[2]float64{30, 10}, 30}, {[2]float64{10, 10}, 20}, {[2]float64{30, 0}, 20}} {
		var q Queue
		for range 100 { // the other account is idle meanwhile
			r := &Request{Account: "b", Weight: c.weights[1]}
			q.Grant(1, r)
			q.End(structs.Instant(time.Second), r)
		}
		for range 60 {
			q.Add(1, &Request{Account: "a", Weight: c.weights[0]})
			q.Add(1, &Request{Account: "b", Weight: c.weights[1]})
		}
		got := 0
		for range 40 {
			first := q.First(1)
			if first.Account == "a" {
				got++
			}
			q.Grant(1, first)
		}
		assert.Assert(t, got >= c.want-1 && got <= c.want+1, "weights %v: %d", c.weights, got)
	}
}

// Guards against shares by the number of requests: those of one account hold their slots 4
// times as long.
func TestSharesBySlotTime(t *testing.T) {
	var q Queue
	now := structs.Instant(1)
	used := make(map[structs.AccountID]time.Duration)
	for i := range 400 {
		for _, account := range []structs.AccountID{"a", "b"} {
			q.Add(now, &Request{Account: account, Deadline: structs.Instant(i)})
		}
	}
	for range 300 {
		first := q.First(now)
		slotTime := 50 * time.Millisecond
		if first.Account == "a" {
			slotTime = 200 * time.Millisecond
		}
		q.Grant(now, first)
		now = now.Add(slotTime)
		used[first.Account] += q.End(now, first)
	}
	share := used["a"].Seconds() / (used["a"] + used["b"]).Seconds()
	assert.Assert(t, share > 0.45 && share < 0.55, "share %.3f", share)
}

// Guards against a suspended request that loses its place, one that is never forgotten, and
// state that grows with the number of accounts seen.
func TestSuspendedRequests(t *testing.T) {
	var q Queue
	first := &Request{Account: "a", Ticket: 1}
	q.Add(1, first)
	q.Add(2, &Request{Account: "a", Ticket: 2})
	assert.Assert(t, q.Suspend(3, first))
	assert.Equal(t, q.First(3).Ticket, uint64(2))
	again := &Request{Account: "a", Ticket: 1, Arrived: 4}
	q.Add(4, again)
	assert.Assert(t, q.First(4) == again)
	assert.Equal(t, q.Len(), 2)
	assert.Assert(t, q.Suspend(5, again))
	q.Expire(structs.Instant(reaskGrace) + 6)
	assert.Equal(t, q.Len(), 1)
	q.Remove(q.First(6))
	for i := range 1000 {
		r := &Request{Account: structs.AccountID(fmt.Sprint(i)), Priority: i % 7}
		q.Add(7, r)
		q.Grant(7, r)
		q.End(8, r)
	}
	q.Expire(structs.Instant(time.Minute))
	assert.Equal(t, len(q.ranks)+len(q.order)+len(q.accounts)+len(q.tickets), 0)
}

// Guards against refused requests that return together: they return at the rate at which
// slots become free, and within a third of the time that is left.
func TestRefusedRequestsReturnAtTheRateOfFreeSlots(t *testing.T) {
	var q Queue
	now := structs.Instant(1)
	for range 40 {
		q.Add(now, &Request{Account: "a"})
	}
	for range 40 { // 20 slots per second become free
		r := &Request{Account: "b"}
		q.Grant(now, r)
		now = now.Add(50 * time.Millisecond)
		q.End(now, r)
	}
	returns := make(map[int]int) // by second
	// The resolution of the rate is a twentieth.
	first := q.RetryAfter(now, &Request{Account: "a"})
	assert.Check(t, first >= 1900*time.Millisecond && first <= 2100*time.Millisecond, "%v", first)
	for range 100 {
		r := &Request{Account: "a", Deadline: now.Add(time.Minute)}
		returns[int(q.RetryAfter(now, r)/time.Second)]++
	}
	for second, n := range returns {
		assert.Check(t, n <= 22, "%d return in second %d", n, second)
	}
	short := make(map[time.Duration]bool)
	for range 20 {
		after := q.RetryAfter(now, &Request{Deadline: now.Add(900 * time.Millisecond)})
		assert.Check(t, after > 0 && after <= 300*time.Millisecond, "%v", after)
		short[after.Truncate(10*time.Millisecond)] = true
	}
	assert.Check(t, len(short) > 10, "%d different delays", len(short))
}
