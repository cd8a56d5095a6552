package lease

import (
	"fmt"

	"github.com/endivecourse/endivecourse/structs"
)

// observeRow handles a row as it was in the table at some instant after sent. It counts
// as a renewal if isRenewal is set and this process owns the row.
func (n *Node) observeRow(now, sent structs.Instant, g *group, row Row, version uint64, isRenewal bool) error {
	if g.isKnown && version < g.version {
		return nil
	}
	if row.Revocation != nil && row.Revocation.Epoch != row.Epoch {
		return violation("revocation is for the row's epoch", fmt.Sprintf("group %d: revocation of epoch %d, row of epoch %d", g.id, row.Revocation.Epoch, row.Epoch))
	}
	if g.write != nil && version > g.write.version {
		g.write = nil
	}
	if !g.isKnown || version > g.version {
		if row.IsReleased && row.Owner.Incarnation == n.self.Incarnation {
			n.notifyNextOwner(g, row)
		}
		if err := n.adoptRow(now, g, row, version); err != nil {
			return err
		}
	}
	if version == 0 {
		return nil
	}
	if err := n.updateOwnership(now, sent, g, isRenewal); err != nil {
		return err
	}
	if g.succession.lastAcks == nil && row.Revocation != nil && row.Revocation.By == n.self.Incarnation {
		n.continueSuccession(now, g)
	}
	return nil
}

func (n *Node) adoptRow(now structs.Instant, g *group, row Row, version uint64) error {
	if row.Epoch < g.row.Epoch {
		return violation("epochs never decrease", fmt.Sprintf("group %d: epoch %d after %d", g.id, row.Epoch, g.row.Epoch))
	}
	if row.Epoch > g.row.Epoch {
		g.epochSeenAt = now
		n.countFailedRevocation(g, row)
	}
	if row.Epoch == g.lease.epoch && g.lease.epoch != 0 && row.Owner.Incarnation != n.self.Incarnation {
		return violation("an epoch has one owner", fmt.Sprintf("group %d, epoch %d", g.id, row.Epoch))
	}
	if !n.isRevocationOfKnownRow(g, row) {
		g.lastRowRenewal = now
	}
	g.isKnown, g.row, g.version = true, row, version
	g.succession = succession{}
	for _, m := range append(row.AllWitnesses(), row.Owner) {
		if _, seen := n.firstSeen[m.Incarnation]; seen || m.Incarnation == "" {
			continue
		}
		n.firstSeen[m.Incarnation] = seenMember{vm: m.VM, at: now}
		if n.removedVMs[m.VM] || m.VM == n.self.VM { // VM removed, or reused by this process
			n.recordExit(now, m.Incarnation)
		}
	}
	return nil
}

// isRevocationOfKnownRow reports whether the row is the one that this process knows,
// with only a revocation added. Then the store counted no renewal after this process
// saw the row, unless the row said that reads renew.
func (n *Node) isRevocationOfKnownRow(g *group, row Row) bool {
	if !g.isKnown || row.Revocation == nil || row.Revocation.RowVersion != g.version {
		return false
	}
	return !g.row.ReadsRenew || n.mutations.ignoreReadRenewals
}

const maxFailedRevocations = 8

// countFailedRevocation counts the revocations by this process that the same owner has
// survived, which makes this process wait longer before the next one. It resets the
// count when another owner follows.
func (n *Node) countFailedRevocation(g *group, row Row) {
	if g.row.Owner.Incarnation != row.Owner.Incarnation {
		g.failedRevocations = 0
		return
	}
	if g.revokedEpoch != 0 && g.revokedEpoch == g.row.Epoch {
		g.failedRevocations = min(g.failedRevocations+1, maxFailedRevocations)
	}
}
