package scheduler

import (
	"context"
	"log/slog"
	"sync/atomic"

	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/queue"
	"github.com/endivecourse/endivecourse/route"
	"github.com/endivecourse/endivecourse/structs"
)

// Depths of the rings between duties.
const (
	eventDepth   = 4096
	releaseDepth = 1024
)

// Scheduler is the component that owns programs. It implements
// kernel.Component, kernel.Provisioner, kernel.Drainer and kernel.Dumper.
type Scheduler struct {
	opts   Options
	kernel *kernel.Kernel
	log    *slog.Logger

	newQueue queue.Factory
	newRoute route.Factory

	events   *kernel.Ring[message]
	releases *kernel.Ring[program.Release]
	loop     *loop
	box      mailboxes

	draining atomic.Bool  // slots are handed over as they fall idle
	closed   atomic.Bool  // no new call is taken
	handing  atomic.Int64 // slots whose hand-over is under way
	stats    stats
}

// New makes a scheduler.
func New(opts Options) *Scheduler {
	opts = opts.withDefaults()
	s := &Scheduler{opts: opts}
	s.box.open = make(map[program.Token]*mailbox)
	return s
}

// Name returns "scheduler".
func (s *Scheduler) Name() string { return "scheduler" }

// Provision looks the policies up and makes the rings.
func (s *Scheduler) Provision(k *kernel.Kernel) error {
	s.kernel = k
	s.log = k.Log.With("component", s.Name())
	policy := s.opts.Settings.Policy
	var err error
	if s.newQueue, err = kernel.Lookup[queue.Factory](kernel.ModuleID("queue." + policy.Queue)); err != nil {
		return err
	}
	if s.newRoute, err = kernel.Lookup[route.Factory](kernel.ModuleID("route." + policy.Route)); err != nil {
		return err
	}
	s.events = kernel.NewRing[message](k, "scheduler.events", eventDepth)
	s.releases = kernel.NewRing[program.Release](k, "scheduler.releases", releaseDepth)
	s.loop = newLoop(s)
	return nil
}

// Start starts the duties.
func (s *Scheduler) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("scheduler.loop", s.loop.run)
	k.Go("scheduler.slots", s.followSlots)
	if s.opts.Table != nil {
		k.Go("scheduler.quarantine", s.shareQuarantine)
	}
	for range releaseWorkers {
		k.Go("scheduler.release", s.releaseHolds)
	}
	return nil
}

// Stop ends the duties with the kernel's context; nothing else is held.
func (s *Scheduler) Stop(context.Context) error { return nil }

func (s *Scheduler) coreOptions() program.Options {
	limits := s.opts.Settings.Limits
	return program.Options{
		Domain:        s.opts.Settings.Domain,
		Slots:         s.opts.Settings.Lease.Slots,
		MaxPrograms:   limits.MaxPrograms,
		MaxCalls:      limits.MaxQueued,
		ReorderWindow: limits.ReorderWindow,
		IdleLimit:     s.idleLimit,
	}
}

// post hands an event to the loop.
func (s *Scheduler) post(ctx context.Context, m message) error { return s.events.Put(ctx, m) }

// ask runs a function on the loop's goroutine and waits for it.
func (s *Scheduler) ask(ctx context.Context, do func(*loop)) error {
	done := make(chan struct{})
	err := s.post(ctx, message{do: func(l *loop) {
		defer close(done)
		do(l)
	}})
	if err != nil {
		return notReady("%v", err)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return notReady("%v", ctx.Err())
	}
}

func notReady(format string, args ...any) *structs.Refusal {
	refusal := structs.Refuse(structs.RefusedNotReady, structs.RunNo, format, args...)
	refusal.RetryAfter = retryNotReady
	return refusal
}
