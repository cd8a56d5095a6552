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

type part struct {
	name  string
	trace *[]string
	duty  func(ctx context.Context) error
}

func (p *part) Name() string { return p.name }

func (p *part) note(what string) { *p.trace = append(*p.trace, what+" "+p.name) }

func (p *part) Provision(*Kernel) error { p.note("provision"); return nil }

func (p *part) Validate() error { p.note("validate"); return nil }

func (p *part) Start(_ context.Context, k *Kernel) error {
	p.note("start")
	if p.duty != nil {
		k.Go(p.name, p.duty)
	}
	return nil
}

func (p *part) Drain(context.Context) error { p.note("drain"); return nil }

func (p *part) Stop(context.Context) error { p.note("stop"); return nil }

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

func TestRunOrdersTheLifeOfComponents(t *testing.T) {
	defer goleak.VerifyNone(t)
	var trace []string
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	k := New(quiet(), &part{name: "a", trace: &trace}, &part{name: "b", trace: &trace})
	assert.NilError(t, k.Run(ctx, time.Second))
	assert.DeepEqual(t, trace, []string{
		"provision a", "provision b", "validate a", "validate b", "start a", "start b",
		"drain a", "drain b", "stop b", "stop a",
	})
}

func TestDutyThatPanicsEndsTheDaemon(t *testing.T) {
	defer goleak.VerifyNone(t)
	var trace []string
	k := New(quiet(), &part{name: "a", trace: &trace, duty: func(context.Context) error { panic("boom") }})
	err := k.Run(t.Context(), time.Second)
	var duty *WorkerError
	assert.Assert(t, errors.As(err, &duty))
	assert.Equal(t, duty.Worker, "a")
	var panicked *PanicError
	assert.Assert(t, errors.As(err, &panicked))
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
	var wrong *ModuleTypeError
	_, err = Lookup[func() string]("test.one")
	assert.Assert(t, errors.As(err, &wrong))
	defer func() { assert.Assert(t, recover() != nil) }()
	Register("test.one", nil)
}

func TestDumpShowsRingsAndDuties(t *testing.T) {
	k := New(quiet())
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
