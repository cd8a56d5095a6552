package program

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/structs"
)

func (c *Core) acceptCall(e CallArrived) {
	p, refusal := c.resolveProgram(e)
	if refusal != nil {
		c.emit(Refuse{Token: e.Token, Refusal: refusal})
		return
	}
	fingerprint := Fingerprint(&e.Call)
	number, refusal := p.resolveNumber(&e.Call)
	if refusal != nil {
		c.emit(Refuse{Token: e.Token, Refusal: refusal})
		return
	}
	if number < p.nextNumber() {
		c.replayTurn(p, number, fingerprint, e)
		return
	}
	if current := p.callAt(number); current != nil {
		c.joinDuplicate(current, fingerprint, e)
		return
	}
	if refusal := c.checkNewCall(p, number); refusal != nil {
		c.emit(Refuse{Token: e.Token, Refusal: refusal})
		if len(p.deferredRecords) > 0 || p.isEphemeral {
			c.dropProgram(p, refusal.Kind)
		}
		return
	}
	newCall := &call{
		id:           CallID(c.nextID()),
		program:      p,
		spec:         e.Call,
		number:       number,
		fingerprint:  fingerprint,
		isRepeatable: e.IsRepeatable,
		deadline:     c.now.Add(e.Timeout),
		stage:        stageWaiting,
	}
	newCall.callers = append(newCall.callers, &caller{token: e.Token, request: e.Call.Request})
	c.calls[newCall.id] = newCall
	p.reorderWindow[number] = newCall
	p.lastActive = c.now
	c.advance(p)
}

// resolveProgram returns the call's program. It creates the program for a single
// call, which comes without one.
func (c *Core) resolveProgram(e CallArrived) (*program, *structs.Refusal) {
	p, refusal := c.lookup(e.Call.Program, e.Call.Account)
	if refusal == nil && p.spec.Account != e.Call.Account {
		return nil, structs.Refuse(structs.RefusedNotFound, structs.RunNo, "program %q does not exist", e.Call.Program)
	}
	if refusal == nil || refusal.Kind != structs.RefusedNotFound || !e.Call.EndAfter {
		return p, refusal
	}
	if c.programs[e.Call.Program] != nil {
		return nil, refusal // the program belongs to another account
	}
	if RootOf(e.Call.Program) != e.Call.Program || e.Call.Number > 1 {
		return nil, structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "a single call has no parent and number 1")
	}
	if refusal := c.checkProgramLimit(); refusal != nil {
		return nil, refusal
	}
	spec := structs.CreateProgram{
		ID: e.Call.Program, Account: e.Call.Account, Kind: e.Call.Kind,
		Budget: e.Budget, Request: e.Call.Request, SingleCall: true,
	}
	p = c.addProgram(spec, e.IdleLimit)
	p.isEphemeral = e.Call.Kind == "" && e.IsRepeatable
	if !p.isEphemeral {
		p.deferredRecords = append(p.deferredRecords, c.newRecord(p, journal.KindCreated, spec))
	}
	return p, nil
}

// resolveNumber returns the call's number. Number 0 selects the number that
// belongs to its idempotency key, or else the next free one.
func (p *program) resolveNumber(spec *structs.Call) (uint64, *structs.Refusal) {
	if spec.IdempotencyKey != "" {
		number, found := p.numberForKey(spec.IdempotencyKey)
		if found && spec.Number != 0 && spec.Number != number {
			return 0, structs.Refuse(structs.RefusedConflict, structs.RunNo, "the idempotency key belongs to call %d", number)
		}
		if found {
			return number, nil
		}
	}
	if spec.Number != 0 {
		return spec.Number, nil
	}
	number := p.nextNumber()
	for p.callAt(number) != nil {
		number++
	}
	return number, nil
}

func (p *program) numberForKey(key string) (uint64, bool) {
	if number, found := p.numberByKey[key]; found {
		return number, true
	}
	if p.running != nil && p.running.spec.IdempotencyKey == key {
		return p.running.number, true
	}
	for number, waiting := range p.reorderWindow {
		if waiting.spec.IdempotencyKey == key {
			return number, true
		}
	}
	return 0, false
}

// callAt returns the running or waiting call with the given number, or nil.
func (p *program) callAt(number uint64) *call {
	if p.running != nil && p.running.number == number {
		return p.running
	}
	return p.reorderWindow[number]
}

// checkNewCall returns a refusal if a new call cannot be accepted, else nil.
func (c *Core) checkNewCall(p *program, number uint64) *structs.Refusal {
	if p.state == stateEnding || p.state == stateEnded {
		return structs.Refuse(structs.RefusedProgramEnded, structs.RunNo, "program %q has ended: %s", p.spec.ID, p.endReason)
	}
	if number >= p.nextNumber()+uint64(c.opts.ReorderWindow) {
		return structs.Refuse(structs.RefusedOutOfOrder, structs.RunNo, "call %d is too far ahead of call %d", number, p.nextNumber())
	}
	if len(c.calls) >= c.opts.MaxCalls {
		return structs.Refuse(structs.RefusedQueueFull, structs.RunNo, "%d calls are waiting", len(c.calls))
	}
	return nil
}

// joinDuplicate adds a duplicate request to the callers of the call that is
// already in progress.
func (c *Core) joinDuplicate(known *call, fingerprint uint64, e CallArrived) {
	if known.isRefused {
		c.refuse(e.Token, structs.RefusedNotReady, structs.RunNo, "call %d is being withdrawn", known.number)
		return
	}
	if known.fingerprint != fingerprint {
		c.refuse(e.Token, structs.RefusedConflict, structs.RunNo, "call %d asks for something else", known.number)
		return
	}
	duplicate := &caller{token: e.Token, request: e.Call.Request}
	known.callers = append(known.callers, duplicate)
	if known.hasResponse {
		c.deliverStarted(known, duplicate)
		c.deliverData(known, duplicate, 0, known.response)
	}
}

// replayTurn answers a duplicate request from the recorded turn.
func (c *Core) replayTurn(p *program, number, fingerprint uint64, e CallArrived) {
	turn := p.turns[number-1]
	if turn.Fingerprint != fingerprint {
		c.refuse(e.Token, structs.RefusedConflict, structs.RunNo, "call %d asked for something else", number)
		return
	}
	if turn.Outcome != structs.RunYes {
		c.refuse(e.Token, structs.RefusedOutcomeUnknown, structs.RunUnknown, "the end of call %d was not seen", number)
		return
	}
	p.lastActive = c.now
	data := responseOf(turn)
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

// responseOf returns the response bytes that the caller of a turn received.
func responseOf(turn structs.Turn) []byte {
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

// callsInWindow returns the calls of the reorder window, ordered by number.
func (p *program) callsInWindow() []*call {
	calls := make([]*call, 0, len(p.reorderWindow))
	for _, call := range p.reorderWindow {
		calls = append(calls, call)
	}
	sort.Slice(calls, func(i, j int) bool { return calls[i].number < calls[j].number })
	return calls
}

// detachCaller removes a disconnected caller from its call.
func (c *Core) detachCaller(token Token) {
	for _, call := range c.calls {
		for i, caller := range call.callers {
			if caller.token == token {
				call.callers = append(call.callers[:i], call.callers[i+1:]...)
				return
			}
		}
	}
}
