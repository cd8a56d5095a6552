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
	// Start starts the component's workers with k.Go and returns.
	Start(ctx context.Context, k *Kernel) error
	// Stop stops what Start started, also after a Start that failed halfway.
	// Components are stopped in the reverse order of their start.
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

// Drainer stops accepting new work and returns when the running work has
// ended or ctx is done. All components are drained, in the order of their
// start, before any is stopped.
type Drainer interface {
	Drain(ctx context.Context) error
}

// Kernel runs the components of one daemon.
type Kernel struct {
	Log        *slog.Logger
	components []Component
	group      *errgroup.Group
	workerCtx  context.Context
	cancel     context.CancelFunc

	mu      sync.Mutex
	workers map[string]int
	rings   map[string]ringStats
	dumpers map[string]Dumper
}

// New returns a kernel for the components, which are started in the given
// order.
func New(log *slog.Logger, components ...Component) *Kernel {
	workerCtx, cancel := context.WithCancel(context.Background())
	group, workerCtx := errgroup.WithContext(workerCtx)
	return &Kernel{
		Log:        log,
		components: components,
		group:      group,
		workerCtx:  workerCtx,
		cancel:     cancel,
		workers:    make(map[string]int),
		rings:      make(map[string]ringStats),
		dumpers:    make(map[string]Dumper),
	}
}

// Go runs a worker on its own goroutine. The worker's context is cancelled
// when the daemon stops. A worker that panics, or that returns an error before
// its context is cancelled, stops the daemon.
func (k *Kernel) Go(name string, worker func(ctx context.Context) error) {
	k.addToWorkerCount(name, 1)
	k.group.Go(func() (err error) {
		defer k.addToWorkerCount(name, -1)
		defer func() {
			if v := recover(); v != nil {
				err = &WorkerError{Worker: name, Cause: &PanicError{Value: v}, Stack: string(debug.Stack())}
				k.Log.Error("duty panicked", "duty", name, "panic", v, "stack", string(debug.Stack()))
			}
		}()
		err = worker(k.workerCtx)
		if err == nil || k.workerCtx.Err() != nil {
			return nil
		}
		k.Log.Error("duty failed", "duty", name, "error", err)
		return &WorkerError{Worker: name, Cause: err}
	})
}

// Every runs a worker that calls job once per period.
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

func (k *Kernel) addToWorkerCount(name string, delta int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.workers[name] += delta
	if k.workers[name] == 0 {
		delete(k.workers, name)
	}
}

// Run provisions, validates and starts the components, waits until ctx is done
// or a worker fails, and stops the components. Unless a worker has failed, they
// are drained first, for at most drainTimeout. Run returns the error of a worker
// if there is one, else the first error of starting or draining, else that of
// stopping.
func (k *Kernel) Run(ctx context.Context, drainTimeout time.Duration) error {
	started, err := k.startAll(ctx)
	if err == nil {
		select {
		case <-ctx.Done():
			err = k.drainAll(drainTimeout)
		case <-k.workerCtx.Done():
		}
	}
	stopErr := k.stopAll(started)
	k.cancel()
	workerErr := k.group.Wait()
	for _, candidate := range []error{workerErr, err, stopErr} {
		if candidate != nil {
			return candidate
		}
	}
	return nil
}

// startAll returns the components whose Start was called, with the one that failed last.
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
		started = append(started, c)
		if err := c.Start(ctx, k); err != nil {
			return started, errors.Wrapf(err, "start %s", c.Name())
		}
	}
	return started, nil
}

func (k *Kernel) drainAll(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
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
