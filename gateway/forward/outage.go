package forward

import (
	"context"
	"time"
)

// outage is a slot that no scheduler serves. Of all the requests that wait for
// its owner one at a time probes, so that the number of retries grows with the
// slots in an outage and not with the requests.
type outage struct {
	// turn is held by the request that probes; tries belongs to its holder.
	turn   chan struct{}
	tries  int
	opened chan struct{} // closed when the slot is served again
	refs   int           // requests that wait or probe; Forwarder.mu guards it
}

// join returns the outage of a place, making one when there is none.
func (f *Forwarder) join(p place) *outage {
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.outages[p]
	if o == nil {
		o = &outage{turn: make(chan struct{}, 1), opened: make(chan struct{})}
		f.outages[p] = o
	}
	o.refs++
	return o
}

// leave drops a request's reference to an outage.
func (f *Forwarder) leave(p place, o *outage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	o.refs--
	if o.refs == 0 && f.outages[p] == o {
		delete(f.outages, p)
	}
}

// open ends the outage of a place and wakes those that wait.
func (f *Forwarder) open(p place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o := f.outages[p]; o != nil {
		delete(f.outages, p)
		close(o.opened)
	}
}

// wait returns true when the request is to be sent again: its place is served
// again, or it is its turn to probe and the retry budget allows it. It returns
// false when the request has waited for too long or ctx has ended.
func (a *Attempts) wait(ctx context.Context) bool {
	left := maxWait - a.forwarder.opts.Clock().Sub(a.failed)
	if left <= 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	if a.outage == nil {
		a.outage = a.forwarder.join(a.place)
	}
	if a.probing {
		a.outage.tries++
		return a.probe(ctx)
	}
	select {
	case a.outage.turn <- struct{}{}:
		a.probing = true
		return a.probe(ctx)
	case <-a.outage.opened:
		a.End()
		return true
	case <-ctx.Done():
		return false
	}
}

// probe waits until the next probe of the place is due.
func (a *Attempts) probe(ctx context.Context) bool {
	for {
		pause := backoff(a.outage.tries, a.forwarder.opts.Random)
		select {
		case <-a.outage.opened:
			a.End()
			return true
		case <-time.After(pause):
		case <-ctx.Done():
			return false
		}
		if a.forwarder.budget.take(a.forwarder.opts.Clock()) {
			return true
		}
		a.outage.tries++
	}
}

// openAfter is how long a probe may be unanswered before its place counts as
// served: a scheduler that does not own a key says so at once, and one that
// does may queue a call for long.
const openAfter = 300 * time.Millisecond

// RecordSend records that the request is about to be sent to the address.
func (a *Attempts) RecordSend() {
	if a.probing {
		a.timer = time.AfterFunc(openAfter, func() { a.forwarder.open(a.place) })
	}
}

// answered ends what Sending began.
func (a *Attempts) answered() {
	if a.timer != nil {
		a.timer.Stop()
		a.timer = nil
	}
}

// End gives up what the request holds. It is called once the request has its
// answer, and may be called more than once.
func (a *Attempts) End() {
	a.answered()
	if a.outage == nil {
		return
	}
	if a.probing {
		a.probing = false
		<-a.outage.turn
	}
	a.forwarder.leave(a.place, a.outage)
	a.outage = nil
}

// RecordOwner records that the address serves the key.
func (a *Attempts) RecordOwner(addr string) {
	a.forwarder.learn(a.place, addr)
	a.forwarder.open(a.place)
	a.End()
}
