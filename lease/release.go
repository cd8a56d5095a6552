package lease

import (
	"github.com/endivecourse/endivecourse/structs"
)

// releaseAll gives up every group of this process for good.
func (n *Node) releaseAll(now structs.Instant) {
	n.releasing = true
	loads := n.loads()
	for _, g := range n.groups {
		if g.own.epoch != 0 && !g.own.released {
			next := n.leastLoaded(loads)
			loads[next]++
			n.release(now, g, next)
		}
	}
}

// tellNext makes the process that is to follow read the released row.
func (n *Node) tellNext(g *group, row Row) {
	for _, p := range n.peers {
		if p.Incarnation == row.NextOwner {
			n.send(ReleaseNotice, p, g.id, row.Epoch, 0)
		}
	}
}

// release ends the lease locally before anybody is told.
func (n *Node) release(now structs.Instant, g *group, next structs.Incarnation) {
	g.own.released, g.own.next = true, next
	if g.own.announced {
		g.own.announced = false
		n.emit(Lost{Group: g.id, Epoch: g.own.epoch})
	}
	n.pursueRelease(now, g)
}

func (n *Node) pursueRelease(now structs.Instant, g *group) {
	if g.write != nil {
		return
	}
	row := g.row
	row.IsReleased, row.NextOwner, row.Revocation = true, g.own.next, nil
	n.write(now, g, row)
}

// HasReleasedAll reports that no row names this process as an owner and no write of
// it may still take effect.
func (n *Node) HasReleasedAll() bool {
	for _, g := range n.groups {
		if g.own.epoch != 0 || g.write != nil {
			return false
		}
	}
	return n.releasing
}

// leastLoaded returns the other live scheduler with the fewest groups.
func (n *Node) leastLoaded(loads map[structs.Incarnation]int) structs.Incarnation {
	var best structs.Incarnation
	for _, p := range n.peers {
		if p.Incarnation == n.self.Incarnation {
			continue
		}
		if best == "" || before(loads, 0, p.Incarnation, best) {
			best = p.Incarnation
		}
	}
	return best
}

// balance proposes to hand one group to the least loaded scheduler. Of all
// owners only the most loaded one does so, once each lease duration.
func (n *Node) balance(now structs.Instant) {
	if n.releasing || n.balanced && now.Sub(n.balancedAt) < n.cfg.Duration {
		return
	}
	n.balanced, n.balancedAt = true, now
	loads := n.loads()
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
		if g.held(now) && g.write == nil && g.row.Revocation == nil && g.row.PendingWitnesses == nil && !g.own.handing {
			g.own.handing = true
			n.emit(Handover{Group: g.id, Epoch: g.own.epoch, To: to})
			return
		}
	}
}

// loads counts the groups that each process owns or is to follow in.
func (n *Node) loads() map[structs.Incarnation]int {
	loads := make(map[structs.Incarnation]int)
	for _, g := range n.groups {
		if !g.known || g.version == 0 {
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
