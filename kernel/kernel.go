package kernel

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
)

// Component is a part of a daemon. A component may also implement
// Provisioner, Validator, Drainer and Dumper.
type Component interface {
	// Name returns the component's name in logs and dumps.
	Name() string
	// Start starts the component's duties with k.Go and returns.
	Start(ctx context.Context, k *Kernel) error
	// Stop ends what Start began. It is called in the reverse order of Start.
	Stop(ctx context.Context) error
}

// Provisioner is called before any component is validated.
type Provisioner interface {
	Provision(k *Kernel) error
}

// Validator is called after every component is provisioned.
type Validator interface {
	Validate() error
}

// Drainer stops taking new work and returns when the work at hand has ended or
// ctx has. It is called on all components, in the order of Start, before any
// is stopped.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Kernel runs the components of one daemon.
type Kernel struct {
	Log        *slog.Logger
	components []Component
	group      *errgroup.Group
	dutyCtx    context.Context
	cancel     context.CancelFunc

	mu      sync.Mutex
	duties  map[string]int
	rings   map[string]ringStat
	dumpers map[string]Dumper
}

// New makes a kernel for the components, which are started in order.
func New(log *slog.Logger, components ...Component) *Kernel {
	dutyCtx, cancel := context.WithCancel(context.Background())
	group, dutyCtx := errgroup.WithContext(dutyCtx)
	return &Kernel{
		Log:        log,
		components: components,
		group:      group,
		dutyCtx:    dutyCtx,
		cancel:     cancel,
		duties:     make(map[string]int),
		rings:      make(map[string]ringStat),
		dumpers:    make(map[string]Dumper),
	}
}

// Go runs a duty on a goroutine of its own. Its context ends when the daemon
// stops. A duty that returns an error before that, or panics, ends the daemon.
func (k *Kernel) Go(name string, duty func(ctx context.Context) error) {
	k.countDuty(name, 1)
	k.group.Go(func() (err error) {
		defer k.countDuty(name, -1)
		defer func() {
			if v := recover(); v != nil {
				err = &WorkerError{Worker: name, Cause: &PanicError{Value: v}, Stack: string(debug.Stack())}
				k.Log.Error("duty panicked", "duty", name, "panic", v, "stack", string(debug.Stack()))
			}
		}()
		err = duty(k.dutyCtx)
		if err == nil || k.dutyCtx.Err() != nil {
			return nil
		}
		k.Log.Error("duty failed", "duty", name, "error", err)
		return &WorkerError{Worker: name, Cause: err}
	})
}

// Every runs a duty that does its job once a period.
func (k *Kernel) Every(name string, period time.Duration, job func(ctx context.Context, now time.Time)) {
	k.Go(name, func(ctx context.Context) error {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case now := <-ticker.C:
				job(ctx, now)
			}
		}
	})
}

func (k *Kernel) countDuty(name string, by int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.duties[name] += by
	if k.duties[name] == 0 {
		delete(k.duties, name)
	}
}

// Run provisions, validates and starts the components, waits until ctx ends or
// a duty fails, drains them for at most drainFor, and stops them. It returns
// the first failure.
func (k *Kernel) Run(ctx context.Context, drainFor time.Duration) error {
	started, err := k.startAll(ctx)
	if err == nil {
		select {
		case <-ctx.Done():
			err = k.drainAll(drainFor)
		case <-k.dutyCtx.Done():
		}
	}
	stopErr := k.stopAll(started)
	k.cancel()
	dutyErr := k.group.Wait()
	for _, candidate := range []error{dutyErr, err, stopErr} {
		if candidate != nil {
			return candidate
		}
	}
	return nil
}

func (k *Kernel) startAll(ctx context.Context) (started []Component, err error) {
	for _, c := range k.components {
		if p, ok := c.(Provisioner); ok {
			if err := p.Provision(k); err != nil {
				return nil, errors.Wrapf(err, "provision %s", c.Name())
			}
		}
		if d, ok := c.(Dumper); ok {
			k.AddDumper(c.Name(), d)
		}
	}
	for _, c := range k.components {
		if v, ok := c.(Validator); ok {
			if err := v.Validate(); err != nil {
				return nil, errors.Wrapf(err, "validate %s", c.Name())
			}
		}
	}
	for _, c := range k.components {
		if err := c.Start(ctx, k); err != nil {
			return started, errors.Wrapf(err, "start %s", c.Name())
		}
		started = append(started, c)
	}
	return started, nil
}

func (k *Kernel) drainAll(drainFor time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), drainFor)
	defer cancel()
	var first error
	for _, c := range k.components {
		d, ok := c.(Drainer)
		if !ok {
			continue
		}
		if err := d.Drain(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "drain %s", c.Name())
		}
	}
	return first
}

const stopTimeout = 5 * time.Second

func (k *Kernel) stopAll(started []Component) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var first error
	for i := len(started) - 1; i >= 0; i-- {
		if err := started[i].Stop(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "stop %s", started[i].Name())
		}
	}
	return first
}
