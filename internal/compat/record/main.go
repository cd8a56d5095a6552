// Command record writes recordings of the messages between VMs and of rows of the store to
// a directory. It is run in a checkout of the release whose messages are to be recorded, see
// internal/compat/testdata/README.md.
package main

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/conversation"
	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/placement"
	"github.com/endivecourse/endivecourse/quarantine"
	"github.com/endivecourse/endivecourse/share"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/targetrate"
	"github.com/endivecourse/endivecourse/turnlog"
	"github.com/endivecourse/endivecourse/wire"
)

const recordTime = 5 * time.Second

var (
	member = fleet.Member{VM: "vm-1", Incarnation: "vm-1-1", Address: "10.0.0.1:7000", Domain: "near-a", Region: "near", Capacity: 400, HoldsGrants: true}
	rate   = targetrate.Observation{
		Rate: 8, Age: 300 * time.Millisecond, ColdFor: 20 * time.Second, ColdRate: 0.5, ColdAge: 2 * time.Second,
	}
	crash  = quarantine.Report{Fingerprint: 9, Targets: []structs.TargetID{"t-3"}, Remaining: time.Second}
	leaves = map[structs.TargetID]placement.Incarnation{"t-2": {Started: 1700000000000, Address: "10.0.1.2:80"}}

	program     = ledger.Program{Account: "account", ID: "program"}
	reservation = ledger.Reservation{Turn: "turn-2", Tokens: 64, CreatedAt: 1700000000000}
	turn        = turnlog.Record{
		Account: "account", Previous: "turn-1", Ancestors: []structs.RequestID{"turn-0", "turn-1"}, Input: []byte("input"),
		Output: []byte("output\n"), Target: "t-1", CreatedAt: 1700000000000,
	}
)

// calls are the recorded calls: a method, its request and its reply.
var calls = []struct {
	name, method   string
	request, reply any
}{
	{"digest", fleet.MethodDigest, fleet.Digest{
		From: member, Config: 7, IsStoreReachable: true, ReachesTargets: true,
		Demand: share.Demand{"account": 2.5}, Spare: share.SpareTokens{"account": 3}, Loads: map[structs.TargetID]int{"t-1": 4},
		Failing:    map[structs.TargetID]placement.OutcomeCounts{"t-1": {Successes: 5, Failures: 2}},
		Rates:      map[structs.TargetID]targetrate.Report{"t-1": {Observation: rate, Taken: 3}},
		Crashes:    []quarantine.Report{crash},
		Departures: leaves, HonorsRegions: true, MembersHash: 11,
	}, fleet.DigestReply{Config: 8, ReachesTargets: true, HonorsRegions: true, Members: []fleet.Member{member}, Crashes: []quarantine.Report{crash}}},
	{"place", fleet.MethodPlace, fleet.PlacementRequest{
		Service: "engine", Cached: "t-1", Exclude: []structs.TargetID{"t-2"}, Domain: "near-a", Priority: 1, DueIn: 3 * time.Second,
		Wait: 100 * time.Millisecond, TimeLeft: 2 * time.Second, Patience: time.Second,
		Rates: map[structs.TargetID]targetrate.Observation{"t-1": rate}, Departures: leaves,
		VM: "vm-1", Connected: []structs.TargetID{"t-1"}, DomainDelay: 2 * time.Millisecond,
		Regions: []string{"near"}, Evacuated: []structs.DomainID{"near-b"},
		Account: "account", StartsProgram: true, Weight: 1.5, Ticket: 13, Waited: 50 * time.Millisecond, WorthlessIn: 4 * time.Second,
	}, fleet.PlacementReply{Target: "t-1", GrantID: 5, Rate: &rate}},
	{"forward", fleet.MethodForward, fleet.ForwardRequest{
		From: "vm-1", ID: "request-1", Method: http.MethodPost, Host: "agents.example", URI: "/chat/1", Header: http.Header{"A": {"b"}},
		Body: []byte("body"), Account: "account", Route: "chat", Service: "engine", Kind: 3, MaxSends: 2, Priority: 1, Fingerprint: 12,
		Program: "program", Cached: "t-1", Exclude: []structs.TargetID{"t-2"}, Departures: leaves, TimeLeft: time.Second, DueIn: 2 * time.Second,
		Regions: []string{"near"}, Evacuated: []structs.DomainID{"near-b"},
	}, fleet.ForwardReply{Head: &fleet.ForwardHead{Target: "t-1", Status: 200, Header: http.Header{"C": {"d"}}}, Sends: 1}},
	{"release", fleet.MethodRelease, fleet.Release{GrantID: 5, Result: placement.ResultAnswered, Latency: time.Millisecond}, struct{}{}},
	{"reserve", conversation.MethodReserve, conversation.ReserveRequest{
		Program: program, Reservation: reservation, Budget: 1000, AdvanceKey: "turn-1", InOutage: true, AllowsPending: true, IsUnstored: true,
	}, conversation.Reply{Code: codeNoGrant, Turn: "turn-2", Detail: "detail", CopyAt: "vm-2"}},
	{"finish", conversation.MethodFinish, conversation.FinishRequest{
		Program: program, Reservation: reservation, Budget: 1000, Tokens: 60, Record: &turn, Regions: []string{"near"},
	}, conversation.Reply{Code: codeOther, Detail: "detail"}},
	{"settle", conversation.MethodSettle, conversation.SettleRequest{
		Program: program, Turn: "turn-2", Tokens: 60, CreatedAt: 7, AdvanceKey: "turn-2", MaxTokens: 64, Budget: 1000,
	}, conversation.Reply{Code: codeBusy, Numbers: [3]int64{900, 64, 960}}},
	{"find", conversation.MethodFind, conversation.FindRequest{
		Program: program, Turns: []structs.RequestID{"turn-1", "turn-2"}, Regions: []string{"near"},
	}, conversation.Reply{Records: []*turnlog.Record{&turn}}},
}

