package scheduler

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

// startDispatch dispatches a call on a goroutine of its own. If the lease of the call's
// slot has expired, the dispatch is deferred: the lease may be renewed under the same
// epoch.
func (l *loop) startDispatch(a program.Send) {
	b := l.dispatchers[a.Service].targets[a.Target]
	if b == nil {
		l.failUnsent(a, "the target has moved")
		return
	}
	if !l.s.holdsSlot(a.Slot, a.Epoch) {
		l.deferredSends = append(l.deferredSends, a)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	id := dispatchID{a.Call, a.Attempt}
	l.cancels[id] = cancel
	s := l.s
	driver := b.driver
	s.kernel.Go("scheduler.dispatch", func(kernelCtx context.Context) error {
		defer cancel()
		stop := context.AfterFunc(kernelCtx, cancel)
		defer stop()
		end := s.dispatch(ctx, kernelCtx, driver, a)
		s.post(kernelCtx, message{fn: func(l *loop) { l.finishDispatch(a, end) }})
		return nil
	})
}

// sendDeferred retries the dispatches that wait for the renewal of their slot's lease.
func (l *loop) sendDeferred() {
	deferred := l.deferredSends
	l.deferredSends = nil
	for _, a := range deferred {
		if l.epochs[a.Slot] != a.Epoch {
			l.failUnsent(a, "the slot has moved")
			continue
		}
		l.startDispatch(a)
	}
}

// cancel cancels a dispatch that runs or is deferred.
func (l *loop) cancel(id dispatchID) {
	if cancel := l.cancels[id]; cancel != nil {
		cancel()
		return
	}
	l.deferredSends = slices.DeleteFunc(l.deferredSends, func(a program.Send) bool {
		found := dispatchID{a.Call, a.Attempt} == id
		if found {
			l.dispatchers[a.Service].recordFinish(structs.Now(), a.Call, a.Target, structs.Usage{}, false)
		}
		return found
	})
}

// failUnsent reports to the core that a Send was not carried out.
func (l *loop) failUnsent(a program.Send, why string) {
	l.dispatchers[a.Service].recordFinish(structs.Now(), a.Call, a.Target, structs.Usage{}, false)
	l.addEvent(program.DispatchFinished{Call: a.Call, Attempt: a.Attempt, Result: program.ResultNotSent, Detail: why})
}

func (s *Scheduler) holdsSlot(slot structs.Slot, epoch structs.Epoch) bool {
	held, owned := s.opts.Ownership.HeldEpoch(slot)
	return owned && held == epoch
}

// dispatchOutcome is the result of a dispatch.
type dispatchOutcome struct {
	result  program.Result
	usage   structs.Usage
	detail  string
	isCrash bool // the connection was lost while the target ran the call
}

// dispatch runs one call at a target and passes the parts of its response to the core.
// It posts them under the context post, which outlives a cancelled dispatch.
func (s *Scheduler) dispatch(ctx, post context.Context, driver target.Driver, a program.Send) dispatchOutcome {
	if !s.holdsSlot(a.Slot, a.Epoch) {
		return dispatchOutcome{result: program.ResultNotSent, detail: "the slot has moved"}
	}
	stream, err := driver.Do(ctx, a.Request)
	if err != nil {
		return classifyError(ctx, err)
	}
	defer stream.Close()
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return classifyError(ctx, err)
		}
		part := program.ResponsePart{Call: a.Call, Attempt: a.Attempt, Status: chunk.Status, Header: chunk.Header, Data: chunk.Data}
		if len(chunk.Data) > 0 || chunk.Status != 0 {
			s.post(post, message{event: part})
		}
		if chunk.IsLast {
			return dispatchOutcome{result: program.ResultDone, usage: chunk.Usage}
		}
	}
}

