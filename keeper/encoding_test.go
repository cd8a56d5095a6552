package keeper

import (
	"errors"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

func TestMessagesComeBackInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := rapid.Custom(func(t *rapid.T) Message {
			return Message{
				Kind:  lease.Kind(rapid.IntRange(1, int(lease.ReleaseNotice)).Draw(t, "kind")),
				Group: lease.Group(rapid.IntRange(0, lease.MaxGroups-1).Draw(t, "group")),
				Epoch: structs.Epoch(rapid.Uint64().Draw(t, "epoch")),
				Round: uint64(rapid.IntRange(0, 2).Draw(t, "round")),
				Age:   time.Duration(rapid.IntRange(0, 2).Draw(t, "age")),
			}
		})
		in := Exchange{To: "t", Messages: rapid.SliceOf(message).Draw(t, "messages")}
		data, err := msgpack.Marshal(&in)
		assert.NilError(t, err)
		var out Exchange
		assert.NilError(t, msgpack.Unmarshal(data, &out))
		assert.Equal(t, len(in.Messages), len(out.Messages))
		for i := range in.Messages {
			assert.Equal(t, in.Messages[i], out.Messages[i])
		}
	})
}

func TestBrokenMessagesAreRefused(t *testing.T) {
	for _, data := range [][]byte{
		{1}, {1, 1, 0, 9, 0, 0}, {200, 1, 1, 0, 1, 0, 0}, {1, 1, 0, 1, 1, 0}, {1, 1, 0, 1, 128, 1, 0},
	} {
		encoded, err := msgpack.Marshal(data)
		assert.NilError(t, err)
		var ms Messages
		var broken *MalformedMessagesError
		assert.Assert(t, errors.As(msgpack.Unmarshal(encoded, &ms), &broken), "%v", data)
	}
}
