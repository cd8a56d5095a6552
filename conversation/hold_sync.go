package conversation

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/ledger"
)

// isComplete reports whether this holder is intact and need not charge. The caller holds the
// lock.
func (h *Holds) isComplete(now time.Time) bool {
	return h.register.IsIntact() && now.After(h.chargeUntil)
}

// isLearning reports whether what this VM may have missed is expected soon.
func (h *Holds) isLearning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.isSynced
}

// Run follows the store's outages and writes grants back until ctx ends.
func (h *Holds) Run(ctx context.Context) error {
	ticker := time.NewTicker(writeBackPeriod)
	defer ticker.Stop()
	var lastSync time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			h.followOutage(now)
			if now.Sub(lastSync) >= syncPeriod && h.needsSync() {
				lastSync = now
				h.sync(ctx, now)
			}
			h.writeBackOldest(ctx, now)
		}
	}
}

func (h *Holds) followOutage(now time.Time) {
	isOut := h.opts.UnreachableFor() > 0
	h.mu.Lock()
	defer h.mu.Unlock()
	if isOut {
		h.isSynced = false
	} else if h.isOut {
		h.outageEnd = now
	}
	h.isOut = isOut
}

// needsSync reports whether this VM has to learn from others: after an outage and, if it is a
// holder, after its start, also while the store is unreachable.
func (h *Holds) needsSync() bool {
	_, isHolder, _ := h.opts.Holders.Holders()
	h.mu.Lock()
	defer h.mu.Unlock()
	return isHolder && !h.register.IsIntact() || !h.isSynced && !h.isOut
}

// sync learns what the other holders know. If half of them have lost nothing, no grant can
// be unknown. Otherwise reservations are charged for ledger.ChargeTime.
func (h *Holds) sync(ctx context.Context, now time.Time) {
	if !h.opts.Holders.IsMembershipKnown() {
		return
	}
	others, isSelf, areAble := h.opts.Holders.Holders()
	if !areAble {
		h.skipSync()
		return
	}
	h.mu.Lock()
	intact, complete, holders := 0, 0, len(others)
	count := func(isIntact, isComplete bool) {
		if isIntact {
			intact++
		}
		if isComplete {
			complete++
		}
	}
	if isSelf {
		holders++
		count(h.register.IsIntact(), h.isComplete(now))
	}
	h.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	for r := range h.callAll(callCtx, others, HoldRequest{Pull: true}) {
		count(r.reply.IsIntact, r.reply.IsComplete)
		h.learn(r.reply)
	}
	hasHalf := func(count int) bool { return count > 0 && 2*count >= holders }
	if isSelf && !hasHalf(intact) && h.opts.UnreachableFor() == 0 && now.Sub(h.started) > scanAge && !h.isIntact() {
		h.scan(ctx)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if hasHalf(intact) && now.Sub(h.started) >= minIntactAge {
		h.register.SetIntact()
	}
	switch {
	case hasHalf(complete):
		h.isSynced = !h.isOut
		h.chargeUntil = time.Time{}
	case !h.isOut && !h.isSynced:
		h.isSynced = true
		h.chargeUntil = now.Add(ledger.ChargeTime)
		h.opts.Log.Warn("grants of an outage may have been lost, programs are charged", "holders", holders, "intact", intact, "complete", complete)
	}
}

// skipSync ends the charge where no grants can have been made: a VM of the earlier build in the
// region rules them out.
func (h *Holds) skipSync() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isSynced = !h.isOut
	h.chargeUntil = time.Time{}
}

func (h *Holds) isIntact() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.register.IsIntact()
}

func (h *Holds) learn(reply HoldReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, state := range reply.States {
		h.register.Learn(state)
	}
	for _, program := range reply.Closed {
		h.register.Close(program)
	}
}

// scan reads from the store which programs are closed, when no other holder knows. It goes
// on where the attempt before has ended: in a region far from the store one attempt does
// not suffice, and repeated reads of all partitions use up the store's rate.
func (h *Holds) scan(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	for h.scanned < len(h.opts.Partitions) {
		partition := h.opts.Partitions[h.scanned]
		programs, err := ledger.ClosedPrograms(ctx, h.opts.Store, partition)
		if err != nil {
			h.opts.Log.Warn("balances not read", "partition", partition, "cause", err.Error())
			return
		}
		h.learn(HoldReply{Closed: programs})
		h.scanned++
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.register.SetIntact()
	h.opts.Log.Info("closed programs read from the store", "partitions", h.scanned)
}
