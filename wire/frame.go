package wire

import (
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// Version is the protocol version; a peer with another one is refused.
const Version = 1

// DefaultMaxFrame bounds the body of one frame, in bytes.
const DefaultMaxFrame = 8 << 20

// frameKind tells frames apart.
type frameKind uint8

const (
	frameRequest frameKind = iota + 1 // opens a stream
	frameReply                        // one reply of a stream
	frameEnd                          // the last frame of a stream; body is empty
	frameRefuse                       // the last frame of a stream; body is a structs.Refusal
	frameCancel                       // the caller no longer wants the stream
	frameCredit                       // the caller can take more replies; body is their count
	framePing                         // keeps the connection alive
)

// headerSize is the length of a frame's header: version, kind, two reserved
// zero bytes, the stream's number and the body's length, big-endian.
const headerSize = 16

type frame struct {
	kind   frameKind
	stream uint64
	body   []byte
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

// readFrame reads one frame. It allocates no more than maxBody, and grows the
// body as bytes arrive, so a peer that announces much and sends little costs
// little.
func readFrame(r io.Reader, maxBody int) (frame, error) {
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
	body, err := readBody(r, int(length))
	if err != nil {
		return frame{}, errors.Wrap(err, "read frame body")
	}
	return frame{kind: kind, stream: binary.BigEndian.Uint64(header[4:]), body: body}, nil
}

// bodyStep is how much of a body is allocated before its bytes arrive.
const bodyStep = 64 << 10

func readBody(r io.Reader, length int) ([]byte, error) {
	body := make([]byte, 0, min(length, bodyStep))
	for len(body) < length {
		step := min(length-len(body), bodyStep)
		start := len(body)
		body = append(body, make([]byte, step)...)
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return body, nil
}
