package lease

import (
	"github.com/endivecourse/endivecourse/structs"
)

// releaseAll releases every group of this process for good.
func (n *Node) releaseAll(now structs.Instant) {
	n.isReleasing = true
	loads := n.groupCounts()
	for _, g := range n.groups {
		if g.lease.epoch != 0 && !g.lease.isReleased {
			next := n.leastLoaded(loads)
			loads[next]++
			n.release(now, g, next)
		}
	}
}

// notifyNextOwner tells the next owner to read the released row.
func (n *Node) notifyNextOwner(g *group, row Row) {
	for _, p := range n.peers {
		if p.Incarnation == row.NextOwner {
			n.send(ReleaseNotice, p, g.id, row.Epoch, 0)
		}
	}
}

// release ends the lease locally before any other process learns of it.
func (n *Node) release(now structs.Instant, g *group, next structs.Incarnation) {
	g.lease.isReleased, g.lease.nextOwner = true, next
	if g.lease.isAnnounced {
		g.lease.isAnnounced = false
		n.emit(Lost{Group: g.id, Epoch: g.lease.epoch})
	}
	n.writeRelease(now, g)
}

func (n *Node) writeRelease(now structs.Instant, g *group) {
	if g.write != nil {
		return
	}
	row := g.row
	row.IsReleased, row.NextOwner, row.Revocation = true, g.lease.nextOwner, nil
	n.write(now, g, row)
}

// HasReleasedAll reports whether no row names this process as owner and none of its
// writes may still take effect.
func (n *Node) HasReleasedAll() bool {
	for _, g := range n.groups {
		if g.lease.epoch != 0 || g.write != nil {
			return false
		}
	}
	return n.isReleasing
}

// leastLoaded returns the other live scheduler with the fewest groups.
func (n *Node) leastLoaded(loads map[structs.Incarnation]int) structs.Incarnation {
	var best structs.Incarnation
	for _, p := range n.peers {
		if p.Incarnation == n.self.Incarnation {
			continue
		}
		if best == "" || isPreferred(loads, 0, p.Incarnation, best) {
			best = p.Incarnation
		}
	}
	return best
}

// proposeHandover proposes to hand over one group to the least loaded scheduler. Only
// the most loaded owner does so, once every lease duration.
func (n *Node) proposeHandover(now structs.Instant) {
	if n.isReleasing || n.hasBalanced && now.Sub(n.balancedAt) < n.cfg.Duration {
		return
	}
	n.hasBalanced, n.balancedAt = true, now
	loads := n.groupCounts()
	to := n.leastLoaded(loads)
	if to == "" || loads[n.self.Incarnation]-loads[to] < 2 {
		return
	}
	for _, p := range n.peers {
		if p.Incarnation == n.self.Incarnation {
			continue
		}
		other := loads[p.Incarnation]
		if other > loads[n.self.Incarnation] || other == loads[n.self.Incarnation] && p.Incarnation < n.self.Incarnation {
			return
		}
	}
	for _, g := range n.groups {
		if g.isHeld(now) && g.write == nil && g.row.Revocation == nil && g.row.PendingWitnesses == nil && !g.lease.isHandingOver {
			g.lease.isHandingOver = true
			n.emit(Handover{Group: g.id, Epoch: g.lease.epoch, To: to})
			return
		}
	}
}

// groupCounts counts the groups that each process owns or is named to own next.
func (n *Node) groupCounts() map[structs.Incarnation]int {
	loads := make(map[structs.Incarnation]int)
	for _, g := range n.groups {
		if !g.isKnown || g.version == 0 {
			continue
		}
		if g.row.IsReleased {
			loads[g.row.NextOwner]++
		} else {
			loads[g.row.Owner.Incarnation]++
		}
	}
	return loads
}
