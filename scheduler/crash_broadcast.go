package scheduler

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/structs"
)

// methodCrash reports a crash to another scheduler: crashReport -> crashAck.
const methodCrash = "scheduler.crash"

const (
	// broadcastTimeout limits the time to send a crash report to all schedulers.
	broadcastTimeout = 500 * time.Millisecond
	// maxConcurrentSends limits the number of schedulers that are sent a report at the
	// same time.
	maxConcurrentSends = 64
)

// crashReport carries the crashes of one request.
type crashReport struct {
	Report quarantine.Report `msgpack:"r"`
}

type crashAck struct{}

// Sender sends requests to other schedulers. *wire.Client implements it.
type Sender interface {
	Call(ctx context.Context, addr, method string, in, out any) error
}

// finishCrashed passes the result of a crashed dispatch to the core after the crash
// report was sent to the other schedulers: whichever target or scheduler gets the
// request next, its scheduler knows of this crash.
func (l *loop) finishCrashed(a program.Send, finished program.DispatchFinished) {
	s := l.s
	if s.opts.Wire == nil || s.opts.Peers == nil {
		l.addEvent(finished)
		return
	}
	report := l.quarantine.Report(structs.Now(), a.Fingerprint)
	s.kernel.Go("scheduler.tell", func(ctx context.Context) error {
		s.broadcastCrash(ctx, report)
		s.post(ctx, message{event: finished})
		return nil
	})
}

// broadcastCrash sends a crash report to all other schedulers and returns when each has
// acknowledged it or broadcastTimeout has passed. A scheduler that was not reached
// reads the report from the table.
func (s *Scheduler) broadcastCrash(ctx context.Context, report quarantine.Report) {
	ctx, cancel := context.WithTimeout(ctx, broadcastTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxConcurrentSends)
	for _, addr := range s.opts.Peers() {
		if addr == s.opts.Settings.Listen.AdvertisedAddr() {
			continue
		}
		group.Go(func() error {
			if err := s.opts.Wire.Call(ctx, addr, methodCrash, crashReport{Report: report}, &crashAck{}); err != nil {
				s.log.Debug("crash report not delivered", "peer", addr, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait() // the failures are logged
}

// handleCrash imports a crash report from another scheduler.
func (s *Scheduler) handleCrash(ctx context.Context, report crashReport) (crashAck, error) {
	err := s.runOnLoop(ctx, func(l *loop) {
		l.quarantine.Import(structs.Now(), []quarantine.Report{report.Report})
	})
	return crashAck{}, err
}
