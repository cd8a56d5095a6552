package compat

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/conversation"
	"github.com/endivecourse/endivecourse/fleet"
	"github.com/endivecourse/endivecourse/internal/compat/production"
	standinrows "github.com/endivecourse/endivecourse/internal/standin/rows"
	"github.com/endivecourse/endivecourse/ledger"
	"github.com/endivecourse/endivecourse/rowstore"
	"github.com/endivecourse/endivecourse/structs"
	"github.com/endivecourse/endivecourse/turnlog"
	"github.com/endivecourse/endivecourse/wire"
)

func recording(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	return raw
}

// messages maps each recorded call to pairs of new and production types.
var messages = []struct {
	name, method               string
	request, productionRequest any
	reply, productionReply     any
}{
	{"digest", fleet.MethodDigest, fleet.Digest{}, production.Digest{}, fleet.DigestReply{}, production.DigestReply{}},
	{"place", fleet.MethodPlace, fleet.PlacementRequest{}, production.PlacementRequest{}, fleet.PlacementReply{}, production.PlacementReply{}},
	{"forward", fleet.MethodForward, fleet.ForwardRequest{}, production.ForwardRequest{}, fleet.ForwardReply{}, production.ForwardReply{}},
	{"release", fleet.MethodRelease, fleet.Release{}, production.Release{}, struct{}{}, struct{}{}},
	{"reserve", conversation.MethodReserve, conversation.ReserveRequest{}, production.ReserveRequest{}, conversation.Reply{}, production.Reply{}},
	{"finish", conversation.MethodFinish, conversation.FinishRequest{}, production.FinishRequest{}, conversation.Reply{}, production.Reply{}},
	{"settle", conversation.MethodSettle, conversation.SettleRequest{}, production.SettleRequest{}, conversation.Reply{}, production.Reply{}},
	{"find", conversation.MethodFind, conversation.FindRequest{}, production.FindRequest{}, conversation.Reply{}, production.Reply{}},
}

var rows = []struct {
	name                string
	value, productionOf any
}{
	{"budget", ledger.Balance{}, production.Balance{}},
	{"turn", turnlog.Record{}, production.Record{}},
	{"member", fleet.Member{}, production.Member{}},
}

// decodeAs returns a new value of sample's type that raw was decoded into.
func decodeAs(t *testing.T, sample any, raw []byte) any {
	t.Helper()
	value := reflect.New(reflect.TypeOf(sample))
	assert.NilError(t, msgpack.Unmarshal(raw, value.Interface()))
	return value.Elem().Interface()
}

// asMap returns a value's encoding with maps in place of structs.
func asMap(t *testing.T, value any) any {
	t.Helper()
	raw, err := msgpack.Marshal(value)
	assert.NilError(t, err)
	var decoded any
	assert.NilError(t, msgpack.Unmarshal(raw, &decoded))
	return decoded
}

// assertContains checks that all keys and values of part are in whole.
func assertContains(t *testing.T, path string, whole, part any) {
	t.Helper()
	switch part := part.(type) {
	case map[string]any:
		other, isMap := whole.(map[string]any)
		assert.Assert(t, isMap, path)
		for key, value := range part {
			assertContains(t, path+"."+key, other[key], value)
		}
	case []any:
		other, isList := whole.([]any)
		assert.Assert(t, isList && len(other) == len(part), path)
		for i, value := range part {
			assertContains(t, fmt.Sprint(path, "[", i, "]"), other[i], value)
		}
	default:
		assert.DeepEqual(t, whole, part)
	}
}

// assertFieldsSet checks that no field of a recorded value is missing.
func assertFieldsSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	assert.Assert(t, !v.IsZero(), "%s is not in the recording", path)
	switch v.Kind() {
	case reflect.Pointer:
		assertFieldsSet(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			assertFieldsSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		for i := range v.Len() {
			assertFieldsSet(t, fmt.Sprint(path, "[", i, "]"), v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			assertFieldsSet(t, fmt.Sprint(path, "[", key, "]"), v.MapIndex(key))
		}
	}
}

// Guards against a release that loses a field of a message or row of the one in production.
func TestRowsOfProductionAreRead(t *testing.T) {
	for _, row := range rows {
		raw := recording(t, row.name+".row")
		expected := decodeAs(t, row.productionOf, raw)
		assertFieldsSet(t, row.name, reflect.ValueOf(expected))
		assertContains(t, row.name, asMap(t, decodeAs(t, row.value, raw)), asMap(t, expected))
	}
}

func TestFramesOfProductionAreRead(t *testing.T) {
	for _, m := range messages {
		got, reply := serveRecordedRequest(t, m.method, recording(t, m.name+".request"))
		expected := decodeAs(t, m.productionRequest, got)
		assertFieldsSet(t, m.name, reflect.ValueOf(expected))
		assertContains(t, m.name, asMap(t, decodeAs(t, m.request, got)), asMap(t, expected))
		assert.Assert(t, bytes.HasPrefix(recording(t, m.name+".reply"), reply[:2]), "%s: version and kind of the frame", m.name)

		got = callRecordedReply(t, m.method, recording(t, m.name+".reply"))
		assertContains(t, m.name, asMap(t, decodeAs(t, m.reply, got)), asMap(t, decodeAs(t, m.productionReply, got)))
	}
}

// serveRecordedRequest sends the recorded bytes of a request to a server of this release,
// and returns the request's body and the bytes of the reply.
func serveRecordedRequest(t *testing.T, method string, recorded []byte) (body, reply []byte) {
	t.Helper()
	server := wire.NewServer(wire.Options{})
	server.Handle(method, func(_ context.Context, req *wire.Request, w *wire.ReplyWriter) error {
		var raw msgpack.RawMessage
		err := req.Decode(&raw)
		body = raw
		assert.Check(t, err)
		return w.Send(struct{}{})
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(listener)
	defer server.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = conn.Write(recorded)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	reply = make([]byte, 1<<10)
	n, err := conn.Read(reply)
	assert.NilError(t, err)
	return body, reply[:n]
}

// callRecordedReply calls a server that answers with the recorded bytes of a reply, and
// returns the reply's body.
func callRecordedReply(t *testing.T, method string, recorded []byte) []byte {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1<<10))
		_, _ = conn.Write(recorded)
	}()
	client := wire.NewClient(wire.Options{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	var raw msgpack.RawMessage
	stream, err := client.Stream(ctx, listener.Addr().String(), method, struct{}{})
	assert.NilError(t, err)
	assert.NilError(t, stream.Recv(&raw))
	return raw
}

// Guards against a new message or row that the release in production can't decode, or in
// which one of its keys has another meaning. Every field is set, so new ones are checked
// too.
func TestProductionReadsMessagesAndRowsOfThisRelease(t *testing.T) {
	check := func(name string, value, productionOf any) {
		filled := reflect.New(reflect.TypeOf(value)).Elem()
		fill(filled)
		raw, err := msgpack.Marshal(filled.Interface())
		assert.NilError(t, err)
		decoded := decodeAs(t, productionOf, raw)
		assertContains(t, name, asMap(t, filled.Interface()), asMap(t, decoded))
		for i := range reflect.TypeOf(decoded).NumField() {
			assert.Assert(t, !reflect.ValueOf(decoded).Field(i).IsZero(), "%s: %s is lost", name, reflect.TypeOf(decoded).Field(i).Name)
		}
	}
	for _, m := range messages {
		check(m.name+" request", m.request, m.productionRequest)
		check(m.name+" reply", m.reply, m.productionReply)
	}
	for _, row := range rows {
		check(row.name, row.value, row.productionOf)
	}
}

// fill sets a value and everything in it to something other than zero.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				fill(v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("s")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(1.5)
	default:
		if v.CanInt() {
			v.SetInt(3)
		} else {
			v.SetUint(3)
		}
	}
}

