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

// send dispatches a call on a goroutine of its own. A call of a slot whose
// lease has ended waits: the lease may be renewed under the same epoch.
func (l *loop) send(a program.Send) {
	b := l.dispatchers[a.Service].targets[a.Target]
	if b == nil {
		l.notSent(a, "the target has moved")
		return
	}
	if !l.s.holds(a.Slot, a.Epoch) {
		l.parked = append(l.parked, a)
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
		s.post(kernelCtx, message{do: func(l *loop) { l.dispatched(a, end) }})
		return nil
	})
}

// sendParked tries the calls again that wait for their slot's lease.
func (l *loop) sendParked() {
	parked := l.parked
	l.parked = nil
	for _, a := range parked {
		if l.epochs[a.Slot] != a.Epoch {
			l.notSent(a, "the slot has moved")
			continue
		}
		l.send(a)
	}
}

// cancel ends a dispatch, or the wait for it.
func (l *loop) cancel(id dispatchID) {
	if cancel := l.cancels[id]; cancel != nil {
		cancel()
		return
	}
	l.parked = slices.DeleteFunc(l.parked, func(a program.Send) bool {
		found := dispatchID{a.Call, a.Attempt} == id
		if found {
			l.dispatchers[a.Service].ended(structs.Now(), a.Call, a.Target, structs.Usage{}, false)
		}
		return found
	})
}

// notSent answers a Send that is not carried out.
func (l *loop) notSent(a program.Send, why string) {
	l.dispatchers[a.Service].ended(structs.Now(), a.Call, a.Target, structs.Usage{}, false)
	l.queue(program.DispatchFinished{Call: a.Call, Attempt: a.Attempt, Result: program.ResultNotSent, Detail: why})
}

func (s *Scheduler) holds(slot structs.Slot, epoch structs.Epoch) bool {
	held, owned := s.opts.Ownership.HeldEpoch(slot)
	return owned && held == epoch
}

// dispatchEnd is how a dispatch ended.
type dispatchEnd struct {
	result  program.Result
	usage   structs.Usage
	detail  string
	crashed bool // the connection was lost while the target ran the call
}

// dispatch runs one call at a target and passes its answer on.
func (s *Scheduler) dispatch(ctx, post context.Context, driver target.Driver, a program.Send) dispatchEnd {
	if !s.holds(a.Slot, a.Epoch) {
		return dispatchEnd{result: program.ResultNotSent, detail: "the slot has moved"}
	}
	stream, err := driver.Do(ctx, a.Request)
	if err != nil {
		return endOf(ctx, err)
	}
	defer stream.Close()
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return endOf(ctx, err)
		}
		part := program.ResponsePart{Call: a.Call, Attempt: a.Attempt, Status: chunk.Status, Header: chunk.Header, Data: chunk.Data}
		if len(chunk.Data) > 0 || chunk.Status != 0 {
			s.post(post, message{event: part})
		}
		if chunk.IsLast {
			return dispatchEnd{result: program.ResultDone, usage: chunk.Usage}
		}
	}
}

// endOf tells the failures of a dispatch apart. One that is not known is taken
// for a call that may have run.
func endOf(ctx context.Context, err error) dispatchEnd {
	var notSent *target.NotSentError
	var status *target.StatusError
	var broken *target.IncompleteResponseError
	switch {
	case errors.As(err, &notSent):
		return dispatchEnd{result: program.ResultNotSent, detail: err.Error()}
	case errors.As(err, &status) && status.Ran == structs.RunNo:
		return dispatchEnd{result: program.ResultRefused, detail: err.Error()}
	case errors.As(err, &status):
		return dispatchEnd{result: program.ResultFailed, detail: err.Error()}
	case errors.As(err, &broken):
		return dispatchEnd{result: program.ResultIncomplete, detail: err.Error(), crashed: !broken.IsAlive && connectionLost(ctx, broken.Cause)}
	default:
		return dispatchEnd{result: program.ResultIncomplete, detail: err.Error()}
	}
}

// connectionLost reports whether the target ended the connection, as opposed
// to a timeout or a cancel on this side.
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

// dispatched goes on after the end of a dispatch.
func (l *loop) dispatched(a program.Send, end dispatchEnd) {
	now := structs.Now()
	delete(l.cancels, dispatchID{a.Call, a.Attempt})
	l.measures.ended(now, a.Call, end)
	l.logDispatch(a, end)
	d := l.dispatchers[a.Service]
	d.ended(now, a.Call, a.Target, end.usage, end.result == program.ResultDone)
	if end.result == program.ResultNotSent || end.result == program.ResultRefused || end.crashed {
		d.MarkDown(now, a.Target, targetDownFor)
	}
	if end.crashed && l.quarantine.RecordCrash(now, a.Fingerprint, a.Target) {
		l.s.stats.quarantined.Add(1)
		l.s.log.Warn("request quarantined", "fingerprint", a.Fingerprint, "target", a.Target)
	}
	finished := program.DispatchFinished{Call: a.Call, Attempt: a.Attempt, Result: end.result, Usage: end.usage, Detail: end.detail}
	if end.crashed {
		l.finishCrashed(a, finished)
		return
	}
	l.queue(finished)
}

// logDispatch logs the end of a dispatch: one that is not whole always, any
// other one when debugging.
func (l *loop) logDispatch(a program.Send, end dispatchEnd) {
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

// releaseHolds frees what targets hold for ended programs.
func (s *Scheduler) releaseHolds(ctx context.Context) error {
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
	var driver target.Driver
	if err := s.ask(ctx, func(l *loop) { driver = l.driverOf(a.Target) }); err != nil || driver == nil {
		return false
	}
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	err := driver.Release(releaseCtx, a.Program)
	if err == nil {
		s.stats.released.Add(1)
	}
	return err == nil
}
