package command

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/admin"
	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/kernel"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/wire"
)

func serveWire(t *testing.T, setup func(*wire.Server)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := wire.NewServer(wire.Options{})
	setup(server)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		server.Close()
		assert.Check(t, <-done)
	})
	return listener.Addr().String()
}

// An operator's request follows from any scheduler to the program's owner.
func TestProgramVerbsReachTheOwner(t *testing.T) {
	program := structs.ProgramInfo{ID: "dundee-a/1", Account: "council-dundee", Kind: "dispute", Budget: 10}
	owner := serveWire(t, func(s *wire.Server) {
		wire.HandleUnary(s, structs.MethodGetProgram, func(context.Context, structs.ProgramRef) (structs.ProgramInfo, error) {
			return program, nil
		})
		wire.HandleUnary(s, structs.MethodEndProgram, func(_ context.Context, ref structs.ProgramRef) (structs.ProgramInfo, error) {
			ended := program
			ended.Ended, ended.EndedReason = true, "operator"
			return ended, nil
		})
		wire.HandleUnary(s, structs.MethodListPrograms, func(context.Context, structs.ListPrograms) (structs.ProgramList, error) {
			return structs.ProgramList{Programs: []structs.ProgramInfo{program}}, nil
		})
	})
	refuse := func(context.Context, structs.ProgramRef) (structs.ProgramInfo, error) {
		refusal := structs.Refuse(structs.RefusedNotOwner, structs.RunNo, "not the owner")
		refusal.Owner = owner
		return structs.ProgramInfo{}, refusal
	}
	other := serveWire(t, func(s *wire.Server) {
		wire.HandleUnary(s, structs.MethodGetProgram, refuse)
		wire.HandleUnary(s, structs.MethodEndProgram, refuse)
	})
	newPlatform(t, vmList{
		{ID: "p", Domain: "perth-b", State: backing.VMLive, Scheduler: "127.0.0.1:1"},
		{ID: "a", Domain: "dundee-a", State: backing.VMLeaving, Scheduler: "127.0.0.1:1"},
		{ID: "b", Domain: "dundee-a", State: backing.VMLive, Scheduler: other},
	})
	assert.Assert(t, strings.Contains(mustRun(t, "program", "show", "dundee-a/1"), "running"))
	assert.Assert(t, strings.Contains(mustRun(t, "program", "end", "dundee-a/1"), "ended: operator"))
	var list programList
	out := mustRun(t, "program", "list", "--json", "--scheduler", owner+",127.0.0.1:1")
	assert.NilError(t, json.Unmarshal([]byte(out), &list))
	assert.Equal(t, len(list.Programs), 1)
	assert.DeepEqual(t, list.Unreachable, []string{"127.0.0.1:1"})
	status, _, _ := run(t, "program", "list", "--scheduler", "127.0.0.1:1")
	assert.Equal(t, status, ExitFailed)
}

func TestStateDump(t *testing.T) {
	s := admin.New(admin.Options{Address: "127.0.0.1:0", TokenHash: admin.HashToken("sesame")})
	k := kernel.New(slog.New(slog.DiscardHandler), s)
	ctx, cancel := context.WithCancel(t.Context())
	assert.NilError(t, s.Provision(k))
	assert.NilError(t, s.Start(ctx, k))
	defer func() {
		cancel()
		stop, cancelStop := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancelStop()
		assert.Check(t, s.Stop(stop))
	}()
	status, _, errOut := run(t, "state", "dump", s.Addr())
	assert.Equal(t, status, ExitFailed)
	assert.Assert(t, strings.Contains(errOut, "401"), errOut)
	t.Setenv(EnvOperatorToken, "sesame")
	var dump kernel.Dump
	assert.NilError(t, json.Unmarshal([]byte(mustRun(t, "state", "dump", s.Addr())), &dump))
	assert.Equal(t, dump.Workers["admin.serve"], 1)
}
