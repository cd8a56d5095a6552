package scheduler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

// memoryOwner owns every slot from the start and keeps its journal in memory.
type memoryOwner struct{ changes chan journal.SlotChange }

func newMemoryOwner() *memoryOwner {
	m := &memoryOwner{changes: make(chan journal.SlotChange, testSlots)}
	for slot := range structs.Slot(testSlots) {
		m.changes <- journal.SlotChange{Slot: slot, Epoch: 1, IsHeld: true}
	}
	return m
}

func (m *memoryOwner) HeldEpoch(structs.Slot) (structs.Epoch, bool)   { return 1, true }
func (m *memoryOwner) OwnerAddr(structs.Slot) string                  { return "one:1" }
func (m *memoryOwner) Changes() <-chan journal.SlotChange             { return m.changes }
func (m *memoryOwner) Append(context.Context, []journal.Record) error { return nil }
func (m *memoryOwner) Recover(context.Context, structs.Slot, structs.Epoch) ([]journal.Record, error) {
	return nil, nil
}

// signal is a component that says when those before it have started.
type signal struct{ started chan struct{} }

func (s signal) Name() string { return "signal" }
func (s signal) Start(context.Context, *kernel.Kernel) error {
	close(s.started)
	return nil
}
func (s signal) Stop(context.Context) error { return nil }

// serveWire starts a scheduler with a journal in memory behind a server on
// loopback, and returns a client, the address and a function that stops all.
func serveWire(t testing.TB) (*wire.Client, string, func()) {
	site := newSite()
	owner := newMemoryOwner()
	snapshot := &fakeSnapshot{doc: testDocument()}
	s := New(Options{
		Settings: testSettings("one:1"), Ownership: owner, Journal: owner,
		Config:    func() Snapshot { return snapshot },
		NewDriver: func(spec target.Spec) (target.Driver, error) { return site.targets[spec.ID], nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ready := signal{started: make(chan struct{})}
	k := kernel.New(slog.New(slog.DiscardHandler), s, ready)
	ran := make(chan error, 1)
	go func() { ran <- k.Run(ctx, time.Minute) }()
	<-ready.started
	server := wire.NewServer(wire.Options{})
	s.RegisterHandlers(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(listener)
	client := wire.NewClient(wire.Options{})
	return client, listener.Addr().String(), func() {
		client.Close()
		assert.NilError(t, server.Close())
		cancel()
		assert.NilError(t, <-ran)
	}
}

// createOver creates a program once the slots are recovered.
func createOver(t testing.TB, client *wire.Client, addr string, id structs.ProgramID) {
	create := structs.CreateProgram{ID: id, Account: "acme", Kind: "plan"}
	for {
		var info structs.ProgramInfo
		err := client.Call(context.Background(), addr, structs.MethodCreateProgram, create, &info)
		if refusalOf(err).Kind != structs.RefusedNotReady {
			assert.NilError(t, err)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// eventsOf runs a call and returns the kinds of its events.
func eventsOf(t testing.TB, client *wire.Client, addr string, call structs.Call) []structs.CallEventKind {
	stream, err := client.Stream(context.Background(), addr, structs.MethodCall, call)
	assert.NilError(t, err)
	var kinds []structs.CallEventKind
	for {
		var event structs.CallEvent
		if err = stream.Recv(&event); err != nil {
			assert.Equal(t, err, io.EOF)
			return kinds
		}
		kinds = append(kinds, event.Kind)
	}
}

// BenchmarkCall measures a call over the wire with a target that answers at
// once and a journal in memory.
func BenchmarkCall(b *testing.B) {
	client, addr, stop := serveWire(b)
	defer stop()
	createOver(b, client, addr, "north/first")
	b.ResetTimer()
	for i := range b.N {
		id := structs.NewProgramID("north", fmt.Sprintf("b%d", i))
		call := ask(id, 1, "text")
		call.Kind, call.EndAfter = "plan", true
		eventsOf(b, client, addr, call)
	}
}

func TestHandlersOverWire(t *testing.T) {
	ctx := context.Background()
	client, addr, stop := serveWire(t)
	defer stop()
	createOver(t, client, addr, "north/p")
	kinds := eventsOf(t, client, addr, ask("north/p", 1, "first"))
	assert.DeepEqual(t, kinds, []structs.CallEventKind{structs.EventStarted, structs.EventData, structs.EventData, structs.EventDone})

	ref := structs.ProgramRef{ID: "north/p", Account: "acme"}
	var history structs.History
	assert.NilError(t, client.Call(ctx, addr, structs.MethodHistory, ref, &history))
	assert.Equal(t, len(history.Turns), 1)
	var list structs.ProgramList
	assert.NilError(t, client.Call(ctx, addr, structs.MethodListPrograms, structs.ListPrograms{Account: "other"}, &list))
	assert.Equal(t, len(list.Programs), 0)
	var owners structs.Owners
	assert.NilError(t, client.Call(ctx, addr, structs.MethodOwners, structs.OwnersQuery{}, &owners))
	assert.Equal(t, len(owners.Slots), testSlots)
	var info structs.ProgramInfo
	assert.NilError(t, client.Call(ctx, addr, structs.MethodEndProgram, ref, &info))
	assert.Assert(t, info.Ended)
}
