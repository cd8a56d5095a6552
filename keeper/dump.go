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
	Self           lease.Member          `json:"self"`
	IsLeaving      bool                  `json:"leaving"`
	Groups         []GroupState          `json:"groups"`
	Peers          []lease.Member        `json:"peers"`
	LeavingPeers   []structs.Incarnation `json:"leaving_peers"`
	UnstoredBytes  int64                 `json:"unstored_bytes"`
	WitnessedBytes int64                 `json:"witnessed_bytes"`
	MaxTail        int64                 `json:"max_tail_bytes"`
	DrainPeriod    string                `json:"drain_interval"`
}

// GroupState is the state of one group in the state dump.
type GroupState struct {
	Group           lease.Group         `json:"group"`
	Epoch           structs.Epoch       `json:"epoch"`
	Owner           structs.Incarnation `json:"owner"`
	IsHeld          bool                `json:"held"`
	Remaining       string              `json:"remaining,omitempty"`
	IsRevoked       bool                `json:"marked"`
	Released        bool                `json:"released"`
	Witnesses       int                 `json:"witnesses"`
	Pending         int                 `json:"pending_witnesses"`
	UnstoredRecords uint64              `json:"unstored_records"`
	WaitingAppends  int                 `json:"waiting_appends"`
}

// DumpState implements kernel.Dumper.
func (k *Keeper) DumpState() any {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := State{
		Self:           k.opts.Self,
		IsLeaving:      k.leaving[k.opts.Self.Incarnation],
		UnstoredBytes:  k.unstoredBytes(),
		WitnessedBytes: k.witness.Bytes(),
		MaxTail:        k.opts.MaxTail,
		DrainPeriod:    DrainInterval(k.opts.StoreWriteRate, k.opts.Daemons).String(),
	}
	for _, m := range k.members {
		s.Peers = append(s.Peers, m)
	}
	for inc := range k.leaving {
		s.LeavingPeers = append(s.LeavingPeers, inc)
	}
	for _, g := range k.groups {
		s.Groups = append(s.Groups, k.dumpGroup(g))
	}
	return s
}

func (k *Keeper) dumpGroup(g *groupState) GroupState {
	row, _ := k.node.Row(g.id)
	out := GroupState{
		Group: g.id, Epoch: row.Epoch, Owner: row.Owner.Incarnation, IsRevoked: row.Revocation != nil,
		Released: row.IsReleased, Witnesses: len(row.Witnesses), Pending: len(row.PendingWitnesses), WaitingAppends: len(g.waiting),
	}
	if _, out.IsHeld = k.heldEpoch(g.id); out.IsHeld {
		_, expiresAt := k.node.Lease(g.id)
		out.Remaining = expiresAt.Sub(structs.Now()).Round(time.Millisecond).String()
	}
	if g.tail != nil {
		out.UnstoredRecords = g.tail.LastIndex() - g.tail.StoredIndex()
	}
	return out
}
