package program

import (
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

func (c *Core) finished(e DispatchFinished) {
	call := c.current(e.Call, e.Attempt)
	if call == nil {
		return
	}
	switch e.Result {
	case ResultDone:
		c.begin(call, 0, nil)
		call.usage = e.Usage
		c.recordTurn(call, structs.RunYes)
	case ResultNotSent:
		call.sent = call.lost > 0
		c.tryAgain(call, structs.Refuse(structs.RefusedNoTarget, structs.RunNo, "target %q was not reached: %s", call.target, e.Detail))
	case ResultRefused:
		c.refusedByTarget(call, e)
	case ResultIncomplete:
		c.broken(call, e)
	default:
		c.failUnknown(call, structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "target %q failed: %s", call.target, e.Detail))
	}
}

// refusedByTarget goes on after a target answered that it did not run the
// call. Bytes of it left, so it is never called "not run".
func (c *Core) refusedByTarget(call *call, e DispatchFinished) {
	refusal := structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "target %q refused: %s", call.target, e.Detail)
	if !call.repeatable {
		c.failUnknown(call, refusal)
		return
	}
	c.tryAgain(call, refusal)
}

// broken goes on after an answer without an end. A call that may be repeated
// is dispatched again while no byte of its answer was passed on; the attempt
// costs its reservation.
func (c *Core) broken(call *call, e DispatchFinished) {
	if !call.repeatable || call.begun {
		kind := structs.RefusedOutcomeUnknown
		if call.begun {
			kind = structs.RefusedAnswerIncomplete
		}
		c.failUnknown(call, structs.Refuse(kind, structs.RunUnknown, "the answer of target %q was cut: %s", call.target, e.Detail))
		return
	}
	refusal := structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "target %q: %s", call.target, e.Detail)
	if call.attempt >= c.opts.MaxAttempts || c.now >= call.deadline {
		c.failUnknown(call, refusal)
		return
	}
	c.settle(call.program, call.reserved, call.reserved)
	call.lost += call.reserved
	call.reserved = 0
	call.intent = false
	if again := c.reserveCall(call); again != nil {
		c.failUnknown(call, refusal)
		return
	}
	c.enqueue(call)
}

// tryAgain dispatches a call again that did not run, or gives it up.
func (c *Core) tryAgain(call *call, refusal *structs.Refusal) {
	ended := call.program.state == stateEnding
	if call.attempt < c.opts.MaxAttempts && c.now < call.deadline && !ended {
		c.enqueue(call)
		return
	}
	if call.lost > 0 {
		refusal.Run = structs.RunUnknown
		c.failUnknown(call, refusal)
		return
	}
	c.failNotRun(call, refusal)
}

// recordTurn writes the turn of a call that has ended or will not be seen to
// end.
func (c *Core) recordTurn(call *call, outcome structs.Run) {
	p := call.program
	call.stage = stageTurn
	turn := structs.Turn{
		Program: p.spec.ID, Number: call.number, Epoch: p.epoch, PrevHash: p.lastHash(), Service: call.spec.Service(),
		Usage: call.usage, Outcome: outcome, IdempotencyKey: call.spec.IdempotencyKey,
		Fingerprint: call.fingerprint, Charged: call.lost + call.reserved,
	}
	if outcome == structs.RunYes {
		turn.Charged = c.charge(call)
		fillAnswer(&turn, call)
	}
	turn.Hash = TurnHash(turn)
	records := []journal.Record{c.record(p, journal.KindTurn, turn)}
	if call.spec.EndAfter {
		p.endReason = reasonSingle
		records = append(records, c.record(p, journal.KindEnded, journal.Ended{Reason: p.endReason}))
	}
	c.append(p, writeTurn, &turn, records...)
}

func fillAnswer(turn *structs.Turn, call *call) {
	if plain := call.spec.Plain; plain != nil {
		turn.Plain = &structs.PlainTurn{Method: plain.Method, Path: plain.Path, Status: call.status, Header: call.header, Body: call.answer}
		return
	}
	turn.Messages = append(turn.Messages, call.spec.Model.Messages...)
	turn.Messages = append(turn.Messages, structs.Message{Role: roleAssistant, Content: string(call.answer)})
}

