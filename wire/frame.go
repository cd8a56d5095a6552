package wire

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/connlimit"
)

// Version is the protocol version. A connection to a peer with another version
// is closed.
const Version = 1

// DefaultMaxFrame is the default maximum of a frame's body, in bytes.
const DefaultMaxFrame = 8 << 20

// frameKind is the kind of a frame.
type frameKind uint8

const (
	frameRequest frameKind = iota + 1 // opens a stream
	frameReply                        // one reply of a stream
	frameEnd                          // the last frame of a stream; body is empty
	frameRefusal                      // the last frame of a stream; body is a structs.Refusal
	frameCancel                       // the caller cancels the stream
	frameCredit                       // the caller accepts more replies; body is their count
	framePing                         // keeps the connection alive
)

// headerSize is the length of a frame's header: version (1 byte), kind (1),
// reserved zeros (2), stream ID (8) and body length (4), big-endian.
const headerSize = 16

type frame struct {
	kind   frameKind
	stream uint64
	body   []byte
	taken  int           // bytes of the receive budget
	sent   chan struct{} // closed once the frame is written, nil if nobody waits for that
}

func appendFrame(buf []byte, f frame) []byte {
	var header [headerSize]byte
	header[0] = Version
	header[1] = byte(f.kind)
	binary.BigEndian.PutUint64(header[4:], f.stream)
	binary.BigEndian.PutUint32(header[12:], uint32(len(f.body)))
	buf = append(buf, header[:]...)
	return append(buf, f.body...)
}

// readFrame reads one frame. Bodies longer than maxBody are refused. The body
// grows as bytes arrive, so that a peer that announces a long body but sends
// little of it does not make the reader allocate the announced length.
func readFrame(r io.Reader, maxBody int) (frame, error) { return readFrameWithin(r, maxBody, nil) }

// readFrameWithin reads one frame whose body is kept within a budget, of which the frame has
// taken its part.
func readFrameWithin(r io.Reader, maxBody int, budget *connlimit.Budget) (frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	if header[0] != Version {
		return frame{}, &VersionMismatchError{PeerVersion: header[0]}
	}
	kind := frameKind(header[1])
	if kind < frameRequest || kind > framePing {
		return frame{}, &MalformedFrameError{Field: "kind", Value: uint64(header[1])}
	}
	if header[2] != 0 || header[3] != 0 {
		return frame{}, &MalformedFrameError{Field: "reserved", Value: uint64(binary.BigEndian.Uint16(header[2:]))}
	}
	length := binary.BigEndian.Uint32(header[12:])
	if uint64(length) > uint64(maxBody) {
		return frame{}, &FrameTooLargeError{Length: uint64(length), Max: uint64(maxBody)}
	}
	body, taken, err := readBody(r, int(length), budget)
	if err != nil {
		budget.Give(taken)
		return frame{}, errors.Wrap(err, "read frame body")
	}
	return frame{kind: kind, stream: binary.BigEndian.Uint64(header[4:]), body: body, taken: taken}, nil
}

// bodyChunk is the size of the parts in which long bodies are written, and for which the
// timeouts hold.
const bodyChunk = 64 << 10

const (
	// freeBodyBytes are allocated for a body before they arrive, and count for no budget.
	freeBodyBytes = 4 << 10
	// joinFactor is how often a long body is kept while its parts are joined.
	joinFactor = 2
)

// chunks holds the parts of long bodies while these arrive: peers that send none of them whole
// would otherwise leave garbage faster than it is collected.
var chunks = sync.Pool{New: func() any { return new([bodyChunk]byte) }}

// readBody reads a body. It returns what it has taken of the budget, also with an error.
func readBody(r io.Reader, length int, budget *connlimit.Budget) (body []byte, taken int, err error) {
	if length <= bodyChunk {
		return readShortBody(r, length, budget)
	}
	var parts []*[bodyChunk]byte
	defer func() {
		for _, part := range parts {
			chunks.Put(part)
		}
	}()
	for read := 0; read < length; read += bodyChunk {
		if !budget.TakeLarge(joinFactor * bodyChunk) {
			return nil, taken, &NoFrameMemoryError{Length: length}
		}
		taken += joinFactor * bodyChunk
		part := chunks.Get().(*[bodyChunk]byte)
		parts = append(parts, part)
		if err := readFull(r, part[:min(length-read, bodyChunk)]); err != nil {
			return nil, taken, err
		}
	}
	body = make([]byte, 0, length)
	for _, part := range parts {
		body = append(body, part[:min(length-len(body), bodyChunk)]...)
	}
	budget.Give(taken / joinFactor)
	return body, taken / joinFactor, nil
}

// readShortBody reads a body whose buffer grows as bytes arrive.
func readShortBody(r io.Reader, length int, budget *connlimit.Budget) (body []byte, taken int, err error) {
	body = make([]byte, 0, min(length, freeBodyBytes))
	for len(body) < length {
		if len(body) == cap(body) {
			capacity := min(2*cap(body), length)
			if !budget.Take(capacity - taken) {
				return nil, taken, &NoFrameMemoryError{Length: length}
			}
			taken = capacity
			body = append(make([]byte, 0, capacity), body...)
		}
		start := len(body)
		body = body[:min(cap(body), length)]
		if err := readFull(r, body[start:]); err != nil {
			return nil, taken, err
		}
	}
	return body, taken, nil
}

// readFull fills a buffer. The end of the stream within a body is io.ErrUnexpectedEOF.
func readFull(r io.Reader, p []byte) error {
	_, err := io.ReadFull(r, p)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
