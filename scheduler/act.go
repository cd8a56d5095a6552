package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// act carries one action of the core out. It never waits.
func (l *loop) act(action program.Action) {
	switch a := action.(type) {
	case program.Write:
		l.write(a)
	case program.Enqueue:
		l.enqueue(a)
	case program.Dequeue:
		if d := l.dispatchers[a.Service]; d != nil {
			d.Remove(uint64(a.Call))
		}
	case program.UnassignTarget:
		l.abort(a)
	case program.Send:
		l.send(a)
	case program.CancelSend:
		l.cancel(dispatchID{a.Call, a.Attempt})
	case program.DeliverEvent:
		l.s.box.reply(a)
	case program.DeliverInfo:
		l.s.box.answer(a)
	case program.Refuse:
		l.s.refuse(a)
	case program.Release:
		l.release(a)
	case program.DropProgram:
		for _, d := range l.dispatchers {
			d.ForgetProgram(a.Program)
		}
	case program.ReportViolation:
		l.fault(a.Err)
	}
}

// appendTimeout bounds one try to write records.
const appendTimeout = 30 * time.Second

func (l *loop) write(a program.Write) {
	s := l.s
	s.kernel.Go("scheduler.append", func(ctx context.Context) error {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		err := s.opts.Journal.Append(appendCtx, a.Records)
		s.post(ctx, message{do: func(l *loop) { l.wrote(a, writeResult(err)) }})
		return nil
	})
}

// wrote passes the end of a write on. An epoch that is fenced while it is this
// process's has a lease that ended and may be renewed: the write is tried again
// until then, or until the slot is lost.
func (l *loop) wrote(a program.Write, result program.WriteResult) {
	first := a.Records[0]
	if result == program.WriteFenced && l.epochs[first.Slot] == first.Epoch {
		result = program.WriteUnknown
	}
	l.queue(program.WriteFinished{ID: a.ID, Result: result})
}

func writeResult(err error) program.WriteResult {
	var fenced *journal.FencedError
	var full *journal.FullError
	switch {
	case err == nil:
		return program.WriteDurable
	case errors.As(err, &fenced):
		return program.WriteFenced
	case errors.As(err, &full):
		return program.WriteTailFull
	default:
		return program.WriteUnknown
	}
}

// enqueue lets a call wait, unless its content is in quarantine.
func (l *loop) enqueue(a program.Enqueue) {
	if refusal := l.refuseQuarantined(a.Fingerprint); refusal != nil {
		l.queue(program.CallRejected{Call: a.Call, Refusal: refusal})
		return
	}
	a.Item.Weight = l.weightOf(a.Item.Account)
	l.dispatcher(a.Item.Service).Push(structs.Now(), a.Item)
}

func (l *loop) refuseQuarantined(fingerprint uint64) *structs.Refusal {
	left := l.quarantine.Remaining(structs.Now(), fingerprint)
	if left == 0 {
		return nil
	}
	refusal := structs.Refuse(structs.RefusedQuarantined, structs.RunNo, "targets crashed while they ran this request")
	refusal.RetryAfter = left
	return refusal
}

func (l *loop) abort(a program.UnassignTarget) {
	for _, d := range l.dispatchers {
		if d.ended(structs.Now(), a.Call, a.Target, structs.Usage{}, false) {
			return
		}
	}
}

func (l *loop) release(a program.Release) {
	if !l.s.releases.TryPut(a) {
		l.queue(program.ReleaseFinished{Program: a.Program, Target: a.Target, OK: false})
	}
}

// fault counts and logs a violated invariant of a decision package.
func (l *loop) fault(err error) {
	l.s.stats.faults.Add(1)
	l.s.log.Error("invariant violated", "error", err)
}

// weightOf returns an account's share of service: its rate of requests.
func (l *loop) weightOf(id structs.AccountID) float64 {
	if snapshot := l.s.snapshot(); snapshot != nil {
		if account, found := snapshot.Account(id); found && account.Rate > 0 {
			return account.Rate
		}
	}
	return 1
}
