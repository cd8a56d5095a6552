package lease

import (
	"github.com/endivecourse/endivecourse/structs"
)

// Node is one process's state in all leases of its failure domain, as owner, witness
// and successor. It is not safe for concurrent use.
type Node struct {
	cfg       Config
	self      Member
	mutations mutations
	witness   *witness
	groups    []*group
	peers     []Member
	// exitedAt is when there first was evidence that an incarnation's process has exited.
	// firstSeen is when an incarnation was first seen in a row.
	exitedAt    map[structs.Incarnation]structs.Instant
	firstSeen   map[structs.Incarnation]seenMember
	removedVMs  map[structs.VMID]bool
	isReleasing bool
	hasBalanced bool
	balancedAt  structs.Instant // valid if hasBalanced
	round       uint64          // number of the renewals started at the last Tick
	actions     []Action
}

type seenMember struct {
	vm structs.VMID
	at structs.Instant
}

// group is what this process knows of one group.
type group struct {
	id          Group
	isKnown     bool
	row         Row
	version     uint64
	epochSeenAt structs.Instant // when this process first saw the row's epoch
	// lastRowRenewal is the latest instant at which a renewal can have been sent that
	// counted through the store or with other witness sets. It is final once the row is
	// under revocation.
	lastRowRenewal    structs.Instant
	write             *write
	lease             ownership
	succession        succession
	revokedEpoch      structs.Epoch // last epoch for which this process wrote a revocation
	failedRevocations int           // revocations by this process that the owner survived
}

// write is a WriteRow that may still take effect.
type write struct {
	row            Row
	version        uint64
	needsRetry     bool // the outcome is unknown, so it is sent again at the next Tick
	mayHaveApplied bool // an earlier attempt may have taken effect
}

// NewNode returns the state of a process that has just started.
func NewNode(cfg Config, self Member) *Node {
	n := &Node{
		cfg:        cfg,
		self:       self,
		witness:    newWitness(cfg, self),
		exitedAt:   make(map[structs.Incarnation]structs.Instant),
		firstSeen:  make(map[structs.Incarnation]seenMember),
		removedVMs: make(map[structs.VMID]bool),
	}
	for i := range cfg.Groups {
		n.groups = append(n.groups, &group{id: Group(i)})
	}
	return n
}

// HeldEpoch returns the epoch under which this process may act for the group at the
// given instant, and false if it may not act.
func (n *Node) HeldEpoch(now structs.Instant, id Group) (structs.Epoch, bool) {
	g := n.groups[id]
	if !g.isHeld(now) {
		return 0, false
	}
	return g.lease.epoch, true
}

// Lease returns the epoch of an announced ownership and the instant at which its
// lease expires unless it is renewed.
func (n *Node) Lease(id Group) (structs.Epoch, structs.Instant) {
	g := n.groups[id]
	if !g.lease.isAnnounced || g.lease.isReleased {
		return 0, 0
	}
	return g.lease.epoch, g.lease.expiresAt
}

// Row returns the group's row as last seen, and false if none was seen.
func (n *Node) Row(id Group) (Row, bool) {
	g := n.groups[id]
	return g.row, g.isKnown && g.version > 0
}

// RowVersion returns the version of the group's row as last seen; 0 if none was seen.
func (n *Node) RowVersion(id Group) uint64 { return n.groups[id].version }

// WitnessSets returns the witness sets that must each have a majority for anything
// that this process writes as the group's owner.
func (n *Node) WitnessSets(id Group) [][]Member { return n.possibleSets(n.groups[id]) }

// PromisedEpoch returns the highest epoch of the group that this process, as a
// witness, has promised to no longer acknowledge.
func (n *Node) PromisedEpoch(id Group) structs.Epoch { return n.witness.promised[id] }

