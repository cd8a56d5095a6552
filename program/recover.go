package program

import (
	"bytes"
	"fmt"
	"sort"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

// HistoryError says that the records of a program are not a complete and
// consistent history.
type HistoryError struct {
	Program structs.ProgramID
	Seq     uint64
	Detail  string
}

// Error names the program and the record.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("history of program %q: record %d: %s", e.Program, e.Seq, e.Detail)
}

// acquireSlot takes ownership of a slot and rebuilds its programs from the
// journal.
func (c *Core) acquireSlot(e SlotGained) {
	if epoch, owned := c.slots[e.Slot]; owned && epoch >= e.Epoch {
		return
	}
	c.dropSlot(e.Slot)
	c.slots[e.Slot] = e.Epoch
	if c.opts.mutations.skipRecovery {
		return
	}
	var recovered []*program
	for _, records := range groupByProgram(e.Records) {
		recovered = append(recovered, c.recoverProgram(e.Slot, records))
	}
	c.linkParents(recovered)
	for _, p := range recovered {
		c.resumeProgram(p)
	}
}

// advanceEpoch uses the later epoch for all further records. Calls in progress
// continue, because no other process can have owned the slot in between.
func (c *Core) advanceEpoch(e SlotContinued) {
	if epoch, owned := c.slots[e.Slot]; !owned || epoch >= e.Epoch {
		return
	}
	c.slots[e.Slot] = e.Epoch
	for _, p := range c.programs {
		if p.slot == e.Slot {
			p.epoch = e.Epoch
		}
	}
}

func groupByProgram(records []journal.Record) [][]journal.Record {
	groups := make(map[structs.ProgramID][]journal.Record)
	for _, r := range records {
		groups[r.Program] = append(groups[r.Program], r)
	}
	lists := make([][]journal.Record, 0, len(groups))
	for _, id := range sortedKeys(groups) {
		list := groups[id]
		sort.SliceStable(list, func(i, j int) bool { return list[i].Seq < list[j].Seq })
		lists = append(lists, list)
	}
	return lists
}

// singleIdleLimit is how long a recovered program that was created for one call
// waits for that call to be repeated.
const singleIdleLimit = time.Minute

func (c *Core) recoverProgram(slot structs.Slot, records []journal.Record) *program {
	p := c.addProgram(structs.CreateProgram{ID: records[0].Program}, 0)
	p.slot = slot
	if err := c.applyRecords(p, records); err != nil {
		p.state = stateCorrupt
		c.reportViolation("recovered_history", "%v", err)
	}
	if c.opts.IdleLimit != nil {
		p.idleLimit = c.opts.IdleLimit(p.spec.Kind)
	}
	if p.spec.SingleCall {
		p.idleLimit = singleIdleLimit
	}
	return p
}

// applyRecords rebuilds a program from its records. A record may occur twice, but
// both copies must be equal.
func (c *Core) applyRecords(p *program, records []journal.Record) error {
	var last journal.Record
	for _, r := range records {
		if r.Seq == last.Seq {
			if r.Kind != last.Kind || !bytes.Equal(r.Body, last.Body) {
				return &HistoryError{Program: p.spec.ID, Seq: r.Seq, Detail: "two records with this number differ"}
			}
			continue
		}
		if r.Seq != last.Seq+1 || r.Epoch < last.Epoch {
			return &HistoryError{Program: p.spec.ID, Seq: r.Seq, Detail: fmt.Sprintf("does not continue the sequence or epochs of record %d", last.Seq)}
		}
		if err := c.applyRecord(p, r); err != nil {
			return err
		}
		last = r
	}
	p.seq = last.Seq
	if p.state != stateEnded {
		c.chargeSuperseded(p, p.epoch)
	}
	return nil
}

func (c *Core) applyRecord(p *program, r journal.Record) error {
	historyError := func(detail string) error { return &HistoryError{Program: r.Program, Seq: r.Seq, Detail: detail} }
	if (r.Seq == 1) != (r.Kind == journal.KindCreated) {
		return historyError("the first record, and no other, must create the program")
	}
	if p.state == stateEnded {
		return historyError("follows the end of the program")
	}
	var err error
	c.chargeSuperseded(p, r.Epoch)
	switch r.Kind {
	case journal.KindCreated:
		id := p.spec.ID
		err = msgpack.Unmarshal(r.Body, &p.spec)
		if err == nil && p.spec.ID != id {
			p.spec = structs.CreateProgram{ID: id}
			return historyError("belongs to another program")
		}
	case journal.KindIntent:
		p.openIntent = &recoveredIntent{epoch: r.Epoch}
		err = msgpack.Unmarshal(r.Body, &p.openIntent.Intent)
	case journal.KindTurn:
		err = c.applyTurn(p, r)
	case journal.KindEnded:
		var ended journal.Ended
		err = msgpack.Unmarshal(r.Body, &ended)
		p.state = stateEnded
		p.endReason = ended.Reason
		p.endedAt = c.now
	default:
		return historyError("has an unknown kind")
	}
	if err != nil {
		return historyError(err.Error())
	}
	return nil
}

