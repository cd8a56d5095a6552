package keeper

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// Messages is a list of lease messages. It is encoded as runs of the same kind,
// round and age. A run holds these, its length, and for each message the
// differences of group and epoch from the one before, all as variable-length
// integers: a renewal of all groups takes two to three bytes a group.
type Messages []Message

// Message is a lease.Message without its ends.
type Message struct {
	Kind  lease.Kind
	Group lease.Group
	Epoch structs.Epoch
	Round uint64
	Age   time.Duration
}

func (m Message) sameRun(other Message) bool {
	return m.Kind == other.Kind && m.Round == other.Round && m.Age == other.Age
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (ms Messages) EncodeMsgpack(enc *msgpack.Encoder) error {
	var data []byte
	for len(ms) > 0 {
		n := 1
		for n < len(ms) && ms[n].sameRun(ms[0]) {
			n++
		}
		data = appendRun(data, ms[:n])
		ms = ms[n:]
	}
	return errors.Wrap(enc.EncodeBytes(data), "encode lease messages")
}

func appendRun(data []byte, run []Message) []byte {
	data = binary.AppendUvarint(data, uint64(run[0].Kind))
	data = binary.AppendUvarint(data, run[0].Round)
	data = binary.AppendVarint(data, int64(run[0].Age))
	data = binary.AppendUvarint(data, uint64(len(run)))
	var last Message
	for _, m := range run {
		data = binary.AppendVarint(data, int64(m.Group)-int64(last.Group))
		data = binary.AppendVarint(data, int64(m.Epoch)-int64(last.Epoch))
		last = m
	}
	return data
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (ms *Messages) DecodeMsgpack(dec *msgpack.Decoder) error {
	data, err := dec.DecodeBytes()
	if err != nil {
		return errors.Wrap(err, "decode lease messages")
	}
	r := &runReader{data: data}
	*ms = nil
	for len(r.data) > 0 && !r.broken {
		*ms = r.run(*ms)
	}
	if r.broken || len(*ms) > maxMessages {
		return &MalformedMessagesError{Bytes: len(data)}
	}
	return nil
}

// runReader reads runs. It is broken after anything that no encoder wrote.
type runReader struct {
	data   []byte
	broken bool
}

func (r *runReader) unsigned() uint64 {
	v, n := binary.Uvarint(r.data)
	r.advance(n)
	return v
}

func (r *runReader) signed() int64 {
	v, n := binary.Varint(r.data)
	r.advance(n)
	return v
}

func (r *runReader) advance(n int) {
	if n <= 0 {
		r.broken, r.data = true, nil
		return
	}
	r.data = r.data[n:]
}

func (r *runReader) run(ms []Message) []Message {
	kind, round, age, count := r.unsigned(), r.unsigned(), r.signed(), r.unsigned()
	if kind > uint64(lease.ReleaseNotice) || count > uint64(len(r.data)) {
		r.broken = true
	}
	m := Message{Kind: lease.Kind(kind), Round: round, Age: time.Duration(age)}
	group := int64(0)
	for ; count > 0 && !r.broken; count-- {
		group += r.signed()
		m.Epoch += structs.Epoch(r.signed())
		if group < 0 || group >= lease.MaxGroups {
			r.broken = true
		}
		m.Group = lease.Group(group)
		ms = append(ms, m)
	}
	return ms
}
