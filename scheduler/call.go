package scheduler

import (
	"context"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// maxEventData limits the data of one event, in bytes.
const maxEventData = 256 << 10

// handleCall serves one call. If the caller disconnects, the call still runs and is
// recorded; a repeated request for the same call gets the response from its first byte.
//
// A refusal before the response has begun is returned as the request's error; a later
// one is sent as the last event.
func (s *Scheduler) handleCall(ctx context.Context, req *wire.Request, out *wire.ReplyWriter) error {
	var call structs.Call
	if err := req.Decode(&call); err != nil {
		return err
	}
	return s.serveCall(ctx, call, func(event structs.CallEvent) error { return out.Send(event) })
}

// serveCall runs a call and passes its events to send.
func (s *Scheduler) serveCall(ctx context.Context, call structs.Call, send func(structs.CallEvent) error) error {
	arrived, refusal := s.checkCall(&call)
	if refusal != nil {
		return refusal
	}
	box := s.mailboxes.new(call.Program)
	defer s.mailboxes.close(box)
	arrived.Token = box.token
	s.stats.calls.Add(1)
	err := s.post(ctx, message{fn: func(l *loop) { l.acceptCall(arrived) }})
	if err != nil {
		return notReady("%v", err)
	}
	err = s.relayEvents(ctx, box, call.Request, send)
	if ctx.Err() != nil {
		s.postDisconnect(box)
	}
	return err
}

func (l *loop) acceptCall(arrived program.CallArrived) {
	if l.s.rejectsCalls.Load() {
		l.s.deliverRefusal(program.Refuse{Token: arrived.Token, Refusal: notReady("the process is stopping")})
		return
	}
	if refusal := l.refuseArrival(&arrived); refusal != nil {
		l.s.deliverRefusal(program.Refuse{Token: arrived.Token, Refusal: refusal})
		return
	}
	l.addEvent(arrived)
}

// relayEvents passes the events of a call to send until the last one.
func (s *Scheduler) relayEvents(ctx context.Context, box *mailbox, request structs.RequestID, send func(structs.CallEvent) error) error {
	started := false
	var offset int64
	for {
		events, _, refusal, err := box.receive(ctx)
		if err != nil {
			return structs.Refuse(structs.RefusedTimeout, structs.RunUnknown, "%v", err)
		}
		for _, event := range events {
			if err := sendInParts(send, event); err != nil {
				return err
			}
			started = true
			offset = event.Offset + int64(len(event.Data))
			if event.Kind == structs.EventDone {
				return nil
			}
		}
		if refusal == nil {
			continue
		}
		if !started {
			return refusal
		}
		return send(structs.CallEvent{Kind: structs.EventRefused, Request: request, Offset: offset, Refusal: refusal})
	}
}

// sendInParts sends an event, split into several if it has more than maxEventData
// bytes.
func sendInParts(send func(structs.CallEvent) error, event structs.CallEvent) error {
	for len(event.Data) > maxEventData {
		part := event
		part.Data = event.Data[:maxEventData]
		if err := send(part); err != nil {
			return err
		}
		event.Data = event.Data[maxEventData:]
		event.Offset += maxEventData
	}
	return send(event)
}

// postDisconnect tells the core that a caller has disconnected. If the ring is full, it
// does nothing: the core then drops the caller when its call ends.
func (s *Scheduler) postDisconnect(box *mailbox) {
	s.events.TryPut(message{event: program.CallerDisconnected{Token: box.token}})
}