// Step handles one event. A *structs.InvariantError means that the protocol is
// violated and the process must stop acting as an owner.
func (n *Node) Step(now structs.Instant, ev Event) ([]Action, error) {
	n.actions = nil
	err := n.step(now, ev)
	return n.actions, err
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
		return n.observeRow(now, ev.Sent, n.groups[ev.Group], ev.Row, ev.Version, ev.Row.ReadsRenew)
	case RowWritten:
		return n.observeRow(now, ev.Sent, n.groups[ev.Group], ev.Row, ev.Version, true)
	case WriteFailed:
		n.writeFailed(n.groups[ev.Group], ev)
	case Peers:
		n.peers = ev.Members
	case VMRemoved:
		n.recordVMRemoved(now, ev.VM)
	case ProcessSeen:
		n.recordProcessSeen(now, ev)
	case TailMoved:
		if g := n.groups[ev.Group]; g.lease.epoch == ev.Epoch && g.lease.isMoveRequested {
			g.lease.isTailMoved = true
		}
	case TailCollected:
		if g := n.groups[ev.Group]; g.succession.hasQuorum && g.row.Epoch == ev.Epoch {
			g.succession.isTailCollected = true
			n.continueSuccession(now, g)
		}
	case HandoverReady:
		if g := n.groups[ev.Group]; g.lease.epoch == ev.Epoch && !g.lease.isReleased {
			n.release(now, g, ev.To)
		}
	case ReleaseAll:
		n.releaseAll(now)
	case StopAcquiring:
		n.isReleasing = true
	case ReleaseGroup:
		if g := n.groups[ev.Group]; g.lease.epoch == ev.Epoch && !g.lease.isReleased {
			n.release(now, g, n.leastLoaded(n.groupCounts()))
		}
	}
	return nil
}

func (n *Node) tick(now structs.Instant) error {
	n.round++
	for _, g := range n.groups {
		if !g.isKnown {
			n.emit(ReadRow{Group: g.id})
			continue
		}
		if w := g.write; w != nil && w.needsRetry {
			w.needsRetry = false
			n.emit(WriteRow{Group: g.id, Row: w.row, Version: w.version})
		}
		if g.lease.epoch == 0 {
			n.trySucceed(now, g)
			continue
		}
		if err := n.maintainOwned(now, g); err != nil {
			return err
		}
	}
	n.proposeHandover(now)
	return nil
}

// wake continues the succession of groups that may be waiting for their next owner.
func (n *Node) wake(now structs.Instant) {
	for _, g := range n.groups {
		n.continueSuccession(now, g)
	}
}

func (n *Node) continueSuccession(now structs.Instant, g *group) {
	switch {
	case !g.isKnown:
	case g.lease.epoch == 0:
		n.trySucceed(now, g)
	case g.row.Revocation != nil && !g.lease.isReleased && !g.isHeld(now):
		n.requestPromises(now, g)
	}
}

func (n *Node) receive(now structs.Instant, msg Message) error {
	if msg.To.Incarnation != n.self.Incarnation && !n.mutations.answerForPredecessor {
		return nil
	}
	if int(msg.Group) >= len(n.groups) {
		return nil
	}
	switch msg.Kind {
	case RenewRequest:
		kind := RenewNack
		if n.witness.acknowledge(now, msg.Group, msg.Epoch) {
			kind = RenewAck
		}
		n.reply(kind, msg)
		if g := n.groups[msg.Group]; g.isKnown && msg.Epoch > g.row.Epoch {
			n.emit(ReadRow{Group: msg.Group})
		}
	case PromiseRequest:
		g := n.groups[msg.Group]
		kind := PromiseDeclined
		if n.witness.promise(now, msg.Group, msg.Epoch, g.row.Epoch == msg.Epoch && n.hasOwnerExited(g)) {
			kind = PromiseGranted
		}
		msg.Age = n.witness.ackAge(now, msg.Group)
		n.reply(kind, msg)
	case RenewAck:
		return n.recordAck(now, msg)
	case RenewNack, ReleaseNotice:
		n.emit(ReadRow{Group: msg.Group})
	case PromiseGranted:
		n.recordPromise(now, msg)
	}
	return nil
}

// reply answers a message in the name of the member it was addressed to. That is this
// process, unless a test lets a process answer for an earlier incarnation.
func (n *Node) reply(kind Kind, msg Message) {
	n.emit(SendMessage{Message: Message{
		Kind: kind, From: msg.To, To: msg.From,
		Group: msg.Group, Epoch: msg.Epoch, Round: msg.Round, Age: msg.Age,
	}})
}

func (n *Node) send(kind Kind, to Member, g Group, epoch structs.Epoch, round uint64) {
	n.emit(SendMessage{Message: Message{Kind: kind, From: n.self, To: to, Group: g, Epoch: epoch, Round: round}})
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

func (n *Node) write(_ structs.Instant, g *group, row Row) {
	g.write = &write{row: row, version: g.version}
	n.emit(WriteRow{Group: g.id, Row: row, Version: g.version})
}

func (n *Node) writeFailed(g *group, ev WriteFailed) {
	w := g.write
	if w == nil || w.version != ev.Version {
		return
	}
	w.mayHaveApplied = w.mayHaveApplied || ev.Unknown
	if !w.mayHaveApplied {
		g.write = nil
		return
	}
	w.needsRetry = true
}
