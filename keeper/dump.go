package keeper

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

var (
	gainsTotal      = metrics.NewCounter("endive_lease_gains_total")
	lossesTotal     = metrics.NewCounter("endive_lease_losses_total")
	violationsTotal = metrics.NewCounter("endive_lease_invariant_violations_total")
	recordsTotal    = metrics.NewCounter("endive_journal_records_total")
	refusedTotal    = metrics.NewCounter("endive_journal_full_total")
	drainsTotal     = metrics.NewCounter("endive_journal_drains_total")
	drainErrors     = metrics.NewCounter("endive_journal_drain_errors_total")
	collectErrors   = metrics.NewCounter("endive_journal_collect_errors_total")
)

// State is the keeper's part of the state dump.
type State struct {
	Self         lease.Member          `json:"self"`
	Leaving      bool                  `json:"leaving"`
	Groups       []GroupState          `json:"groups"`
	Peers        []lease.Member        `json:"peers"`
	LeavingPeers []structs.Incarnation `json:"leaving_peers"`
	Unstored     int64                 `json:"unstored_bytes"`
	Witnessed    int64                 `json:"witnessed_bytes"`
	MaxTail      int64                 `json:"max_tail_bytes"`
	Drain        string                `json:"drain_interval"`
}

// GroupState is what is known of one group.
type GroupState struct {
	Group     lease.Group         `json:"group"`
	Epoch     structs.Epoch       `json:"epoch"`
	Owner     structs.Incarnation `json:"owner"`
	Held      bool                `json:"held"`
	Remaining string              `json:"remaining,omitempty"`
	Marked    bool                `json:"marked"`
	Released  bool                `json:"released"`
	Witnesses int                 `json:"witnesses"`
	Pending   int                 `json:"pending_witnesses"`
	Unstored  uint64              `json:"unstored_records"`
	Waiting   int                 `json:"waiting_appends"`
}

// DumpState implements kernel.Dumper.
func (k *Keeper) DumpState() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := State{
		Self:      k.opts.Self,
		Leaving:   k.leaving[k.opts.Self.Incarnation],
		Unstored:  k.unstored(),
		Witnessed: k.witness.Bytes(),
		MaxTail:   k.opts.MaxTail,
		Drain:     DrainInterval(k.opts.StoreWrites, k.opts.Daemons).String(),
	}
	for _, m := range k.members {
		s.Peers = append(s.Peers, m)
	}
	for inc := range k.leaving {
		s.LeavingPeers = append(s.LeavingPeers, inc)
	}
	for _, g := range k.groups {
		s.Groups = append(s.Groups, k.groupDump(g))
	}
	return s
}

func (k *Keeper) groupDump(g *groupState) GroupState {
	row, _ := k.node.Row(g.id)
	out := GroupState{
		Group: g.id, Epoch: row.Epoch, Owner: row.Owner.Incarnation, Marked: row.Revocation != nil,
		Released: row.IsReleased, Witnesses: len(row.Witnesses), Pending: len(row.PendingWitnesses), Waiting: len(g.waiting),
	}
	if _, out.Held = k.heldGroup(g.id); out.Held {
		_, until := k.node.Lease(g.id)
		out.Remaining = until.Sub(structs.Now()).Round(time.Millisecond).String()
	}
	if g.tail != nil {
		out.Unstored = g.tail.LastIndex() - g.tail.StoredIndex()
	}
	return out
}
