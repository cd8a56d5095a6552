// Package admission orders the requests that wait for a free slot of a service, since
// targets themselves serve requests in the order of arrival.
//
// The most urgent requests go first. Those of equal rank share the free slots by client
// account (fair.go). A request that can't get a slot in time is refused when it arrives
// (refusal.go). The package is a deterministic state machine without clock, goroutine or
// I/O.
package admission

import (
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Request is a request that waits for a slot or holds one.
type Request struct {
	// Priority is the rank of the request; 0 goes first.
	Priority int
	// ProgramDeadline is when the request's program should have ended. Among requests of
	// equal priority the earliest deadline goes first.
	ProgramDeadline structs.Instant
	// Account is the client account of the request, empty if it has none. Weight is the
	// account's rate, 0 if it states none.
	Account structs.AccountID
	Weight  float64
	// StartsProgram means that refusing the request loses no completed work of its program.
	StartsProgram bool
	// WorthlessAt is when an answer is of no value any more to the program's caller, 0 if unknown.
	WorthlessAt structs.Instant
	// Deadline is when the caller stops waiting for the answer, 0 if unknown.
	Deadline structs.Instant
	// Arrived is when the request began to wait, at whatever VM.
	Arrived structs.Instant
	// Ticket identifies a request that is asked for again and again, 0 if it is not.
	Ticket uint64

	added       uint64 // number in the order of Add
	isWaiting   bool
	askAgainBy  structs.Instant // while suspended, else 0
	grantedAt   structs.Instant // 0 while it holds no slot
	charged     float64         // slot time in seconds that its account was charged
	chargeScale float64         // seconds of the virtual time per second of slot time
}

// reaskGrace is how long a suspended request keeps its place. VMs ask again after a round
// trip, 2 ms within a region; the remainder is for VMs that are short of processor time.
const reaskGrace = 50 * time.Millisecond

// Queue holds the waiting requests of one service. Its zero value is empty.
type Queue struct {
	// IgnoresAccounts orders requests by rank, program deadline and arrival, and refuses
	// none at once. Where each VM keeps a queue of its own, the few requests in it say
	// little about the accounts' use of the service.
	IgnoresAccounts bool

	ranks    map[int]*rank
	order    []int // the numbers of the ranks, ascending
	accounts map[structs.AccountID]int
	tickets  map[uint64]*Request
	added    uint64
	waiting  int
	running  int // granted requests that have not ended

	slotRate slotRate
	spreads  int // retry delays that were spread over an interval
}

// Add adds a request to the queue. It takes the place of the suspended request with the
// same ticket.
func (q *Queue) Add(now structs.Instant, r *Request) {
	if r.Arrived == 0 {
		r.Arrived = now
	}
	if q.waiting == 0 {
		q.slotRate.begin(now)
	}
	q.added++
	r.added = q.added
	if old := q.tickets[r.Ticket]; old != nil && old.askAgainBy != 0 {
		r.Arrived, r.added = old.Arrived, old.added
		q.insert(r) // before old is removed, so that its account stays in the queue
		q.Remove(old)
	} else {
		q.insert(r)
	}
	if r.Ticket != 0 {
		q.tickets[r.Ticket] = r
	}
}

func (q *Queue) insert(r *Request) {
	if q.accounts == nil {
		q.accounts = make(map[structs.AccountID]int)
		q.tickets = make(map[uint64]*Request)
	}
	r.isWaiting, r.askAgainBy = true, 0
	q.waiting++
	q.accounts[r.Account]++
	q.rank(r.Priority).add(r)
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue) Remove(r *Request) bool {
	if !r.isWaiting {
		return false
	}
	r.isWaiting = false
	q.waiting--
	if q.accounts[r.Account]--; q.accounts[r.Account] == 0 {
		delete(q.accounts, r.Account)
	}
	if q.tickets[r.Ticket] == r {
		delete(q.tickets, r.Ticket)
	}
	q.ranks[r.Priority].remove(r)
	return true
}

// Suspend keeps the place of a waiting request whose VM will ask again, and reports whether
// it was in the queue. A suspended request gets no slot.
func (q *Queue) Suspend(now structs.Instant, r *Request) bool {
	if q.tickets[r.Ticket] != r || !r.isWaiting { // it was asked for again already
		return q.Remove(r)
	}
	r.askAgainBy = now.Add(reaskGrace)
	return true
}

// Expire removes the suspended requests that were not asked for again in time, and forgets
// accounts that have been idle.
func (q *Queue) Expire(now structs.Instant) {
	for _, r := range q.tickets {
		if r.askAgainBy != 0 && now > r.askAgainBy {
			q.Remove(r)
		}
	}
	for number, k := range q.ranks {
		k.forgetIdle(now)
		if len(k.flows) == 0 {
			delete(q.ranks, number)
			q.order = slices.DeleteFunc(q.order, func(n int) bool { return n == number })
		}
	}
}

// First returns the request that is next to get a slot, nil if none waits.
func (q *Queue) First(now structs.Instant) *Request {
	return q.FirstWhere(now, func(*Request) bool { return true })
}

// FirstWhere returns the request that is next to get a slot among those for which isEligible
// reports true, nil if there is none. Not all requests may use the same targets.
func (q *Queue) FirstWhere(now structs.Instant, isEligible func(*Request) bool) *Request {
	for _, number := range q.order {
		if first := q.ranks[number].first(now, q.isSingleAccount(), isEligible); first != nil {
			return first
		}
	}
	return nil
}

// Ahead returns the number of waiting requests that get a slot before r. Suspended requests
// count, since their VMs ask again.
func (q *Queue) Ahead(now structs.Instant, r *Request) int {
	ahead := 0
	for _, number := range q.order {
		if number >= r.Priority {
			break
		}
		ahead += q.ranks[number].waiting
	}
	return ahead + q.ranks[r.Priority].ahead(now, r, q.isSingleAccount())
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiting }

// Waiting returns the number of waiting requests of a rank.
func (q *Queue) Waiting(priority int) int {
	if k := q.ranks[priority]; k != nil {
		return k.waiting
	}
	return 0
}

// Ranks returns the ranks of which requests wait or have waited recently, ascending.
func (q *Queue) Ranks() []int { return q.order }

// isSingleAccount reports whether all waiting requests are of one account. The order is by
// rank, program deadline and arrival then.
func (q *Queue) isSingleAccount() bool { return q.IgnoresAccounts || len(q.accounts) == 1 }

func (q *Queue) rank(number int) *rank {
	k := q.ranks[number]
	if k == nil {
		if q.ranks == nil {
			q.ranks = make(map[int]*rank)
		}
		k = &rank{flows: make(map[structs.AccountID]*flow)}
		q.ranks[number] = k
		i, _ := slices.BinarySearch(q.order, number)
		q.order = slices.Insert(q.order, i, number)
	}
	return k
}

// isWorthless reports whether an answer is of no value any more to the program's caller.
func (r *Request) isWorthless(now structs.Instant) bool {
	return r.WorthlessAt != 0 && now >= r.WorthlessAt
}

// isBefore reports whether a gets a slot before b if both are of the same rank and account.
func isBefore(now structs.Instant, a, b *Request, isSingleAccount bool) bool {
	if !isSingleAccount {
		if worthless := a.isWorthless(now); worthless != b.isWorthless(now) {
			return !worthless
		}
		if a.StartsProgram != b.StartsProgram {
			return !a.StartsProgram
		}
	}
	if a.ProgramDeadline != b.ProgramDeadline {
		return a.ProgramDeadline < b.ProgramDeadline
	}
	if a.Arrived != b.Arrived {
		return a.Arrived < b.Arrived
	}
	return a.added < b.added
}

// IsWaiting reports whether a request is in the queue.
func (q *Queue) IsWaiting(r *Request) bool { return r.isWaiting }
