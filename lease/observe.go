package lease

import (
	"fmt"

	"github.com/endivecourse/endivecourse/structs"
)

// observe takes a row as it was in the table after the instant sent.
func (n *Node) observe(now, sent structs.Instant, g *group, row Row, version uint64) error {
	if g.known && version < g.version {
		return nil
	}
	if row.Mark != nil && row.Mark.Epoch != row.Epoch {
		return violation("mark names the row's epoch", fmt.Sprintf("group %d: %d, %d", g.id, row.Mark.Epoch, row.Epoch))
	}
	if g.write != nil && version > g.write.version {
		g.write = nil
	}
	if !g.known || version > g.version {
		if row.Released && row.Owner.Incarnation == n.self.Incarnation {
			n.tellNext(g, row)
		}
		if err := n.adopt(now, g, row, version); err != nil {
			return err
		}
	}
	if version == 0 {
		return nil
	}
	return n.reconcile(now, sent, g)
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
	g.known, g.row, g.version = true, row, version
	g.next = successor{}
	for _, m := range append(row.Members(), row.Owner) {
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