// Values of conversation.Reply.Code.
const (
	codeBusy    = 2
	codeOther   = 7
	codeNoGrant = 9
)

// rows are the recorded values of rows.
var rows = map[string]any{
	"budget": ledger.Balance{
		Spent: 120, Open: []ledger.Reservation{reservation}, OutageTurns: []ledger.OutageTurn{{Turn: "turn-1", WrittenAt: 1700000001000}},
		ChargedAt: 1700000002000, Budget: 1000,
	},
	"turn":   turn,
	"member": member,
}

func main() {
	dir := os.Args[1]
	for name, value := range rows {
		raw, err := msgpack.Marshal(value)
		check(err)
		write(dir, name+".row", raw)
	}
	for _, call := range calls {
		request, reply := record(call.method, call.request, call.reply)
		write(dir, call.name+".request", request)
		write(dir, call.name+".reply", reply)
	}
}

// record makes a call over a connection whose bytes it returns.
func record(method string, in, out any) (request, reply []byte) {
	server := wire.NewServer(wire.Options{})
	server.Handle(method, func(_ context.Context, _ *wire.Request, w *wire.ReplyWriter) error { return w.Send(out) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	taps := make(chan *tap, 1)
	go server.Serve(&tapListener{Listener: listener, taps: taps})
	client := wire.NewClient(wire.Options{})
	ctx, cancel := context.WithTimeout(context.Background(), recordTime)
	defer cancel()
	stream, err := client.Stream(ctx, listener.Addr().String(), method, in)
	check(err)
	var raw msgpack.RawMessage
	check(stream.Recv(&raw))
	if err := stream.Recv(&raw); err != io.EOF {
		check(err)
	}
	client.Close()
	check(server.Close())
	t := <-taps
	return t.read, t.written
}

// tapListener records the bytes of the connections that it accepts.
type tapListener struct {
	net.Listener
	taps chan *tap
}

// Accept implements net.Listener.
func (l *tapListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t := &tap{Conn: conn}
	l.taps <- t
	return t, nil
}

type tap struct {
	net.Conn
	read, written []byte
}

// Read implements net.Conn.
func (t *tap) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	t.read = append(t.read, p[:n]...)
	return n, err
}

// Write implements net.Conn.
func (t *tap) Write(p []byte) (int, error) {
	t.written = append(t.written, p...)
	return t.Conn.Write(p)
}

func write(dir, name string, raw []byte) {
	check(os.WriteFile(filepath.Join(dir, name), raw, 0o644))
}

func check(err error) {
	if err != nil {
		log.Fatal(err)
	}
}
