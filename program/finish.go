package program

import (
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

func (c *Core) finishDispatch(e DispatchFinished) {
	call := c.dispatchedCall(e.Call, e.Attempt)
	if call == nil {
		return
	}
	switch e.Result {
	case ResultDone:
		c.startResponse(call, 0, nil)
		call.usage = e.Usage
		c.recordTurn(call, structs.RunYes)
	case ResultNotSent:
		call.mayHaveRun = call.lostTokens > 0
		c.retryCall(call, structs.Refuse(structs.RefusedNoTarget, structs.RunNo, "target %q was not reached: %s", call.target, e.Detail))
	case ResultRefused:
		c.handleTargetRefusal(call, e)
	case ResultIncomplete:
		c.handleIncomplete(call, e)
	default:
		c.failUnknown(call, structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "target %q failed: %s", call.target, e.Detail))
	}
}

// handleTargetRefusal handles a target's reply that it did not run the call. A
// repeatable call is tried again. Bytes of the request were sent, so the refusal
// never says "not run".
func (c *Core) handleTargetRefusal(call *call, e DispatchFinished) {
	refusal := structs.Refuse(structs.RefusedTargetFailed, structs.RunUnknown, "target %q refused: %s", call.target, e.Detail)
	if !call.isRepeatable {
		c.failUnknown(call, refusal)
		return
	}
	c.retryCall(call, refusal)
}