// classifyError returns the outcome of a failed dispatch. After an unknown error the
// call may have run, so its result is incomplete.
func classifyError(ctx context.Context, err error) dispatchOutcome {
	var notSent *target.NotSentError
	var status *target.StatusError
	var incomplete *target.IncompleteResponseError
	switch {
	case errors.As(err, &notSent):
		return dispatchOutcome{result: program.ResultNotSent, detail: err.Error()}
	case errors.As(err, &status) && status.Ran == structs.RunNo:
		return dispatchOutcome{result: program.ResultRefused, detail: err.Error()}
	case errors.As(err, &status):
		return dispatchOutcome{result: program.ResultFailed, detail: err.Error()}
	case errors.As(err, &incomplete):
		return dispatchOutcome{result: program.ResultIncomplete, detail: err.Error(), isCrash: !incomplete.IsAlive && connectionLost(ctx, incomplete.Cause)}
	default:
		return dispatchOutcome{result: program.ResultIncomplete, detail: err.Error()}
	}
}

// connectionLost reports whether the target closed the connection, as opposed to a
// timeout or cancellation on this side.
func connectionLost(ctx context.Context, cause error) bool {
	if ctx.Err() != nil || cause == nil {
		return false
	}
	var timeout interface{ Timeout() bool }
	if errors.As(cause, &timeout) && timeout.Timeout() {
		return false
	}
	return !errors.Is(cause, context.Canceled) && !errors.Is(cause, context.DeadlineExceeded)
}

// finishDispatch records the outcome of a dispatch and passes it to the core.
func (l *loop) finishDispatch(a program.Send, end dispatchOutcome) {
	now := structs.Now()
	delete(l.cancels, dispatchID{a.Call, a.Attempt})
	l.metrics.recordFinish(now, a.Call, end)
	l.logDispatch(a, end)
	d := l.dispatchers[a.Service]
	d.recordFinish(now, a.Call, a.Target, end.usage, end.result == program.ResultDone)
	if end.result == program.ResultNotSent || end.result == program.ResultRefused || end.isCrash {
		d.MarkDown(now, a.Target, targetDownPeriod)
	}
	if end.isCrash && l.quarantine.RecordCrash(now, a.Fingerprint, a.Target, 0) {
		l.s.stats.quarantined.Add(1)
		l.s.log.Warn("request quarantined", "fingerprint", a.Fingerprint, "target", a.Target)
	}
	if end.result == program.ResultDone {
		l.quarantine.RecordAnswer(now, a.Fingerprint)
	}
	finished := program.DispatchFinished{Call: a.Call, Attempt: a.Attempt, Result: end.result, Usage: end.usage, Detail: end.detail}
	if end.isCrash {
		l.finishCrashed(a, finished)
		return
	}
	l.addEvent(finished)
}

// logDispatch logs the end of a dispatch: a successful one at debug level, any other at
// info level.
func (l *loop) logDispatch(a program.Send, end dispatchOutcome) {
	level := slog.LevelDebug
	if end.result != program.ResultDone {
		level = slog.LevelInfo
	}
	l.s.log.Log(context.Background(), level, "dispatch ended",
		"request", a.Request.Request, "program", a.Request.Hold, "slot", a.Slot, "epoch", a.Epoch,
		"service", a.Service, "target", a.Target, "attempt", a.Attempt, "result", end.result.String())
}

const (
	releaseWorkers = 2
	releaseTimeout = 5 * time.Second
)

// releaseMemory asks targets to release the engine memory that they hold for ended
// programs.
func (s *Scheduler) releaseMemory(ctx context.Context) error {
	for {
		select {
		case a := <-s.releases.C():
			ok := s.releaseOne(ctx, a)
			s.post(ctx, message{event: program.ReleaseFinished{Program: a.Program, Target: a.Target, OK: ok}})
		case <-ctx.Done():
			return nil
		}
	}
}

func (s *Scheduler) releaseOne(ctx context.Context, a program.Release) bool {
	driver, err := queryLoop(ctx, s, func(l *loop) target.Driver { return l.driverOf(a.Target) })
	if err != nil || driver == nil {
		return false
	}
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err = driver.Release(releaseCtx, a.Program)
	if err == nil {
		s.stats.released.Add(1)
	}
	return err == nil
}
