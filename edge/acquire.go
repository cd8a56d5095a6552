package edge

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/admission"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/structs"
)

// waiter is a request that waits for a slot.
type waiter struct {
	request *admission.Request
	query   placement.Query
	granted chan placement.Choice // has capacity 1
	refused chan error            // has capacity 1; the request leaves the queue itself
}

// NoTargetError reports that a service has no target that may be used.
type NoTargetError struct{ Service structs.ServiceID }

// Error names the service.
func (e *NoTargetError) Error() string {
	return "service " + string(e.Service) + " has no usable target"
}

// NoFreeSlotError reports that no slot became free in time.
type NoFreeSlotError struct {
	Service structs.ServiceID
	Waited  time.Duration
	// RetryAfter is the retry delay by the queue ahead, 0 if it is not known.
	RetryAfter time.Duration
}

// Error names the service and the time waited.
func (e *NoFreeSlotError) Error() string {
	return "no slot of service " + string(e.Service) + " became free within " + e.Waited.Round(time.Millisecond).String()
}

// RateLimitedError reports that the rates which the targets of a service have named, or
// take while they are cold, leave no slot for a request in time.
type RateLimitedError struct {
	Service structs.ServiceID
	Wait    time.Duration // until a slot is expected
}

// Error names the service and the time until a slot is expected.
func (e *RateLimitedError) Error() string {
	return "targets of service " + string(e.Service) + " take no request for " + e.Wait.Round(time.Millisecond).String() +
		" by the rates that they have named or take while they are cold"
}

// acquireTarget returns a target and adds one request to its load; endSlot and recordEnd
// subtract it again. While all targets are full, it waits for at most maxWait. It
// refuses at once if the targets' named rates, or the queue ahead, leave no slot within
// patience, which is at least maxWait. A request with a ticket and more patience than
// maxWait keeps its place in the queue for a moment, since its VM asks again.
func (s *Server) acquireTarget(ctx context.Context, query placement.Query, request *admission.Request, maxWait, patience time.Duration) (placement.Target, error) {
	now := structs.Now()
	s.mu.Lock()
	s.applyColdRates(now)
	queue := s.queue(query.Service)
	choice, ok := s.targets.Choose(now, query)
	if !ok {
		s.mu.Unlock()
		return placement.Target{}, &NoTargetError{Service: query.Service}
	}
	if choice.HasFreeSlot && queue.Len() == 0 {
		queue.Grant(now, request)
		s.beginRequest(now, choice.Target.ID)
		s.mu.Unlock()
		return choice.Target, nil
	}
	w := &waiter{request: request, query: query, granted: make(chan placement.Choice, 1), refused: make(chan error, 1)}
	s.noteRestricted(now, query, maxWait)
	queue.Add(now, request)
	s.waiters[request] = w
	s.stats.addQueueGauge(s, request.Priority)
	s.grantFreeSlots(query.Service)
	err := s.refuseHopeless(now, w, patience)
	if err == nil {
		err = s.refuseOverloaded(now, w, patience)
	}
	s.mu.Unlock()
	if err != nil {
		return placement.Target{}, err
	}
	return s.waitForSlot(ctx, w, maxWait, patience)
}

// refuseHopeless removes a waiting request from its queue if it gets no slot within
// patience. The caller holds the lock.
func (s *Server) refuseHopeless(now structs.Instant, w *waiter, patience time.Duration) error {
	queue := s.queue(w.query.Service)
	if !queue.IsWaiting(w.request) || !s.targets.HasRate(now, w.query.Service) {
		return nil
	}
	wait, isBound := s.targets.RateWait(now, w.query, queue.Ahead(now, w.request))
	wait += retryPeriod // the next retryWaiting notices the token
	if !isBound || wait <= patience || !queue.Remove(w.request) {
		return nil
	}
	delete(s.waiters, w.request)
	return &RateLimitedError{Service: w.query.Service, Wait: wait}
}

// beginRequest counts a request that is sent to a target. The caller holds the lock.
func (s *Server) beginRequest(now structs.Instant, id structs.TargetID) {
	s.targets.BeginRequest(id)
	s.targets.Rates.Take(now, id)
}

// waitForSlot waits until a slot is granted to w, for at most maxWait. A slot that
// is granted after ctx has ended is freed again.
func (s *Server) waitForSlot(ctx context.Context, w *waiter, maxWait, patience time.Duration) (placement.Target, error) {
	start := structs.Now()
	timer, review := time.NewTimer(maxWait), time.NewTicker(reviewPeriod)
	defer timer.Stop()
	defer review.Stop()
	var err error
	for err == nil {
		select {
		case choice := <-w.granted:
			return choice.Target, nil
		case err = <-w.refused:
		case <-review.C:
			if err := s.reviewWaiting(w, patience-structs.Now().Sub(start)); err != nil {
				return placement.Target{}, err
			}
		case <-timer.C:
			err = &NoFreeSlotError{Service: w.query.Service, Waited: maxWait}
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaveQueue(w, err, patience > maxWait) {
		return placement.Target{}, err
	}
	choice := <-w.granted // granted after the timer or the context ended
	if ctx.Err() == nil {
		return choice.Target, nil
	}
	s.endSlot(w.query.Service, w.request)
	s.recordEnd(choice.Target.ID, placement.ResultNone, 0)
	return placement.Target{}, err
}

func (s *Server) queue(service structs.ServiceID) *admission.Queue {
	queue := s.queues[service]
	if queue == nil {
		queue = &admission.Queue{}
		s.queues[service] = queue
	}
	queue.IgnoresAccounts = !s.isCoordinated.Load()
	return queue
}

// grantFreeSlots grants free slots to the requests at the head of the queue. The
// caller holds the lock.
func (s *Server) grantFreeSlots(service structs.ServiceID) {
	queue := s.queue(service)
	now := structs.Now()
	var blocked blockedQueries
	for {
		first := s.nextWaiting(now, queue, blocked)
		if first == nil {
			return
		}
		w := s.waiters[first]
		choice, ok := s.targets.Choose(now, w.query)
		if !ok || !choice.HasFreeSlot {
			blocked.add(w.query)
			continue
		}
		queue.Grant(now, first)
		delete(s.waiters, first)
		s.beginRequest(now, choice.Target.ID)
		w.granted <- choice
	}
}

// grantAllFreeSlots grants the free slots of all services. The caller holds the
// lock.
func (s *Server) grantAllFreeSlots() {
	for service := range s.queues {
		s.grantFreeSlots(service)
	}
}