// handleIncomplete handles a response that ended early. A repeatable call is
// dispatched again as long as no byte of its response was passed on. The attempt
// is charged its whole reservation, since the target may have run it.
func (c *Core) handleIncomplete(call *call, e DispatchFinished) {
	if !call.isRepeatable || call.hasResponse {
		kind := structs.RefusedOutcomeUnknown
		if call.hasResponse {
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
	c.settleReservation(call.program, call.reserved, call.reserved)
	call.lostTokens += call.reserved
	call.reserved = 0
	call.hasDurableIntent = false
	if denied := c.reserveCall(call); denied != nil {
		c.failUnknown(call, refusal)
		return
	}
	c.enqueueCall(call)
}

// retryCall dispatches a call again that did not run. Without attempts or time
// left, or when the program is ending, it refuses the call instead.
func (c *Core) retryCall(call *call, refusal *structs.Refusal) {
	isEnding := call.program.state == stateEnding
	if call.attempt < c.opts.MaxAttempts && c.now < call.deadline && !isEnding {
		c.enqueueCall(call)
		return
	}
	if call.lostTokens > 0 {
		refusal.Run = structs.RunUnknown
		c.failUnknown(call, refusal)
		return
	}
	c.failNotRun(call, refusal)
}

// recordTurn writes the turn of a call that has ended or whose end will not be
// seen.
func (c *Core) recordTurn(call *call, outcome structs.Run) {
	p := call.program
	call.stage = stageTurn
	turn := structs.Turn{
		Program: p.spec.ID, Number: call.number, Epoch: p.epoch, PrevHash: p.lastHash(), Service: call.spec.Service(),
		Usage: call.usage, Outcome: outcome, IdempotencyKey: call.spec.IdempotencyKey,
		Fingerprint: call.fingerprint, Charged: call.lostTokens + call.reserved,
	}
	if outcome == structs.RunYes {
		turn.Charged = c.finalCost(call)
		fillResponse(&turn, call)
	}
	turn.Hash = TurnHash(turn)
	records := []journal.Record{c.newRecord(p, journal.KindTurn, turn)}
	if call.spec.EndAfter {
		p.endReason = reasonSingle
		records = append(records, c.newRecord(p, journal.KindEnded, journal.Ended{Reason: p.endReason}))
	}
	c.append(p, writeTurn, &turn, records...)
}

func fillResponse(turn *structs.Turn, call *call) {
	if plain := call.spec.Plain; plain != nil {
		turn.Plain = &structs.PlainTurn{Method: plain.Method, Path: plain.Path, Status: call.status, Header: call.header, Body: call.response}
		return
	}
	turn.Messages = append(turn.Messages, call.spec.Model.Messages...)
	turn.Messages = append(turn.Messages, structs.Message{Role: roleAssistant, Content: string(call.response)})
}

const roleAssistant = "assistant"

func (p *program) lastHash() uint64 {
	if len(p.turns) == 0 {
		return 0
	}
	return p.turns[len(p.turns)-1].Hash
}

// addTurn appends a durable turn to the history.
func (c *Core) addTurn(p *program, turn structs.Turn) {
	if turn.Number != p.nextNumber() || turn.PrevHash != p.lastHash() {
		c.reportViolation("history_chain", "program %s: turn %d does not follow turn %d", p.spec.ID, turn.Number, p.nextNumber()-1)
	}
	p.turns = append(p.turns, turn)
	p.messages = append(p.messages, turn.Messages...)
	if turn.IdempotencyKey != "" {
		p.numberByKey[turn.IdempotencyKey] = turn.Number
	}
	if turn.Plain == nil && turn.Outcome == structs.RunYes {
		p.historyTokens = turn.Usage.Total()
	}
}

// turnDurable settles the reservation of a durable turn, sends the outcome to the
// callers and continues with the program.
func (c *Core) turnDurable(p *program, turn structs.Turn) {
	c.addTurn(p, turn)
	call := p.running
	p.running = nil
	p.lastActive = c.now
	if call == nil { // the turn closes a recovered intent
		p.openIntent = nil
		c.settleReservation(p, turn.Charged, turn.Charged)
	} else {
		c.settleReservation(p, call.reserved, turn.Charged-call.lostTokens)
		c.acknowledge(call, turn)
	}
	if call != nil && call.spec.EndAfter {
		c.endDurable(p)
		return
	}
	if p.state == stateLive && p.spec.Budget > 0 && p.spent >= p.spec.Budget {
		c.endProgram(p, reasonBudget)
		return
	}
	c.advance(p)
}

func (c *Core) acknowledge(call *call, turn structs.Turn) {
	delete(c.calls, call.id)
	for _, caller := range call.callers {
		if turn.Outcome != structs.RunYes {
			c.emit(Refuse{Token: caller.token, Refusal: call.refusal})
			continue
		}
		c.emit(DeliverEvent{Token: caller.token, Event: doneEvent(caller.request, call.response, turn.Usage, false)})
	}
}

// failUnknown ends a call whose end was not seen. Its number is used up and its
// whole reservation is charged.
func (c *Core) failUnknown(call *call, refusal *structs.Refusal) {
	call.refusal = refusal
	c.recordTurn(call, structs.RunUnknown)
}

// failNotRun ends a call that did not run. Its number can be used again.
func (c *Core) failNotRun(call *call, refusal *structs.Refusal) {
	p := call.program
	p.running = nil
	c.dropCall(call, refusal)
	if call.spec.EndAfter && (p.isEphemeral || len(p.deferredRecords) > 0) {
		c.settleReservation(p, call.reserved, 0)
		c.dropProgram(p, refusal.Kind)
		return
	}
	if call.hasDurableIntent && !call.spec.EndAfter && p.state == stateLive {
		c.withdrawIntent(call)
		return
	}
	c.settleReservation(p, call.reserved, 0)
	if call.spec.EndAfter {
		c.endProgram(p, reasonSingle)
	}
	c.advance(p)
}

// withdrawIntent records that the call of an intent did not run. The reservation
// is returned only after this record is durable: until then a new owner of the
// slot would find the intent and charge the reservation.
func (c *Core) withdrawIntent(call *call) {
	p := call.program
	p.withdrawnTokens = call.reserved
	void := journal.Intent{Number: call.number, Service: call.spec.Service(), Fingerprint: call.fingerprint, IsRepeatable: true}
	c.append(p, writeWithdrawal, nil, c.newRecord(p, journal.KindIntent, void))
}

func (c *Core) withdrawalDurable(p *program) {
	c.settleReservation(p, p.withdrawnTokens, 0)
	p.withdrawnTokens = 0
	c.advance(p)
}

// dropCall sends the refusal to the callers of a call and removes the call.
func (c *Core) dropCall(call *call, refusal *structs.Refusal) {
	delete(c.calls, call.id)
	delete(call.program.reorderWindow, call.number)
	for _, caller := range call.callers {
		c.emit(Refuse{Token: caller.token, Refusal: refusal})
	}
	call.callers = nil
}
