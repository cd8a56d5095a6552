package lease

import (
	"github.com/endivecourse/endivecourse/structs"
)

// Node is the part of one process in all leases of its failure domain: owner,
// witness and successor. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	self    Member
	rules   rules
	witness *witness
	groups  []*group
	peers   []Member
	// ended holds when there first was evidence that an incarnation's process
	// has ended; named holds when an incarnation was first seen in a row.
	ended      map[structs.Incarnation]structs.Instant
	named      map[structs.Incarnation]namedMember
	gone       map[structs.VMID]bool
	releasing  bool
	balanced   bool
	balancedAt structs.Instant // once balanced
	round      uint64          // number of the renewals of the last Tick
	out        []Action
}

type namedMember struct {
	vm structs.VMID
	at structs.Instant
}

// group is what is known of one group.
type group struct {
	id      Group
	known   bool
	row     Row
	version uint64
	seenAt  structs.Instant // of this epoch
	// storedBy is the latest instant at which a renewal can have been sent that
	// the store counts, or that was counted with other witness sets. It is
	// final once the row is marked.
	storedBy  structs.Instant
	write     *write
	own       owner
	next      successor
	marked    structs.Epoch // the last epoch that this process marked
	overtaken int           // revocations that the owner outran
}

// write is a WriteRow that may yet take effect.
type write struct {
	row       Row
	version   uint64
	answered  bool // it is to be repeated
	uncertain bool // an earlier try may have taken effect
}

// NewNode makes the state of a process that has just started.
func NewNode(cfg Config, self Member) *Node {
	n := &Node{
		cfg:     cfg,
		self:    self,
		witness: newWitness(cfg, self),
		ended:   make(map[structs.Incarnation]structs.Instant),
		named:   make(map[structs.Incarnation]namedMember),
		gone:    make(map[structs.VMID]bool),
	}
	for i := range cfg.Groups {
		n.groups = append(n.groups, &group{id: Group(i)})
	}
	return n
}

// HeldEpoch returns the epoch under which this process may act for the group at
// the instant, and false when it may not.
func (n *Node) HeldEpoch(now structs.Instant, id Group) (structs.Epoch, bool) {
	g := n.groups[id]
	if !g.held(now) {
		return 0, false
	}
	return g.own.epoch, true
}

// Lease returns the epoch of an announced ownership and the instant at which
// its lease ends unless it is renewed.
func (n *Node) Lease(id Group) (structs.Epoch, structs.Instant) {
	g := n.groups[id]
	if !g.own.announced || g.own.released {
		return 0, 0
	}
	return g.own.epoch, g.own.until
}

// Row returns the group's row as last seen, and false when none was seen.
func (n *Node) Row(id Group) (Row, bool) {
	g := n.groups[id]
	return g.row, g.known && g.version > 0
}

// RowVersion returns the version of the group's row as last seen; 0 for none.
func (n *Node) RowVersion(id Group) uint64 { return n.groups[id].version }

// WitnessSets returns the witness sets that must each have a majority for what this
// process writes as the group's owner.
func (n *Node) WitnessSets(id Group) [][]Member { return n.possibleSets(n.groups[id]) }

// PromisedEpoch returns the highest epoch of the group that this process, as a
// witness, has promised to acknowledge no more.
func (n *Node) PromisedEpoch(id Group) structs.Epoch { return n.witness.promised[id] }

// Step takes one event. A *structs.InvariantError means that the rule is
// broken and the process must not go on as an owner.
func (n *Node) Step(now structs.Instant, ev Event) ([]Action, error) {
	n.out = nil
	err := n.step(now, ev)
	return n.out, err
}

