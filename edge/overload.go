package edge

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/structs"
)

// While a service is short of capacity, package admission decides which of the waiting
// requests is next and which one is refused at once. This file connects it to the requests
// of this VM's callers and, at a placer, to those of its peers.

const (
	// reviewPeriod is how often a waiting request is compared with the queue ahead of it
	// again: as often as one that waits at a placer, which is asked for again each 100 ms.
	reviewPeriod = placerQueueWait
	// spanGeneration is how long the longest program of a route is remembered at least, and
	// half of the longest time.
	spanGeneration = time.Minute
	// maxRankLabel is the largest rank with a metric of its own.
	maxRankLabel = 15
)

// OverloadedError reports that a request gets no slot in the time that it may wait, by the
// requests ahead of it.
type OverloadedError struct {
	Service    structs.ServiceID
	RetryAfter time.Duration
}

// Error names the service.
func (e *OverloadedError) Error() string {
	return "service " + string(e.Service) + " is short of capacity: the requests ahead take longer than this one can wait"
}

// newTicket returns a number that no other waiting request has.
func newTicket() uint64 { return rand.Uint64() | 1 }

// admissionRequest returns the request as package admission sees it.
func (x *exchange) admissionRequest() admission.Request {
	r := admission.Request{
		Priority: x.priority(), ProgramDeadline: x.ProgramDeadline, Account: x.accountID(), Weight: x.accountWeight(),
		StartsProgram: x.startsProgram(), Deadline: x.deadline,
	}
	now := structs.Now()
	if r.ProgramDeadline == 0 || r.ProgramDeadline < x.Arrived {
		r.ProgramDeadline = x.deadline
	}
	if x.ProgramDeadline != 0 {
		s := x.server
		s.mu.Lock()
		defer s.mu.Unlock()
		r.WorthlessAt = x.ProgramDeadline.Add(s.spans.observe(now, x.route.Name, x.ProgramDeadline.Sub(x.Arrived)))
	}
	return r
}

// accountWeight returns the rate of the request's account, 0 if it states none. A request
// that this VM sends for another one names the account only.
func (x *exchange) accountWeight() float64 {
	account := x.account
	if x.forwardedFor != "" && account != nil && x.server.opts.Config != nil {
		if table := x.server.opts.Config.Current(); table != nil {
			account = table.Accounts[account.ID]
		}
	}
	if account == nil {
		return 0
	}
	return account.Rate
}

// programSpans holds, by route, the longest time that programs had left at one of their
// requests. It stands for the time from the start of a program to its deadline, which only
// the first request of a program says: it is too long rather than too short, so that no
// program counts as worthless whose caller can still use an answer. There are two generations, so
// that a shorter span is noticed.
type programSpans struct {
	newer, older map[string]time.Duration
	since        structs.Instant
}

// observe records the time that a program has left and returns the span of its route.
func (p *programSpans) observe(now structs.Instant, route string, left time.Duration) time.Duration {
	if p.newer == nil || now.Sub(p.since) > spanGeneration {
		p.older, p.newer, p.since = p.newer, make(map[string]time.Duration), now
	}
	p.newer[route] = max(p.newer[route], left)
	return max(p.newer[route], p.older[route])
}

// untilAbandoned ends a context when the caller disconnects, unless a target may have run
// the request: a request that waits for a slot is of no use to anyone then.
func (x *exchange) untilAbandoned(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if x.caller == nil || x.sends > 0 || x.mayHaveRun {
		return ctx, cancel
	}
	stop := context.AfterFunc(x.caller, cancel)
	return ctx, func() { stop(); cancel() }
}

// worthlessIn returns the field WorthlessIn of a request to a placer.
func worthlessIn(now structs.Instant, r admission.Request) time.Duration {
	switch {
	case r.WorthlessAt == 0:
		return 0
	case r.WorthlessAt == now:
		return -1
	}
	return r.WorthlessAt.Sub(now)
}

// peerRequest returns a peer's request as package admission sees it.
func peerRequest(now structs.Instant, p fleet.PlacementRequest) *admission.Request {
	r := &admission.Request{
		Priority: p.Priority, ProgramDeadline: now.Add(p.DueIn), Account: p.Account, Weight: p.Weight,
		StartsProgram: p.StartsProgram, Deadline: now.Add(p.TimeLeft), Arrived: now.Add(-p.Waited), Ticket: p.Ticket,
	}
	if p.WorthlessIn != 0 {
		r.WorthlessAt = now.Add(p.WorthlessIn)
	}
	return r
}

// retryAfterNoSlot returns the retry delay of a request that has waited in vain.
func (x *exchange) retryAfterNoSlot(e *NoFreeSlotError) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return max(min(noFreeSlotRetryAfter, x.timeLeft()/admission.MaxRetryDivisor), time.Millisecond)
}