const roleAssistant = "assistant"

func (p *program) lastHash() uint64 {
	if len(p.turns) == 0 {
		return 0
	}
	return p.turns[len(p.turns)-1].Hash
}

// addTurn puts a durable turn into the history.
func (c *Core) addTurn(p *program, turn structs.Turn) {
	if turn.Number != p.next() || turn.PrevHash != p.lastHash() {
		c.fault("history_chain", "%s: turn %d does not follow turn %d", p.spec.ID, turn.Number, p.next()-1)
	}
	p.turns = append(p.turns, turn)
	p.prefix = append(p.prefix, turn.Messages...)
	if turn.IdempotencyKey != "" {
		p.keys[turn.IdempotencyKey] = turn.Number
	}
	if turn.Plain == nil && turn.Outcome == structs.RunYes {
		p.historyTokens = turn.Usage.Total()
	}
}

// turnDurable acknowledges a turn to its callers.
func (c *Core) turnDurable(p *program, turn structs.Turn) {
	c.addTurn(p, turn)
	call := p.running
	p.running = nil
	p.active = c.now
	if call == nil { // the turn of a recovered intent
		p.open = nil
		c.settle(p, turn.Charged, turn.Charged)
	} else {
		c.settle(p, call.reserved, turn.Charged-call.lost)
		c.acknowledge(call, turn)
	}
	if call != nil && call.spec.EndAfter {
		c.endDurable(p)
		return
	}
	if p.state == stateLive && p.spec.Budget > 0 && p.spent >= p.spec.Budget {
		c.end(p, reasonBudget)
		return
	}
	c.proceed(p)
}

func (c *Core) acknowledge(call *call, turn structs.Turn) {
	delete(c.calls, call.id)
	for _, caller := range call.callers {
		if turn.Outcome != structs.RunYes {
			c.emit(Refuse{Token: caller.token, Refusal: call.refusal})
			continue
		}
		c.emit(DeliverEvent{Token: caller.token, Event: doneEvent(caller.request, call.answer, turn.Usage, false)})
	}
}

// failUnknown ends a call whose end was not seen: the number is used up and
// the reservation spent.
func (c *Core) failUnknown(call *call, refusal *structs.Refusal) {
	call.refusal = refusal
	c.recordTurn(call, structs.RunUnknown)
}

// failNotRun ends a call of which nothing ran: its number stays free.
func (c *Core) failNotRun(call *call, refusal *structs.Refusal) {
	p := call.program
	p.running = nil
	c.dropCall(call, refusal)
	if call.spec.EndAfter && (p.ephemeral || len(p.unwritten) > 0) {
		c.settle(p, call.reserved, 0)
		c.dropProgram(p, refusal.Kind)
		return
	}
	if call.intent && !call.spec.EndAfter && p.state == stateLive {
		c.voidIntent(call)
		return
	}
	c.settle(p, call.reserved, 0)
	if call.spec.EndAfter {
		c.end(p, reasonSingle)
	}
	c.proceed(p)
}

// voidIntent records that an intent came to nothing. Its reservation is given
// back once that is durable: until then a successor would count it.
func (c *Core) voidIntent(call *call) {
	p := call.program
	p.voided = call.reserved
	void := journal.Intent{Number: call.number, Service: call.spec.Service(), Fingerprint: call.fingerprint, Repeatable: true}
	c.append(p, writeVoid, nil, c.record(p, journal.KindIntent, void))
}

func (c *Core) voidDurable(p *program) {
	c.settle(p, p.voided, 0)
	p.voided = 0
	c.proceed(p)
}

// dropCall refuses a call to its callers and forgets it.
func (c *Core) dropCall(call *call, refusal *structs.Refusal) {
	delete(c.calls, call.id)
	delete(call.program.window, call.number)
	for _, caller := range call.callers {
		c.emit(Refuse{Token: caller.token, Refusal: refusal})
	}
	call.callers = nil
}
