package membership

import (
	"context"
	"sync"
	"time"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
)

const (
	defaultInterval = time.Second
	defaultTimeout  = 2 * time.Second
)

// Options sets up a Watcher.
type Options struct {
	VMs      backing.VMList
	Interval time.Duration // between polls; 0 is 1 s
	Timeout  time.Duration // of one poll; 0 is 2 s
	// Now reads the monotonic clock; nil is structs.Now.
	Now func() structs.Instant
}

// Watcher is the kernel component that polls the list.
type Watcher struct {
	opts Options

	mu       sync.Mutex
	tracker  *Tracker
	changed  chan struct{}
	failures uint64
	failing  bool
}

// New makes a Watcher.
func New(opts Options) *Watcher {
	if opts.Interval <= 0 {
		opts.Interval = defaultInterval
	}
	if opts.Timeout <= 0 {
		opts.Timeout = defaultTimeout
	}
	if opts.Now == nil {
		opts.Now = structs.Now
	}
	return &Watcher{opts: opts, tracker: NewTracker(), changed: make(chan struct{})}
}

// Name returns "membership".
func (w *Watcher) Name() string { return "membership" }

// Start starts the polling duty.
func (w *Watcher) Start(_ context.Context, k *kernel.Kernel) error {
	k.Go("membership.poll", func(ctx context.Context) error { return w.run(ctx, k) })
	return nil
}

// Stop does nothing: the duty ends with the kernel's context.
func (w *Watcher) Stop(context.Context) error { return nil }

// View returns the latest view; it is never nil.
func (w *Watcher) View() *View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.View()
}

// Changed returns a channel that is closed when the view next changes. Take it
// before View, so that no change is missed.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Age returns the age of the latest view.
func (w *Watcher) Age() time.Duration { return w.View().Age(w.opts.Now()) }

// Poll reads the list once. On a failure the view stays in place.
func (w *Watcher) Poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.opts.Timeout)
	defer cancel()
	asked := w.opts.Now()
	list, err := w.opts.VMs.VMs(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = err != nil
	if err != nil {
		w.failures++
		return err
	}
	if w.tracker.Apply(asked, list) {
		close(w.changed)
		w.changed = make(chan struct{})
	}
	return nil
}

func (w *Watcher) run(ctx context.Context, k *kernel.Kernel) error {
	ticker := time.NewTicker(w.opts.Interval)
	defer ticker.Stop()
	failing := false
	for {
		err := w.Poll(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil && !failing {
			k.Log.Warn("VM list is unavailable", "error", err)
		}
		failing = err != nil
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// State is the watcher's part of the state dump.
type State struct {
	Version  uint64       `json:"version"`
	Known    bool         `json:"known"`
	Age      string       `json:"age"`
	Failing  bool         `json:"failing"`
	Failures uint64       `json:"failures"`
	VMs      []backing.VM `json:"vms"`
}

// DumpState returns a State.
func (w *Watcher) DumpState() any {
	view := w.View()
	w.mu.Lock()
	defer w.mu.Unlock()
	return State{
		Version:  view.Version(),
		Known:    view.HasList(),
		Age:      view.Age(w.opts.Now()).String(),
		Failing:  w.failing,
		Failures: w.failures,
		VMs:      view.VMs(),
	}
}
