package forward

import (
	"context"
	"time"
)

// outage is a slot that no scheduler serves. Only one of the requests that wait for its
// owner probes at a time, so that the number of retries grows with the number of slots
// in an outage and not with the number of requests.
type outage struct {
	// probeLock is a lock that the probing request holds. It also guards probes.
	probeLock chan struct{}
	probes    int
	ended     chan struct{} // closed when the slot is served again
	refs      int           // requests that wait or probe; guarded by Forwarder.mu
}

// joinOutage adds a request to the outage of a slot and creates the outage if needed.
func (f *Forwarder) joinOutage(s domainSlot) *outage {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.outages[s]
	if o == nil {
		o = &outage{probeLock: make(chan struct{}, 1), ended: make(chan struct{})}
		f.outages[s] = o
	}
	o.refs++
	return o
}

// leaveOutage removes a request from an outage, and the outage after its last request.
func (f *Forwarder) leaveOutage(s domainSlot, o *outage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o.refs--
	if o.refs == 0 && f.outages[s] == o {
		delete(f.outages, s)
	}
}

// endOutage ends the outage of a slot, if any, and wakes the waiting requests.
func (f *Forwarder) endOutage(s domainSlot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o := f.outages[s]; o != nil {
		delete(f.outages, s)
		close(o.ended)
	}
}

// waitToRetry returns true when the request is to be sent again: the slot is served
// again, or the request may probe. It returns false when ctx is done or maxRetryPeriod is
// over.
func (a *Attempts) waitToRetry(ctx context.Context) bool {
	remaining := maxRetryPeriod - a.forwarder.opts.Clock().Sub(a.firstFailureAt)
	if remaining <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	if a.outage == nil {
		a.outage = a.forwarder.joinOutage(a.domainSlot)
	}
	if a.isProbing {
		a.outage.probes++
		return a.waitToProbe(ctx)
	}
	select {
	case a.outage.probeLock <- struct{}{}:
		a.isProbing = true
		return a.waitToProbe(ctx)
	case <-a.outage.ended:
		a.End()
		return true
	case <-ctx.Done():
		return false
	}
}

// waitToProbe waits until the next probe of the slot is due and the retry budget allows
// it, or until the outage has ended. It returns false when ctx is done first.
func (a *Attempts) waitToProbe(ctx context.Context) bool {
	for {
		delay := backoff(a.outage.probes, a.forwarder.opts.Random)
		select {
		case <-a.outage.ended:
			a.End()
			return true
		case <-time.After(delay):
		case <-ctx.Done():
			return false
		}
		if a.forwarder.retryBudget.take(a.forwarder.opts.Clock()) {
			return true
		}
		a.outage.probes++
	}
}

// assumeServedAfter is how long a probe may go unanswered before its slot counts as
// served: a scheduler that doesn't own a key refuses at once, while the owner may queue
// a call for a long time.
const assumeServedAfter = 300 * time.Millisecond

// RecordSend records that an attempt is about to be sent. For a probe it starts the
// timer of assumeServedAfter.
func (a *Attempts) RecordSend() {
	if a.isProbing {
		a.probeTimer = time.AfterFunc(assumeServedAfter, func() { a.forwarder.endOutage(a.domainSlot) })
	}
}

// stopProbeTimer stops the timer that RecordSend started.
func (a *Attempts) stopProbeTimer() {
	if a.probeTimer != nil {
		a.probeTimer.Stop()
		a.probeTimer = nil
	}
}

// End releases the request's part in an outage. It must be called once the request has
// its response, and may be called more than once.
func (a *Attempts) End() {
	a.stopProbeTimer()
	if a.outage == nil {
		return
	}
	if a.isProbing {
		a.isProbing = false
		<-a.outage.probeLock
	}
	a.forwarder.leaveOutage(a.domainSlot, a.outage)
	a.outage = nil
}

// RecordOwner records that the scheduler at addr serves the key, and ends the outage of
// the key's slot.
func (a *Attempts) RecordOwner(addr string) {
	a.forwarder.setOwner(a.domainSlot, addr)
	a.forwarder.endOutage(a.domainSlot)
	a.End()
}
