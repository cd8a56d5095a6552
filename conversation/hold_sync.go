package conversation

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/outage"
)

// Run follows the store's outages and writes grants back until ctx ends.
func (h *Holds) Run(ctx context.Context) error {
	ticker := time.NewTicker(writeBackPeriod)
	defer ticker.Stop()
	var lastSync, lastPromise time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			h.followOutage(now)
			if h.needsRecords(now) {
				h.readRegions(ctx)
			}
			if now.Sub(lastPromise) >= outage.PromisePeriod {
				lastPromise = now
				h.renewPromise(ctx)
			}
			if now.Sub(lastSync) >= syncPeriod && !h.isIntact() {
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
	if !isOut && h.isOut {
		h.outageEnd = now
	}
	h.isOut = isOut
}

// needsRecords reports whether the records of the regions have to be read and may be readable.
func (h *Holds) needsRecords(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.isOut && (!h.region.isRead || h.opts.MayGrant() && now.Sub(h.region.clockAt) > joinedPeriod)
}

// sync learns what the other holders know. If half of them have lost nothing, no grant can be
// unknown. Otherwise the region's record shows that no grants have been lost, or it is recorded
// that they may have been.
func (h *Holds) sync(ctx context.Context, now time.Time) {
	others, isSelf, areAble := h.opts.Holders.Holders()
	if !isSelf || !areAble || !h.opts.MayGrant() || !h.opts.Holders.IsMembershipKnown() {
		return
	}
	intact, holders, isTold := 0, len(others)+1, false
	callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	for r := range h.callAll(callCtx, others, HoldRequest{Pull: true}) {
		if r.reply.IsIntact {
			intact++
		}
		isTold = isTold || r.reply.HasScanned
		h.learn(r.reply)
	}
	age := now.Sub(h.started)
	h.mu.Lock()
	isRead, showsNoLoss := h.region.isRead, h.region.showsNoLoss
	h.mu.Unlock()
	isKnown := false
	switch {
	case intact > 0 && excludesGrants(intact, holders):
		isKnown = age >= minIntactAge
	case !isRead || h.opts.UnreachableFor() > 0:
	case showsNoLoss:
		isKnown = h.knowsClosed(ctx, age, isTold)
	case age >= minLossAge:
		isKnown = h.recordLoss(ctx)
	}
	if isKnown {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.register.SetIntact()
		h.opts.Log.Info("grants and closed programs are known", "holders", holders, "intact", intact, "shows_no_loss", showsNoLoss)
	}
}

// knowsClosed reports whether this holder knows the closed programs, after no other holder knew
// them: one holder reads them from the store, and the others learn them from that one. isTold is
// whether a holder that has read them has told this one.
func (h *Holds) knowsClosed(ctx context.Context, age time.Duration, isTold bool) bool {
	h.mu.Lock()
	h.hasScanned = h.hasScanned || isTold
	isKnown := h.hasScanned || h.region.record.GrantsNothing(time.Now().UnixMilli())
	h.mu.Unlock()
	if isKnown {
		return true
	}
	_, isFirst := h.opts.Holders.Home(regionTable)
	if age < minScanAge || !isFirst && age < minScanAge+maxScanDelay {
		return false
	}
	return h.scan(ctx)
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
	h.learnRecord(reply)
}

// scan reads from the store which programs are closed, when no other holder knows. It goes
// on where the attempt before has ended: in a region far from the store one attempt does
// not suffice, and repeated reads of all partitions use up the store's rate.
func (h *Holds) scan(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	for h.scanned < len(h.opts.Partitions) {
		partition := h.opts.Partitions[h.scanned]
		programs, err := ledger.ClosedPrograms(ctx, h.opts.Store, partition)
		if err != nil {
			h.opts.Log.Warn("balances not read", "partition", partition, "cause", err.Error())
			return false
		}
		h.learn(HoldReply{Closed: programs})
		h.scanned++
	}
	h.mu.Lock()
	h.hasScanned = true
	h.mu.Unlock()
	h.opts.Log.Info("closed programs read from the store", "partitions", h.scanned)
	return true
}
