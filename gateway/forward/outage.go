package forward

import (
	"context"
	"time"
)

// outage is a slot that no scheduler serves. Of all the requests that wait for
// its owner one at a time probes, so that the number of retries grows with the
// slots in an outage and not with the requests.
type outage struct {
	// probeLock is held by the request that probes; tries belongs to its holder.
	probeLock chan struct{}
	probes    int
	ended     chan struct{} // closed when the slot is served again
	refs      int           // requests that wait or probe; Forwarder.mu guards it
}

// joinOutage returns the outage of a place, making one when there is none.
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

// leaveOutage drops a request's reference to an outage.
func (f *Forwarder) leaveOutage(s domainSlot, o *outage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o.refs--
	if o.refs == 0 && f.outages[s] == o {
		delete(f.outages, s)
	}
}

// endOutage ends the outage of a place and wakes those that wait.
func (f *Forwarder) endOutage(s domainSlot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o := f.outages[s]; o != nil {
		delete(f.outages, s)
		close(o.ended)
	}
}

// waitToRetry returns true when the request is to be sent again: its place is served
// again, or it is its turn to probe and the retry budget allows it. It returns
// false when the request has waited for too long or ctx has ended.
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

// waitToProbe waits until the next probe of the place is due.
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

// assumeServedAfter is how long a probe may be unanswered before its place counts as
// served: a scheduler that does not own a key says so at once, and one that
// does may queue a call for long.
const assumeServedAfter = 300 * time.Millisecond

// RecordSend records that the request is about to be sent to the address.
func (a *Attempts) RecordSend() {
	if a.isProbing {
		a.probeTimer = time.AfterFunc(assumeServedAfter, func() { a.forwarder.endOutage(a.domainSlot) })
	}
}

// stopProbeTimer ends what Sending began.
func (a *Attempts) stopProbeTimer() {
	if a.probeTimer != nil {
		a.probeTimer.Stop()
		a.probeTimer = nil
	}
}

// End gives up what the request holds. It is called once the request has its
// answer, and may be called more than once.
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

// RecordOwner records that the address serves the key.
func (a *Attempts) RecordOwner(addr string) {
	a.forwarder.setOwner(a.domainSlot, addr)
	a.forwarder.endOutage(a.domainSlot)
	a.End()
}
