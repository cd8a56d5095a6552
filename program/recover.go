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

// HistoryError says that the records of a program are not a whole history.
type HistoryError struct {
	Program structs.ProgramID
	Seq     uint64
	Detail  string
}

// Error names the program and the record.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("program %q: record %d: %s", e.Program, e.Seq, e.Detail)
}

// gain takes a slot over with what its journal holds.
func (c *Core) gain(e SlotGained) {
	if epoch, owned := c.slots[e.Slot]; owned && epoch >= e.Epoch {
		return
	}
	c.lose(e.Slot)
	c.slots[e.Slot] = e.Epoch
	if c.opts.rules.skipRecovery {
		return
	}
	var recovered []*program
	for _, records := range byProgram(e.Records) {
		recovered = append(recovered, c.recoverProgram(e.Slot, records))
	}
	c.link(recovered)
	for _, p := range recovered {
		c.resume(p)
	}
}

// continueSlot writes under the later epoch from now on. Calls go on: no other
// process can have acted for the slot.
func (c *Core) continueSlot(e SlotContinued) {
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

func byProgram(records []journal.Record) [][]journal.Record {
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

// singleIdleLimit is how long a recovered program that was made for one call
// waits for that call to be asked again.
const singleIdleLimit = time.Minute

func (c *Core) recoverProgram(slot structs.Slot, records []journal.Record) *program {
	p := c.addProgram(structs.CreateProgram{ID: records[0].Program}, 0)
	p.slot = slot
	if err := c.apply(p, records); err != nil {
		p.state = stateDamaged
		c.fault("recovered_history", "%v", err)
	}
	if c.opts.IdleLimit != nil {
		p.idleLimit = c.opts.IdleLimit(p.spec.Kind)
	}
	if p.spec.SingleCall {
		p.idleLimit = singleIdleLimit
	}
	return p
}

// apply rebuilds a program from its records. A record that stands twice must
// be the same both times.
func (c *Core) apply(p *program, records []journal.Record) error {
	var last journal.Record
	for _, r := range records {
		if r.Seq == last.Seq {
			if r.Kind != last.Kind || !bytes.Equal(r.Body, last.Body) {
				return &HistoryError{Program: p.spec.ID, Seq: r.Seq, Detail: "two records differ"}
			}
			continue
		}
		if r.Seq != last.Seq+1 || r.Epoch < last.Epoch {
			return &HistoryError{Program: p.spec.ID, Seq: r.Seq, Detail: fmt.Sprintf("follows record %d", last.Seq)}
		}
		if err := c.applyRecord(p, r); err != nil {
			return err
		}
		last = r
	}
	p.seq = last.Seq
	if p.state != stateEnded {
		c.supersede(p, p.epoch)
	}
	return nil
}

func (c *Core) applyRecord(p *program, r journal.Record) error {
	bad := func(detail string) error { return &HistoryError{Program: r.Program, Seq: r.Seq, Detail: detail} }
	if (r.Seq == 1) != (r.Kind == journal.KindCreated) {
		return bad("only the first record creates a program")
	}
	if p.state == stateEnded {
		return bad("stands after the end")
	}
	var err error
	c.supersede(p, r.Epoch)
	switch r.Kind {
	case journal.KindCreated:
		id := p.spec.ID
		err = msgpack.Unmarshal(r.Body, &p.spec)
		if err == nil && p.spec.ID != id {
			p.spec = structs.CreateProgram{ID: id}
			return bad("is of another program")
		}
	case journal.KindIntent:
		p.open = &openIntent{epoch: r.Epoch}
		err = msgpack.Unmarshal(r.Body, &p.open.Intent)
	case journal.KindTurn:
		err = c.applyTurn(p, r)
	case journal.KindEnded:
		var ended journal.Ended
		err = msgpack.Unmarshal(r.Body, &ended)
		p.state = stateEnded
		p.endReason = ended.Reason
		p.endedAt = c.now
	default:
		return bad("is of an unknown kind")
	}
	if err != nil {
		return bad(err.Error())
	}
	return nil
}

func (c *Core) applyTurn(p *program, r journal.Record) error {
	var turn structs.Turn
	if err := msgpack.Unmarshal(r.Body, &turn); err != nil {
		return err
	}
	if turn.Program != p.spec.ID || turn.Number != p.next() || turn.PrevHash != p.lastHash() || turn.Hash != TurnHash(turn) {
		return &HistoryError{Program: p.spec.ID, Seq: r.Seq, Detail: fmt.Sprintf("turn %d does not follow turn %d", turn.Number, p.next()-1)}
	}
	c.addTurn(p, turn)
	p.spent += turn.Charged
	p.open = nil
	return nil
}

// supersede counts the cost of a call that may be repeated and that its owner
// left without a turn, when a later owner's records begin.
func (c *Core) supersede(p *program, epoch structs.Epoch) {
	if p.open == nil || !p.open.Repeatable || p.open.epoch >= epoch {
		return
	}
	p.spent += p.open.Reserved
	p.open = nil
}

// link joins recovered programs to their parents, descendants first, and
// counts their budgets.
func (c *Core) link(recovered []*program) {
	list := append([]*program(nil), recovered...)
	sort.SliceStable(list, func(i, j int) bool { return len(list[i].spec.ID) > len(list[j].spec.ID) })
	for _, p := range list {
		c.checkBudget(p)
		parent := c.programs[p.spec.Parent]
		if p.spec.Parent == "" || parent == nil || p.state == stateDamaged {
			continue
		}
		p.parent = parent
		if p.state == stateEnded {
			c.settle(parent, 0, p.spent)
			continue
		}
		parent.children[p.spec.ID] = p
		c.reserve(parent, p.spec.Budget)
	}
}

// resume goes on with a recovered program: an intent without a turn is closed
// as unknown, and a program without a running parent is ended.
func (c *Core) resume(p *program) {
	if p.state != stateLive {
		return
	}
	if p.open != nil {
		c.closeUnknown(p)
	}
	orphan := p.spec.Parent != "" && (p.parent == nil || p.parent.state != stateLive)
	switch {
	case orphan:
		c.end(p, reasonParent)
	case p.spec.Budget > 0 && p.spent >= p.spec.Budget:
		c.end(p, reasonBudget)
	}
}

func (c *Core) closeUnknown(p *program) {
	intent := p.open
	c.reserve(p, intent.Reserved)
	turn := structs.Turn{
		Program: p.spec.ID, Number: intent.Number, Epoch: p.epoch, PrevHash: p.lastHash(), Service: intent.Service,
		Outcome: structs.RunUnknown, IdempotencyKey: intent.IdempotencyKey,
		Fingerprint: intent.Fingerprint, Charged: intent.Reserved,
	}
	turn.Hash = TurnHash(turn)
	c.append(p, writeTurn, &turn, c.record(p, journal.KindTurn, turn))
}

// lose drops everything of a slot. Callers ask the next owner.
func (c *Core) lose(slot structs.Slot) {
	if _, owned := c.slots[slot]; !owned {
		return
	}
	delete(c.slots, slot)
	for _, p := range c.sorted(func(p *program) bool { return p.slot == slot }) {
		c.loseProgram(p)
	}
}

func (c *Core) loseProgram(p *program) {
	if p.writing != nil {
		delete(c.writes, p.writing.id)
	}
	moved := structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "program %q has moved", p.spec.ID)
	for _, held := range p.heldCalls() {
		c.dropCall(held, moved)
	}
	if call := p.running; call != nil {
		c.loseCall(call, moved)
	}
	for _, token := range append(p.creators, p.enders...) {
		c.emit(Refuse{Token: token, Refusal: moved})
	}
	delete(c.programs, p.spec.ID)
	c.emit(DropProgram{Program: p.spec.ID})
}

func (c *Core) loseCall(call *call, moved *structs.Refusal) {
	refusal := moved
	switch call.stage {
	case stageQueued:
		c.emit(Dequeue{Call: call.id, Service: call.spec.Service()})
	case stageIntent:
		c.emit(UnassignTarget{Call: call.id, Target: call.target})
	case stageSent:
		c.emit(CancelSend{Call: call.id, Attempt: call.attempt})
	}
	if call.sent || call.lost > 0 {
		refusal = structs.Refuse(structs.RefusedAnswerIncomplete, structs.RunUnknown, "program %q has moved", call.program.spec.ID)
	}
	c.dropCall(call, refusal)
}
