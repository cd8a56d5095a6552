package lease

import (
	"slices"

	"github.com/endivecourse/endivecourse/structs"
)

// ownership is this process's ownership of one group.
type ownership struct {
	epoch           structs.Epoch   // 0 if this process is not the owner
	hasRenewed      bool            // at least one renewal has counted
	expiresAt       structs.Instant // end of the lease, valid if hasRenewed
	isAnnounced     bool            // Gained was emitted
	isReleased      bool            // the owner has given up the lease under this epoch
	nextOwner       structs.Incarnation
	renewals        []renewal
	counted         int  // renewals counted by the witnesses since Row.ReadsRenew changed
	isTailMoved     bool // the pending witness set holds the tail
	isMoveRequested bool // MoveTail was emitted
	isHandingOver   bool // Handover was emitted
}

// renewal is one renewal that is waiting for acknowledgements. Its sets are those
// that the row may have held when the renewal was sent.
type renewal struct {
	number uint64
	sent   structs.Instant
	sets   [][]Member
	acks   map[structs.Incarnation]bool
	// counted is true once a majority of each set has acknowledged.
	counted bool
}

func (g *group) isOwnedBy(self Member) bool {
	return g.version > 0 && g.row.Owner.Incarnation == self.Incarnation && !g.row.IsReleased
}

func (g *group) isHeld(now structs.Instant) bool {
	return g.lease.hasRenewed && !g.lease.isReleased && now.Before(g.lease.expiresAt)
}

// updateOwnership updates the ownership of a group to the row just observed.
func (n *Node) updateOwnership(now, sent structs.Instant, g *group, isRenewal bool) error {
	isMine := g.isOwnedBy(n.self)
	isContinued := false
	if g.lease.epoch != 0 && (!isMine || g.row.Epoch != g.lease.epoch) {
		isContinued = isMine && !g.lease.isReleased && g.row.FirstEpoch <= g.lease.epoch
		n.endOwnership(g)
	}
	if !isMine {
		return nil
	}
	if g.lease.epoch == 0 {
		// A process that is leaving releases a group that it gains at once, but not one
		// that it has owned all along: work may run there until ReleaseGroup.
		g.lease = ownership{epoch: g.row.Epoch, isReleased: n.isReleasing && !isContinued}
	}
	if isRenewal && (g.row.Revocation == nil || n.mutations.renewRevokedRow) {
		if err := n.countRenewal(now, sent, g); err != nil {
			return err
		}
	}
	if g.row.Revocation != nil && g.isHeld(now) {
		n.takeNextEpoch(now, g)
	}
	return nil
}

func (n *Node) endOwnership(g *group) {
	if g.lease.isAnnounced {
		n.emit(Lost{Group: g.id, Epoch: g.lease.epoch})
	}
	g.lease = ownership{}
}

// countRenewal extends the lease by a renewal that was sent at the given instant.
func (n *Node) countRenewal(now, sent structs.Instant, g *group) error {
	if now.Before(sent) {
		return violation("a renewal is sent before it is counted", "the clock went backwards")
	}
	if n.mutations.renewFromReceipt {
		sent = now
	}
	if until := sent.Add(n.cfg.Duration); !g.lease.hasRenewed || g.lease.expiresAt.Before(until) {
		g.lease.hasRenewed, g.lease.expiresAt = true, until
	}
	if !g.lease.isAnnounced && g.isHeld(now) {
		g.lease.isAnnounced = true
		n.emit(Gained{Group: g.id, Epoch: g.lease.epoch})
	}
	return nil
}

// takeNextEpoch writes the next epoch with this process as its owner. The current
// epoch is under revocation, but its lease is still valid, so nobody else holds the
// group. The witness sets don't change, because they hold the tail.
func (n *Node) takeNextEpoch(now structs.Instant, g *group) {
	if g.write != nil {
		return
	}
	row := g.row
	row.Epoch++
	row.Revocation = nil
	n.write(now, g, row)
}

