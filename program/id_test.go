package program

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/structs"
)

// The hash of a turn is the same each time it is taken, also of a turn that
// was stored and read back.
func TestHashOfIsStable(t *testing.T) {
	header := map[string][]string{"Content-Type": {"text/plain"}, "Date": {"now"}, "Etag": {"a", "b"}, "Vary": {"Accept"}}
	for name, plain := range map[string]*structs.PlainTurn{
		"model":   nil,
		"bare":    {Method: "POST", Path: "/orders", Status: 200},
		"no body": {Method: "POST", Path: "/orders", Status: 204, Body: []byte{}, Header: map[string][]string{}},
		"header":  {Method: "GET", Path: "/orders", Status: 200, Body: []byte("done"), Header: header},
	} {
		turn := structs.Turn{Program: "a/b", Number: 1, Plain: plain}
		body, err := msgpack.Marshal(turn)
		assert.NilError(t, err)
		for range 64 {
			var read structs.Turn
			assert.NilError(t, msgpack.Unmarshal(body, &read))
			assert.Equal(t, TurnHash(read), TurnHash(turn), name)
		}
	}
	changed := structs.Turn{Plain: &structs.PlainTurn{Header: map[string][]string{"Etag": {"a"}}}}
	other := structs.Turn{Plain: &structs.PlainTurn{Header: map[string][]string{"Etag": {"b"}}}}
	assert.Assert(t, TurnHash(changed) != TurnHash(other))
}
