package program

import (
	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/structs"
)

// proceed starts what the program can do next.
func (c *Core) proceed(p *program) {
	if p.writing != nil || p.running != nil {
		return
	}
	switch p.state {
	case stateEnding:
		c.continueEnd(p)
	case stateLive:
		c.startNext(p)
	}
}

func (c *Core) startNext(p *program) {
	call := p.window[p.next()]
	if call == nil {
		return
	}
	delete(p.window, call.number)
	p.running = call
	if refusal := c.reserveCall(call); refusal != nil {
		c.failNotRun(call, refusal)
		return
	}
	c.enqueue(call)
}

func (c *Core) enqueue(call *call) {
	call.stage = stageQueued
	p := call.program
	item := queue.Item{
		ID: uint64(call.id), Program: p.spec.ID, Parent: p.spec.Parent, Account: p.spec.Account, Service: call.spec.Service(),
		Number: call.number, OutputTokens: call.output, AttainedService: p.spent, Weight: 1, ArrivedAt: c.now,
	}
	if call.spec.Model != nil {
		item.PromptTokens = call.reserved - call.output
		item.Prefixes = prefixesOf(p.prefix, call.spec.Model.Messages)
	}
	c.emit(Enqueue{Call: call.id, Item: item, Fingerprint: call.fingerprint})
}

// prefixesOf hashes the prompt up to each message boundary.
func prefixesOf(history, added []structs.Message) []queue.Prefix {
	prefixes := make([]queue.Prefix, 0, len(history)+len(added))
	digest := xxhash.New()
	var tokens int64
	for _, messages := range [][]structs.Message{history, added} {
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

// bytesPerToken is the usual length of a token, for estimates that only
// placement depends on.
const bytesPerToken = 4

func (c *Core) chosen(e TargetAssigned) {
	call := c.calls[e.Call]
	if call == nil || call.stage != stageQueued {
		c.emit(UnassignTarget(e))
		return
	}
	call.target = e.Target
	c.startSend(call)
}

// startSend sends a call that has a target once its intent is durable. A call
// that may be repeated and costs nothing needs none.
func (c *Core) startSend(call *call) {
	p := call.program
	if call.intent || call.repeatable && call.spec.Model == nil || c.opts.rules.skipIntent {
		c.send(call)
		return
	}
	call.stage = stageIntent
	intent := journal.Intent{
		Number: call.number, Service: call.spec.Service(), Target: call.target, Fingerprint: call.fingerprint,
		IdempotencyKey: call.spec.IdempotencyKey, Reserved: call.lost + call.reserved, Repeatable: call.repeatable,
	}
	c.append(p, writeIntent, nil, c.record(p, journal.KindIntent, intent))
}

// rejected gives up a call that waits for a target.
func (c *Core) rejected(e CallRejected) {
	call := c.calls[e.Call]
	if call == nil || call.stage != stageQueued {
		return
	}
	c.giveUpCall(call, *e.Refusal)
}

// giveUpCall ends a call that is not at a target.
func (c *Core) giveUpCall(call *call, refusal structs.Refusal) {
	if call.lost > 0 {
		refusal.Run = structs.RunUnknown
		c.failUnknown(call, &refusal)
		return
	}
	c.failNotRun(call, &refusal)
}

// intentDurable sends the call, unless it was given up meanwhile.
func (c *Core) intentDurable(p *program) {
	call := p.running
	call.intent = true
	if call.expired || p.state == stateEnding {
		c.emit(UnassignTarget{Call: call.id, Target: call.target})
		c.giveUpCall(call, *c.endedRefusal(p))
		return
	}
	c.send(call)
}

func (c *Core) endedRefusal(p *program) *structs.Refusal {
	return structs.Refuse(structs.RefusedProgramEnded, structs.RunNo, "program %q has ended: %s", p.spec.ID, p.endReason)
}

func (c *Core) send(call *call) {
	p := call.program
	if !c.maySend(call) {
		c.emit(UnassignTarget{Call: call.id, Target: call.target})
		c.failNotRun(call, structs.Refuse(structs.RefusedInvariant, structs.RunNo, "call %d is not sent", call.number))
		return
	}
	call.stage = stageSent
	call.sent = true
	call.attempt++
	if _, held := p.holds[call.target]; !held && call.spec.Model != nil {
		p.holds[call.target] = &hold{}
	}
	c.emit(Send{
		Call: call.id, Attempt: call.attempt, Slot: p.slot, Epoch: p.epoch, Service: call.spec.Service(),
		Target: call.target, Fingerprint: call.fingerprint, Request: requestOf(call),
	})
}

// maySend asserts what must hold before bytes leave for a target.
func (c *Core) maySend(call *call) bool {
	p := call.program
	if call.number != p.next() || p.running != call {
		c.fault("call_order", "%s: call %d is sent before call %d", p.spec.ID, call.number, p.next())
		return false
	}
	if c.opts.rules.skipIntent {
		return true
	}
	if !call.intent && (!call.repeatable || call.spec.Model != nil) {
		c.fault("intent_before_send", "%s: call %d has no durable intent", p.spec.ID, call.number)
		return false
	}
	if call.repeatable {
		return true
	}
	if call.sent {
		c.fault("sent_once", "%s: call %d is sent again", p.spec.ID, call.number)
		return false
	}
	return true
}

func requestOf(call *call) target.Request {
	p := call.program
	req := target.Request{Request: call.spec.Request, Hold: p.spec.ID, Plain: call.spec.Plain}
	if call.spec.Model != nil {
		req.MaxTokens = call.output
		req.Messages = make([]structs.Message, 0, len(p.prefix)+len(call.spec.Model.Messages))
		req.Messages = append(req.Messages, p.prefix...)
		req.Messages = append(req.Messages, call.spec.Model.Messages...)
	}
	return req
}

// current returns the call of a dispatch that is still wanted.
func (c *Core) current(id CallID, attempt int) *call {
	call := c.calls[id]
	if call == nil || call.stage != stageSent || call.attempt != attempt {
		return nil
	}
	return call
}

func (c *Core) part(e ResponsePart) {
	call := c.current(e.Call, e.Attempt)
	if call == nil {
		return
	}
	if len(call.answer)+len(e.Data) > c.opts.MaxResponseBytes {
		c.emit(CancelSend{Call: call.id, Attempt: call.attempt})
		c.failUnknown(call, structs.Refuse(structs.RefusedAnswerIncomplete, structs.RunUnknown, "the answer is longer than %d bytes", c.opts.MaxResponseBytes))
		return
	}
	c.begin(call, e.Status, e.Header)
	offset := len(call.answer)
	call.answer = append(call.answer, e.Data...)
	for _, caller := range call.callers {
		c.pass(call, caller, offset, call.answer[offset:])
	}
}

// begin tells the callers that an answer has begun, once.
func (c *Core) begin(call *call, status int, header map[string][]string) {
	if call.begun {
		return
	}
	call.begun = true
	call.status = status
	call.header = header
	for _, caller := range call.callers {
		c.start(call, caller)
	}
}

func (c *Core) start(call *call, to *caller) {
	to.started = true
	c.emit(DeliverEvent{Token: to.token, Event: structs.CallEvent{
		Kind: structs.EventStarted, Request: to.request, Number: call.number, Status: call.status, Header: call.header,
	}})
}

func (c *Core) pass(_ *call, to *caller, offset int, data []byte) {
	if len(data) == 0 {
		return
	}
	c.emit(DeliverEvent{Token: to.token, Event: structs.CallEvent{
		Kind: structs.EventData, Request: to.request, Offset: int64(offset), Data: data,
	}})
}
