package program

import (
	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

// advance starts the program's next step, unless a write or a call is in
// progress.
func (c *Core) advance(p *program) {
	if p.pendingWrite != nil || p.running != nil {
		return
	}
	switch p.state {
	case stateEnding:
		c.recordEnd(p)
	case stateLive:
		c.startNextCall(p)
	}
}

// startNextCall reserves budget for the next call of the program, if it has
// arrived, and adds the call to the queue.
func (c *Core) startNextCall(p *program) {
	call := p.reorderWindow[p.nextNumber()]
	if call == nil {
		return
	}
	delete(p.reorderWindow, call.number)
	p.running = call
	if refusal := c.reserveCall(call); refusal != nil {
		c.failNotRun(call, refusal)
		return
	}
	c.enqueueCall(call)
}

func (c *Core) enqueueCall(call *call) {
	call.stage = stageQueued
	p := call.program
	item := queue.Item{
		ID: uint64(call.id), Program: p.spec.ID, Parent: p.spec.Parent, Account: p.spec.Account, Service: call.spec.Service(),
		Number: call.number, OutputTokens: call.maxOutput, AttainedService: p.spent, Weight: 1, ArrivedAt: c.now,
	}
	if call.spec.Model != nil {
		item.PromptTokens = call.reserved - call.maxOutput
		item.Prefixes = prefixesOf(p.messages, call.spec.Model.Messages)
	}
	c.emit(Enqueue{Call: call.id, Item: item, Fingerprint: call.fingerprint})
}

// prefixesOf returns the hash and the estimated length of the prompt up to each
// message boundary.
func prefixesOf(history, newMessages []structs.Message) []queue.Prefix {
	prefixes := make([]queue.Prefix, 0, len(history)+len(newMessages))
	digest := xxhash.New()
	var tokens int64
	for _, messages := range [][]structs.Message{history, newMessages} {
		for _, m := range messages {
			digest.WriteString(m.Role)
			digest.Write([]byte{0})
			digest.WriteString(m.Content)
			digest.Write([]byte{0})
			tokens += int64(len(m.Content))/bytesPerToken + 1
			prefixes = append(prefixes, queue.Prefix{Hash: digest.Sum64(), Tokens: tokens})
		}
	}
	return prefixes
}

// bytesPerToken is the usual length of a token. It serves for estimates that only
// placement depends on.
const bytesPerToken = 4

func (c *Core) assignTarget(e TargetAssigned) {
	call := c.calls[e.Call]
	if call == nil || call.stage != stageQueued {
		c.emit(UnassignTarget(e))
		return
	}
	call.target = e.Target
	c.prepareSend(call)
}

// prepareSend sends a call that has a target, after its intent is durable. A
// repeatable plain call costs no tokens and needs no intent.
func (c *Core) prepareSend(call *call) {
	p := call.program
	if call.hasDurableIntent || call.isRepeatable && call.spec.Model == nil || c.opts.mutations.skipIntent {
		c.sendCall(call)
		return
	}
	call.stage = stageIntent
	intent := journal.Intent{
		Number: call.number, Service: call.spec.Service(), Target: call.target, Fingerprint: call.fingerprint,
		IdempotencyKey: call.spec.IdempotencyKey, Reserved: call.lostTokens + call.reserved, IsRepeatable: call.isRepeatable,
	}
	c.append(p, writeIntent, nil, c.newRecord(p, journal.KindIntent, intent))
}

// rejectCall ends a queued call that must not be sent.
func (c *Core) rejectCall(e CallRejected) {
	call := c.calls[e.Call]
	if call == nil || call.stage != stageQueued {
		return
	}
	c.abandonCall(call, *e.Refusal)
}

// abandonCall ends a call that is not at a target. If an earlier attempt may have
// run, the outcome is recorded as unknown.
func (c *Core) abandonCall(call *call, refusal structs.Refusal) {
	if call.lostTokens > 0 {
		refusal.Run = structs.RunUnknown
		c.failUnknown(call, &refusal)
		return
	}
	c.failNotRun(call, &refusal)
}

// intentDurable sends the call, unless it was refused or the program was ended
// while the intent was being written.
func (c *Core) intentDurable(p *program) {
	call := p.running
	call.hasDurableIntent = true
	if call.isRefused || p.state == stateEnding {
		c.emit(UnassignTarget{Call: call.id, Target: call.target})
		c.abandonCall(call, *c.endedRefusal(p))
		return
	}
	c.sendCall(call)
}

func (c *Core) endedRefusal(p *program) *structs.Refusal {
	return structs.Refuse(structs.RefusedProgramEnded, structs.RunNo, "program %q has ended: %s", p.spec.ID, p.endReason)
}

func (c *Core) sendCall(call *call) {
	p := call.program
	if !c.canSend(call) {
		c.emit(UnassignTarget{Call: call.id, Target: call.target})
		c.failNotRun(call, structs.Refuse(structs.RefusedInvariant, structs.RunNo, "call %d is not sent", call.number))
		return
	}
	call.stage = stageSent
	call.mayHaveRun = true
	call.attempt++
	if _, held := p.memoryHolds[call.target]; !held && call.spec.Model != nil {
		p.memoryHolds[call.target] = &memoryHold{}
	}
	c.emit(Send{
		Call: call.id, Attempt: call.attempt, Slot: p.slot, Epoch: p.epoch, Service: call.spec.Service(),
		Target: call.target, Fingerprint: call.fingerprint, Request: buildRequest(call),
	})
}

// canSend checks the invariants that must hold before a call is sent: calls are
// sent in order, the intent is durable, and a call that must not be repeated is
// sent once.
func (c *Core) canSend(call *call) bool {
	p := call.program
	if call.number != p.nextNumber() || p.running != call {
		c.reportViolation("call_order", "program %s: call %d would be sent before call %d", p.spec.ID, call.number, p.nextNumber())
		return false
	}
	if c.opts.mutations.skipIntent {
		return true
	}
	if !call.hasDurableIntent && (!call.isRepeatable || call.spec.Model != nil) {
		c.reportViolation("intent_before_send", "program %s: call %d would be sent without a durable intent", p.spec.ID, call.number)
		return false
	}
	if call.isRepeatable {
		return true
	}
	if call.mayHaveRun {
		c.reportViolation("sent_once", "program %s: call %d must not be repeated and would be sent again", p.spec.ID, call.number)
		return false
	}
	return true
}

func buildRequest(call *call) target.Request {
	p := call.program
	req := target.Request{Request: call.spec.Request, Hold: p.spec.ID, Plain: call.spec.Plain}
	if call.spec.Model != nil {
		req.MaxTokens = call.maxOutput
		req.Messages = make([]structs.Message, 0, len(p.messages)+len(call.spec.Model.Messages))
		req.Messages = append(req.Messages, p.messages...)
		req.Messages = append(req.Messages, call.spec.Model.Messages...)
	}
	return req
}

// dispatchedCall returns the call if the given attempt is still in progress, else
// nil.
func (c *Core) dispatchedCall(id CallID, attempt int) *call {
	call := c.calls[id]
	if call == nil || call.stage != stageSent || call.attempt != attempt {
		return nil
	}
	return call
}

func (c *Core) receivePart(e ResponsePart) {
	call := c.dispatchedCall(e.Call, e.Attempt)
	if call == nil {
		return
	}
	if len(call.response)+len(e.Data) > c.opts.MaxResponseBytes {
		c.emit(CancelSend{Call: call.id, Attempt: call.attempt})
		c.failUnknown(call, structs.Refuse(structs.RefusedAnswerIncomplete, structs.RunUnknown, "the answer is longer than %d bytes", c.opts.MaxResponseBytes))
		return
	}
	c.startResponse(call, e.Status, e.Header)
	offset := len(call.response)
	call.response = append(call.response, e.Data...)
	for _, caller := range call.callers {
		c.deliverData(call, caller, offset, call.response[offset:])
	}
}

// startResponse tells all callers, once, that the response has begun.
func (c *Core) startResponse(call *call, status int, header map[string][]string) {
	if call.hasResponse {
		return
	}
	call.hasResponse = true
	call.status = status
	call.header = header
	for _, caller := range call.callers {
		c.deliverStarted(call, caller)
	}
}

func (c *Core) deliverStarted(call *call, to *caller) {
	to.hasStarted = true
	c.emit(DeliverEvent{Token: to.token, Event: structs.CallEvent{
		Kind: structs.EventStarted, Request: to.request, Number: call.number, Status: call.status, Header: call.header,
	}})
}

func (c *Core) deliverData(_ *call, to *caller, offset int, data []byte) {
	if len(data) == 0 {
		return
	}
	c.emit(DeliverEvent{Token: to.token, Event: structs.CallEvent{
		Kind: structs.EventData, Request: to.request, Offset: int64(offset), Data: data,
	}})
}
