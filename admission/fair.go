package admission

import (
	"math"
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// Within a rank, free slots are shared by start-time fair queueing. Each account has a tag,
// the virtual time at which its next request starts; the account with the lowest tag goes
// first, and its tag advances by the slot time that the request is expected to use, divided
// by the account's weight. When the request has ended, the tag is corrected by what it has
// really used. The virtual time of the rank is the tag of the request that started last; an
// account that begins to wait starts there at the earliest, so that it has no credit for
// the time in which it was idle.

const (
	// slotTimeWeight is the weight of the newest request in the mean slot time.
	slotTimeWeight = 0.1
	// defaultSlotTime is the slot time that is expected before any request has ended.
	defaultSlotTime = time.Second
	// idleTTL is how long the debt of an idle account is kept: the time over which the rate
	// of free slots is measured.
	idleTTL = rateWindow
)

// rank holds the waiting requests of one priority.
type rank struct {
	virtual  float64 // virtual time, in seconds of slot time
	flows    map[structs.AccountID]*flow
	waiting  int
	slotTime time.Duration   // smoothed, of all ended requests
	returnAt structs.Instant // latest time at which a refused request was told to return
}

// flow is an account within a rank.
type flow struct {
	requests []*Request
	tag      float64 // virtual time at which the next request starts
	weight   float64 // the account's rate, 0 if it states none
	running  int
	slotTime time.Duration // smoothed, of its requests; 0 while unknown
	idleAt   structs.Instant
}

func (k *rank) flow(account structs.AccountID) *flow {
	f := k.flows[account]
	if f == nil {
		f = &flow{tag: k.virtual}
		k.flows[account] = f
	}
	return f
}

func (k *rank) add(r *Request) {
	f := k.flow(r.Account)
	f.weight = validWeight(r.Weight)
	if len(f.requests) == 0 {
		f.tag = math.Max(f.tag, k.virtual)
	}
	f.requests = append(f.requests, r)
	k.waiting++
}

func validWeight(weight float64) float64 {
	if weight > 0 && !math.IsInf(weight, 1) {
		return weight
	}
	return 0
}

func (k *rank) remove(r *Request) {
	f := k.flows[r.Account]
	i := slices.Index(f.requests, r)
	f.requests = slices.Delete(f.requests, i, i+1)
	k.waiting--
}

// first returns the request of the rank that is next among the eligible ones, nil if none
// waits.
func (k *rank) first(now structs.Instant, isSingleAccount bool, isEligible func(*Request) bool) *Request {
	var best *Request
	var bestTag float64
	for _, f := range k.flows {
		r := f.first(now, isSingleAccount, isEligible)
		if r != nil && (best == nil || k.startsBefore(now, r, f.tag, best, bestTag, isSingleAccount)) {
			best, bestTag = r, f.tag
		}
	}
	return best
}

// startsBefore reports whether a starts before b, which is of another account. Worthless
// requests go behind all others of the rank.
func (k *rank) startsBefore(now structs.Instant, a *Request, aTag float64, b *Request, bTag float64, isSingleAccount bool) bool {
	if isSingleAccount {
		return isBefore(now, a, b, true)
	}
	if worthless := a.isWorthless(now); worthless != b.isWorthless(now) {
		return !worthless
	}
	if aTag != bTag {
		return aTag < bTag
	}
	return isBefore(now, a, b, false)
}

func (f *flow) first(now structs.Instant, isSingleAccount bool, isEligible func(*Request) bool) *Request {
	var best *Request
	for _, r := range f.requests {
		if r.askAgainBy == 0 && (best == nil || isBefore(now, r, best, isSingleAccount)) && isEligible(r) {
			best = r
		}
	}
	return best
}

// ahead returns the number of requests of the rank that start before r.
func (k *rank) ahead(now structs.Instant, r *Request, isSingleAccount bool) int {
	own, weights := k.flows[r.Account], k.waitingWeights()
	ahead := own.aheadOf(now, r, isSingleAccount)
	if isSingleAccount {
		for account, f := range k.flows {
			if account != r.Account {
				ahead += f.aheadOf(now, r, true)
			}
		}
		return ahead
	}
	start := own.tag + float64(ahead)*k.charge(own, weights)
	for account, f := range k.flows {
		if account == r.Account || len(f.requests) == 0 {
			continue
		}
		ahead += f.startedBy(now, start, k.charge(f, weights), r.isWorthless(now))
	}
	return ahead
}

// aheadOf returns the number of requests of the account that go before r.
func (f *flow) aheadOf(now structs.Instant, r *Request, isSingleAccount bool) int {
	ahead := 0
	for _, other := range f.requests {
		if other != r && isBefore(now, other, r, isSingleAccount) {
			ahead++
		}
	}
	return ahead
}

// startedBy returns the number of requests of the account that start before the virtual
// time start, if each advances its tag by charge. Before a worthless request, all others
// start.
func (f *flow) startedBy(now structs.Instant, start, charge float64, isWorthless bool) int {
	worthless := 0
	for _, r := range f.requests {
		if r.isWorthless(now) {
			worthless++
		}
	}
	others := len(f.requests) - worthless
	most := others
	if isWorthless {
		most = len(f.requests)
	}
	started := int(math.Min(math.Ceil(math.Max(start-f.tag, 0)/charge), float64(most)))
	if isWorthless {
		return max(started, others)
	}
	return started
}

// charge returns by how much the start of one request advances the tag of an account.
func (k *rank) charge(f *flow, w weights) float64 { return k.expectedSlotTime(f) * w.scale(f) }

func (k *rank) expectedSlotTime(f *flow) float64 {
	switch {
	case f.slotTime > 0:
		return f.slotTime.Seconds()
	case k.slotTime > 0:
		return k.slotTime.Seconds()
	}
	return defaultSlotTime.Seconds()
}

// weights sums up the weights of the waiting accounts of a rank.
type weights struct {
	sum     float64
	count   int
	isEqual bool // one of them states no weight
}

func (k *rank) waitingWeights() weights {
	var w weights
	for _, f := range k.flows {
		if len(f.requests) == 0 {
			continue
		}
		w.sum += f.weight
		w.count++
		w.isEqual = w.isEqual || f.weight == 0
	}
	return w
}

// scale returns the virtual time of one second of slot time: the mean weight of the waiting
// accounts and f divided by that of f, and 1 if one of them states no weight.
func (w weights) scale(f *flow) float64 {
	if w.isEqual || f.weight == 0 {
		return 1
	}
	if len(f.requests) == 0 {
		w.sum += f.weight
		w.count++
	}
	return w.sum / float64(w.count) / f.weight
}

// Grant records that a request gets a slot, whether or not it has waited. End ends it.
func (q *Queue) Grant(now structs.Instant, r *Request) {
	k := q.rank(r.Priority)
	f := k.flow(r.Account)
	f.tag = math.Max(f.tag, k.virtual)
	k.virtual = f.tag
	r.charged, r.chargeScale = k.expectedSlotTime(f), k.waitingWeights().scale(f)
	f.tag += r.charged * r.chargeScale
	q.Remove(r)
	f.running++
	q.running++
	r.grantedAt = now
}

// End records that a request no longer holds its slot, and returns how long it held it. It
// returns 0 if the request holds none.
func (q *Queue) End(now structs.Instant, r *Request) time.Duration {
	if r.chargeScale == 0 {
		return 0
	}
	used := now.Sub(r.grantedAt)
	k := q.rank(r.Priority)
	f := k.flow(r.Account)
	f.tag += (used.Seconds() - r.charged) * r.chargeScale
	r.chargeScale = 0
	f.running = max(f.running-1, 0)
	f.idleAt = now
	f.slotTime, k.slotTime = smoothed(f.slotTime, used), smoothed(k.slotTime, used)
	q.running = max(q.running-1, 0)
	q.slotRate.add(now)
	q.slotRate.slotTime = smoothed(q.slotRate.slotTime, used)
	return used
}

func smoothed(mean, newest time.Duration) time.Duration {
	if mean == 0 {
		return newest
	}
	return mean + time.Duration(slotTimeWeight*float64(newest-mean))
}

// forgetIdle forgets the accounts that neither wait nor hold a slot, once their tag is past
// or they have been idle for idleTTL.
func (k *rank) forgetIdle(now structs.Instant) {
	for account, f := range k.flows {
		isIdle := len(f.requests) == 0 && f.running == 0
		if isIdle && (f.tag <= k.virtual || now.Sub(f.idleAt) > idleTTL) {
			delete(k.flows, account)
		}
	}
}

// LargestShare returns the largest fraction of the slots in use that one account holds.
func (q *Queue) LargestShare() float64 {
	held := make(map[structs.AccountID]int)
	largest := 0
	for _, k := range q.ranks {
		for account, f := range k.flows {
			held[account] += f.running
			largest = max(largest, held[account])
		}
	}
	if q.running == 0 {
		return 0
	}
	return float64(largest) / float64(q.running)
}