// maintainOwned starts a renewal of an owned group and any write that is due.
func (n *Node) maintainOwned(now structs.Instant, g *group) error {
	if g.lease.isReleased {
		n.writeRelease(now, g)
		return nil
	}
	if g.row.Revocation != nil && !g.isHeld(now) {
		n.requestPromises(now, g) // this process acts like any other successor
		return nil
	}
	if err := n.startRenewal(now, g); err != nil {
		return err
	}
	isLate := !g.lease.hasRenewed || g.lease.expiresAt.Before(now.Add(n.cfg.Duration-3*n.cfg.RenewInterval/2))
	if isLate {
		n.emit(ReadRow{Group: g.id})
	}
	switch {
	case g.write != nil:
	case g.row.Revocation != nil:
		n.takeNextEpoch(now, g)
	case isLate && !g.row.ReadsRenew:
		n.setReadsRenew(now, g, true)
	case g.row.ReadsRenew && g.lease.counted >= stableRenewals:
		n.setReadsRenew(now, g, false)
	default:
		n.changeWitnesses(now, g)
	}
	return nil
}

// stableRenewals is how many renewals the witnesses must have counted before reads of
// the row no longer count as renewals.
const stableRenewals = 10

// setReadsRenew writes whether reads of the row count as renewals. They count only
// while the witnesses fail, because a successor must then wait as if the row had been
// read just before the revocation was written.
func (n *Node) setReadsRenew(now structs.Instant, g *group, readsRenew bool) {
	g.lease.counted = 0
	row := g.row
	row.ReadsRenew = readsRenew
	n.write(now, g, row)
}

func (n *Node) startRenewal(now structs.Instant, g *group) error {
	r := renewal{number: n.round, sent: now, sets: n.possibleSets(g), acks: make(map[structs.Incarnation]bool)}
	g.lease.renewals = slices.DeleteFunc(g.lease.renewals, func(old renewal) bool { return !now.Before(old.sent.Add(n.cfg.Duration)) })
	g.lease.renewals = append(g.lease.renewals, r)
	for _, m := range union(r.sets) {
		if m.Incarnation == n.self.Incarnation {
			if n.witness.acknowledge(now, g.id, g.lease.epoch) {
				r.acks[m.Incarnation] = true
			}
			continue
		}
		n.send(RenewRequest, m, g.id, g.lease.epoch, r.number)
	}
	if !majorities(r.sets, func(m Member) bool { return r.acks[m.Incarnation] }) {
		return nil
	}
	g.lease.renewals[len(g.lease.renewals)-1].counted = true
	g.lease.counted++
	return n.countRenewal(now, now, g)
}

// possibleSets returns every witness set that the row may hold now.
func (n *Node) possibleSets(g *group) [][]Member {
	if n.mutations.ignorePendingSet {
		return [][]Member{g.row.Witnesses}
	}
	sets := g.row.WitnessSets()
	if g.write != nil {
		sets = append(sets, g.write.row.WitnessSets()...)
	}
	return sets
}

func (n *Node) recordAck(now structs.Instant, msg Message) error {
	g := n.groups[msg.Group]
	if g.lease.epoch == 0 || g.lease.epoch != msg.Epoch || g.lease.isReleased {
		return nil
	}
	i := slices.IndexFunc(g.lease.renewals, func(r renewal) bool { return r.number == msg.Round })
	if i < 0 {
		return nil
	}
	r := &g.lease.renewals[i]
	r.acks[msg.From.Incarnation] = true
	if !majorities(r.sets, func(m Member) bool { return r.acks[m.Incarnation] }) {
		return nil
	}
	if !r.counted {
		r.counted = true
		g.lease.counted++
	}
	return n.countRenewal(now, r.sent, g)
}

// changeWitnesses replaces witnesses that are no longer live schedulers.
func (n *Node) changeWitnesses(now structs.Instant, g *group) {
	row := g.row
	if row.PendingWitnesses != nil {
		switch {
		case g.lease.isTailMoved:
			row.Witnesses, row.PendingWitnesses = row.PendingWitnesses, nil
			n.write(now, g, row)
		case !g.lease.isMoveRequested:
			g.lease.isMoveRequested = true
			n.emit(MoveTail{Group: g.id, Epoch: g.lease.epoch, PendingWitnesses: row.PendingWitnesses})
		}
		return
	}
	g.lease.isTailMoved, g.lease.isMoveRequested = false, false
	want := n.chooseWitnesses(g.id, row.Witnesses)
	if want == nil || hasSameMembers(want, row.Witnesses) {
		return
	}
	row.PendingWitnesses = want
	n.write(now, g, row)
}

func hasSameMembers(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !contains(b, m.Incarnation) })
}
