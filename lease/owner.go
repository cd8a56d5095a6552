package lease

import (
	"slices"

	"github.com/endivecourse/endivecourse/structs"
)

// owner is this process's ownership of one group.
type owner struct {
	epoch     structs.Epoch   // 0: not the owner
	renewed   bool            // a renewal has counted
	until     structs.Instant // end of the lease, once renewed
	announced bool            // Gained was given
	released  bool            // the lease is given up under this epoch
	next      structs.Incarnation
	rounds    []round
	counted   int  // renewals counted by the witnesses since the row's kind of renewal changed
	moved     bool // the tail stands with the pending set
	asked     bool // MoveTail was given
	handing   bool // Handover was given
}

// round is one renewal on its way. Its sets are those which the row may have
// held when it was sent.
type round struct {
	number uint64
	sent   structs.Instant
	sets   [][]Member
	acks   map[structs.Incarnation]bool
	// counted is set once a majority of each set has acknowledged.
	counted bool
}

func (g *group) mine(self Member) bool {
	return g.version > 0 && g.row.Owner.Incarnation == self.Incarnation && !g.row.IsReleased
}

func (g *group) held(now structs.Instant) bool {
	return g.own.renewed && !g.own.released && now.Before(g.own.until)
}

// reconcile brings ownership in line with the row just observed.
func (n *Node) reconcile(now, sent structs.Instant, g *group, renews bool) error {
	mine := g.mine(n.self)
	continued := false
	if g.own.epoch != 0 && (!mine || g.row.Epoch != g.own.epoch) {
		continued = mine && !g.own.released && g.row.FirstEpoch <= g.own.epoch
		n.drop(g)
	}
	if !mine {
		return nil
	}
	if g.own.epoch == 0 {
		// A process that leaves gives up at once what it gains, but not what it
		// has owned all along: work may run there until ReleaseGroup.
		g.own = owner{epoch: g.row.Epoch, released: n.releasing && !continued}
	}
	if renews && (g.row.Revocation == nil || n.rules.markedRowIsRenewed) {
		if err := n.extend(now, sent, g); err != nil {
			return err
		}
	}
	if g.row.Revocation != nil && g.held(now) {
		n.takeAgain(now, g)
	}
	return nil
}

func (n *Node) drop(g *group) {
	if g.own.announced {
		n.emit(Lost{Group: g.id, Epoch: g.own.epoch})
	}
	g.own = owner{}
}

// extend counts a renewal that was sent at the given instant.
func (n *Node) extend(now, sent structs.Instant, g *group) error {
	if now.Before(sent) {
		return violation("renewal sent before it is counted", "clock went back")
	}
	if n.rules.renewFromReceipt {
		sent = now
	}
	if until := sent.Add(n.cfg.Duration); !g.own.renewed || g.own.until.Before(until) {
		g.own.renewed, g.own.until = true, until
	}
	if !g.own.announced && g.held(now) {
		g.own.announced = true
		n.emit(Gained{Group: g.id, Epoch: g.own.epoch})
	}
	return nil
}

// takeAgain succeeds oneself: the epoch is marked but the lease still runs, so
// nobody else holds the group. The sets stay, since they hold the tail.
func (n *Node) takeAgain(now structs.Instant, g *group) {
	if g.write != nil {
		return
	}
	row := g.row
	row.Epoch++
	row.Revocation = nil
	n.write(now, g, row)
}

// renewOwned starts a renewal of an owned group and does what else is due.
func (n *Node) renewOwned(now structs.Instant, g *group) error {
	if g.own.released {
		n.pursueRelease(now, g)
		return nil
	}
	if g.row.Revocation != nil && !g.held(now) {
		n.revoke(now, g) // as a successor like any other
		return nil
	}
	if err := n.startRound(now, g); err != nil {
		return err
	}
	late := !g.own.renewed || g.own.until.Before(now.Add(n.cfg.Duration-3*n.cfg.RenewInterval/2))
	if late {
		n.emit(ReadRow{Group: g.id})
	}
	switch {
	case g.write != nil:
	case g.row.Revocation != nil:
		n.takeAgain(now, g)
	case late && !g.row.ReadsRenew:
		n.renewByStore(now, g, true)
	case g.row.ReadsRenew && g.own.counted >= settledRounds:
		n.renewByStore(now, g, false)
	default:
		n.changeSet(now, g)
	}
	return nil
}