func (n *Node) step(now structs.Instant, ev Event) error {
	switch ev := ev.(type) {
	case Tick:
		return n.tick(now)
	case Wake:
		n.wake(now)
	case MessageReceived:
		return n.receive(now, ev.Message)
	case RowRead:
		return n.observe(now, ev.Sent, n.groups[ev.Group], ev.Row, ev.Version, ev.Row.ReadsRenew)
	case RowWritten:
		return n.observe(now, ev.Sent, n.groups[ev.Group], ev.Row, ev.Version, true)
	case WriteFailed:
		n.writeFailed(n.groups[ev.Group], ev)
	case Peers:
		n.peers = ev.Members
	case VMRemoved:
		n.vmGone(now, ev.VM)
	case ProcessSeen:
		n.superseded(now, ev)
	case TailMoved:
		if g := n.groups[ev.Group]; g.own.epoch == ev.Epoch && g.own.asked {
			g.own.moved = true
		}
	case TailCollected:
		if g := n.groups[ev.Group]; g.next.ready && g.row.Epoch == ev.Epoch {
			g.next.collected = true
			n.goOn(now, g)
		}
	case HandoverReady:
		if g := n.groups[ev.Group]; g.own.epoch == ev.Epoch && !g.own.released {
			n.release(now, g, ev.To)
		}
	case ReleaseAll:
		n.releaseAll(now)
	case StopAcquiring:
		n.releasing = true
	case ReleaseGroup:
		if g := n.groups[ev.Group]; g.own.epoch == ev.Epoch && !g.own.released {
			n.release(now, g, n.leastLoaded(n.loads()))
		}
	}
	return nil
}

func (n *Node) tick(now structs.Instant) error {
	n.round++
	for _, g := range n.groups {
		if !g.known {
			n.emit(ReadRow{Group: g.id})
			continue
		}
		if w := g.write; w != nil && w.answered {
			w.answered = false
			n.emit(WriteRow{Group: g.id, Row: w.row, Version: w.version})
		}
		if g.own.epoch == 0 {
			n.succeed(now, g)
			continue
		}
		if err := n.renewOwned(now, g); err != nil {
			return err
		}
	}
	n.balance(now)
	return nil
}

// wake goes on with the groups of others, which may wait for their next owner.
func (n *Node) wake(now structs.Instant) {
	for _, g := range n.groups {
		n.goOn(now, g)
	}
}

func (n *Node) goOn(now structs.Instant, g *group) {
	switch {
	case !g.known:
	case g.own.epoch == 0:
		n.succeed(now, g)
	case g.row.Revocation != nil && !g.own.released && !g.held(now):
		n.revoke(now, g)
	}
}

func (n *Node) receive(now structs.Instant, msg Message) error {
	if msg.To.Incarnation != n.self.Incarnation && !n.rules.answerForAnother {
		return nil
	}
	if int(msg.Group) >= len(n.groups) {
		return nil
	}
	switch msg.Kind {
	case RenewRequest:
		kind := RenewNack
		if n.witness.renew(now, msg.Group, msg.Epoch) {
			kind = RenewAck
		}
		n.reply(kind, msg)
		if g := n.groups[msg.Group]; g.known && msg.Epoch > g.row.Epoch {
			n.emit(ReadRow{Group: msg.Group})
		}
	case PromiseRequest:
		g := n.groups[msg.Group]
		kind := PromiseDeclined
		if n.witness.promise(now, msg.Group, msg.Epoch, g.row.Epoch == msg.Epoch && n.ownerEnded(g)) {
			kind = PromiseGranted
		}
		msg.Age = n.witness.age(now, msg.Group)
		n.reply(kind, msg)
	case RenewAck:
		return n.acked(now, msg)
	case RenewNack, ReleaseNotice:
		n.emit(ReadRow{Group: msg.Group})
	case PromiseGranted:
		n.gotPromise(now, msg)
	}
	return nil
}

// reply answers a message. The sender is the member that was asked, which is
// another than this process only when a test has it answer for another.
func (n *Node) reply(kind Kind, msg Message) {
	n.emit(SendMessage{Message: Message{
		Kind: kind, From: msg.To, To: msg.From,
		Group: msg.Group, Epoch: msg.Epoch, Round: msg.Round, Age: msg.Age,
	}})
}

func (n *Node) send(kind Kind, to Member, g Group, epoch structs.Epoch, round uint64) {
	n.emit(SendMessage{Message: Message{Kind: kind, From: n.self, To: to, Group: g, Epoch: epoch, Round: round}})
}

func (n *Node) emit(a Action) { n.out = append(n.out, a) }

func (n *Node) write(_ structs.Instant, g *group, row Row) {
	g.write = &write{row: row, version: g.version}
	n.emit(WriteRow{Group: g.id, Row: row, Version: g.version})
}

func (n *Node) writeFailed(g *group, ev WriteFailed) {
	w := g.write
	if w == nil || w.version != ev.Version {
		return
	}
	w.uncertain = w.uncertain || ev.Unknown
	if !w.uncertain {
		g.write = nil
		return
	}
	w.answered = true
}
