package keeper

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/lease"
	"github.com/endivecourse/endivecourse/structs"
)

// Messages is a list of lease messages. It is encoded as runs of messages with the
// same kind, round and age. A run holds these three, its length, and for each message
// the differences of group and epoch from the previous one, all as variable-length
// integers. A renewal of all groups takes two to three bytes per group.
type Messages []Message

// Message is a lease.Message without sender and receiver.
type Message struct {
	Kind  lease.Kind
	Group lease.Group
	Epoch structs.Epoch
	Round uint64
	Age   time.Duration
}

func (m Message) isSameRun(other Message) bool {
	return m.Kind == other.Kind && m.Round == other.Round && m.Age == other.Age
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (ms Messages) EncodeMsgpack(enc *msgpack.Encoder) error {
	var data []byte
	for len(ms) > 0 {
		n := 1
		for n < len(ms) && ms[n].isSameRun(ms[0]) {
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
	var previous Message
	for _, m := range run {
		data = binary.AppendVarint(data, int64(m.Group)-int64(previous.Group))
		data = binary.AppendVarint(data, int64(m.Epoch)-int64(previous.Epoch))
		previous = m
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
	for len(r.data) > 0 && !r.isMalformed {
		*ms = r.readRun(*ms)
	}
	if r.isMalformed || len(*ms) > maxMessages {
		return &MalformedMessagesError{Bytes: len(data)}
	}
	return nil
}

// runReader decodes runs. isMalformed is set by data that no encoder writes.
type runReader struct {
	data        []byte
	isMalformed bool
}

func (r *runReader) readUvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	r.advance(n)
	return v
}

func (r *runReader) readVarint() int64 {
	v, n := binary.Varint(r.data)
	r.advance(n)
	return v
}

func (r *runReader) advance(n int) {
	if n <= 0 {
		r.isMalformed, r.data = true, nil
		return
	}
	r.data = r.data[n:]
}

func (r *runReader) readRun(ms []Message) []Message {
	kind, round, age, count := r.readUvarint(), r.readUvarint(), r.readVarint(), r.readUvarint()
	if kind > uint64(lease.ReleaseNotice) || count > uint64(len(r.data)) {
		r.isMalformed = true
	}
	m := Message{Kind: lease.Kind(kind), Round: round, Age: time.Duration(age)}
	group := int64(0)
	for ; count > 0 && !r.isMalformed; count-- {
		group += r.readVarint()
		m.Epoch += structs.Epoch(r.readVarint())
		if group < 0 || group >= lease.MaxGroups {
			r.isMalformed = true
		}
		m.Group = lease.Group(group)
		ms = append(ms, m)
	}
	return ms
}