func (c *Core) applyTurn(p *program, r journal.Record) error {
	var turn structs.Turn
	if err := msgpack.Unmarshal(r.Body, &turn); err != nil {
		return err
	}
	if turn.Program != p.spec.ID || turn.Number != p.nextNumber() || turn.PrevHash != p.lastHash() || turn.Hash != TurnHash(turn) {
		return &HistoryError{Program: p.spec.ID, Seq: r.Seq, Detail: fmt.Sprintf("turn %d does not follow turn %d", turn.Number, p.nextNumber()-1)}
	}
	c.addTurn(p, turn)
	p.spent += turn.Charged
	p.openIntent = nil
	return nil
}

// chargeSuperseded charges the reservation of a repeatable call that an earlier
// owner left without a turn. It applies when the records of a later owner begin.
func (c *Core) chargeSuperseded(p *program, epoch structs.Epoch) {
	if p.openIntent == nil || !p.openIntent.IsRepeatable || p.openIntent.epoch >= epoch {
		return
	}
	p.spent += p.openIntent.Reserved
	p.openIntent = nil
}

// linkParents connects recovered programs to their parents, descendants first,
// and counts their budgets in those of the parents.
func (c *Core) linkParents(recovered []*program) {
	list := append([]*program(nil), recovered...)
	sort.SliceStable(list, func(i, j int) bool { return len(list[i].spec.ID) > len(list[j].spec.ID) })
	for _, p := range list {
		c.checkBudget(p)
		parent := c.programs[p.spec.Parent]
		if p.spec.Parent == "" || parent == nil || p.state == stateCorrupt {
			continue
		}
		p.parent = parent
		if p.state == stateEnded {
			c.settleReservation(parent, 0, p.spent)
			continue
		}
		parent.children[p.spec.ID] = p
		c.reserve(parent, p.spec.Budget)
	}
}

// resumeProgram continues a recovered program. An intent without a turn is closed
// with an unknown outcome. A program whose parent is not running, or whose budget
// is spent, is ended.
func (c *Core) resumeProgram(p *program) {
	if p.state != stateLive {
		return
	}
	if p.openIntent != nil {
		c.closeOpenIntent(p)
	}
	isOrphan := p.spec.Parent != "" && (p.parent == nil || p.parent.state != stateLive)
	switch {
	case isOrphan:
		c.endProgram(p, reasonParent)
	case p.spec.Budget > 0 && p.spent >= p.spec.Budget:
		c.endProgram(p, reasonBudget)
	}
}

// closeOpenIntent writes a turn with an unknown outcome for an intent that was
// recovered without a turn.
func (c *Core) closeOpenIntent(p *program) {
	intent := p.openIntent
	c.reserve(p, intent.Reserved)
	turn := structs.Turn{
		Program: p.spec.ID, Number: intent.Number, Epoch: p.epoch, PrevHash: p.lastHash(), Service: intent.Service,
		Outcome: structs.RunUnknown, IdempotencyKey: intent.IdempotencyKey,
		Fingerprint: intent.Fingerprint, Charged: intent.Reserved,
	}
	turn.Hash = TurnHash(turn)
	c.append(p, writeTurn, &turn, c.newRecord(p, journal.KindTurn, turn))
}

// dropSlot drops all programs of a lost slot. Callers repeat their requests at
// the next owner.
func (c *Core) dropSlot(slot structs.Slot) {
	if _, owned := c.slots[slot]; !owned {
		return
	}
	delete(c.slots, slot)
	for _, p := range c.sortedPrograms(func(p *program) bool { return p.slot == slot }) {
		c.evictProgram(p)
	}
}

func (c *Core) evictProgram(p *program) {
	if p.pendingWrite != nil {
		delete(c.writes, p.pendingWrite.id)
	}
	notOwner := structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "program %q has moved", p.spec.ID)
	for _, waiting := range p.callsInWindow() {
		c.dropCall(waiting, notOwner)
	}
	if call := p.running; call != nil {
		c.evictCall(call, notOwner)
	}
	for _, token := range append(p.createTokens, p.endTokens...) {
		c.emit(Refuse{Token: token, Refusal: notOwner})
	}
	delete(c.programs, p.spec.ID)
	c.emit(DropProgram{Program: p.spec.ID})
}

// evictCall stops a call of a lost slot. If the call may have run, its callers
// are told that the outcome is unknown.
func (c *Core) evictCall(call *call, notOwner *structs.Refusal) {
	refusal := notOwner
	switch call.stage {
	case stageQueued:
		c.emit(Dequeue{Call: call.id, Service: call.spec.Service()})
	case stageIntent:
		c.emit(UnassignTarget{Call: call.id, Target: call.target})
	case stageSent:
		c.emit(CancelSend{Call: call.id, Attempt: call.attempt})
	}
	if call.mayHaveRun || call.lostTokens > 0 {
		refusal = structs.Refuse(structs.RefusedAnswerIncomplete, structs.RunUnknown, "program %q has moved", call.program.spec.ID)
	}
	c.dropCall(call, refusal)
}
