package lease

import (
	"fmt"

	"github.com/endivecourse/endivecourse/structs"
)

// observe takes a row as it was in the table after the instant sent. It renews
// if this process owns the row, and the row says so or was just written.
func (n *Node) observe(now, sent structs.Instant, g *group, row Row, version uint64, renews bool) error {
	if g.known && version < g.version {
		return nil
	}
	if row.Revocation != nil && row.Revocation.Epoch != row.Epoch {
		return violation("mark names the row's epoch", fmt.Sprintf("group %d: %d, %d", g.id, row.Revocation.Epoch, row.Epoch))
	}
	if g.write != nil && version > g.write.version {
		g.write = nil
	}
	if !g.known || version > g.version {
		if row.IsReleased && row.Owner.Incarnation == n.self.Incarnation {
			n.tellNext(g, row)
		}
		if err := n.adopt(now, g, row, version); err != nil {
			return err
		}
	}
	if version == 0 {
		return nil
	}
	if err := n.reconcile(now, sent, g, renews); err != nil {
		return err
	}
	if g.next.promised == nil && row.Revocation != nil && row.Revocation.By == n.self.Incarnation {
		n.goOn(now, g)
	}
	return nil
}

func (n *Node) adopt(now structs.Instant, g *group, row Row, version uint64) error {
	if row.Epoch < g.row.Epoch {
		return violation("epochs grow", fmt.Sprintf("group %d: %d after %d", g.id, row.Epoch, g.row.Epoch))
	}
	if row.Epoch > g.row.Epoch {
		g.seenAt = now
		n.countOvertaken(g, row)
	}
	if row.Epoch == g.own.epoch && g.own.epoch != 0 && row.Owner.Incarnation != n.self.Incarnation {
		return violation("an epoch has one owner", fmt.Sprintf("group %d epoch %d", g.id, row.Epoch))
	}
	if !n.markedOver(g, row) {
		g.storedBy = now
	}
	g.known, g.row, g.version = true, row, version
	g.next = successor{}
	for _, m := range append(row.AllWitnesses(), row.Owner) {
		if _, seen := n.named[m.Incarnation]; seen || m.Incarnation == "" {
			continue
		}
		n.named[m.Incarnation] = namedMember{vm: m.VM, at: now}
		if n.gone[m.VM] || m.VM == n.self.VM { // this process runs after it
			n.setEnded(now, m.Incarnation)
		}
	}
	return nil
}

// markedOver reports whether the row is the one that this process knows, marked.
// Then no renewal was counted by the store after this process saw the unmarked
// row, unless the row says that reads count.
func (n *Node) markedOver(g *group, row Row) bool {
	if !g.known || row.Revocation == nil || row.Revocation.RowVersion != g.version {
		return false
	}
	return !g.row.ReadsRenew || n.rules.storeReadsIgnored
}

const maxOvertaken = 8

// countOvertaken grows the patience with an owner that outran a revocation of
// this process, and forgets it when another owner follows.
func (n *Node) countOvertaken(g *group, row Row) {
	if g.row.Owner.Incarnation != row.Owner.Incarnation {
		g.overtaken = 0
		return
	}
	if g.marked != 0 && g.marked == g.row.Epoch {
		g.overtaken = min(g.overtaken+1, maxOvertaken)
	}
}
