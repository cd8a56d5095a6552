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

// Capacities of the rings between workers.
const (
	eventDepth   = 4096
	releaseDepth = 1024
)

// Scheduler is the component that runs programs. It implements kernel.Component,
// kernel.Provisioner, kernel.Drainer and kernel.Dumper.
type Scheduler struct {
	opts   Options
	kernel *kernel.Kernel
	log    *slog.Logger

	newQueue queue.Factory
	newRoute route.Factory

	events    *kernel.Ring[message]
	releases  *kernel.Ring[program.Release]
	loop      *loop
	mailboxes mailboxes

	isDraining   atomic.Bool  // slots are handed over once they are idle
	rejectsCalls atomic.Bool  // new calls are refused
	handovers    atomic.Int64 // slot hand-overs in progress
	stats        stats
}

// New returns a scheduler that is not yet provisioned or started.
func New(opts Options) *Scheduler {
	opts = opts.withDefaults()
	s := &Scheduler{opts: opts}
	s.mailboxes.open = make(map[program.Token]*mailbox)
	return s
}

func (s *Scheduler) Name() string { return "scheduler" }

// Provision looks up the queue and route policies and creates the rings and the loop.
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

// Start starts the workers.
func (s *Scheduler) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("scheduler.loop", s.loop.run)
	k.Go("scheduler.slots", s.watchSlots)
	if s.opts.Table != nil {
		k.Go("scheduler.quarantine", s.syncQuarantine)
	}
	for range releaseWorkers {
		k.Go("scheduler.release", s.releaseMemory)
	}
	return nil
}

// Stop does nothing: the workers end with the kernel's context.
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

// post queues a message for the loop. It waits while the ring is full.
func (s *Scheduler) post(ctx context.Context, m message) error { return s.events.Put(ctx, m) }

// runOnLoop runs fn on the loop's goroutine and waits until it returns or ctx ends. fn
// may run after ctx has ended, so it must not write to variables of the caller; use
// queryLoop for a result.
func (s *Scheduler) runOnLoop(ctx context.Context, fn func(*loop)) error {
	_, err := queryLoop(ctx, s, func(l *loop) struct{} {
		fn(l)
		return struct{}{}
	})
	return err
}

// queryLoop runs query on the loop's goroutine and returns its result. It returns a
// refusal when ctx ends first; the loop's late result is then dropped.
func queryLoop[T any](ctx context.Context, s *Scheduler, query func(*loop) T) (T, error) {
	var none T
	result := make(chan T, 1)
	if err := s.post(ctx, message{fn: func(l *loop) { result <- query(l) }}); err != nil {
		return none, notReady("%v", err)
	}
	select {
	case value := <-result:
		return value, nil
	case <-ctx.Done():
		return none, notReady("%v", ctx.Err())
	}
}

func notReady(format string, args ...any) *structs.Refusal {
	refusal := structs.Refuse(structs.RefusedNotReady, structs.RunNo, format, args...)
	refusal.RetryAfter = notReadyRetryAfter
	return refusal
}
