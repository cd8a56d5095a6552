package scheduler

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/structs"
)

// methodCrash tells another scheduler of a crash: crashReport -> crashNoted.
const methodCrash = "scheduler.crash"

const (
	// tellTimeout bounds the wait for one scheduler that is told of a crash.
	tellTimeout = 500 * time.Millisecond
	// tellAtOnce bounds the schedulers that are told at a time.
	tellAtOnce = 64
)

// crashReport is what is known of one request.
type crashReport struct {
	Report quarantine.Report `msgpack:"r"`
}

type crashNoted struct{}

// Sender sends requests to other schedulers; *wire.Client is one.
type Sender interface {
	Call(ctx context.Context, addr, method string, in, out any) error
}

// finishCrashed goes on after a dispatch that a crash has ended, once the other
// schedulers have been told: the next target and the next scheduler that get
// the request then know of this crash.
func (l *loop) finishCrashed(a program.Send, finished program.DispatchFinished) {
	s := l.s
	if s.opts.Wire == nil || s.opts.Peers == nil {
		l.queue(finished)
		return
	}
	report := l.quarantine.Report(structs.Now(), a.Fingerprint)
	s.kernel.Go("scheduler.tell", func(ctx context.Context) error {
		s.tell(ctx, report)
		s.post(ctx, message{event: finished})
		return nil
	})
}

// tell returns once each scheduler has noted the report or had its time. One
// that was not reached reads the report from the table.
func (s *Scheduler) tell(ctx context.Context, report quarantine.Report) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(tellAtOnce)
	for _, addr := range s.opts.Peers() {
		if addr == s.opts.Settings.Listen.AdvertisedAddr() {
			continue
		}
		group.Go(func() error {
			if err := s.opts.Wire.Call(ctx, addr, methodCrash, crashReport{Report: report}, &crashNoted{}); err != nil {
				s.log.Debug("crash not told", "peer", addr, "error", err)
			}
			return nil
		})
	}
	_ = group.Wait() // the failures are logged
}

// noteCrash takes in what another scheduler tells.
func (s *Scheduler) noteCrash(ctx context.Context, told crashReport) (crashNoted, error) {
	err := s.ask(ctx, func(l *loop) {
		l.quarantine.Import(structs.Now(), []quarantine.Report{told.Report})
	})
	return crashNoted{}, err
}
