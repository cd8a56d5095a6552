package program

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

func (c *Core) arrive(e CallArrived) {
	p, refusal := c.programFor(e)
	if refusal != nil {
		c.emit(Refuse{Token: e.Token, Refusal: refusal})
		return
	}
	fingerprint := Fingerprint(&e.Call)
	number, refusal := p.numberFor(&e.Call)
	if refusal != nil {
		c.emit(Refuse{Token: e.Token, Refusal: refusal})
		return
	}
	if number < p.next() {
		c.replay(p, number, fingerprint, e)
		return
	}
	if known := p.callAt(number); known != nil {
		c.join(known, fingerprint, e)
		return
	}
	if refusal := c.refuseCall(p, number); refusal != nil {
		c.emit(Refuse{Token: e.Token, Refusal: refusal})
		if len(p.unwritten) > 0 || p.ephemeral {
			c.dropProgram(p, refusal.Kind)
		}
		return
	}
	accepted := &call{
		id:          CallID(c.nextID()),
		program:     p,
		spec:        e.Call,
		number:      number,
		fingerprint: fingerprint,
		repeatable:  e.IsRepeatable,
		deadline:    c.now.Add(e.Timeout),
		stage:       stageHeld,
	}
	accepted.callers = append(accepted.callers, &caller{token: e.Token, request: e.Call.Request})
	c.calls[accepted.id] = accepted
	p.window[number] = accepted
	p.active = c.now
	c.proceed(p)
}

// programFor finds the call's program, or makes it for a call that brings its
// own.
func (c *Core) programFor(e CallArrived) (*program, *structs.Refusal) {
	p, refusal := c.lookup(e.Call.Program, e.Call.Account)
	if refusal == nil && p.spec.Account != e.Call.Account {
		return nil, structs.Refuse(structs.RefusedNotFound, structs.RunNo, "program %q does not exist", e.Call.Program)
	}
	if refusal == nil || refusal.Kind != structs.RefusedNotFound || !e.Call.EndAfter {
		return p, refusal
	}
	if c.programs[e.Call.Program] != nil {
		return nil, refusal // of another account
	}
	if RootOf(e.Call.Program) != e.Call.Program || e.Call.Number > 1 {
		return nil, structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "a single call has no parent and number 1")
	}
	if refusal := c.refuseRoom(); refusal != nil {
		return nil, refusal
	}
	spec := structs.CreateProgram{
		ID: e.Call.Program, Account: e.Call.Account, Kind: e.Call.Kind,
		Budget: e.Budget, Request: e.Call.Request, SingleCall: true,
	}
	p = c.addProgram(spec, e.IdleLimit)
	p.ephemeral = e.Call.Kind == "" && e.IsRepeatable
	if !p.ephemeral {
		p.unwritten = append(p.unwritten, c.record(p, journal.KindCreated, spec))
	}
	return p, nil
}

// numberFor returns the call's number; number 0 takes that of its idempotency
// key, or else the next free one.
func (p *program) numberFor(spec *structs.Call) (uint64, *structs.Refusal) {
	if spec.IdempotencyKey != "" {
		known, found := p.numberOfKey(spec.IdempotencyKey)
		if found && spec.Number != 0 && spec.Number != known {
			return 0, structs.Refuse(structs.RefusedConflict, structs.RunNo, "the idempotency key belongs to call %d", known)
		}
		if found {
			return known, nil
		}
	}
	if spec.Number != 0 {
		return spec.Number, nil
	}
	number := p.next()
	for p.callAt(number) != nil {
		number++
	}
	return number, nil
}

func (p *program) numberOfKey(key string) (uint64, bool) {
	if number, found := p.keys[key]; found {
		return number, true
	}
	if p.running != nil && p.running.spec.IdempotencyKey == key {
		return p.running.number, true
	}
	for number, held := range p.window {
		if held.spec.IdempotencyKey == key {
			return number, true
		}
	}
	return 0, false
}

// callAt returns the call that runs or waits under a number.
func (p *program) callAt(number uint64) *call {
	if p.running != nil && p.running.number == number {
		return p.running
	}
	return p.window[number]
}