// A message or row of this release without its new fields has the bytes of the one in
// production.
func TestNewFieldsAreOptional(t *testing.T) {
	check := func(name string, value, productionOf any) {
		filled := reflect.New(reflect.TypeOf(productionOf)).Elem()
		fill(filled)
		raw, err := msgpack.Marshal(filled.Interface())
		assert.NilError(t, err)
		again, err := msgpack.Marshal(decodeAs(t, value, raw))
		assert.NilError(t, err)
		assert.Equal(t, len(again), len(raw), "%s: a new field has no omitempty", name)
	}
	for _, m := range messages {
		check(m.name+" request", m.request, m.productionRequest)
		check(m.name+" reply", m.reply, m.productionReply)
	}
	for _, row := range rows {
		check(row.name, row.value, row.productionOf)
	}
}

// contendedStore changes each balance before a transaction does, as another VM that is the
// home of the same programs.
type contendedStore struct{ *standinrows.Store }

func (s contendedStore) Commit(ctx context.Context, tx rowstore.Tx) (uint64, error) {
	for _, put := range tx.Put {
		if put.Key.Table == "budgets" {
			value, err := msgpack.Marshal(ledger.Balance{Spent: 1, Writer: "vm-3"})
			if err != nil {
				return 0, err
			}
			s.Put(put.Key, value)
		}
	}
	return s.Store.Commit(ctx, tx)
}

// Guards against a reply for a contended balance that a VM of the release in production takes
// as the end of the operation: it does not know the reply's new fields and would not store the
// turn, whereas after an error of code other it stores the turn itself.
func TestReplyForContendedBalanceIsNotFinalInProduction(t *testing.T) {
	store, partition := contendedStore{standinrows.New()}, func(string) string { return "p" }
	server := wire.NewServer(wire.Options{})
	conversation.Register(server, &conversation.Local{
		Ledger: ledger.NewKeeper(ledger.Options{Self: "vm-2", Store: store, Partition: partition, FirstStart: true, Log: slog.New(slog.DiscardHandler)}),
		Turns: turnlog.New(turnlog.Options{
			Store: store, Partition: partition, Partitions: []string{"p"}, CacheBytes: 1 << 20, RowBytes: 1 << 16,
		}),
		Partition: partition,
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(listener)
	defer server.Close()
	client := wire.NewClient(wire.Options{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	recorded, _ := serveRecordedRequest(t, conversation.MethodFinish, recording(t, "finish.request"))
	stream, err := client.Stream(ctx, listener.Addr().String(), conversation.MethodFinish, msgpack.RawMessage(recorded))
	assert.NilError(t, err)
	var raw msgpack.RawMessage
	assert.NilError(t, stream.Recv(&raw))

	reply := decodeAs(t, conversation.Reply{}, raw).(conversation.Reply)
	assert.Equal(t, reply.Writer, structs.VMID("vm-3"), "the reply has no new field: %+v", reply)
	inProduction := decodeAs(t, production.Reply{}, raw).(production.Reply)
	assert.Equal(t, inProduction.Code, uint8(production.CodeOther))
	assert.Assert(t, !inProduction.IsFinal())
}

func TestSystemFileNamesTheReleaseInProduction(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "deploy", "system.toml"))
	assert.NilError(t, err)
	top, _, _ := strings.Cut(string(raw), "\n[")
	line := `production = "a4fb8d97f9ade346383f828b0f633db27542abcc"`
	assert.Assert(t, slices.Contains(strings.Split(top, "\n"), line), "the recordings in testdata are of this commit")
}
