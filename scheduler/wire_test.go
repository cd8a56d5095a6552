package scheduler

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/journal"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/target"
	"github.com/endivecourse/endivecourse/wire"
)

// memoryOwner owns every slot from the start and keeps its journal in memory.
type memoryOwner struct{ changes chan journal.Change }

func newMemoryOwner() *memoryOwner {
	m := &memoryOwner{changes: make(chan journal.Change, testSlots)}
	for slot := range structs.Slot(testSlots) {
		m.changes <- journal.Change{Slot: slot, Epoch: 1, Held: true}
	}
	return m
}

func (m *memoryOwner) Held(structs.Slot) (structs.Epoch, bool)        { return 1, true }
func (m *memoryOwner) OwnerAddr(structs.Slot) string                  { return "one:1" }
func (m *memoryOwner) Changes() <-chan journal.Change                 { return m.changes }
func (m *memoryOwner) Append(context.Context, []journal.Record) error { return nil }
func (m *memoryOwner) Recover(context.Context, structs.Slot, structs.Epoch) ([]journal.Record, error) {
	return nil, nil
}

func TestHandlersOverWire(t *testing.T) {
	site := newSite()
	owner := newMemoryOwner()
	snapshot := &fakeSnapshot{doc: testDocument()}
	s := New(Options{
		Settings: testSettings("one:1"), Ownership: owner, Journal: owner,
		Config:    func() Snapshot { return snapshot },
		NewDriver: func(spec target.Spec) (target.Driver, error) { return site.targets[spec.ID], nil },
	})
	ctx, cancel := context.WithCancel(context.Background())
	k := kernel.New(slog.New(slog.DiscardHandler), s)
	ran := make(chan error, 1)
	go func() { ran <- k.Run(ctx, time.Minute) }()
	server := wire.NewServer(wire.Options{})
	s.RegisterHandlers(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(listener)
	client := wire.NewClient(wire.Options{})
	defer client.Close()
	addr := listener.Addr().String()

	var info structs.ProgramInfo
	create := structs.CreateProgram{ID: "north/p", Account: "acme", Kind: "plan"}
	for { // until the slots are recovered
		err = client.Call(ctx, addr, structs.MethodCreateProgram, create, &info)
		if refusalOf(err).Kind != structs.RefusedNotReady {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.NilError(t, err)
	stream, err := client.Stream(ctx, addr, structs.MethodCall, ask("north/p", 1, "first"))
	assert.NilError(t, err)
	var kinds []structs.CallEventKind
	for {
		var event structs.CallEvent
		if err = stream.Recv(&event); err != nil {
			break
		}
		kinds = append(kinds, event.Kind)
	}
	assert.Equal(t, err, io.EOF)
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
	var grant structs.QuotaGrant
	assert.NilError(t, client.Call(ctx, addr, structs.MethodTakeQuota, structs.TakeQuota{Account: "acme", Want: 3}, &grant))
	assert.Equal(t, grant.Granted, 3)
	assert.NilError(t, client.Call(ctx, addr, structs.MethodEndProgram, ref, &info))
	assert.Assert(t, info.Ended)
	assert.NilError(t, server.Close())
	cancel()
	assert.NilError(t, <-ran)
}
