package lease

import (
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// successor is this process's attempt to follow the owner of one group. It is
// begun anew whenever the row changes.
type successor struct {
	pending bool // there is cause to act
	since   structs.Instant
	// promised holds when each witness that promised can have acknowledged last.
	promised  map[structs.Incarnation]structs.Instant
	ready     bool // both quorums are had
	readyAt   structs.Instant
	collected bool
}

// maxRank bounds how long a process lets better placed ones go first.
const maxRank = 8

// succeed does what is due for a group that another process owns.
func (n *Node) succeed(now structs.Instant, g *group) {
	if g.write != nil || n.releasing || !contains(n.peers, n.self.Incarnation) {
		return
	}
	switch {
	case g.version == 0:
		if n.turn(now, g) {
			n.write(now, g, n.nextRow(g))
		}
	case g.row.IsReleased:
		n.takeReleased(now, g)
	case g.row.Revocation != nil:
		n.revoke(now, g)
	case n.suspects(now, g):
		if n.turn(now, g) {
			n.mark(now, g)
		}
	default:
		g.next.pending = false
	}
}

// turn reports whether this process, among those that may act, is due.
func (n *Node) turn(now structs.Instant, g *group) bool {
	if !g.next.pending {
		g.next.pending, g.next.since = true, now
	}
	delay := n.cfg.RenewInterval * time.Duration(min(n.rank(g), maxRank))
	return now.Sub(g.next.since) >= delay
}

// suspects reports whether there is cause to revoke an unmarked row.
func (n *Node) suspects(now structs.Instant, g *group) bool {
	if _, ended := n.ended[g.row.Owner.Incarnation]; ended {
		return true
	}
	patience := n.cfg.SuspectTimeout * time.Duration(g.overtaken)
	if contains(g.row.AllWitnesses(), n.self.Incarnation) {
		since := g.seenAt.Add(patience)
		return n.witness.silent(now, since, g.id, g.row.Epoch)
	}
	return n.abandoned(now, g)
}

// abandoned reports that the witnesses but the owner have ended for so long
// that a healthy owner would have replaced them.
func (n *Node) abandoned(now structs.Instant, g *group) bool {
	for _, m := range g.row.AllWitnesses() {
		if m.Incarnation == g.row.Owner.Incarnation {
			continue
		}
		at, ended := n.ended[m.Incarnation]
		if !ended || now.Sub(at) < abandonedAfter*n.cfg.SuspectTimeout {
			return false
		}
	}
	return now.Sub(g.seenAt) >= abandonedAfter*n.cfg.SuspectTimeout
}

const abandonedAfter = 4 // times Config.Suspect

func (n *Node) mark(now structs.Instant, g *group) {
	row := g.row
	row.Revocation = &Revocation{Epoch: row.Epoch, By: n.self.Incarnation, RowVersion: g.version}
	g.marked = row.Epoch
	n.write(now, g, row)
}

// revoke gathers promises for a marked row, then has the tail collected, then
// waits, then takes the next epoch. Whose mark it is doesn't matter.
func (n *Node) revoke(now structs.Instant, g *group) {
	if g.next.promised == nil {
		g.next.promised = make(map[structs.Incarnation]structs.Instant)
	}
	for _, m := range g.row.AllWitnesses() {
		if _, given := g.next.promised[m.Incarnation]; given || n.countsEnded(now, m) {
			continue
		}
		if m.Incarnation == n.self.Incarnation {
			given := n.ownerEnded(g) || g.mine(n.self)
			if n.witness.promise(now, g.id, g.row.Epoch, given) {
				g.next.promised[m.Incarnation] = now.Add(-n.witness.age(now, g.id))
			}
			continue
		}
		n.send(PromiseRequest, m, g.id, g.row.Epoch, 0)
	}
	n.advance(now, g)
}

func (n *Node) gotPromise(now structs.Instant, msg Message) {
	g := n.groups[msg.Group]
	if g.row.Revocation == nil || g.row.Epoch != msg.Epoch || g.next.promised == nil {
		return
	}
	if _, given := g.next.promised[msg.From.Incarnation]; !given {
		g.next.promised[msg.From.Incarnation] = n.cfg.acknowledgedBy(now, msg.Age)
	}
	n.advance(now, g)
}

// advance takes the next epoch once everything that it needs is had.
func (n *Node) advance(now structs.Instant, g *group) {
	if !g.next.ready {
		quorum := majorities(g.row.WitnessSets(), func(m Member) bool {
			_, given := g.next.promised[m.Incarnation]
			return given || n.countsEnded(now, m)
		})
		if !quorum && !n.rules.storeAloneRevokes {
			return
		}
		g.next.ready, g.next.readyAt = true, now
		n.emit(CollectTail{Group: g.id, Epoch: g.row.Epoch, Row: g.row})
	}
	if g.write != nil || n.releasing || !g.next.collected {
		return
	}
	if n.turnAfter(now, g) && contains(n.peers, n.self.Incarnation) {
		n.write(now, g, n.nextRow(g))
	}
}

// turnAfter reports whether the owner's lease has run out and this process is
// due. The one that marked the row goes first.
func (n *Node) turnAfter(now structs.Instant, g *group) bool {
	if n.rules.noWait {
		return true
	}
	due := n.renewedBy(now, g).Add(n.cfg.wait())
	if g.row.Revocation.By == n.self.Incarnation {
		return !now.Before(due)
	}
	if due.Before(g.next.readyAt) {
		due = g.next.readyAt
	}
	return now.Sub(due) >= 2*n.cfg.RenewInterval
}

// renewedBy returns the latest instant at which a renewal of the marked epoch
// can have been sent that counts. Such a renewal was counted by the store or
// with other sets, or a majority of each set acknowledged it; then so did one of
// those that have promised since, and not later than it has told.
func (n *Node) renewedBy(now structs.Instant, g *group) structs.Instant {
	latest := g.storedBy
	if n.rules.storeAloneRevokes {
		return g.next.readyAt
	}
	if n.rules.rowAgeIgnored {
		latest = now.Add(-n.cfg.maxAge())
	}
	for _, set := range g.row.WitnessSets() {
		if by := n.acknowledgedBy(now, g, set); latest.Before(by) {
			latest = by
		}
	}
	return latest
}

// acknowledgedBy returns the latest acknowledgement of the majority of a set
// whose promises tell the least.
func (n *Node) acknowledgedBy(now structs.Instant, g *group, set []Member) structs.Instant {
	var known []structs.Instant
	for _, m := range set {
		by, given := g.next.promised[m.Incarnation]
		if at, ended := n.ended[m.Incarnation]; !given && ended && n.countsEnded(now, m) {
			by, given = at.Add(n.cfg.grace()), true
			if n.rules.goneWithoutGrace {
				by = at
			}
		}
		if given {
			known = append(known, by)
		}
	}
	slices.Sort(known)
	return known[len(set)/2]
}

// takeReleased follows an owner that gave the group up. Its tail is collected
// first, so that the new epoch's owner reads the store alone.
func (n *Node) takeReleased(now structs.Instant, g *group) {
	if g.row.NextOwner != n.self.Incarnation {
		due := n.turn(now, g)
		named := contains(n.peers, g.row.NextOwner)
		if !due || named && now.Sub(g.next.since) < n.cfg.Duration {
			return
		}
	}
	if !g.next.ready {
		g.next.ready = true
		n.emit(CollectTail{Group: g.id, Epoch: g.row.Epoch, Row: g.row})
	}
	if g.next.collected {
		n.write(now, g, n.nextRow(g))
	}
}

func (n *Node) nextRow(g *group) Row {
	return Row{
		Group:      g.id,
		Epoch:      g.row.Epoch + 1,
		FirstEpoch: g.row.Epoch + 1,
		Owner:      n.self,
		Witnesses:  n.chooseSet(g.id, nil),
	}
}
