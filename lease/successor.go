package lease

import (
	"slices"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// succession is this process's attempt to take over one group. It starts anew whenever
// the row changes.
type succession struct {
	hasCause bool // there is a reason to take over the group
	since    structs.Instant
	// lastAcks is the latest instant at which each witness that promised can have
	// acknowledged a renewal.
	lastAcks        map[structs.Incarnation]structs.Instant
	hasQuorum       bool // a majority of each set has promised, or the row is released
	quorumAt        structs.Instant
	isTailCollected bool
}

// maxRank bounds how many renewal intervals a process waits for others to go first.
const maxRank = 8

// trySucceed takes the next step towards taking over a group of another process.
func (n *Node) trySucceed(now structs.Instant, g *group) {
	if g.write != nil || n.isReleasing || !contains(n.peers, n.self.Incarnation) {
		return
	}
	switch {
	case g.version == 0:
		if n.isDue(now, g) {
			n.write(now, g, n.nextRow(g))
		}
	case g.row.IsReleased:
		n.takeReleased(now, g)
	case g.row.Revocation != nil:
		n.requestPromises(now, g)
	case n.shouldRevoke(now, g):
		if n.isDue(now, g) {
			n.startRevocation(now, g)
		}
	default:
		g.succession.hasCause = false
	}
}

// isDue reports whether it is this process's turn among those that may take over.
func (n *Node) isDue(now structs.Instant, g *group) bool {
	if !g.succession.hasCause {
		g.succession.hasCause, g.succession.since = true, now
	}
	delay := n.cfg.RenewInterval * time.Duration(min(n.rank(g), maxRank))
	return now.Sub(g.succession.since) >= delay
}

// shouldRevoke reports whether there is a reason to revoke a row without a revocation.
func (n *Node) shouldRevoke(now structs.Instant, g *group) bool {
	if _, hasExited := n.exitedAt[g.row.Owner.Incarnation]; hasExited {
		return true
	}
	extraWait := n.cfg.SuspectTimeout * time.Duration(g.failedRevocations)
	if contains(g.row.AllWitnesses(), n.self.Incarnation) {
		since := g.epochSeenAt.Add(extraWait)
		return n.witness.isOwnerSilent(now, since, g.id, g.row.Epoch)
	}
	return n.isAbandoned(now, g)
}

// isAbandoned reports whether all witnesses except the owner exited so long ago that a
// healthy owner would have replaced them.
func (n *Node) isAbandoned(now structs.Instant, g *group) bool {
	for _, m := range g.row.AllWitnesses() {
		if m.Incarnation == g.row.Owner.Incarnation {
			continue
		}
		at, hasExited := n.exitedAt[m.Incarnation]
		if !hasExited || now.Sub(at) < abandonedFactor*n.cfg.SuspectTimeout {
			return false
		}
	}
	return now.Sub(g.epochSeenAt) >= abandonedFactor*n.cfg.SuspectTimeout
}

const abandonedFactor = 4 // multiple of Config.SuspectTimeout

func (n *Node) startRevocation(now structs.Instant, g *group) {
	row := g.row
	row.Revocation = &Revocation{Epoch: row.Epoch, By: n.self.Incarnation, RowVersion: g.version}
	g.revokedEpoch = row.Epoch
	n.write(now, g, row)
}

// requestPromises asks the witnesses of a row under revocation for promises. Once a
// majority has promised, the tail is collected, and after the wait this process takes
// the next epoch. Any process may have written the revocation.
func (n *Node) requestPromises(now structs.Instant, g *group) {
	if g.succession.lastAcks == nil {
		g.succession.lastAcks = make(map[structs.Incarnation]structs.Instant)
	}
	for _, m := range g.row.AllWitnesses() {
		if _, hasPromise := g.succession.lastAcks[m.Incarnation]; hasPromise || n.countsAsPromised(now, m) {
			continue
		}
		if m.Incarnation == n.self.Incarnation {
			mustPromise := n.hasOwnerExited(g) || g.isOwnedBy(n.self)
			if n.witness.promise(now, g.id, g.row.Epoch, mustPromise) {
				g.succession.lastAcks[m.Incarnation] = now.Add(-n.witness.ackAge(now, g.id))
			}
			continue
		}
		n.send(PromiseRequest, m, g.id, g.row.Epoch, 0)
	}
	n.tryTakeOver(now, g)
}

func (n *Node) recordPromise(now structs.Instant, msg Message) {
	g := n.groups[msg.Group]
	if g.row.Revocation == nil || g.row.Epoch != msg.Epoch || g.succession.lastAcks == nil {
		return
	}
	if _, hasPromise := g.succession.lastAcks[msg.From.Incarnation]; !hasPromise {
		g.succession.lastAcks[msg.From.Incarnation] = n.cfg.latestAckTime(now, msg.Age)
	}
	n.tryTakeOver(now, g)
}

// tryTakeOver takes the next epoch once everything it needs is complete.
func (n *Node) tryTakeOver(now structs.Instant, g *group) {
	if !g.succession.hasQuorum {
		hasQuorum := majorities(g.row.WitnessSets(), func(m Member) bool {
			_, given := g.succession.lastAcks[m.Incarnation]
			return given || n.countsAsPromised(now, m)
		})
		if !hasQuorum && !n.mutations.skipPromises {
			return
		}
		g.succession.hasQuorum, g.succession.quorumAt = true, now
		n.emit(CollectTail{Group: g.id, Epoch: g.row.Epoch, Row: g.row})
	}
	if g.write != nil || n.isReleasing || !g.succession.isTailCollected {
		return
	}
	if n.mayTakeOver(now, g) && contains(n.peers, n.self.Incarnation) {
		n.write(now, g, n.nextRow(g))
	}
}

// mayTakeOver reports whether the owner's lease has expired and it is this process's
// turn. The process that wrote the revocation goes first.
func (n *Node) mayTakeOver(now structs.Instant, g *group) bool {
	if n.mutations.skipWait {
		return true
	}
	due := n.lastRenewal(now, g).Add(n.cfg.successionWait())
	if g.row.Revocation.By == n.self.Incarnation {
		return !now.Before(due)
	}
	if due.Before(g.succession.quorumAt) {
		due = g.succession.quorumAt
	}
	return now.Sub(due) >= 2*n.cfg.RenewInterval
}

// lastRenewal returns the latest instant at which a counted renewal of the epoch under
// revocation can have been sent. Such a renewal counted through the store or with other
// sets, or a majority of each set acknowledged it. In the latter case a witness that
// has promised since also acknowledged it, at the latest at the time that it reported.
func (n *Node) lastRenewal(now structs.Instant, g *group) structs.Instant {
	latest := g.lastRowRenewal
	if n.mutations.skipPromises {
		return g.succession.quorumAt
	}
	if n.mutations.ignoreRowAge {
		latest = now.Add(-n.cfg.maxAckAge())
	}
	for _, set := range g.row.WitnessSets() {
		if ackedAt := n.lastMajorityAck(now, g, set); latest.Before(ackedAt) {
			latest = ackedAt
		}
	}
	return latest
}

// lastMajorityAck returns the latest acknowledgement within the majority of the set
// that acknowledged longest ago. At least one member of that majority acknowledged any
// counted renewal, so no such renewal was sent later.
func (n *Node) lastMajorityAck(now structs.Instant, g *group, set []Member) structs.Instant {
	var times []structs.Instant
	for _, m := range set {
		ackedAt, isKnown := g.succession.lastAcks[m.Incarnation]
		if exitedAt, hasExited := n.exitedAt[m.Incarnation]; !isKnown && hasExited && n.countsAsPromised(now, m) {
			ackedAt, isKnown = exitedAt.Add(n.cfg.exitWait()), true
			if n.mutations.skipExitWait {
				ackedAt = exitedAt
			}
		}
		if isKnown {
			times = append(times, ackedAt)
		}
	}
	slices.Sort(times)
	return times[len(set)/2]
}

// takeReleased takes over a released group. The tail is collected first, so that the
// owner of the new epoch only has to read the store.
func (n *Node) takeReleased(now structs.Instant, g *group) {
	if g.row.NextOwner != n.self.Incarnation {
		due := n.isDue(now, g)
		isNextListed := contains(n.peers, g.row.NextOwner)
		if !due || isNextListed && now.Sub(g.succession.since) < n.cfg.Duration {
			return
		}
	}
	if !g.succession.hasQuorum {
		g.succession.hasQuorum = true
		n.emit(CollectTail{Group: g.id, Epoch: g.row.Epoch, Row: g.row})
	}
	if g.succession.isTailCollected {
		n.write(now, g, n.nextRow(g))
	}
}

func (n *Node) nextRow(g *group) Row {
	return Row{
		Group:      g.id,
		Epoch:      g.row.Epoch + 1,
		FirstEpoch: g.row.Epoch + 1,
		Owner:      n.self,
		Witnesses:  n.chooseWitnesses(g.id, nil),
	}
}
