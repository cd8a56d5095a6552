package conversation

import (
	"context"
	"fmt"
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

// KeepSettled keeps the settlement of a turn that this VM has served on a grant, until it is in the
// store: the holders that know of it may be lost before.
func (h *Holds) KeepSettled(req SettleRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	grant := outage.Grant{Turn: req.Turn, Tokens: req.Tokens, CreatedAt: req.CreatedAt, IsSettled: true}
	if !h.register.Learn(outage.State{Program: req.Program.Key(), Grants: []outage.Grant{grant}}) {
		h.opts.Log.Warn("no room to keep the settlement of a turn of an outage", "program", req.Program.Key(), "turn", string(req.Turn))
	}
}

// Prepare writes the grants of a program that are known here back before a reservation, and returns
// what is known of the program's closing.
func (h *Holds) Prepare(ctx context.Context, req ReserveRequest) (ledger.Closing, error) {
	h.mu.Lock()
	state := h.register.State(req.Program.Key())
	h.mu.Unlock()
	if len(state.Grants) > 0 {
		if err := h.writeBack(ctx, state); err != nil {
			return ledger.Closing{}, errors.Wrap(err, "write grants back")
		}
	}
	return ledger.Closing{IsRequired: h.opts.MayGrant()}, nil
}

// Close closes a program, so that its region grants it nothing more without the store. It returns
// the grants that the holders know, or *NotClosedError.
func (h *Holds) Close(ctx context.Context, p ledger.Program) (ledger.Closing, error) {
	for {
		region := h.RegionOf(p.Key())
		closing, err := h.closeIn(ctx, region, p.Key())
		if err != nil || h.RegionOf(p.Key()) == region {
			return closing, err
		}
		// A holder has told of a region that has joined, which grants to the program now.
	}
}

func (h *Holds) closeIn(ctx context.Context, region, program string) (ledger.Closing, error) {
	others, areAble := h.opts.Holders.HoldersOf(region)
	closing, state := ledger.Closing{IsRequired: true, IsClosed: true}, outage.State{Program: program}
	holders, known := len(others), 0
	count := func(reply HoldReply) {
		for _, s := range reply.States {
			state.Merge(s)
		}
		if reply.KnowsGrants {
			known++
		}
		closing.Region.LostAt = max(closing.Region.LostAt, reply.Region.LostAt)
		h.mu.Lock()
		h.learnJoined(reply.Joined, false)
		h.mu.Unlock()
	}
	request := HoldRequest{Close: program}
	if _, isSelf, _ := h.opts.Holders.Holders(); isSelf && region == h.opts.Region {
		holders++
		count(h.serve(request))
	}
	switch {
	case !areAble: // a VM of an earlier build rules grants out
		return closing, nil
	case holders == 0:
		// The region has been lost, or can't be heard: it may have granted any part of the limit, and
		// grants no more than that until its grants are in the store.
		closing.Region.LostAt = time.Now().UnixMilli()
		return closing, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	for r := range h.callAll(callCtx, others, request) {
		count(r.reply)
		if excludesGrants(known, holders) {
			break
		}
	}
	if !excludesGrants(known, holders) {
		return ledger.Closing{}, &NotClosedError{Program: program, Region: region, Known: known, Holders: holders}
	}
	closing.Grants = state.Grants
	h.opts.Log.Info("program closed", "program", program, "region", region, "holders", holders, "known", known,
		"grants", len(state.Grants), "tokens", state.Unstored(), "lost_at", closing.Region.LostAt)
	return closing, nil
}

// excludesGrants reports whether each majority of the holders includes one of these.
func excludesGrants(count, holders int) bool { return 2*count >= holders }

// NotClosedError reports that it is not known how many tokens a region may have granted to a
// program without the store.
type NotClosedError struct {
	Program, Region string
	// Known of Holders VMs know what they have granted.
	Known, Holders int
}

// Error includes the numbers.
func (e *NotClosedError) Error() string {
	return fmt.Sprintf("program %s may have grants of region %s: %d of %d holders know them", e.Program, e.Region, e.Known, e.Holders)
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