// placerRefusal returns the error of a request that its placer refused.
func placerRefusal(service structs.ServiceID, waited, maxWait, retryAfter time.Duration) error {
	if waited+placerQueueWait+minPlacerWait < maxWait {
		return &OverloadedError{Service: service, RetryAfter: retryAfter}
	}
	return &NoFreeSlotError{Service: service, Waited: maxWait, RetryAfter: retryAfter}
}

// refuseOverloaded removes a waiting request from its queue if the requests ahead of it take
// longer than patience. A request without a ticket is of a VM that does not understand the
// refusal. The caller holds the lock.
func (s *Server) refuseOverloaded(now structs.Instant, w *waiter, patience time.Duration) error {
	queue := s.queue(w.query.Service)
	if queue.IgnoresAccounts || w.request.Ticket == 0 || !queue.IsWaiting(w.request) {
		return nil
	}
	if now <= s.regionsUntil {
		return nil // the requests ahead may be for other regions, whose slots don't count
	}
	if _, isBound := s.targets.RateWait(now, w.query, 0); isBound {
		return nil // the rate of free slots rises when the targets are no longer limited
	}
	estimate, isHopeless := queue.IsHopeless(now, w.request, patience)
	if !isHopeless {
		return nil
	}
	err := &OverloadedError{Service: w.query.Service, RetryAfter: queue.RetryAfter(now, w.request)}
	queue.Remove(w.request)
	delete(s.waiters, w.request)
	s.stats.set.GetOrCreateCounter(`endive_refused_early_total{rank="` + rankLabel(w.request.Priority) + `"}`).Inc()
	s.log.Info("refused at once, short of capacity", "service", string(w.query.Service), "rank", w.request.Priority,
		"account", string(w.request.Account), "starts_program", w.request.StartsProgram, "ahead", estimate.Ahead,
		"slots_per_second", estimate.PerSecond, "wait_ms", estimate.Wait.Milliseconds(), "patience_ms", patience.Milliseconds(),
		"waited_ms", now.Sub(w.request.Arrived).Milliseconds(), "retry_after_ms", err.RetryAfter.Milliseconds())
	return err
}

// reviewWaiting is refuseOverloaded for a request that has waited.
func (s *Server) reviewWaiting(w *waiter, patience time.Duration) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuseOverloaded(structs.Now(), w, patience)
}

// leaveQueue takes a request out of its queue whose wait has ended with err, and reports
// whether it was in it. One that a peer asks for again keeps its place; for others, err gets
// the retry delay. The caller holds the lock.
func (s *Server) leaveQueue(w *waiter, err error, asksAgain bool) bool {
	queue, now := s.queue(w.query.Service), structs.Now()
	if !queue.IsWaiting(w.request) {
		return false
	}
	delete(s.waiters, w.request)
	var noFreeSlot *NoFreeSlotError
	if !errors.As(err, &noFreeSlot) {
		return queue.Remove(w.request)
	}
	if asksAgain {
		return queue.Suspend(now, w.request)
	}
	noFreeSlot.RetryAfter = queue.RetryAfter(now, w.request)
	return queue.Remove(w.request)
}

// endSlot records in the queue of a service that a request no longer holds its slot. The
// caller holds the lock and calls recordEnd next.
func (s *Server) endSlot(service structs.ServiceID, r *admission.Request) {
	if r == nil {
		return
	}
	if used := s.queue(service).End(structs.Now(), r); used > 0 {
		s.stats.set.GetOrCreateFloatCounter(`endive_slot_seconds_total{rank="` + rankLabel(r.Priority) + `"}`).Add(used.Seconds())
	}
}

// rankLabel returns the label of a rank in metrics, of which there is a bounded number.
func rankLabel(rank int) string {
	if rank < 0 || rank > maxRankLabel {
		return "other"
	}
	return strconv.Itoa(rank)
}

// addQueueGauge adds the gauge of a rank's waiting requests.
func (st *stats) addQueueGauge(s *Server, rank int) {
	label := rankLabel(rank)
	st.set.GetOrCreateGauge(`endive_queued_requests{rank="`+label+`"}`, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		waiting := 0
		for _, queue := range s.queues {
			for _, number := range queue.Ranks() {
				if rankLabel(number) == label {
					waiting += queue.Waiting(number)
				}
			}
		}
		return float64(waiting)
	})
}

// largestAccountShare returns the largest fraction of a service's slots in use that one
// account holds, as far as this VM has granted them.
func (s *Server) largestAccountShare() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	largest := 0.0
	for _, queue := range s.queues {
		largest = max(largest, queue.LargestShare())
	}
	return largest
}
