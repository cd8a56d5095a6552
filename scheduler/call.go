package scheduler

import (
	"context"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// maxEventData bounds the bytes of one event of an answer.
const maxEventData = 256 << 10

// call serves one call. A caller that goes away does not end its call: the
// call runs on and is recorded, and the same call asked again gets the answer
// from its first byte.
//
// A refusal before the answer has begun is the request's error; one after that
// is its last event.
func (s *Scheduler) call(ctx context.Context, req *wire.Request, out *wire.ReplyWriter) error {
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
	box := s.box.new(call.Program)
	defer s.box.close(box)
	arrived.Token = box.token
	s.stats.calls.Add(1)
	err := s.post(ctx, message{do: func(l *loop) { l.arrive(arrived) }})
	if err != nil {
		return notReady("%v", err)
	}
	err = s.answer(ctx, box, call.Request, send)
	if ctx.Err() != nil {
		s.detach(box)
	}
	return err
}

func (l *loop) arrive(arrived program.CallArrived) {
	if l.s.closed.Load() {
		l.s.refuse(program.Refuse{Token: arrived.Token, Refusal: notReady("the process is stopping")})
		return
	}
	if refusal := l.refuseArrival(&arrived); refusal != nil {
		l.s.refuse(program.Refuse{Token: arrived.Token, Refusal: refusal})
		return
	}
	l.queue(arrived)
}

// answer passes the events of a call on until its last one.
func (s *Scheduler) answer(ctx context.Context, box *mailbox, request structs.RequestID, send func(structs.CallEvent) error) error {
	started := false
	var offset int64
	for {
		events, _, refusal, err := box.take(ctx)
		if err != nil {
			return structs.Refuse(structs.RefusedTimeout, structs.RunUnknown, "%v", err)
		}
		for _, event := range events {
			if err := sendParts(send, event); err != nil {
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

// sendParts sends an event, one with much data in parts.
func sendParts(send func(structs.CallEvent) error, event structs.CallEvent) error {
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

// detach tells the core that a caller is gone. It is left out when the ring is
// full: the core then forgets the caller with its call.
func (s *Scheduler) detach(box *mailbox) {
	s.events.TryPut(message{event: program.CallerDisconnected{Token: box.token}})
}
