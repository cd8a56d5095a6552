package kernel

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

type testComponent struct {
	name   string
	trace  *[]string
	worker func(ctx context.Context) error
}

func (p *testComponent) Name() string { return p.name }

func (p *testComponent) recordCall(method string) { *p.trace = append(*p.trace, method+" "+p.name) }

func (p *testComponent) Provision(*Kernel) error { p.recordCall("provision"); return nil }

func (p *testComponent) Validate() error { p.recordCall("validate"); return nil }

func (p *testComponent) Start(_ context.Context, k *Kernel) error {
	p.recordCall("start")
	if p.worker != nil {
		k.Go(p.name, p.worker)
	}
	return nil
}

func (p *testComponent) Drain(context.Context) error { p.recordCall("drain"); return nil }

func (p *testComponent) Stop(context.Context) error { p.recordCall("stop"); return nil }

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func TestRunCallsLifecycleMethodsInOrder(t *testing.T) {
	defer goleak.VerifyNone(t)
	var trace []string
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	k := New(discardLogger(), &testComponent{name: "a", trace: &trace}, &testComponent{name: "b", trace: &trace})
	assert.NilError(t, k.Run(ctx, time.Second))
	assert.DeepEqual(t, trace, []string{
		"provision a", "provision b", "validate a", "validate b", "start a", "start b",
		"drain a", "drain b", "stop b", "stop a",
	})
}

func TestPanickingWorkerStopsDaemon(t *testing.T) {
	defer goleak.VerifyNone(t)
	var trace []string
	k := New(discardLogger(), &testComponent{name: "a", trace: &trace, worker: func(context.Context) error { panic("boom") }})
	err := k.Run(t.Context(), time.Second)
	var worker *WorkerError
	assert.Assert(t, errors.As(err, &worker))
	assert.Equal(t, worker.Worker, "a")
	var panicErr *PanicError
	assert.Assert(t, errors.As(err, &panicErr))
	assert.Equal(t, trace[len(trace)-1], "stop a")
}

func init() { Register("test.one", func() int { return 1 }) }

func TestRegistryErrors(t *testing.T) {
	one, err := Lookup[func() int]("test.one")
	assert.NilError(t, err)
	assert.Equal(t, one(), 1)
	var unknown *UnknownModuleError
	_, err = Lookup[func() int]("test.two")
	assert.Assert(t, errors.As(err, &unknown))
	assert.DeepEqual(t, unknown.Known, []ModuleID{"test.one"})
	var typeErr *ModuleTypeError
	_, err = Lookup[func() string]("test.one")
	assert.Assert(t, errors.As(err, &typeErr))
	defer func() { assert.Assert(t, recover() != nil) }()
	Register("test.one", nil)
}

func TestDumpListsRingsAndWorkers(t *testing.T) {
	k := New(discardLogger())
	ring := NewRing[int](k, "work", 2)
	assert.Assert(t, ring.TryPut(1))
	assert.Assert(t, ring.TryPut(2))
	assert.Assert(t, !ring.TryPut(3))
	k.Go("idle", func(ctx context.Context) error { <-ctx.Done(); return nil })
	dump := k.DumpState()
	assert.DeepEqual(t, dump.Rings, map[string]RingState{"work": {Depth: 2, Cap: 2}})
	assert.Equal(t, dump.Workers["idle"], 1)
	k.cancel()
	assert.NilError(t, k.group.Wait())
}

// halfStartedComponent starts a worker that only Stop ends, and then fails to start.
type halfStartedComponent struct{ stopped chan struct{} }

func (c *halfStartedComponent) Name() string { return "half" }

func (c *halfStartedComponent) Start(_ context.Context, k *Kernel) error {
	k.Go("half.serve", func(context.Context) error {
		<-c.stopped
		return nil
	})
	return errors.New("address in use")
}

func (c *halfStartedComponent) Stop(context.Context) error {
	close(c.stopped)
	return nil
}

// Run must return when a component fails to start after its first worker, for example
// because the second of its addresses is in use.
func TestRunEndsWhenComponentFailsAfterItsFirstWorker(t *testing.T) {
	defer goleak.VerifyNone(t)
	k := New(discardLogger(), &halfStartedComponent{stopped: make(chan struct{})})
	result := make(chan error, 1)
	go func() { result <- k.Run(t.Context(), time.Second) }()
	select {
	case err := <-result:
		assert.ErrorContains(t, err, "address in use")
	case <-time.After(5 * time.Second):
		t.Fatal("Run did not return within 5 s")
	}
}
