package scheduler

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/config"
	"github.com/endivecourse/endivecourse/dispatch"
	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/program"
	"github.com/endivecourse/endivecourse/structs"
)

func (s *Scheduler) snapshot() Snapshot {
	if s.opts.Config == nil {
		return nil
	}
	return s.opts.Config()
}

func (s *Scheduler) idleLimit(kind string) time.Duration {
	snapshot := s.snapshot()
	if snapshot == nil {
		return 0
	}
	p, _ := snapshot.Program(kind)
	return p.IdleLimit.Std()
}

// syncTargets follows the configuration and the targets that have left.
func (l *loop) syncTargets() {
	for _, d := range l.dispatchers {
		for id := range d.targets {
			if l.s.opts.IsGone(id) {
				l.queue(program.TargetRemoved{Target: id})
			}
		}
	}
	snapshot := l.s.snapshot()
	if snapshot == nil || l.synced && snapshot.Version() == l.version {
		return
	}
	l.synced = true
	l.version = snapshot.Version()
	if lister, ok := snapshot.(ServiceLister); ok {
		for _, id := range lister.ServiceIDs() {
			l.dispatcher(id)
		}
	}
	for _, d := range l.dispatchers {
		l.syncService(snapshot, d)
	}
}

// syncService makes the targets of a service those of the configuration.
func (l *loop) syncService(snapshot Snapshot, d *dispatcher) {
	service, _ := snapshot.Service(d.service)
	for id, b := range d.targets {
		configured, kept := service.Targets[id]
		if kept && b.spec == specOf(d.service, id, configured) {
			b.drained = configured.IsDraining
			d.SetTarget(l.specIn(id, configured))
			continue
		}
		l.dropTarget(d, id, b, kept)
	}
	for id, configured := range service.Targets {
		if d.targets[id] == nil {
			l.addTarget(d, id, configured)
		}
	}
}

func specOf(service structs.ServiceID, id structs.TargetID, t config.Target) target.Spec {
	return target.Spec{ID: id, Service: service, Domain: t.Domain, BaseURL: t.URL, Protocol: t.Protocol}
}

func (l *loop) addTarget(d *dispatcher, id structs.TargetID, configured config.Target) {
	spec := specOf(d.service, id, configured)
	driver, err := l.s.opts.NewDriver(spec)
	if err != nil {
		l.s.log.Error("target has no driver", "target", id, "error", err)
		return
	}
	ctx, stop := context.WithCancel(context.Background())
	b := &backEnd{spec: spec, driver: driver, drained: configured.IsDraining, stop: stop}
	d.targets[id] = b
	d.SetTarget(l.specIn(id, configured))
	l.s.kernel.Go("scheduler.load", func(kernelCtx context.Context) error {
		defer stop()
		l.s.pollLoad(kernelCtx, ctx, d.service, spec.ID, driver)
		return nil
	})
}

// dropTarget forgets a target. Its calls in flight run on; one that was only
// moved keeps what it holds.
func (l *loop) dropTarget(d *dispatcher, id structs.TargetID, b *backEnd, kept bool) {
	b.stop()
	delete(d.targets, id)
	d.RemoveTarget(id)
	if !kept {
		l.queue(program.TargetRemoved{Target: id})
	}
}

// pollLoad reports the load of one target until either context ends.
func (s *Scheduler) pollLoad(ctx, ownCtx context.Context, service structs.ServiceID, id structs.TargetID, driver target.Driver) {
	ticker := time.NewTicker(s.opts.PollInterval)
	defer ticker.Stop()
	for {
		s.reportLoad(ctx, service, id, driver)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		case <-ownCtx.Done():
			return
		}
	}
}

// loadTimeout bounds one load report.
const loadTimeout = 2 * time.Second

func (s *Scheduler) reportLoad(ctx context.Context, service structs.ServiceID, id structs.TargetID, driver target.Driver) {
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	load, err := driver.Load(loadCtx)
	if err != nil {
		return
	}
	s.post(ctx, message{do: func(l *loop) { l.loaded(service, id, load) }})
}

func (l *loop) loaded(service structs.ServiceID, id structs.TargetID, load target.Load) {
	d := l.dispatchers[service]
	if d == nil || d.targets[id] == nil {
		return
	}
	d.RecordLoad(structs.Now(), id, dispatch.Load{Running: load.Running, Waiting: load.Waiting, Age: load.Age})
	if len(load.HeldPrograms) == 0 {
		return
	}
	held := program.MemoryReported{Target: id}
	for _, name := range load.HeldPrograms {
		held.Programs = append(held.Programs, structs.ProgramID(name))
	}
	l.queue(held)
}

// driverOf returns the driver of a target of any service.
func (l *loop) driverOf(id structs.TargetID) target.Driver {
	for _, d := range l.dispatchers {
		if b := d.targets[id]; b != nil {
			return b.driver
		}
	}
	return nil
}