// refuseCall says why a new call is not taken, if it is not.
func (c *Core) refuseCall(p *program, number uint64) *structs.Refusal {
	if p.state == stateEnding || p.state == stateEnded {
		return structs.Refuse(structs.RefusedProgramEnded, structs.RunNo, "program %q has ended: %s", p.spec.ID, p.endReason)
	}
	if number >= p.next()+uint64(c.opts.ReorderWindow) {
		return structs.Refuse(structs.RefusedOutOfOrder, structs.RunNo, "call %d is too far ahead of call %d", number, p.next())
	}
	if len(c.calls) >= c.opts.MaxCalls {
		return structs.Refuse(structs.RefusedQueueFull, structs.RunNo, "%d calls are waiting", len(c.calls))
	}
	return nil
}

// join lets a duplicate wait for the answer to the call that runs already.
func (c *Core) join(known *call, fingerprint uint64, e CallArrived) {
	if known.expired {
		c.refuse(e.Token, structs.RefusedNotReady, structs.RunNo, "call %d is being withdrawn", known.number)
		return
	}
	if known.fingerprint != fingerprint {
		c.refuse(e.Token, structs.RefusedConflict, structs.RunNo, "call %d asks for something else", known.number)
		return
	}
	joined := &caller{token: e.Token, request: e.Call.Request}
	known.callers = append(known.callers, joined)
	if known.begun {
		c.start(known, joined)
		c.pass(known, joined, 0, known.answer)
	}
}

// replay answers a duplicate from the recorded turn.
func (c *Core) replay(p *program, number, fingerprint uint64, e CallArrived) {
	turn := p.turns[number-1]
	if turn.Fingerprint != fingerprint {
		c.refuse(e.Token, structs.RefusedConflict, structs.RunNo, "call %d asked for something else", number)
		return
	}
	if turn.Outcome != structs.RunYes {
		c.refuse(e.Token, structs.RefusedOutcomeUnknown, structs.RunUnknown, "the end of call %d was not seen", number)
		return
	}
	p.active = c.now
	data := answerOf(turn)
	event := structs.CallEvent{Kind: structs.EventStarted, Request: e.Call.Request, Number: number, Replayed: true}
	if turn.Plain != nil {
		event.Status = turn.Plain.Status
		event.Header = turn.Plain.Header
	}
	c.emit(DeliverEvent{Token: e.Token, Event: event})
	if len(data) > 0 {
		c.emit(DeliverEvent{Token: e.Token, Event: structs.CallEvent{Kind: structs.EventData, Request: e.Call.Request, Data: data}})
	}
	c.emit(DeliverEvent{Token: e.Token, Event: doneEvent(e.Call.Request, data, turn.Usage, true)})
}

// answerOf returns the bytes that a turn's caller got.
func answerOf(turn structs.Turn) []byte {
	if turn.Plain != nil {
		return turn.Plain.Body
	}
	if len(turn.Messages) == 0 {
		return nil
	}
	return []byte(turn.Messages[len(turn.Messages)-1].Content)
}

func doneEvent(request structs.RequestID, data []byte, usage structs.Usage, replayed bool) structs.CallEvent {
	return structs.CallEvent{
		Kind: structs.EventDone, Request: request, Offset: int64(len(data)),
		Length: int64(len(data)), Digest: xxhash.Sum64(data), Usage: usage, Replayed: replayed,
	}
}

// heldCalls returns the calls of the window by number.
func (p *program) heldCalls() []*call {
	held := make([]*call, 0, len(p.window))
	for _, call := range p.window {
		held = append(held, call)
	}
	sort.Slice(held, func(i, j int) bool { return held[i].number < held[j].number })
	return held
}

// detach forgets a caller that is gone.
func (c *Core) detach(token Token) {
	for _, call := range c.calls {
		for i, caller := range call.callers {
			if caller.token == token {
				call.callers = append(call.callers[:i], call.callers[i+1:]...)
				return
			}
		}
	}
}
