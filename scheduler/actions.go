package scheduler

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// execute carries out one action of the core. It never blocks.
func (l *loop) execute(action program.Action) {
	switch a := action.(type) {
	case program.Write:
		l.startWrite(a)
	case program.Enqueue:
		l.enqueueCall(a)
	case program.Dequeue:
		if d := l.dispatchers[a.Service]; d != nil {
			d.Remove(uint64(a.Call))
		}
	case program.UnassignTarget:
		l.unassignTarget(a)
	case program.Send:
		l.startDispatch(a)
	case program.CancelSend:
		l.cancel(dispatchID{a.Call, a.Attempt})
	case program.DeliverEvent:
		l.s.mailboxes.deliverEvent(a)
	case program.DeliverInfo:
		l.s.mailboxes.deliverInfo(a)
	case program.Refuse:
		l.s.deliverRefusal(a)
	case program.Release:
		l.queueRelease(a)
	case program.DropProgram:
		for _, d := range l.dispatchers {
			d.ForgetProgram(a.Program)
		}
	case program.ReportViolation:
		l.reportViolation(a.Err)
	}
}

// appendTimeout limits one attempt to write records.
const appendTimeout = 30 * time.Second

func (l *loop) startWrite(a program.Write) {
	s := l.s
	s.kernel.Go("scheduler.append", func(ctx context.Context) error {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		err := s.opts.Journal.Append(appendCtx, a.Records)
		s.post(ctx, message{fn: func(l *loop) { l.finishWrite(a, writeResult(err)) }})
		return nil
	})
}

// finishWrite passes the result of a write to the core. If the epoch is fenced while
// this process still holds it, its lease has expired and may be renewed. The result is
// then reported as unknown, so that the write is retried until the lease is renewed or
// the slot is lost.
func (l *loop) finishWrite(a program.Write, result program.WriteResult) {
	first := a.Records[0]
	if result == program.WriteFenced && l.epochs[first.Slot] == first.Epoch {
		result = program.WriteUnknown
	}
	l.addEvent(program.WriteFinished{ID: a.ID, Result: result})
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

// enqueueCall queues a call for its service, unless its content is in quarantine.
func (l *loop) enqueueCall(a program.Enqueue) {
	if refusal := l.refuseQuarantined(a.Fingerprint); refusal != nil {
		l.addEvent(program.CallRejected{Call: a.Call, Refusal: refusal})
		return
	}
	a.Item.Weight = l.weightOf(a.Item.Account)
	l.dispatcher(a.Item.Service).Push(structs.Now(), a.Item)
}

func (l *loop) refuseQuarantined(fingerprint uint64) *structs.Refusal {
	remaining := l.quarantine.Remaining(structs.Now(), fingerprint)
	if remaining == 0 {
		return nil
	}
	refusal := structs.Refuse(structs.RefusedQuarantined, structs.RunNo, "targets crashed while they ran this request")
	refusal.RetryAfter = remaining
	return refusal
}

func (l *loop) unassignTarget(a program.UnassignTarget) {
	for _, d := range l.dispatchers {
		if d.recordFinish(structs.Now(), a.Call, a.Target, structs.Usage{}, false) {
			return
		}
	}
}

func (l *loop) queueRelease(a program.Release) {
	if !l.s.releases.TryPut(a) {
		l.addEvent(program.ReleaseFinished{Program: a.Program, Target: a.Target, OK: false})
	}
}

// reportViolation counts and logs a violated invariant of a deterministic state
// machine.
func (l *loop) reportViolation(err error) {
	l.s.stats.violations.Add(1)
	l.s.log.Error("invariant violated", "error", err)
}

// weightOf returns the weight of an account in the queue: its request rate, or 1 if it
// has none.
func (l *loop) weightOf(id structs.AccountID) float64 {
	if snapshot := l.s.snapshot(); snapshot != nil {
		if account, found := snapshot.Account(id); found && account.Rate > 0 {
			return account.Rate
		}
	}
	return 1
}
