package conversation

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/outage"
)

// Settle settles a turn that runs on a grant, and reports whether there is one here. If the
// grant is being written back unsettled, it is written once more.
func (h *Holds) Settle(req SettleRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.register.Settle(req.Program.Key(), req.Turn, req.Tokens)
}

// Prepare makes sure that a reservation in the store can't miss grants of an outage: the
// grants that are known here are written back, and the returned tokens have to be charged
// for those that may have been lost.
func (h *Holds) Prepare(ctx context.Context, req ReserveRequest) (charge int64, err error) {
	for end := time.Now().Add(syncWait); req.IsUnstored && h.isLearning() && time.Now().Before(end); {
		time.Sleep(writeBackPeriod / 5)
	}
	h.mu.Lock()
	state := h.register.State(req.Program.Key())
	mustCharge := req.IsUnstored && time.Now().Before(h.chargeUntil)
	h.mu.Unlock()
	if len(state.Grants) > 0 {
		if err := h.writeBack(ctx, state); err != nil {
			return 0, errors.Wrap(err, "write grants back")
		}
	}
	if !mustCharge {
		return 0, nil
	}
	if _, _, areAble := h.opts.Holders.Holders(); areAble {
		charge = outage.Limit(req.Reservation.Tokens, req.Budget)
		h.opts.Log.Info("program is charged for grants that may have been lost", "program", req.Program.Key(), "tokens", charge, "budget", req.Budget)
	}
	return charge, nil
}

// Announce tells the holders, once, when a program is closed: those of its region, and without
// waiting for them those of the others, to which the program may move. If those of its region
// know grants of the program and this VM reaches the store, as one that notices the end of an
// outage before the others, the grants are written back. hadGrants reports that, and err that they are not in the balance yet.
func (h *Holds) Announce(ctx context.Context, p ledger.Program, budget int64) (hadGrants bool, err error) {
	program := p.Key()
	if budget <= 0 || !outage.IsClosedAt(h.opts.Ledger.Committed(program), budget) {
		return false, nil
	}
	h.mu.Lock()
	wasClosed := h.register.IsClosed(program)
	h.register.Close(program)
	h.mu.Unlock()
	others, _, areAble := h.opts.Holders.Holders()
	if wasClosed || !areAble {
		return false, nil
	}
	h.callAll(ctx, h.opts.Holders.FarHolders(), HoldRequest{Close: program})
	needed := (len(others) + 1) / 2 // a majority with this VM
	for r := range h.callAll(ctx, others, HoldRequest{Close: program}) {
		h.learn(r.reply)
		if needed--; needed == 0 {
			break
		}
	}
	if needed > 0 {
		h.opts.Log.Warn("no majority of the holders knows that a program is closed", "program", program, "missing", needed)
	}
	h.mu.Lock()
	state := h.register.State(program)
	h.mu.Unlock()
	if len(state.Grants) == 0 || h.opts.UnreachableFor() > 0 {
		return false, nil
	}
	if err := h.writeBack(ctx, state); err != nil {
		h.opts.Log.Warn("unstored grants not written back yet", "program", program, "cause", err.Error())
		return true, errors.Wrap(err, "write grants back")
	}
	return true, nil
}

// writeBack stores grants and tells the other holders.
func (h *Holds) writeBack(ctx context.Context, state outage.State) error {
	if err := wait(ctx, h.opts.Ledger.WriteBack(state.Program, state.Grants)); err != nil {
		return err
	}
	h.mu.Lock()
	h.register.Drop(state)
	h.mu.Unlock()
	h.opts.Log.Info("unstored grants written back", "program", state.Program, "grants", len(state.Grants), "tokens", state.Unstored(),
		"oldest_ms", time.Now().UnixMilli()-state.Grants[0].CreatedAt)
	others, _, _ := h.opts.Holders.Holders()
	h.callAll(context.Background(), others, HoldRequest{Drop: []outage.State{state}})
	return nil
}

// writeBackOldest writes back the oldest state of those whose home is this VM or, long
// after an outage, of all.
func (h *Holds) writeBackOldest(ctx context.Context, now time.Time) {
	h.mu.Lock()
	isOut, states := h.isOut, h.register.States()
	outageEnd := h.outageEnd
	takesForeign := now.Sub(outageEnd) > foreignDelay
	h.mu.Unlock()
	if isOut {
		return
	}
	for _, state := range states {
		writableSince := max(state.Grants[0].CreatedAt, outageEnd.UnixMilli())
		if now.UnixMilli()-writableSince > ledger.MaxGrantAge.Milliseconds() {
			h.opts.Log.Error("grants not written back in time", "program", state.Program, "tokens", state.Unstored())
			h.serve(HoldRequest{Drop: []outage.State{state}})
			continue
		}
		if _, isHome := h.opts.Holders.Home(h.opts.Partition(state.Program)); !isHome && !takesForeign {
			continue
		}
		if err := h.writeBack(ctx, state); err != nil {
			h.opts.Log.Warn("unstored grants not written back yet", "program", state.Program, "cause", err.Error())
		}
		return
	}
}