// settledRounds is how many renewals must have counted by the witnesses before
// reads of the row count no more.
const settledRounds = 10

// renewByStore writes whether reads of the row count as renewals. They do only
// while the witnesses fail, since a successor must else wait as if the row had
// been read just before it was marked.
func (n *Node) renewByStore(now structs.Instant, g *group, counts bool) {
	g.own.counted = 0
	row := g.row
	row.ReadsRenew = counts
	n.write(now, g, row)
}

func (n *Node) startRound(now structs.Instant, g *group) error {
	r := round{number: n.round, sent: now, sets: n.possibleSets(g), acks: make(map[structs.Incarnation]bool)}
	g.own.rounds = slices.DeleteFunc(g.own.rounds, func(old round) bool { return !now.Before(old.sent.Add(n.cfg.Duration)) })
	g.own.rounds = append(g.own.rounds, r)
	for _, m := range union(r.sets) {
		if m.Incarnation == n.self.Incarnation {
			if n.witness.renew(now, g.id, g.own.epoch) {
				r.acks[m.Incarnation] = true
			}
			continue
		}
		n.send(RenewRequest, m, g.id, g.own.epoch, r.number)
	}
	if !majorities(r.sets, func(m Member) bool { return r.acks[m.Incarnation] }) {
		return nil
	}
	g.own.rounds[len(g.own.rounds)-1].counted = true
	g.own.counted++
	return n.extend(now, now, g)
}

// possibleSets returns every witness set that the row may hold by now.
func (n *Node) possibleSets(g *group) [][]Member {
	if n.rules.oldSetAlone {
		return [][]Member{g.row.Witnesses}
	}
	sets := g.row.WitnessSets()
	if g.write != nil {
		sets = append(sets, g.write.row.WitnessSets()...)
	}
	return sets
}

func (n *Node) acked(now structs.Instant, msg Message) error {
	g := n.groups[msg.Group]
	if g.own.epoch == 0 || g.own.epoch != msg.Epoch || g.own.released {
		return nil
	}
	at := slices.IndexFunc(g.own.rounds, func(r round) bool { return r.number == msg.Round })
	if at < 0 {
		return nil
	}
	r := &g.own.rounds[at]
	r.acks[msg.From.Incarnation] = true
	if !majorities(r.sets, func(m Member) bool { return r.acks[m.Incarnation] }) {
		return nil
	}
	if !r.counted {
		r.counted = true
		g.own.counted++
	}
	return n.extend(now, r.sent, g)
}

// changeSet replaces witnesses that are not among the live schedulers.
func (n *Node) changeSet(now structs.Instant, g *group) {
	row := g.row
	if row.PendingWitnesses != nil {
		switch {
		case g.own.moved:
			row.Witnesses, row.PendingWitnesses = row.PendingWitnesses, nil
			n.write(now, g, row)
		case !g.own.asked:
			g.own.asked = true
			n.emit(MoveTail{Group: g.id, Epoch: g.own.epoch, PendingWitnesses: row.PendingWitnesses})
		}
		return
	}
	g.own.moved, g.own.asked = false, false
	want := n.chooseSet(g.id, row.Witnesses)
	if want == nil || sameMembers(want, row.Witnesses) {
		return
	}
	row.PendingWitnesses = want
	n.write(now, g, row)
}

func sameMembers(a, b []Member) bool {
	return len(a) == len(b) && !slices.ContainsFunc(a, func(m Member) bool { return !contains(b, m.Incarnation) })
}
